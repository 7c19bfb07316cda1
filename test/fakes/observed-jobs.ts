/** @file What the invariants know about each job, from users' requests and responses and from tasks on machines. */
import type { TimerClock } from './clock';
import { DependencyModel } from './dependency-model';
import type { Submission } from './submission-model';

/** A job as observed by users and machines. */
export interface ObservedJob {
  /** The first valid submission; undefined while there is none. */
  submission: Submission | undefined;
  readonly completed: Set<number>;
  /** The sequence number of the first response that confirmed the acceptance of the job. */
  acceptedOrder: number | undefined;
  /** The first final state that a response reported, and the sequence number of that response. */
  final: { state: string; order: number } | undefined;
  isCancelRequested: boolean;
  /** When a response first reported that the job is cancelled. */
  cancelledAt: number | undefined;
  lastResponseAt: number;
  hasStarted: boolean;
}

/** The job of a task. */
export const jobOf = (task: string): string => task.split('/')[0] ?? '';

/** The number of a task in its job. */
export const taskNumberOf = (task: string): number => Number(task.split('/')[1]);

/** All jobs that users' requests named. */
export class ObservedJobs {
  readonly #jobs = new Map<string, ObservedJob>();
  readonly dependencies = new DependencyModel(this.#jobs);

  constructor(private readonly clock: TimerClock) {}

  get(id: string): ObservedJob | undefined {
    return this.#jobs.get(id);
  }

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

  /** Records a valid submission if it is the first one of its job. */
  recordSubmission(id: string, submission: Submission): void {
    const job = this.getOrAdd(id);
    if (job.submission) return;
    job.submission = submission;
    this.dependencies.add(id);
  }

  /** Jobs whose acceptance a response confirmed. */
  get accepted(): string[] {
    return [...this.#jobs].filter(([, job]) => job.acceptedOrder !== undefined).map(([id]) => id);
  }

  /** Accepted jobs without a final state that no user's request (for the job or a dependency) may have cancelled. */
  get unfinished(): string[] {
    return this.accepted
      .filter((id) => this.#jobs.get(id)?.final === undefined)
      .filter((id) => !this.dependencies.isCancellationAllowed(id));
  }

  hasCompleted(task: string): boolean {
    return this.#jobs.get(jobOf(task))?.completed.has(taskNumberOf(task)) ?? false;
  }
}
