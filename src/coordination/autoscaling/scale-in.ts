/** @file Returns a shard's drained machines to the cloud. */
import { changesAtOnce } from '../../base/state-limits';
import { KEY } from '../../bookkeeping/records';
import { MAX_MACHINES_PER_DELETE } from '../../protocol/cloud';
import type { ControllerContext } from '../controller-context';
import type { Machine } from '../shard/machine';
import type { AutoscalerShard } from './autoscaler-shard';

const INTERVAL_MS = 700;
/** Small batches, so that other writes get their share of a small limit on changes. */
const MAX_RECORDS_PER_DELETE = 20;

/** Returns drained machines, and deletes their records when the cloud has confirmed their end. */
export class ScaleIn {
  /** Returned machines whose records could not be deleted yet. */
  readonly #terminated = new Set<string>();

  constructor(
    private readonly owner: AutoscalerShard,
    private readonly context: ControllerContext,
  ) {}

  /** One step; to be run in a loop of its own. */
  async step(signal: AbortSignal): Promise<void> {
    await this.context.clock.sleep(INTERVAL_MS, signal);
    if (signal.aborted || !this.owner.entitled) return;
    // Records are deleted last: that needs the key-value store, while the return of a machine may be what stops a
    // cancelled task in time.
    await this.#returnMachines();
    await this.#deleteRecords();
  }

  async #returnMachines(): Promise<void> {
    const leaving = [...this.owner.machines.values()].filter((machine) => this.#mayBeReturned(machine));
    if (leaving.length === 0) return;
    const batch = leaving.slice(0, MAX_MACHINES_PER_DELETE);
    // From here on the machine may disappear at any moment, whatever the cloud answers: it is never used again.
    for (const machine of batch) machine.markReleaseRequested();
    await this.context.cloud.deleteMachines(
      batch.map((machine) => machine.id),
      () => this.owner.entitled,
    );
    for (const machine of batch) {
      this.context.log.info({ machine: machine.id, why: machine.drainReason }, 'scale-in: machine returned');
      this.owner.onMachineTerminated(machine);
      this.#terminated.add(machine.id);
    }
  }

  #mayBeReturned(machine: Machine): boolean {
    if (machine.drainReason === undefined || this.#terminated.has(machine.id)) return false;
    return !machine.isBusy || machine.drainReason === 'unresponsive';
  }

  async #deleteRecords(): Promise<void> {
    const { state } = this.context.settings.platform.deployment;
    const ids = [...this.#terminated].slice(0, changesAtOnce(state, MAX_RECORDS_PER_DELETE));
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
