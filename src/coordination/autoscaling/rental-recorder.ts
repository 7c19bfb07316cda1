/** @file Records rented machines in the key-value store. */
import type { Uint64 } from '../../base/uint64';
import { WakeSignal } from '../../base/clock';
import { maxChangesPerTransaction } from '../../base/state-limits';
import { KEY, type MachineRecord } from '../../bookkeeping/records';
import type { CompareAndSwapResult } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import type { RegistrationOutcome } from '../shard/machine-registration';
import type { AutoscalerShard } from './autoscaler-shard';
import type { FleetMachine, InstanceOption } from './scaling-plan';

const CONFLICT_RETRY_MS = 700;
/** Longest time that one call of `step` waits for a new rental. */
const MAX_WAIT_MS = 1_000;
/** Small batches leave room for other writes where the key-value store's limit on changes is low. */
const MAX_RECORDS_PER_WRITE = 8;
/** Rentals are recorded only while at most this many machines wait to be recorded as up. */
const MAX_PENDING_REGISTRATIONS = 12;

/** A rented machine without a record in the key-value store. */
interface UnrecordedMachine {
  readonly option: InstanceOption;
  readonly rentedAt: number;
  /** Whether `MachineRegistration` is recording the machine as up, because its worker sends heartbeats. */
  isBeingRegistered: boolean;
}

/** A machine record to write. */
interface RecordWrite {
  readonly id: string;
  readonly put: { put: string; value: MachineRecord };
}

/**
 * Records rented machines in small batches. Because of the key-value store's limit on changes, recording hundreds of
 * machines takes longer than renting them, and users' requests have to be written in between.
 */
export class RentalRecorder {
  readonly #unrecorded = new Map<string, UnrecordedMachine>();
  readonly #wake: WakeSignal;

  constructor(
    private readonly owner: AutoscalerShard,
    private readonly context: ControllerContext,
  ) {
    this.#wake = new WakeSignal(context.clock);
  }

  /** Adds machines that were just rented. */
  add(ids: readonly string[], { type, zone, spot }: InstanceOption): void {
    const rentedAt = this.context.clock.date().getTime();
    for (const id of ids) {
      this.#unrecorded.set(id, { option: { type, zone, spot }, rentedAt, isBeingRegistered: false });
    }
    this.#wake.wake();
  }

  /** The machines without a record, as booting machines of the fleet. */
  bootingMachines(): FleetMachine[] {
    return [...this.#unrecorded].map(([id, { option }]) => ({
      id,
      type: option.type,
      zone: option.zone,
      spot: option.spot,
      isBooting: true,
      ageMs: 0,
      idleMs: 0,
    }));
  }

  /** Whether this owner rented the machine and the machine has no record yet. */
  isUnrecorded(id: string): boolean {
    return this.#unrecorded.has(id);
  }

  /** Called for a heartbeat from an unrecorded machine. Returns the record to write if this owner rented the machine. */
  beginRegistration(id: string): MachineRecord | undefined {
    const rental = this.#unrecorded.get(id);
    if (!rental) return undefined;
    rental.isBeingRegistered = true;
    return this.#recordOf(rental);
  }

  /** Called with the outcome of a registration that `beginRegistration` began. */
  endRegistration(id: string, outcome: RegistrationOutcome): void {
    const rental = this.#unrecorded.get(id);
    if (rental) rental.isBeingRegistered = false;
    // After a conflict the machine has a record, because the leader has adopted it from the cloud's list.
    if (outcome !== 'failed') this.#unrecorded.delete(id);
  }

  /** One step of recording rented machines; to be run in a loop of its own. */
  async step(signal: AbortSignal): Promise<void> {
    await this.#wake.wait(MAX_WAIT_MS);
    while (!signal.aborted && this.owner.entitled) {
      // Recording machines as up is more urgent: their heartbeats get no response before their records are written.
      if (this.owner.pendingRegistrations > MAX_PENDING_REGISTRATIONS) return;
      const batch = this.#nextBatch();
      if (batch.length === 0) return;
      const result = await this.#write(batch);
      if (result.ok) {
        this.#onRecorded(batch, result.revision);
      } else {
        this.#onConflict(batch, result.failed);
        await this.context.clock.sleep(CONFLICT_RETRY_MS, signal);
      }
    }
  }

  #nextBatch(): RecordWrite[] {
    const { state } = this.context.settings.platform.deployment;
    return [...this.#unrecorded]
      .filter(([, rental]) => !rental.isBeingRegistered)
      .slice(0, maxChangesPerTransaction(state, MAX_RECORDS_PER_WRITE))
      .map(([id, rental]) => ({ id, put: { put: KEY.machine(id), value: this.#recordOf(rental) } }));
  }

  /** Writes the records of a batch in one transaction. */
  #write(batch: readonly RecordWrite[]): Promise<CompareAndSwapResult> {
    const conditions = batch.map(({ put }) => ({ key: put.put, version: 0 }));
    return this.context.store.compareAndSwap(
      [this.owner.leaseCondition(), ...conditions],
      batch.map(({ put }) => put),
    );
  }

  #onRecorded(batch: readonly RecordWrite[], version: Uint64): void {
    for (const { id } of batch) this.#unrecorded.delete(id);
    for (const { put } of batch) {
      this.context.publish({ key: put.put, version, value: put.value, deleted: false });
    }
  }

  /** Drops machines that have a record, because the leader adopted them. The other machines are retried. */
  #onConflict(batch: readonly RecordWrite[], failedKeys: readonly string[]): void {
    for (const { id, put } of batch) if (failedKeys.includes(put.put)) this.#unrecorded.delete(id);
  }

  #recordOf({ option, rentedAt }: UnrecordedMachine): MachineRecord {
    const { type, zone, spot } = option;
    const { shard } = this.owner;
    return { block: shard, address: '', type: type.name, zone, spot, up: false, rentedAt };
  }
}
