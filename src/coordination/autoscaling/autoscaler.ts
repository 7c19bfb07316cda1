/** @file Rents, records and returns a shard's machines. */
import { WakeSignal } from '../../base/clock';
import { describeError } from '../../base/loop';
import { changesAtOnce } from '../../base/state-limits';
import { KEY, type MachineRecord } from '../../bookkeeping/records';
import { CloudRejectedError, MAX_MACHINES_PER_DELETE, MAX_MACHINES_PER_CREATE } from '../../protocol/cloud';
import type { Condition } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import {
  optionKey,
  planScaling,
  type ScalingInput,
  type InstanceOption,
  type ScaleOutRequest,
} from './scaling-plan';
import type { Machine } from '../shard/machine';
import type { RegistrationOutcome } from '../shard/machine-registration';

/** What the fleet manager needs of the shard. */
export interface AutoscalerShard {
  readonly shard: number;
  readonly machines: ReadonlyMap<string, Machine>;
  readonly entitled: boolean;
  /** How many machines report and wait for a record that they are up. */
  readonly pendingRegistrations: number;
  leaseCondition(): Condition;
  /** What the last round found no room for, and the present state of the fleet. */
  scalingInput(refused: (option: InstanceOption) => boolean): ScalingInput | undefined;
  /** The cloud confirmed that the machine, and all on it, is gone. */
  onMachineTerminated(machine: Machine): void;
}

const PAUSE_MS = 700;
/** How long an option that the cloud had no capacity for is not tried again. */
const REFUSED_MS = 12_000;
const RENT_TRIES = 6;
const RETRY_MS = 1_500;
/** Small batches, so that other writes get their share of a small limit on changes. */
const RECORDS_AT_ONCE = 8;
const RECORDS_DELETED_AT_ONCE = 20;
/** Rentals are recorded while no more machines than this wait for being recorded as up. */
const FEW_UP_RECORDS = 12;

/** A rented machine that the state service does not know yet. */
interface UnrecordedMachine extends InstanceOption {
  readonly rentedAt: number;
  /** Its worker reports, so it is being recorded as up; see `UpRecords`. */
  isUp: boolean;
}

/**
 * Rents and returns the shard's machines in three independent loops: a cloud that doesn't take machines back can still
 * rent, and a slow state service doesn't delay renting.
 */
export class Autoscaler {
  readonly #backoffUntil = new Map<string, number>();
  readonly #unrecorded = new Map<string, UnrecordedMachine>();
  readonly #recordWake: WakeSignal;
  /** Returned machines whose records could not be deleted yet. */
  readonly #terminated = new Set<string>();

  constructor(
    private readonly fleet: AutoscalerShard,
    private readonly context: ControllerContext,
  ) {
    this.#recordWake = new WakeSignal(context.clock);
  }

  /** Whether the machine was rented here and has no record yet. */
  isUnrecorded(id: string): boolean {
    return this.#unrecorded.has(id);
  }

  /** The worker of a machine without a record reports: returns the record to write, which this loop leaves to others. */
  beginRecording(id: string): MachineRecord | undefined {
    const rental = this.#unrecorded.get(id);
    if (!rental) return undefined;
    rental.isUp = true;
    return this.#recordOf(rental);
  }

  /** What became of a record that was begun. */
  endRecording(id: string, outcome: RegistrationOutcome): void {
    const rental = this.#unrecorded.get(id);
    if (rental) rental.isUp = false;
    // With a conflict it was adopted from the cloud's list.
    if (outcome !== 'failed') this.#unrecorded.delete(id);
  }

  /** One step of returning machines; to be run in a loop of its own. */
  async scaleInStep(signal: AbortSignal): Promise<void> {
    await this.context.clock.sleep(PAUSE_MS, signal);
    if (signal.aborted || !this.fleet.entitled) return;
    // Records are deleted last: that needs the state service, while the return of a machine may be what stops a
    // cancelled task in time.
    await this.#returnMachines();
    await this.#deleteRecords();
  }

  /** One step of renting; to be run in a loop. */
  async scaleOutStep(signal: AbortSignal): Promise<void> {
    await this.context.clock.sleep(PAUSE_MS, signal);
    if (signal.aborted || !this.fleet.entitled || !this.context.eventLoopDelay.allowsScaleOut) return;
    const now = this.context.clock.now();
    const input = this.fleet.scalingInput((option) => (this.#backoffUntil.get(optionKey(option)) ?? 0) > now);
    if (!input) return;
    const unrecorded = [...this.#unrecorded].map(([id, { type, zone, spot }]) => {
      return { id, type, zone, spot, booting: true, ageMs: 0, idleMs: 0 };
    });
    const plan = planScaling({ ...input, machines: [...input.machines, ...unrecorded] });
    for (const id of plan.scaleIn) {
      const machine = this.fleet.machines.get(id);
      if (machine) machine.drain('idle');
    }
    for (const rental of plan.scaleOut) {
      if (signal.aborted || !this.fleet.entitled) return;
      await this.#scaleOut(rental, signal);
    }
  }

  async #returnMachines(): Promise<void> {
    const leaving = [...this.fleet.machines.values()].filter(
      (m) =>
        m.drainReason !== undefined &&
        !this.#terminated.has(m.id) &&
        (!m.isBusy || m.drainReason === 'unresponsive'),
    );
    if (leaving.length === 0) return;
    const batch = leaving.slice(0, MAX_MACHINES_PER_DELETE);
    // From here on the machine may disappear at any moment, whatever the cloud answers: it is never used again.
    for (const machine of batch) machine.requestReturn();
    await this.context.cloud.deleteMachines(
      batch.map((m) => m.id),
      () => this.fleet.entitled,
    );
    for (const machine of batch) {
      this.context.log.info({ machine: machine.id, why: machine.drainReason }, 'scale-in: machine returned');
      this.fleet.onMachineTerminated(machine);
      this.#terminated.add(machine.id);
    }
  }

