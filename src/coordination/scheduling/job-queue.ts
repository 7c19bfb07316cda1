/** @file The queue of a round: jobs with waiting tasks, in the order in which they get room. */
import { PRIORITY_RANK, type Job } from '../../protocol/model';
import type { TeamQuota } from './team-quota';

/** A job with tasks waiting, as a round sees it. */
export interface WaitingJob {
  readonly job: Job;
  readonly waitingTasks: number;
  /** How many of its tasks are, or may be, in each zone. */
  readonly tasksPerZone: ReadonlyMap<string, number>;
  /** How long its tasks can still wait and be in time; negative when it is late already. */
  readonly slackMs: number;
  /** CPU seconds that its tasks still need. */
  readonly remainingCpuS: number;
  readonly machinesToAvoid: ReadonlySet<string>;
  /** How long a task of it should run. */
  readonly expectedRunS: number;
  /** It has waited so long that it gets some room with a priority boost. */
  readonly isBoosted: boolean;
  /** A task of it has been issued or is done. */
  readonly hasStarted: boolean;
  readonly submittedAt: number;
}

/**
 * A job's turn in a round. `boosted`: with a priority boost, into the share of the fleet that is reserved for the jobs that
 * waited longest. `guaranteed`: the job takes only what still fits into its team's guarantee.
 */
export interface QueueEntry {
  readonly waiting: WaitingJob;
  readonly kind: 'boosted' | 'guaranteed' | 'regular';
}

/**
 * Sorts queue entries into the order in which they get room: boosted jobs first, the oldest before the others; then by
 * priority, then by what guarantees owe, then by the least slack. Jobs that are late already come after those that can
 * still be in time, the smallest first, because that serves most users. The entries of boosted jobs keep the largest late
 * ones from starving.
 */
export function orderQueue(
  jobs: readonly WaitingJob[],
  quotas: ReadonlyMap<string, TeamQuota>,
): QueueEntry[] {
  const queue: QueueEntry[] = [];
  for (const waiting of jobs) {
    const quota = quotas.get(waiting.job.team);
    if (waiting.isBoosted) queue.push({ waiting, kind: 'boosted' });
    if (quota && (quota.cpus > 0 || quota.gpus > 0)) queue.push({ waiting, kind: 'guaranteed' });
    queue.push({ waiting, kind: 'regular' });
  }
  return queue.sort(compareEntries);
}

function compareEntries(first: QueueEntry, second: QueueEntry): number {
  if (first.kind === 'boosted' && second.kind === 'boosted')
    return compareBoosted(first.waiting, second.waiting);
  const byRank = rank(first) - rank(second) || lateness(first) - lateness(second);
  if (byRank !== 0) return byRank;
  return lateness(first) === 1
    ? first.waiting.remainingCpuS - second.waiting.remainingCpuS
    : first.waiting.slackMs - second.waiting.slackMs;
}

/** What has not started goes before an older job that has, which might use up its team's limit by itself. */
function compareBoosted(first: WaitingJob, second: WaitingJob): number {
  const byStart = Number(first.hasStarted) - Number(second.hasStarted);
  return byStart !== 0 ? byStart : first.submittedAt - second.submittedAt;
}

function rank({ waiting, kind }: QueueEntry): number {
  if (kind === 'boosted') return -1;
  return 2 * PRIORITY_RANK[waiting.job.priority] + (kind === 'guaranteed' ? 0 : 1);
}

function lateness({ waiting }: QueueEntry): number {
  return waiting.slackMs < 0 ? 1 : 0;
}
