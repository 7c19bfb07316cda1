/** @file The queue of a round: jobs with waiting tasks, in the order in which they get room. */
import { PRIORITY_RANK, type Job } from '../../protocol/model';
import type { TeamQuota } from './team-quota';

/** A job with tasks waiting, as a round sees it. */
export interface WaitingJob {
  readonly job: Job;
  readonly waitingTasks: number;
  /** How many of its tasks are, or may be, in each zone. */
  readonly zones: ReadonlyMap<string, number>;
  /** How long its tasks can still wait and be in time; negative when it is late already. */
  readonly slackMs: number;
  /** CPU seconds that its tasks still need. */
  readonly remainingCpuS: number;
  readonly machinesToAvoid: ReadonlySet<string>;
  /** How long a task of it should run. */
  readonly runS: number;
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

function compareEntries(a: QueueEntry, b: QueueEntry): number {
  if (a.kind === 'boosted' && b.kind === 'boosted') return compareBoosted(a.waiting, b.waiting);
  const byRank = rank(a) - rank(b) || lateness(a) - lateness(b);
  if (byRank !== 0) return byRank;
  return lateness(a) === 1
    ? a.waiting.remainingCpuS - b.waiting.remainingCpuS
    : a.waiting.slackMs - b.waiting.slackMs;
}

/** What has not started goes before an older job that has, which might use up its team's limit by itself. */
function compareBoosted(a: WaitingJob, b: WaitingJob): number {
  const byStart = Number(a.hasStarted) - Number(b.hasStarted);
  return byStart !== 0 ? byStart : a.submittedAt - b.submittedAt;
}

function rank({ waiting, kind }: QueueEntry): number {
  if (kind === 'boosted') return -1;
  return 2 * PRIORITY_RANK[waiting.job.priority] + (kind === 'guaranteed' ? 0 : 1);
}

function lateness({ waiting }: QueueEntry): number {
  return waiting.slackMs < 0 ? 1 : 0;
}
