/** @file Waiting times and due times of the jobs of a shard. */
import type { ControllerContext } from '../controller-context';
import type { DispatchTable } from './dispatch-table';
import type { RunTimeEstimates } from './run-time-estimates';

/** A job without a deadline or an objective is due after this multiple of its tasks' estimated run time. */
const DEFAULT_DUE_RUN_TIMES = 4;

/** Due times of jobs: from their deadlines, the service-level objectives, and the jobs that depend on them. */
export class JobTiming {
  constructor(
    private readonly context: ControllerContext,
    private readonly runTimes: RunTimeEstimates,
  ) {}

  /** Time for which the job has been waiting for machines. */
  waitedMs(table: DispatchTable): number {
    return this.context.clock.date().getTime() - table.waitingSince;
  }

  /** Time for which the job's tasks can still wait without missing the job's due time, by their estimated run time. */
  slackMs(table: DispatchTable): number {
    return (
      this.#dueAt(table) - this.runTimes.runTimeS(table.job) * 1000 - this.context.clock.date().getTime()
    );
  }

  /**
   * Time left until a job with unassigned tasks misses its next wait objective; undefined if its class has none, or if
   * the job has missed them all.
   */
  startSlackMs(table: DispatchTable): number | undefined {
    const waitedMs = this.waitedMs(table);
    let minLeftMs: number | undefined;
    for (const { kind, class: jobClass, within_s } of this.context.settings.platform.deployment.objectives) {
      if (kind !== 'wait' || jobClass !== table.job.jobClass || within_s === undefined) continue;
      const leftMs = within_s * 1000 - waitedMs;
      if (leftMs > 0) minLeftMs = Math.min(minLeftMs ?? Infinity, leftMs);
    }
    return minLeftMs;
  }

  /**
   * Wall-clock time by which a job should be done: the earlier of its own due time (deadline or objective of its class)
   * and the latest finish time that lets its dependents meet their due times. Without either, a default applies.
   */
  #dueAt(table: DispatchTable): number {
    const chainDueAt = this.context.chainUrgency.of(table.job.id)?.latestFinishAt;
    const ownDueAt = this.#ownDueAt(table);
    if (ownDueAt !== undefined) return Math.min(ownDueAt, chainDueAt ?? Infinity);
    const defaultDueAt =
      table.waitingSince + DEFAULT_DUE_RUN_TIMES * this.runTimes.runTimeS(table.job) * 1000;
    return chainDueAt ?? defaultDueAt;
  }

  #ownDueAt({ job, submittedAt, waitingSince }: DispatchTable): number | undefined {
    if (job.deadlineS !== null) return submittedAt + job.deadlineS * 1000;
    const { objectives } = this.context.settings.platform.deployment;
    const withinS = objectives.find((o) => o.kind === 'finished' && o.class === job.jobClass)?.within_s;
    return withinS === undefined ? undefined : waitingSince + withinS * 1000;
  }
}
