/** @file Evicts the tasks of spot machines that the cloud is about to take back. */
import type { Job } from '../../protocol/model';
import type { AttemptManager } from '../shard/attempt-manager';
import type { Shard } from '../shard/shard';
import { jobOccupyingResources, remainingRunS } from './machine-snapshot';

/** Time that must be left between the planned end of a task or of its saving and the end of the machine. */
const NOTICE_MARGIN_MS = 1_500;

/** A task on a machine that the cloud takes back. */
export interface TaskUnderSpotNotice {
  readonly job: Job;
  /** It runs at this moment, so it can still end or save in time; while it fetches its image it has done nothing yet. */
  readonly isRunning: boolean;
  /** How long it will run on, as far as estimates tell. */
  readonly remainingMs: number;
  /** How long the machine still lives. */
  readonly noticeMs: number;
}

/** What becomes of a task under notice: it continues for now, or is evicted with time to save. */
export type SpotNoticeAction = { kind: 'continue' } | { kind: 'evict'; graceS: number };

/** Decides whether a task under notice is evicted now. */
export function spotNoticeAction(task: TaskUnderSpotNotice): SpotNoticeAction {
  const { job, isRunning, remainingMs, noticeMs } = task;
  if (isRunning && remainingMs < noticeMs - NOTICE_MARGIN_MS) return { kind: 'continue' };
  const graceS = job.checkpointS > 0 && isRunning ? job.saveS : 0;
  // A task that can save works on until just before it must; any other is issued again at once.
  if (graceS > 0 && noticeMs > job.saveS * 1000 + 2 * NOTICE_MARGIN_MS) return { kind: 'continue' };
  return { kind: 'evict', graceS };
}

/** Drains all machines under notice, and evicts those of their tasks that must go now. */
export function evictBeforeSpotNotices(shard: Shard, attempts: AttemptManager, now: number): void {
  for (const machine of shard.machines.values()) {
    if (machine.spotNoticeDeadline === undefined) continue;
    machine.drain('spot notice');
    for (const attempt of machine.attempts.values()) {
      const job = jobOccupyingResources(shard, attempt);
      if (!job || attempt.eviction) continue;
      const decision = spotNoticeAction({
        job,
        isRunning: attempt.phase === 'running',
        remainingMs: remainingRunS(shard, attempt, job, now) * 1000,
        noticeMs: machine.spotNoticeDeadline - now,
      });
      if (decision.kind === 'evict') attempts.evict(machine, attempt, decision.graceS);
    }
  }
}
