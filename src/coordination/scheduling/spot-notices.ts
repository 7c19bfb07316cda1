/** @file Evicts the tasks on spot machines that received a spot interruption notice. */
import type { Job } from '../../protocol/model';
import type { AttemptManager } from '../shard/attempt-manager';
import type { Shard } from '../shard/shard';
import { jobOccupyingResources, remainingRunS } from './machine-snapshot';

/** The least time between the expected end of a task, or of its checkpoint, and the interruption. */
const NOTICE_MARGIN_MS = 1_500;

/** A task on a machine that received a spot interruption notice. */
export interface TaskUnderSpotNotice {
  readonly job: Job;
  /** Whether the task is running. While it still fetches its image, it can neither end nor write a checkpoint in time. */
  readonly isRunning: boolean;
  /** The estimated remaining run time. */
  readonly remainingMs: number;
  /** The time until the cloud terminates the machine. */
  readonly untilInterruptionMs: number;
}

/** Whether the task continues for now, or is evicted with a grace period for writing a checkpoint. */
export type SpotNoticeAction = { kind: 'continue' } | { kind: 'evict'; graceS: number };

/** Decides whether a task on a machine with a spot interruption notice is evicted now. */
export function spotNoticeAction(task: TaskUnderSpotNotice): SpotNoticeAction {
  const { job, isRunning, remainingMs, untilInterruptionMs } = task;
  if (isRunning && remainingMs < untilInterruptionMs - NOTICE_MARGIN_MS) return { kind: 'continue' };
  const graceS = job.checkpointS > 0 && isRunning ? job.saveS : 0;
  // A task that can write a checkpoint runs on until it has to begin writing. A task that can't is re-issued at once.
  if (graceS > 0 && untilInterruptionMs > job.saveS * 1000 + 2 * NOTICE_MARGIN_MS)
    return { kind: 'continue' };
  return { kind: 'evict', graceS };
}

/** Drains all machines with a spot interruption notice, and evicts those of their tasks that must not continue. */
export function evictBeforeSpotNotices(shard: Shard, attempts: AttemptManager, now: number): void {
  for (const machine of shard.machines.values()) {
    if (machine.spotNoticeDeadline === undefined) continue;
    machine.drain('spot notice');
    for (const attempt of machine.attempts.values()) {
      const job = jobOccupyingResources(shard, attempt);
      if (!job || attempt.eviction) continue;
      const action = spotNoticeAction({
        job,
        isRunning: attempt.phase === 'running',
        remainingMs: remainingRunS(shard, attempt, job, now) * 1000,
        untilInterruptionMs: machine.spotNoticeDeadline - now,
      });
      if (action.kind === 'evict') attempts.evict(machine, attempt, action.graceS);
    }
  }
}
