/** @file Records rented machines in the key-value store. */
import { WakeSignal } from '../../base/clock';
import { changesAtOnce } from '../../base/state-limits';
import { KEY, type MachineRecord } from '../../bookkeeping/records';
import type { CompareAndSwapResult } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import type { RegistrationOutcome } from '../shard/machine-registration';
import type { AutoscalerShard } from './autoscaler-shard';
import type { FleetMachine, InstanceOption } from './scaling-plan';

const RETRY_MS = 700;
/** How long a step waits for a rental at most. */
const MAX_WAIT_MS = 1_000;
/** Small batches, so that other writes get their share of a small limit on changes. */
const MAX_RECORDS_PER_WRITE = 8;
/** Rentals are recorded while no more machines than this wait for being recorded as up. */
const MAX_PENDING_REGISTRATIONS = 12;

/** A rented machine that the key-value store does not know yet. */
interface UnrecordedMachine {
  readonly option: InstanceOption;
  readonly rentedAt: number;
  /** Its worker sends heartbeats, so it is being recorded as up; see `MachineRegistration`. */
  isUp: boolean;
}

/** A record to write, and the machine that it is of. */
interface RecordWrite {
  readonly id: string;
  readonly put: { put: string; value: MachineRecord };
}

/**
 * Rented machines without a record. Within the limit on changes, recording hundreds of machines takes longer than renting
 * them, and users' requests have to be written in between.
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

  /** Takes in machines that were rented just now. */
  add(ids: readonly string[], { type, zone, spot }: InstanceOption): void {
    const rentedAt = this.context.clock.date().getTime();
    for (const id of ids) {
      this.#unrecorded.set(id, { option: { type, zone, spot }, rentedAt, isUp: false });
    }
    this.#wake.wake();
  }

  /** The machines without a record, as machines of the fleet that boot. */
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

  /** Whether the machine was rented here and has no record yet. */
  isUnrecorded(id: string): boolean {
    return this.#unrecorded.has(id);
  }

  /** The worker of a machine without a record sends heartbeats: returns the record to write, which others then do. */
  beginRegistration(id: string): MachineRecord | undefined {
    const rental = this.#unrecorded.get(id);
    if (!rental) return undefined;
    rental.isUp = true;
    return this.#recordOf(rental);
  }

  /** What became of a record that was begun. */
  endRegistration(id: string, outcome: RegistrationOutcome): void {
    const rental = this.#unrecorded.get(id);
    if (rental) rental.isUp = false;
    // With a conflict it was adopted from the cloud's list.
    if (outcome !== 'failed') this.#unrecorded.delete(id);
  }

  /** Records what was rented; to be run in a loop of its own. */
  async step(signal: AbortSignal): Promise<void> {
    await this.#wake.wait(MAX_WAIT_MS);
    while (!signal.aborted && this.owner.entitled) {
      // Machines that are up wait for their records; those that boot do without for now.
      if (this.owner.pendingRegistrations > MAX_PENDING_REGISTRATIONS) return;
      const batch = this.#nextBatch();
      if (batch.length === 0) return;
      const result = await this.#write(batch);
      if (result.ok) {
        this.#onRecorded(batch, result.revision);
      } else {
        this.#onConflict(batch, result.failed);
        await this.context.clock.sleep(RETRY_MS, signal);
      }
    }
  }

  #nextBatch(): RecordWrite[] {
    const { state } = this.context.settings.platform.deployment;
    return [...this.#unrecorded]
      .filter(([, rental]) => !rental.isUp)
      .slice(0, changesAtOnce(state, MAX_RECORDS_PER_WRITE))
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

  #onRecorded(batch: readonly RecordWrite[], version: number): void {
    for (const { id } of batch) this.#unrecorded.delete(id);
    for (const { put } of batch) {
      this.context.publish({ key: put.put, version, value: put.value, deleted: false });
    }
  }

  /** A machine that has a record already was adopted from the cloud's list; the others are tried again. */
  #onConflict(batch: readonly RecordWrite[], failedKeys: readonly string[]): void {
    for (const { id, put } of batch) if (failedKeys.includes(put.put)) this.#unrecorded.delete(id);
  }

  #recordOf({ option, rentedAt }: UnrecordedMachine): MachineRecord {
    const { type, zone, spot } = option;
    const { shard } = this.owner;
    return { block: shard, address: '', type: type.name, zone, spot, up: false, rentedAt };
  }
}
