/** @file Releases a shard's drained machines. */
import { maxChangesPerTransaction } from '../../base/state-limits';
import { KEY } from '../../bookkeeping/records';
import { MAX_MACHINES_PER_DELETE } from '../../protocol/cloud';
import type { ControllerContext } from '../controller-context';
import type { Machine } from '../shard/machine';
import type { AutoscalerShard } from './autoscaler-shard';

const INTERVAL_MS = 700;
/** Small batches leave room for other writes where the key-value store's limit on changes per second is low. */
const MAX_RECORDS_PER_DELETE = 20;

/** Releases drained machines, and deletes their records once the cloud has confirmed their termination. */
export class ScaleIn {
  /** Terminated machines whose records are not deleted yet. */
  readonly #terminated = new Set<string>();

  constructor(
    private readonly owner: AutoscalerShard,
    private readonly context: ControllerContext,
  ) {}

  /** Releases drained machines, and deletes the records of terminated ones; to be run in a loop of its own. */
  async step(signal: AbortSignal): Promise<void> {
    await this.context.clock.sleep(INTERVAL_MS, signal);
    if (signal.aborted || !this.owner.entitled) return;
    // Machines are released before records are deleted. A release may be the only way to stop a cancelled task in time,
    // so it must not wait for the key-value store.
    await this.#releaseMachines();
    await this.#deleteRecords();
  }

  async #releaseMachines(): Promise<void> {
    const releasable = [...this.owner.machines.values()].filter((machine) => this.#isReleasable(machine));
    if (releasable.length === 0) return;
    const batch = releasable.slice(0, MAX_MACHINES_PER_DELETE);
    // Whatever the cloud responds, the machines may disappear at any time after the call, so they are never used again.
    for (const machine of batch) machine.markReleaseRequested();
    await this.context.cloud.deleteMachines(
      batch.map((machine) => machine.id),
      () => this.owner.entitled,
    );
    for (const machine of batch) {
      this.context.log.info(
        { machine: machine.id, why: machine.drainReason },
        'scale-in: machine terminated',
      );
      this.owner.onMachineTerminated(machine);
      this.#terminated.add(machine.id);
    }
  }

  #isReleasable(machine: Machine): boolean {
    if (machine.drainReason === undefined || this.#terminated.has(machine.id)) return false;
    return !machine.isBusy || machine.drainReason === 'unresponsive';
  }

  async #deleteRecords(): Promise<void> {
    const { state } = this.context.settings.platform.deployment;
    const ids = [...this.#terminated].slice(0, maxChangesPerTransaction(state, MAX_RECORDS_PER_DELETE));
    if (ids.length === 0) return;
    const result = await this.context.store.compareAndSwap(
      [this.owner.leaseCondition()],
      ids.map((id) => ({ delete: KEY.machine(id) })),
    );
    if (!result.ok) return;
    for (const id of ids) {
      this.#terminated.delete(id);
      this.context.publish({ key: KEY.machine(id), version: result.revision, deleted: true });
    }
  }
}
