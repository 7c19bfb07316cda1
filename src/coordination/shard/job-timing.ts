/** @file How long the jobs of a shard have waited, and how long they can still wait and be in time. */
import type { ControllerContext } from '../controller-context';
import type { DispatchTable } from './dispatch-table';
import type { RunTimeEstimates } from './run-time-estimates';

/** A job without an objective or a deadline should be done within so many times its tasks' run time. */
const USUAL_RUNS = 4;

/** Due times of jobs: from their deadlines, the service-level objectives, and the jobs that depend on them. */
export class JobTiming {
  constructor(
    private readonly context: ControllerContext,
    private readonly runTimes: RunTimeEstimates,
  ) {}

  /** How long the job has waited for machines. */
  waitedMs(table: DispatchTable): number {
    return this.context.clock.date().getTime() - table.waitingSince;
  }

  /** How long the job's tasks can still wait and be in time, as far as estimates tell. */
  slackMs(table: DispatchTable): number {
    return (
      this.#dueAt(table) - this.runTimes.runTimeS(table.job) * 1000 - this.context.clock.date().getTime()
    );
  }

  /**
   * How long a job that has tasks waiting can still wait and start in time, by the objectives for its class; undefined
   * when there is none that it can still reach.
   */
  startSlackMs(table: DispatchTable): number | undefined {
    const ageMs = this.waitedMs(table);
    let least: number | undefined;
    for (const { kind, class: jobClass, within_s } of this.context.settings.platform.deployment.objectives) {
      if (kind !== 'wait' || jobClass !== table.job.jobClass || within_s === undefined) continue;
      const left = within_s * 1000 - ageMs;
      if (left > 0) least = Math.min(least ?? Infinity, left);
    }
    return least;
  }

  /**
   * When a job should be done, on the time-of-day clock: its deadline, what the objectives say of its class, or the
   * latest end that lets the jobs which depend on it be in time.
   */
  #dueAt(table: DispatchTable): number {
    const chainDueAt = this.context.chainUrgency.of(table.job.id)?.latestFinishAt;
    const ownDueAt = this.#ownDueAt(table);
    if (ownDueAt !== undefined) return Math.min(ownDueAt, chainDueAt ?? Infinity);
    const usualDueAt = table.waitingSince + USUAL_RUNS * this.runTimes.runTimeS(table.job) * 1000;
    return chainDueAt ?? usualDueAt;
  }

  #ownDueAt({ job, submittedAt, waitingSince }: DispatchTable): number | undefined {
    if (job.deadlineS !== null) return submittedAt + job.deadlineS * 1000;
    const { objectives } = this.context.settings.platform.deployment;
    const within = objectives.find((o) => o.kind === 'finished' && o.class === job.jobClass)?.within_s;
    return within === undefined ? undefined : waitingSince + within * 1000;
  }
}