  async #deleteRecords(): Promise<void> {
    const { state } = this.context.settings.platform.deployment;
    const ids = [...this.#terminated].slice(0, changesAtOnce(state, RECORDS_DELETED_AT_ONCE));
    if (ids.length === 0) return;
    const result = await this.context.store.compareAndSwap(
      [this.fleet.leaseCondition()],
      ids.map((id) => ({ delete: KEY.machine(id) })),
    );
    if (!result.ok) return;
    for (const id of ids) {
      this.#terminated.delete(id);
      this.context.publish({ key: KEY.machine(id), version: result.revision, deleted: true });
    }
  }

  /** Rents in calls as large as the cloud takes, until it has no more. */
  async #scaleOut(rental: ScaleOutRequest, signal: AbortSignal): Promise<void> {
    let left = rental.count;
    while (left > 0 && !signal.aborted && this.fleet.entitled) {
      const count = Math.min(left, MAX_MACHINES_PER_CREATE);
      const rented = await this.#createMachines(rental, count, signal);
      if (rented < count) {
        this.#backOff(rental);
        return;
      }
      left -= count;
    }
  }

  async #createMachines(rental: ScaleOutRequest, count: number, signal: AbortSignal): Promise<number> {
    // The key is random and used once, so that a retry can't rent twice.
    const request = {
      idempotencyKey: this.context.random.uniqueName(),
      type: rental.type.name,
      zone: rental.zone,
      spot: rental.spot,
      count,
    };
    for (let attempt = 1; attempt <= RENT_TRIES && !signal.aborted && this.fleet.entitled; attempt += 1) {
      try {
        const ids = await this.context.cloud.createMachines(request, () => this.fleet.entitled);
        this.context.log.info({ ...request, ids }, 'scale-out: machines rented');
        const rentedAt = this.context.clock.date().getTime();
        for (const id of ids) this.#unrecorded.set(id, { ...rental, rentedAt, isUp: false });
        this.#recordWake.wake();
        return ids.length;
      } catch (error) {
        if (error instanceof CloudRejectedError && error.noCapacity) return 0;
        this.context.log.info({ ...request, attempt, err: describeError(error) }, 'scale-out request failed');
        await this.context.clock.sleep(RETRY_MS, signal);
      }
    }
    // Given up. If the request is carried out after all, its machines appear in the cloud's list and are adopted.
    return 0;
  }

  #recordOf({ type, zone, spot, rentedAt }: UnrecordedMachine): MachineRecord {
    const { shard } = this.fleet;
    return { block: shard, address: '', type: type.name, zone, spot, up: false, rentedAt };
  }

  #backOff(option: InstanceOption): void {
    this.#backoffUntil.set(optionKey(option), this.context.clock.now() + REFUSED_MS);
  }

  /**
   * One step of recording what was rented; to be run in a loop of its own. Within the limit on changes, recording
   * hundreds of machines takes longer than renting them, and users' requests have to be written in between.
   */
  async recordStep(signal: AbortSignal): Promise<void> {
    await this.#recordWake.wait(1000);
    while (!signal.aborted && this.fleet.entitled) {
      // Machines that are up wait for their records; of those that boot nobody asks yet.
      if (this.fleet.pendingRegistrations > FEW_UP_RECORDS) return;
      const { state } = this.context.settings.platform.deployment;
      const batch = [...this.#unrecorded]
        .filter(([, rental]) => !rental.isUp)
        .slice(0, changesAtOnce(state, RECORDS_AT_ONCE));
      if (batch.length === 0) return;
      const changes = batch.map(([id, rental]) => ({ put: KEY.machine(id), value: this.#recordOf(rental) }));
      const conditions = changes.map((c) => ({ key: c.put, version: 0 }));
      const result = await this.context.store.compareAndSwap(
        [this.fleet.leaseCondition(), ...conditions],
        changes,
      );
      for (const [id] of batch) {
        // A machine that has a record already was adopted from the cloud's list; the others are tried again.
        if (result.ok || result.failed.includes(KEY.machine(id))) this.#unrecorded.delete(id);
      }
      if (!result.ok) {
        await this.context.clock.sleep(PAUSE_MS, signal);
        continue;
      }
      for (const { put, value } of changes) {
        this.context.publish({ key: put, version: result.revision, value, deleted: false });
      }
    }
  }
}
