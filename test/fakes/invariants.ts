/** @file The invariants of the protocol, checked from outside the controllers throughout every scenario. */
import type { HttpResponse } from '../../src/transport/http-client';
import { ResponseInvariants } from './response-invariants';
import type { TimerClock } from './clock';
import type { Request } from './network';
import { ObservedJobs } from './observed-jobs';
import { SubmissionModel, type MachineType, type Submission } from './submission-model';
import { TaskInvariants, type TaskLimits } from './task-invariants';
import { Violations, type ViolationKind } from './violations';

/** The deployment whose invariants are checked. */
export interface CheckedDeployment extends TaskLimits {
  readonly types: readonly MachineType[];
}

/** Checks what happens on machines, and every answer that a user gets. */
export class Invariants {
  readonly #violations: Violations;
  readonly #jobs: ObservedJobs;
  readonly #submissions: SubmissionModel;
  readonly #tasks: TaskInvariants;
  readonly #answers: ResponseInvariants;

  constructor(
    private readonly clock: TimerClock,
    deployment: CheckedDeployment,
  ) {
    const violations = new Violations(clock);
    const jobs = new ObservedJobs(clock);
    const submissions = new SubmissionModel(deployment, (id) => jobs.get(id)?.submission !== undefined);
    const tasks = new TaskInvariants(clock, deployment, jobs, violations);
    const { cancelS } = deployment;
    this.#violations = violations;
    this.#jobs = jobs;
    this.#submissions = submissions;
    this.#tasks = tasks;
    this.#answers = new ResponseInvariants({ clock, cancelS, jobs, submissions, tasks, violations });
  }

  get violations(): string[] {
    return this.#violations.all;
  }

  /** Reports a violation that was found elsewhere. */
  report(kind: ViolationKind, what: string): void {
    this.#violations.report(kind, what);
  }

  /** Starts after a confirmed cancellation that are no violation yet. */
  get startsAfterCancellation(): string[] {
    return this.#tasks.startsAfterCancellation;
  }

  onTaskStarted(task: string, machine: string): void {
    this.#tasks.onStarted(task, machine);
  }

  onTaskLeft(task: string, machine: string): void {
    this.#tasks.onLeft(task, machine);
  }

  onTaskCompleted(task: string): void {
    this.#tasks.onCompleted(task);
  }

  /** A user's request leaves; the function that is returned is to be called with its answer, when that arrives. */
  onRequest(request: Request): (answer: HttpResponse) => void {
    return this.#answers.onRequest(request);
  }

  /** The machine that runs a task at this moment. */
  machineOf(task: string): string | undefined {
    return this.#tasks.machineOf(task);
  }

  get runningTasks(): string[] {
    return this.#tasks.runningTasks;
  }

  /** CPUs that the running tasks of a team use. */
  usedCpus(team: string): number {
    return this.#tasks.usedCpus(team);
  }

  cpuLimit(team: string): number {
    return this.#tasks.cpuLimit(team);
  }

  /** Which constraint a job's next task would violate on this machine. */
  placementViolation(id: string, machine: string): string | undefined {
    return this.#tasks.placementViolation(id, machine);
  }

  /** Jobs that were accepted, are not final, and of which neither they nor a dependency was asked to be cancelled. */
  get unfinishedJobs(): string[] {
    return this.#jobs.unfinished;
  }

  /** Every job that some answer said is known. */
  get acceptedJobs(): string[] {
    return this.#jobs.accepted;
  }

  submissionOf(id: string): Submission | undefined {
    return this.#jobs.get(id)?.submission;
  }

  /** Whether all dependencies of the job are done. */
  areDependenciesDone(id: string): boolean {
    return this.#jobs.dependencies.unfinishedDependency(id) === undefined;
  }

  isCancellationRequested(id: string): boolean {
    return this.#jobs.get(id)?.isCancelRequested ?? false;
  }

  /** The final state that was answered. */
  finalState(id: string): string | undefined {
    return this.#jobs.get(id)?.final?.state;
  }

  hasCompleted(task: string): boolean {
    return this.#jobs.hasCompleted(task);
  }

  /** When a user last got an answer that knows the job; from its first submission on. */
  lastResponseAt(id: string): number {
    return this.#jobs.get(id)?.lastResponseAt ?? this.clock.now();
  }

  /** Why a submission may not be accepted. */
  rejectionReason(body: unknown): string | undefined {
    return this.#submissions.rejectionReason(body);
  }
}
