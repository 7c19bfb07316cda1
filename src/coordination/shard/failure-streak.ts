/** @file Counts consecutive task failures on a machine. */

/** Counts the task failures on a machine since a task last succeeded there, and the jobs that they belong to. */
export class FailureStreak {
  readonly #jobs = new Set<string>();
  #length = 0;

  /** Number of consecutive task failures on the machine. */
  get length(): number {
    return this.#length;
  }

  /** Number of different jobs whose tasks failed in the streak. */
  get jobCount(): number {
    return this.#jobs.size;
  }

  /** Counts a failed task of the job. */
  add(job: string): void {
    this.#length += 1;
    this.#jobs.add(job);
  }

  /** Ends the streak after a task succeeded. */
  clear(): void {
    this.#length = 0;
    this.#jobs.clear();
  }
}
