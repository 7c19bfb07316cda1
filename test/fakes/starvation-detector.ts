/** @file Detects jobs that stay pending although there is free capacity for them. */
import type { TimerClock } from './clock';
import type { Invariants } from './invariants';

/** How long a job may be pending while there is free capacity for it. */
const MAX_WAIT_MS = 90_000;

/** Measures how long each unfinished job has had a pending task that could have started. */
export class StarvationDetector {
  readonly #waitingSince = new Map<string, number>();

  constructor(
    private readonly invariants: Invariants,
    private readonly clock: TimerClock,
    /** Whether a machine has free capacity for a job's next task, and whether a machine is starting a task. */
    private readonly cluster: { hasFreeCapacity(id: string): boolean; isStarting(task: string): boolean },
  ) {}

  /** Must be called about once a second while no fault is active. */
  check(): void {
    const now = this.clock.now();
    const unfinished = new Set(this.invariants.unfinishedJobs);
    for (const id of [...this.#waitingSince.keys()]) if (!unfinished.has(id)) this.#waitingSince.delete(id);
    for (const id of unfinished) {
      const job = this.invariants.submissionOf(id);
      if (!job) continue;
      const hasPendingTask = Array.from({ length: job.pieces }, (_, task) => `${id}/${task}`).some(
        (task) =>
          !this.invariants.hasCompleted(task) &&
          this.invariants.machineOf(task) === undefined &&
          !this.cluster.isStarting(task),
      );
      const isWithinTeamLimit =
        this.invariants.usedCpus(job.crew) + job.cpus <= this.invariants.cpuLimit(job.crew) + 1e-9;
      const isReady = this.invariants.areDependenciesDone(id);
      if (!isReady || !hasPendingTask || !isWithinTeamLimit || !this.cluster.hasFreeCapacity(id))
        this.#waitingSince.delete(id);
      else if (!this.#waitingSince.has(id)) this.#waitingSince.set(id, now);
      const since = this.#waitingSince.get(id);
      if (since !== undefined && now - since > MAX_WAIT_MS) {
        this.invariants.report('waits', `${id} waits for ${now - since} ms despite free capacity`);
        this.#waitingSince.set(id, Infinity);
      }
    }
  }
}
