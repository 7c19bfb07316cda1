/** @file Runs the scheduling passes of a shard, and limits the time that a round takes. */
import type { RelayedMachines } from '../../bookkeeping/relay-records';
import { buildScalingInput } from '../autoscaling/scaling-input';
import type { InstanceOption, ScalingInput } from '../autoscaling/scaling-plan';
import type { ControllerContext } from '../controller-context';
import type { AttemptManager } from '../shard/attempt-manager';
import type { Shard } from '../shard/shard';
import { ConsolidationPass } from './consolidation-pass';
import { EagerReissue } from './eager-reissue';
import { orderQueue } from './job-queue';
import { LeaseExpiry } from './lease-expiry';
import { MachineRetirement } from './machine-retirement';
import { PlacementPass } from './placement-pass';
import { PreemptionPass } from './preemption-pass';
import { evictBeforeSpotNotices } from './spot-notices';
import { waitingJobs } from './waiting-jobs';

/**
 * Makes the scheduling decisions of a shard: which attempts to issue, and which to evict. Each pass takes a snapshot of
 * the shard, decides on it, and applies the decision before the next pass takes its snapshot.
 */
export class Scheduler {
  readonly #placement: PlacementPass;
  readonly #preemption: PreemptionPass;
  readonly #eagerReissue: EagerReissue;
  readonly #retirement: MachineRetirement;
  readonly #consolidation: ConsolidationPass;
  readonly #leaseExpiry: LeaseExpiry;

  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {
    this.#placement = new PlacementPass(shard, attempts, context);
    this.#preemption = new PreemptionPass(shard, attempts, context);
    this.#eagerReissue = new EagerReissue(shard, attempts, context);
    this.#retirement = new MachineRetirement(shard, attempts, context);
    this.#consolidation = new ConsolidationPass(shard, attempts, context);
    this.#leaseExpiry = new LeaseExpiry(shard, attempts, context);
  }

  /** The number of tasks that the last rounds could not place, by job. */
  get unplaced(): ReadonlyMap<string, number> {
    return this.#placement.unplaced;
  }

  /** Runs the scheduling passes that examine all machines; they need not run in every round. */
  runPeriodicTasks(now: number): void {
    this.#leaseExpiry.assumeRenewedIfRelayed(now);
    evictBeforeSpotNotices(this.shard, this.attempts, now);
    this.#eagerReissue.run(now, this.#placement.isBacklogEmpty);
    this.#retirement.run(now);
    if (!this.context.eventLoopDelay.allowsOptimization) return;
    this.#consolidation.runIfDue(now, this.#placement.isBacklogEmpty);
  }

  /** Places waiting tasks. Returns whether the time budget was used up before the end of the queue. */
  runRound(now: number): boolean {
    this.attempts.evictSurplus();
    const jobs = waitingJobs(this.shard, this.context.settings.operator.aged_s * 1000, now);
    if (jobs.length === 0) {
      this.#placement.completeEmptyQueue();
      return false;
    }
    const timeIsUp = this.#startBudget();
    const queue = orderQueue(jobs, this.shard.teams);
    this.#placement.run(queue, now, timeIsUp);
    if (!this.#placement.isComplete) return true;
    if (this.unplaced.size > 0) this.#preemption.runIfDue(queue, this.unplaced, now, timeIsUp);
    return false;
  }

  #startBudget(): () => boolean {
    const { clock, settings } = this.context;
    const endAt = clock.now() + settings.throttling.roundBudgetMs;
    return () => clock.now() > endAt;
  }

  /** Assumes that the leases of these machines were renewed just now, because relays may have renewed them until now. */
  assumeLeasesRenewed(relayed: RelayedMachines, now: number): void {
    this.#leaseExpiry.assumeRenewed(relayed, now);
  }

  /** Drops all attempts on machines whose workers' leases have expired. */
  expireLeases(): Promise<void> {
    return this.#leaseExpiry.dropExpired();
  }

  /** The unplaced tasks and the fleet, from which scaling is planned; undefined while the unplaced tasks are not known. */
  scalingInput(isBackedOff: (option: InstanceOption) => boolean): ScalingInput | undefined {
    if (!this.#placement.hasCompleted) return undefined;
    if (!this.shard.areAllMachinesConfirmed && this.unplaced.size === 0) return undefined;
    return buildScalingInput({
      shard: this.shard,
      context: this.context,
      unplaced: this.unplaced,
      isBackedOff,
    });
  }
}
