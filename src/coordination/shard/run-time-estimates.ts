/** @file Corrects the users' run time estimates by measured run times. */
import type { Job } from '../../protocol/model';

/** Weight of the newest task in the moving average of a job class's ratios. */
const SMOOTHING_FACTOR = 0.05;
/** The most classes whose ratio is kept; the one that learned least recently is forgotten first. */
const MAX_CLASSES = 500;
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
    this.#ratios.delete(job.jobClass);
    this.#ratios.set(job.jobClass, previous + SMOOTHING_FACTOR * (ratio - previous));
    const oldest = this.#ratios.keys().next().value;
    if (this.#ratios.size > MAX_CLASSES && oldest !== undefined) this.#ratios.delete(oldest);
  }

  /** The number of classes whose ratio is kept. */
  get classes(): number {
    return this.#ratios.size;
  }

  /** The expected run time of a task of the job, in seconds. */
  runTimeS(job: Job): number {
    return job.estimateS * (this.#ratios.get(job.jobClass) ?? 1);
  }
}
