/** @file Records machines as up before their first heartbeats get a response. */
import type { Uint64 } from '../../base/uint64';
import { describeError } from '../../base/loop';
import { maxChangesPerTransaction } from '../../base/state-limits';
import { KEY, type MachineRecord } from '../../bookkeeping/records';
import type { Condition } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import type { Machine } from './machine';
import type { Shard } from './shard';

const BATCHING_DELAY_MS = 40;
const MAX_RECORDS_PER_TRANSACTION = 12;

/** The outcome of writing a machine's record. `conflict`: another writer changed the record first. */
export type RegistrationOutcome = 'recorded' | 'conflict' | 'failed';

/** A machine that belongs to the shard, or the unwritten record of a rented machine. */
type RecordSubject = { kind: 'known'; machine: Machine } | { kind: 'rental'; record: MachineRecord };

/** A machine whose worker sends heartbeats, and which is to be recorded as up. */
interface PendingRecord {
  readonly id: string;
  readonly address: string;
  readonly subject: RecordSubject;
  readonly promise: Promise<RegistrationOutcome>;
  resolve(outcome: RegistrationOutcome): void;
}

/** The write of one record in a transaction. */
interface RecordWrite {
  readonly pending: PendingRecord;
  readonly condition: Condition;
  readonly value: MachineRecord;
}

/**
 * Records machines as up. A machine's first heartbeat gets a response only after its record is written, so that
 * after a failover the next owner knows which machines may have tasks. Machines come up by the dozen, so their records
 * are written in batches.
 *
 * The key-value store's limit on changes allows only dozens of records a second, so a machine may come up before its
 * rental is recorded. In that case one write records both.
 */
export class MachineRegistration {
  readonly #pending = new Map<string, PendingRecord>();
  #isWriting = false;

  constructor(
    private readonly shard: Shard,
    private readonly context: ControllerContext,
  ) {}

  /** Number of machine records that wait to be written. */
  get size(): number {
    return this.#pending.size;
  }

  /** Records a machine of the shard as up; resolves to whether that succeeded. */
  async register(machine: Machine, address: string): Promise<boolean> {
    return (await this.#enqueue(machine.id, address, { kind: 'known', machine })) === 'recorded';
  }

  /** Records as up a machine that was rented for the shard and has no record yet. */
  registerUnrecorded(id: string, address: string, record: MachineRecord): Promise<RegistrationOutcome> {
    return this.#enqueue(id, address, { kind: 'rental', record });
  }

  #enqueue(id: string, address: string, subject: RecordSubject): Promise<RegistrationOutcome> {
    const pending = this.#pending.get(id);
    if (pending) return pending.promise;
    let resolve: (outcome: RegistrationOutcome) => void = () => undefined;
    const promise = new Promise<RegistrationOutcome>((r) => {
      resolve = r;
    });
    this.#pending.set(id, { id, address, subject, promise, resolve });
    if (!this.#isWriting) void this.#writeAll();
    return promise;
  }

  async #writeAll(): Promise<void> {
    this.#isWriting = true;
    await this.context.clock.sleep(BATCHING_DELAY_MS);
    while (this.#pending.size > 0) {
      const maxRecords = maxChangesPerTransaction(
        this.context.settings.platform.deployment.state,
        MAX_RECORDS_PER_TRANSACTION,
      );
      const batch = [...this.#pending.values()].slice(0, maxRecords);
      const outcomes = await this.#write(batch);
      for (const pending of batch) {
        this.#pending.delete(pending.id);
        pending.resolve(outcomes.get(pending) ?? 'failed');
      }
    }
    this.#isWriting = false;
  }

  /** Writes a batch of records. Records without an entry in the result were not written. */
  async #write(batch: readonly PendingRecord[]): Promise<Map<PendingRecord, RegistrationOutcome>> {
    const outcomes = new Map<PendingRecord, RegistrationOutcome>();
    try {
      let unwritten = batch.flatMap((pending) => this.#prepare(pending) ?? []);
      while (unwritten.length > 0) {
        const failed = await this.#writeInTransaction(unwritten);
        if (failed === undefined) {
          for (const { pending } of unwritten) outcomes.set(pending, 'recorded');
          break;
        }
        // One conflict fails the whole transaction: it is retried without the records that changed.
        const conflicts = unwritten.filter(({ condition }) => failed.includes(condition.key));
        for (const { pending } of conflicts) outcomes.set(pending, 'conflict');
        if (conflicts.length === 0) break;
        unwritten = unwritten.filter((write) => !conflicts.includes(write));
      }
    } catch (error) {
      this.context.log.info({ err: describeError(error) }, 'machines could not be registered as up');
    }
    return outcomes;
  }

  #prepare(pending: PendingRecord): RecordWrite | undefined {
    const { id, address, subject } = pending;
    const key = KEY.machine(id);
    const version = this.context.cache.version(key);
    const isRental = subject.kind === 'rental';
    // A rented machine with a record is already in the shard. A machine of the shard without a record was released
    // meanwhile: a write on the condition that no record exists would recreate it, as up. So neither is written.
    if (isRental ? version > 0 : version === 0) return undefined;
    const record = isRental ? subject.record : subject.machine.record;
    return { pending, condition: { key, version }, value: { ...record, address, up: true } };
  }

  /** Runs one transaction. Returns undefined on success, else the keys whose conditions failed. */
  async #writeInTransaction(writes: readonly RecordWrite[]): Promise<string[] | undefined> {
    const result = await this.context.store.compareAndSwap(
      [this.shard.leaseCondition(), ...writes.map(({ condition }) => condition)],
      writes.map(({ condition, value }) => ({ put: condition.key, value })),
    );
    if (!result.ok) return result.failed;
    for (const write of writes) this.#onRecorded(write, result.revision);
    return undefined;
  }

  #onRecorded({ pending, condition, value }: RecordWrite, version: Uint64): void {
    const { subject, id } = pending;
    if (subject.kind === 'rental') {
      this.context.publish({ key: condition.key, version, value, deleted: false });
    }
    const machine = subject.kind === 'rental' ? this.shard.machines.get(id) : subject.machine;
    if (!machine) return;
    const now = this.context.clock.now();
    machine.markUp(pending.address, now);
    // A machine without a record never got a response to a heartbeat from any owner, so it has no attempts.
    if (subject.kind === 'rental') {
      machine.worker.markNeverAnswered();
      this.shard.confirm(machine);
    }
    const ageS = Math.round((now - machine.rentedSince) / 1000);
    const { type, record } = machine;
    this.context.log.info({ machine: id, type: type.name, zone: record.zone, ageS }, 'machine up');
  }
}
