/** @file The invariants of the protocol, checked from outside the controllers throughout every simulated test. */
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

/** Checks every task start and end on machines, and every response to a user. */
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

  /** Adds a violation that another check found. */
  report(kind: ViolationKind, what: string): void {
    this.#violations.report(kind, what);
  }

  /** Task starts after a confirmed cancellation but within its time limit: undesired, but no violation. */
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

  /** Records that a user sent a request. Returns a function to call with the response when it arrives. */
  onRequest(request: Request): (answer: HttpResponse) => void {
    return this.#answers.onRequest(request);
  }

  /** The machine that currently runs a task. */
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

  /** The placement constraint that another task of the job would violate on this machine. */
  placementViolation(id: string, machine: string): string | undefined {
    return this.#tasks.placementViolation(id, machine);
  }

  /** Accepted jobs without a final state that no user's request (for the job or a dependency) may have cancelled. */
  get unfinishedJobs(): string[] {
    return this.#jobs.unfinished;
  }

  /** Jobs whose acceptance a response confirmed. */
  get acceptedJobs(): string[] {
    return this.#jobs.accepted;
  }

  submissionOf(id: string): Submission | undefined {
    return this.#jobs.get(id)?.submission;
  }

  areDependenciesDone(id: string): boolean {
    return this.#jobs.dependencies.unfinishedDependency(id) === undefined;
  }

  isCancellationRequested(id: string): boolean {
    return this.#jobs.get(id)?.isCancelRequested ?? false;
  }

  /** The first final state that a response reported. */
  finalState(id: string): string | undefined {
    return this.#jobs.get(id)?.final?.state;
  }

  hasCompleted(task: string): boolean {
    return this.#jobs.hasCompleted(task);
  }

  /** When a user last received a successful response about the job; initially when the job was first named. */
  lastResponseAt(id: string): number {
    return this.#jobs.get(id)?.lastResponseAt ?? this.clock.now();
  }

  /** Why a submission must be rejected; undefined if it may be accepted. */
  rejectionReason(body: unknown): string | undefined {
    return this.#submissions.rejectionReason(body);
  }
}
