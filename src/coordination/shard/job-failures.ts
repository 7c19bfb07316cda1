/** @file Consecutive task failures of one job: its retry pauses, and the machines that it avoids. */

const FIRST_PAUSE_MS = 2_000;
const MAX_PAUSE_MS = 60_000;
const MAX_DOUBLINGS = 10;
/** Number of machines on which a job's tasks have to fail before the job is retried with pauses. */
const MACHINES_TO_PAUSE_JOB = 2;
/** A job is assumed to be faulty itself if its tasks failed on this many machines and none has completed. */
const MACHINES_TO_BLAME_JOB = 3;
/**
 * Time for which the job avoids a machine on which one of its tasks failed. The time is limited, because a job for
 * which there is no other machine would otherwise never continue.
 */
const AVOID_MACHINE_MS = 60_000;
/** The most machines on which failures of one job are remembered, the latest ones. */
const MAX_MACHINES = 200;
const NONE: ReadonlySet<string> = new Set();

/** Tracks the failures of a job's tasks since one last succeeded, to determine its pauses and machines to avoid. */
export class JobFailures {
  /** Monotonic time of the last failure of a task, by machine id. */
  readonly #failedAt = new Map<string, number>();
  #count = 0;

  /** Records the failure of a task on the machine. */
  add(machine: string, now: number): void {
    this.#failedAt.delete(machine);
    this.#failedAt.set(machine, now);
    const oldest = this.#failedAt.keys().next().value;
    if (this.#failedAt.size > MAX_MACHINES && oldest !== undefined) this.#failedAt.delete(oldest);
    this.#count += 1;
  }

  /** Clears the failures after a task succeeded. */
  clear(): void {
    this.#failedAt.clear();
    this.#count = 0;
  }

  /** Pause after the latest failure; 0 while all failures were on one machine, because that machine may be faulty. */
  get pauseMs(): number {
    if (this.#failedAt.size < MACHINES_TO_PAUSE_JOB) return 0;
    const doublings = Math.min(this.#count - MACHINES_TO_PAUSE_JOB, MAX_DOUBLINGS);
    return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** doublings);
  }

  /** Whether the failures were on so many machines that the job itself is likely faulty if it has no completed task. */
  get areOnManyMachines(): boolean {
    return this.#failedAt.size >= MACHINES_TO_BLAME_JOB;
  }

  /** Machines on which a task of the job failed recently. */
  machinesToAvoid(now: number): ReadonlySet<string> {
    if (this.#failedAt.size === 0) return NONE;
    return new Set(
      [...this.#failedAt].filter(([, at]) => now - at < AVOID_MACHINE_MS).map(([machine]) => machine),
    );
  }
}
