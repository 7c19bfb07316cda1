import type { Job } from '../protocol/model';

const WEIGHT = 0.05;
const LEAST = 0.2;
const MOST = 5;

/** How long tasks really run against their owners' estimates, learned by class. */
export class Estimates {
  readonly #ratios = new Map<string, number>();

  learn(job: Job, ranS: number): void {
    const ratio = Math.min(MOST, Math.max(LEAST, ranS / job.estimateS));
    const before = this.#ratios.get(job.jobClass) ?? 1;
    this.#ratios.set(job.jobClass, before + WEIGHT * (ratio - before));
  }

  runS(job: Job): number {
    return job.estimateS * (this.#ratios.get(job.jobClass) ?? 1);
  }
}
