/** @file Corrects the users' run time estimates by measured run times. */
import type { Job } from '../../protocol/model';

/** Weight of the newest task in the moving average of a job class's ratios. */
const SMOOTHING_FACTOR = 0.05;
/** Bounds on the ratio of measured to estimated run time, which limit the effect of outliers. */
const MIN_RATIO = 0.2;
const MAX_RATIO = 5;

/** Corrects estimates by the ratio of measured to estimated run time, an exponential moving average per job class. */
export class RunTimeEstimates {
  readonly #ratios = new Map<string, number>();

  /** Updates the ratio of the job's class with the run time of one task. */
  learn(job: Job, elapsedS: number): void {
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, elapsedS / job.estimateS));
    const previous = this.#ratios.get(job.jobClass) ?? 1;
    this.#ratios.set(job.jobClass, previous + SMOOTHING_FACTOR * (ratio - previous));
  }

  /** The expected run time of a task of the job, in seconds. */
  runTimeS(job: Job): number {
    return job.estimateS * (this.#ratios.get(job.jobClass) ?? 1);
  }
}
