/** @file What the invariants know of each job, from users' requests and answers and from tasks on machines. */
import type { TimerClock } from './clock';
import { DependencyModel } from './dependency-model';
import type { Submission } from './submission-model';

/** A job as users and machines saw it. */
export interface ObservedJob {
  /** What its user submitted first; undefined: no submission that can run was sent. */
  submission: Submission | undefined;
  readonly completed: Set<number>;
  /** The order of the first answer that said that it is known. */
  acceptedOrder: number | undefined;
  /** The first final state that was answered, and the order of that answer. */
  final: { state: string; order: number } | undefined;
  isCancelRequested: boolean;
  /** When it was first answered that it is cancelled. */
  cancelledAt: number | undefined;
  lastResponseAt: number;
  hasStarted: boolean;
}

/** The job of a task. */
export const jobOf = (task: string): string => task.split('/')[0] ?? '';

/** The number of a task in its job. */
export const taskNumberOf = (task: string): number => Number(task.split('/')[1]);

/** All jobs that users named. */
export class ObservedJobs {
  readonly #jobs = new Map<string, ObservedJob>();
  readonly dependencies = new DependencyModel(this.#jobs);

  constructor(private readonly clock: TimerClock) {}

  get(id: string): ObservedJob | undefined {
    return this.#jobs.get(id);
  }

  /** The job, which is known from now on. */
  getOrAdd(id: string): ObservedJob {
    const existing = this.#jobs.get(id);
    if (existing) return existing;
    const job: ObservedJob = {
      submission: undefined,
      completed: new Set<number>(),
      acceptedOrder: undefined,
      final: undefined,
      isCancelRequested: false,
      cancelledAt: undefined,
      lastResponseAt: this.clock.now(),
      hasStarted: false,
    };
    this.#jobs.set(id, job);
    return job;
  }

  /** Keeps a submission that can run, if it is the first of its job. */
  recordSubmission(id: string, submission: Submission): void {
    const job = this.getOrAdd(id);
    if (job.submission) return;
    job.submission = submission;
    this.dependencies.add(id);
  }

  /** Every job that some answer said is known. */
  get accepted(): string[] {
    return [...this.#jobs].filter(([, job]) => job.acceptedOrder !== undefined).map(([id]) => id);
  }

  /** Jobs that were accepted, are not final, and of which neither they nor a dependency was asked to be cancelled. */
  get unfinished(): string[] {
    return this.accepted
      .filter((id) => this.#jobs.get(id)?.final === undefined)
      .filter((id) => !this.dependencies.isCancellationAllowed(id));
  }

  hasCompleted(task: string): boolean {
    return this.#jobs.get(jobOf(task))?.completed.has(taskNumberOf(task)) ?? false;
  }
}
