/** @file The placement queue of a round: jobs with waiting tasks, in the order in which they are placed. */
import { PRIORITY_RANK, type Job } from '../../protocol/model';
import type { TeamQuota } from './team-quota';

/** A job with waiting tasks, as a snapshot for one round. */
export interface WaitingJob {
  readonly job: Job;
  readonly waitingTasks: number;
  /** The number of the job's tasks that run, or may run, in each zone. */
  readonly tasksPerZone: ReadonlyMap<string, number>;
  /** How long the job's tasks can still wait without missing the due time; negative if the job is already late. */
  readonly slackMs: number;
  /** CPU seconds that the job's tasks still need. */
  readonly remainingCpuS: number;
  readonly machinesToAvoid: ReadonlySet<string>;
  /** The estimated run time of one of the job's tasks. */
  readonly expectedRunS: number;
  /** Whether the job has waited so long that it also gets a boosted queue entry. */
  readonly isBoosted: boolean;
  /** Whether any of the job's tasks has been issued or is done. */
  readonly hasStarted: boolean;
  /** Wall-clock time since which the job waits for machines: its submission, or the end of its last dependency. */
  readonly submittedAt: number;
}

/**
 * An entry of a job in the placement queue. `boosted`: placed first, within the share of the fleet that is reserved for
 * jobs that have waited longest. `guaranteed`: places only the tasks that still fit into the guarantee of the job's team.
 */
export interface QueueEntry {
  readonly waiting: WaitingJob;
  readonly kind: 'boosted' | 'guaranteed' | 'regular';
}

/**
 * Builds the queue in placement order. Boosted entries come first. The others are ordered by priority, then guaranteed
 * before regular ones. Of equal rank, jobs that can end in time come first, by the least slack. Late jobs follow, by
 * the least remaining work, because that serves most users. Boosted entries keep the largest late jobs from starving.
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

/** Orders boosted jobs: unstarted ones first, as a started job might use up its team's limit alone; then the oldest. */
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
