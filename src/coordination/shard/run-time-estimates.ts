/** @file Learns how long tasks run compared with what users estimated. */
import type { Job } from '../../protocol/model';

/** Weight of the newest task in the moving average. */
const WEIGHT = 0.05;
/** Bounds on the ratio of run time to estimate, against outliers. */
const MIN_RATIO = 0.2;
const MAX_RATIO = 5;

/** Ratios of the measured run time to the users' estimates, learned for each job class as a moving average. */
export class RunTimeEstimates {
  readonly #ratios = new Map<string, number>();

  /** Takes in how long a task of the job ran. */
  learn(job: Job, elapsedS: number): void {
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, elapsedS / job.estimateS));
    const before = this.#ratios.get(job.jobClass) ?? 1;
    this.#ratios.set(job.jobClass, before + WEIGHT * (ratio - before));
  }

  /** The expected run time of a task of the job, in seconds. */
  runTimeS(job: Job): number {
    return job.estimateS * (this.#ratios.get(job.jobClass) ?? 1);
  }
}
