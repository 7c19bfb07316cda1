/** @file Finds jobs that wait though they could run. */
import type { TimerClock } from './clock';
import type { Invariants } from './invariants';

/** How long a job may wait while there is room for it. */
const WAIT_MS = 90_000;

/** How long each unfinished job has waited while something could have been done for it. */
export class StarvationDetector {
  readonly #since = new Map<string, number>();

  constructor(
    private readonly invariants: Invariants,
    private readonly clock: TimerClock,
    /** Machines with room for this job's next task, and whether this task is on its way on one of them. */
    private readonly cluster: { hasFreeCapacity(id: string): boolean; isStarting(task: string): boolean },
  ) {}

  /** To be called about once a second while no fault is active. */
  check(): void {
    const now = this.clock.now();
    const unfinished = new Set(this.invariants.unfinishedJobs);
    for (const id of [...this.#since.keys()]) if (!unfinished.has(id)) this.#since.delete(id);
    for (const id of unfinished) {
      const job = this.invariants.submissionOf(id);
      if (!job) continue;
      const waits = Array.from({ length: job.pieces }, (_, task) => `${id}/${task}`).some(
        (task) =>
          !this.invariants.hasCompleted(task) &&
          this.invariants.machineOf(task) === undefined &&
          !this.cluster.isStarting(task),
      );
      const fits = this.invariants.usedCpus(job.crew) + job.cpus <= this.invariants.cpuLimit(job.crew) + 1e-9;
      const isReady = this.invariants.areDependenciesDone(id);
      if (!isReady || !waits || !fits || !this.cluster.hasFreeCapacity(id)) this.#since.delete(id);
      else if (!this.#since.has(id)) this.#since.set(id, now);
      const since = this.#since.get(id);
      if (since !== undefined && now - since > WAIT_MS) {
        this.invariants.report('waits', `${id} waits for ${now - since} ms though there is room`);
        this.#since.set(id, Infinity);
      }
    }
  }
}
