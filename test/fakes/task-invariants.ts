/** @file Invariants of tasks on machines: single execution, placement constraints, team limits, and cancellation. */
import type { TimerClock } from './clock';
import { jobOf, taskNumberOf, type ObservedJobs } from './observed-jobs';
import type { Submission } from './submission-model';
import type { Violations } from './violations';

/** Tolerance for sums of CPUs. */
const EPSILON = 1e-9;

/** A machine as the cloud describes it. */
export interface MachineDescription {
  readonly type: string;
  readonly zone: string;
  readonly isSpot: boolean;
}

/** The limits and machine descriptions that tasks are checked against. */
export interface TaskLimits {
  /** Seconds that tasks of a cancelled job may still run after the cancellation was confirmed. */
  readonly cancelS: number;
  /** CPUs that a team's tasks may use at once; Infinity for a team without a limit. */
  readonly limits: ReadonlyMap<string, number>;
  machine(id: string): MachineDescription | undefined;
}

/** Checks the running tasks, as the fake machines report them. */
export class TaskInvariants {
  /** Task starts within `cancelS` after a confirmed cancellation: undesired, but no violation. */
  readonly startsAfterCancellation: string[] = [];
  readonly #machineOf = new Map<string, string>();

  constructor(
    private readonly clock: TimerClock,
    private readonly limits: TaskLimits,
    private readonly jobs: ObservedJobs,
    private readonly violations: Violations,
  ) {}

  machineOf(task: string): string | undefined {
    return this.#machineOf.get(task);
  }

  get runningTasks(): string[] {
    return [...this.#machineOf.keys()];
  }

  onStarted(task: string, machine: string): void {
    const other = this.#machineOf.get(task);
    if (other !== undefined) this.violations.report('ran_twice', `${task} on ${other} and ${machine}`);
    this.#machineOf.set(task, machine);
    const id = jobOf(task);
    const job = this.jobs.get(id);
    this.#checkCancelled(id, task, machine);
    if (!job?.submission) return;
    job.hasStarted = true;
    this.checkDependencies(id, `${task} starts on ${machine}`);
    this.#checkPlacement(job.submission, task, machine);
    this.#checkLimit(job.submission.crew);
  }

  onLeft(task: string, machine: string): void {
    if (this.#machineOf.get(task) === machine) this.#machineOf.delete(task);
  }

  onCompleted(task: string): void {
    this.jobs.getOrAdd(jobOf(task)).completed.add(taskNumberOf(task));
  }

  /** Checks that all dependencies of a job are done. */
  checkDependencies(id: string, event: string): void {
    const missing = this.jobs.dependencies.unfinishedDependency(id);
    if (missing !== undefined) this.violations.report('too_early', `${event}, and ${missing} isn't done`);
  }

  /** Checks that no task of these jobs runs; called when the time limit for their cancellation has passed. */
  checkStopped(ids: ReadonlySet<string>): void {
    for (const [task, machine] of this.#machineOf) {
      if (!ids.has(jobOf(task))) continue;
      this.violations.report('ran_cancelled', `${task} is on ${machine} after ${this.limits.cancelS} s`);
    }
  }

  /** CPUs that the running tasks of a team use. */
  usedCpus(team: string): number {
    let sum = 0;
    for (const task of this.#machineOf.keys()) {
      const submission = this.jobs.get(jobOf(task))?.submission;
      if (submission?.crew === team) sum += submission.cpus;
    }
    return sum;
  }

  cpuLimit(team: string): number {
    return this.limits.limits.get(team) ?? Infinity;
  }

  /** The constraint that another task of the job would violate on this machine; the task `besides` is ignored. */
  placementViolation(id: string, machineId: string, besides?: string): string | undefined {
    const job = this.jobs.get(id)?.submission;
    const machine = this.limits.machine(machineId);
    if (!job || !machine) return undefined;
    if (job.frames && !job.frames.includes(machine.type)) return `type ${machine.type}`;
    if (job.yard && job.yard !== machine.zone) return `zone ${machine.zone}`;
    if (!job.loaners && machine.isSpot) return 'a spot machine';
    return this.#zoneViolation(job, machine.zone, this.#zonesOf(id, besides));
  }

  #zonesOf(id: string, besides: string | undefined): (string | undefined)[] {
    return [...this.#machineOf]
      .filter(([task]) => jobOf(task) === id && task !== besides)
      .map(([, machine]) => this.limits.machine(machine)?.zone);
  }

  #zoneViolation(
    job: Submission,
    zone: string,
    otherZones: readonly (string | undefined)[],
  ): string | undefined {
    if (job.together && otherZones.some((other) => other !== zone)) return 'not together';
    const count = otherZones.filter((other) => other === zone).length + 1;
    if (job.apart && count > Math.ceil(job.pieces / 2)) return `${count} of ${job.pieces} in one zone`;
    return undefined;
  }

  #checkCancelled(id: string, task: string, machine: string): void {
    const cancelledAt = this.jobs.get(id)?.cancelledAt ?? this.jobs.dependencies.ancestorCancelledAt(id);
    if (cancelledAt === undefined) return;
    if (this.clock.now() > cancelledAt + this.limits.cancelS * 1000) {
      this.violations.report('ran_cancelled', `${task} starts on ${machine}`);
    } else {
      this.startsAfterCancellation.push(`${task} on ${machine}`);
    }
  }

  #checkPlacement(job: Submission, task: string, machine: string): void {
    const number = taskNumberOf(task);
    if (!(number >= 0 && number < job.pieces)) this.violations.report('wrong_place', `${task}: no such task`);
    const violation = this.placementViolation(jobOf(task), machine, task);
    if (violation !== undefined) this.violations.report('wrong_place', `${task} on ${machine}: ${violation}`);
  }

  #checkLimit(team: string): void {
    const used = this.usedCpus(team);
    const limit = this.cpuLimit(team);
    if (used > limit + EPSILON) this.violations.report('quota', `${team} uses ${used} of ${limit}`);
  }
}
