/** @file Records that machines are up before their first heartbeats are answered. */
import { describeError } from '../../base/loop';
import { changesAtOnce } from '../../base/state-limits';
import { KEY, type MachineRecord } from '../../bookkeeping/records';
import type { Condition } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import type { Machine } from './machine';
import type { Shard } from './shard';

const BATCHING_DELAY_MS = 40;
const MAX_RECORDS_PER_TRANSACTION = 12;

/** What became of the record of a machine. `conflict`: another writer changed it meanwhile. */
export type RegistrationOutcome = 'recorded' | 'conflict' | 'failed';

/** A machine of the shard, or the record of a rental that was never written. */
type RecordSubject = { kind: 'known'; machine: Machine } | { kind: 'rental'; record: MachineRecord };

/** A machine whose worker sends heartbeats, and whose record is to say so. */
interface PendingRecord {
  readonly id: string;
  readonly address: string;
  readonly subject: RecordSubject;
  readonly promise: Promise<RegistrationOutcome>;
  resolve(outcome: RegistrationOutcome): void;
}

/** One record of a transaction. */
interface RecordWrite {
  readonly pending: PendingRecord;
  readonly condition: Condition;
  readonly value: MachineRecord;
}

/**
 * Before a machine gets its first answer it is recorded as up: after a failover the next owner then knows that it may
 * hold tasks. Machines come up by the dozen, so what is to be recorded within a moment goes into one transaction.
 *
 * A machine may be up before the record of its rental was written, as the limit on changes allows only dozens a second:
 * one write then records both.
 */
export class MachineRegistration {
  readonly #pending = new Map<string, PendingRecord>();
  #isWriting = false;

  constructor(
    private readonly shard: Shard,
    private readonly context: ControllerContext,
  ) {}

  /** How many records are still to be written. */
  get size(): number {
    return this.#pending.size;
  }

  /** Records that a machine of the shard is up. Resolves to true when that is done. */
  async register(machine: Machine, address: string): Promise<boolean> {
    return (await this.#enqueue(machine.id, address, { kind: 'known', machine })) === 'recorded';
  }

  /** Records a machine that was rented for the shard and has no record yet, as up. */
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
      const maxRecords = changesAtOnce(
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

  /** Writes the records of a batch; those that aren't named in the result were not written. */
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
        // A record that changed meanwhile holds up no other.
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
    // A rental that has a record meanwhile is known to the shard; a known machine without one was returned while it
    // waited, and a condition on its absence would bring it back, as up.
    if (isRental ? version > 0 : version === 0) return undefined;
    const record = isRental ? subject.record : subject.machine.record;
    return { pending, condition: { key, version }, value: { ...record, address, up: true } };
  }

  /** One transaction. Undefined: it was carried out; otherwise the keys whose conditions failed. */
  async #writeInTransaction(writes: readonly RecordWrite[]): Promise<string[] | undefined> {
    const result = await this.context.store.compareAndSwap(
      [this.shard.leaseCondition(), ...writes.map(({ condition }) => condition)],
      writes.map(({ condition, value }) => ({ put: condition.key, value })),
    );
    if (!result.ok) return result.failed;
    for (const write of writes) this.#onRecorded(write, result.revision);
    return undefined;
  }

  #onRecorded({ pending, condition, value }: RecordWrite, version: number): void {
    const { subject, id } = pending;
    if (subject.kind === 'rental') {
      this.context.publish({ key: condition.key, version, value, deleted: false });
    }
    const machine = subject.kind === 'rental' ? this.shard.machines.get(id) : subject.machine;
    if (!machine) return;
    const now = this.context.clock.now();
    machine.markUp(pending.address, now);
    // It was rented for this shard and had no record until now, so no owner can have answered it: it holds nothing.
    if (subject.kind === 'rental') {
      machine.worker.markNeverAnswered();
      this.shard.confirm(machine);
    }
    const ageS = Math.round((now - machine.rentedSince) / 1000);
    const { type, record } = machine;
    this.context.log.info({ machine: id, type: type.name, zone: record.zone, ageS }, 'machine up');
  }
}
