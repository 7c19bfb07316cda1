/** @file The tasks of one job that failed since the last one that succeeded, and what follows from them. */

const FIRST_PAUSE_MS = 2_000;
const MAX_PAUSE_MS = 60_000;
const MAX_DOUBLINGS = 10;
/** On so many machines a job has to fail before it is retried with pauses. */
const MACHINES_TO_PAUSE_JOB = 2;
/** A job that failed on so many machines, and succeeded on none, is assumed to be at fault itself. */
const MACHINES_TO_BLAME_JOB = 3;
/**
 * How long a machine that failed a task of the job gets no more of it. With no end to it the job might never go on:
 * there may be no other machine.
 */
const AVOID_MS = 60_000;
const NONE: ReadonlySet<string> = new Set();

/** Failures of one job's tasks in a row, and the machines that they were on. */
export class JobFailures {
  /** When a task last failed on each machine. */
  readonly #failedAt = new Map<string, number>();
  #count = 0;

  /** A task failed on the machine. */
  add(machine: string, now: number): void {
    this.#failedAt.set(machine, now);
    this.#count += 1;
  }

  /** A task succeeded. */
  clear(): void {
    this.#failedAt.clear();
    this.#count = 0;
  }

  /** How long to pause after the latest failure; 0 while a single machine may be to blame. */
  get pauseMs(): number {
    if (this.#failedAt.size < MACHINES_TO_PAUSE_JOB) return 0;
    const doublings = Math.min(this.#count - MACHINES_TO_PAUSE_JOB, MAX_DOUBLINGS);
    return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** doublings);
  }

  /** Whether they were on so many machines that the job itself seems to be at fault, if it succeeded on none. */
  get areOnManyMachines(): boolean {
    return this.#failedAt.size >= MACHINES_TO_BLAME_JOB;
  }

  /** Machines that get no task of the job now. */
  machinesToAvoid(now: number): ReadonlySet<string> {
    if (this.#failedAt.size === 0) return NONE;
    return new Set([...this.#failedAt].filter(([, at]) => now - at < AVOID_MS).map(([machine]) => machine));
  }
}
