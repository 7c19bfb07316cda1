/** @file The tasks that failed on a machine since the last one that succeeded. */

/** Failures in a row on one machine, and the jobs that they were of. */
export class FailureStreak {
  readonly #jobs = new Set<string>();
  #length = 0;

  /** How many tasks failed in a row. */
  get length(): number {
    return this.#length;
  }

  /** Of how many different jobs they were. */
  get jobCount(): number {
    return this.#jobs.size;
  }

  /** A task of the job failed. */
  add(job: string): void {
    this.#length += 1;
    this.#jobs.add(job);
  }

  /** A task succeeded. */
  clear(): void {
    this.#length = 0;
    this.#jobs.clear();
  }
}
