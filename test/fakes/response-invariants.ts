/** @file Invariants of the answers that users get: nothing is forgotten, invented or taken back. */
import type { HttpResponse } from '../../src/transport/http-client';
import type { TimerClock } from './clock';
import type { Request } from './network';
import type { ObservedJob, ObservedJobs } from './observed-jobs';
import type { Submission, SubmissionModel } from './submission-model';
import type { TaskInvariants } from './task-invariants';
import type { Violations } from './violations';

/** Final states, in the words of the wire. */
const DONE = 'done';
const CANCELLED = 'withdrawn';

/** A user's request, for what its answer may say. */
interface SentRequest {
  /** Its method and path. */
  readonly description: string;
  readonly order: number;
  readonly at: number;
  /** Whether 400 and 422 are right even for a job that is known. */
  readonly isRejectionAllowed: boolean;
}

/** What the answers are checked with. */
export interface ResponseInvariantsContext {
  readonly clock: TimerClock;
  /** Seconds that jobs may go on after they or a dependency were cancelled. */
  readonly cancelS: number;
  readonly jobs: ObservedJobs;
  readonly submissions: SubmissionModel;
  readonly tasks: TaskInvariants;
  readonly violations: Violations;
}

const isSuccess = ({ status }: HttpResponse): boolean => status === 200 || status === 201;

/**
 * Checks every answer that a user gets. An answer counts from when it arrives, a request from when it was sent: only an
 * answer to a request that was sent after another answer had arrived can contradict that one.
 */
export class ResponseInvariants {
  #order = 0;

  constructor(private readonly context: ResponseInvariantsContext) {}

  /** A user's request leaves; the function that is returned is to be called with its answer, when that arrives. */
  onRequest(request: Request): (response: HttpResponse) => void {
    this.#order += 1;
    const [, head = '', id = '', verb = ''] = request.path.split('/');
    if (head !== 'work') return () => undefined;
    if (request.method === 'POST' && id === '') return this.#onSubmission(request);
    const job = this.context.jobs.getOrAdd(id);
    if (verb === 'withdraw') job.isCancelRequested = true;
    const sent = this.#sent(request, false);
    return (response) => {
      this.#order += 1;
      this.#check(id, response, sent);
    };
  }

  #sent({ method, path }: Request, isRejectionAllowed: boolean): SentRequest {
    return {
      description: `${method} ${path}`,
      order: this.#order,
      at: this.context.clock.now(),
      isRejectionAllowed,
    };
  }

  #onSubmission(request: Request): (response: HttpResponse) => void {
    const { jobs, submissions, violations } = this.context;
    const { body } = request;
    const id = (body as { nameId?: unknown } | null)?.nameId;
    const rejection = submissions.rejectionReason(body);
    if (typeof id !== 'string') {
      return (response) => {
        if (isSuccess(response)) violations.report('bad_accepted', 'a submission without an id');
      };
    }
    jobs.getOrAdd(id);
    if (rejection === undefined) jobs.recordSubmission(id, body as Submission);
    // A job that was accepted is known, whatever the dependencies in a repetition of its submission.
    const isRejectionAllowed = submissions.rejectionReasonIgnoringDependencies(body) !== undefined;
    const sent = this.#sent(request, isRejectionAllowed);
    const areDependenciesAccepted =
      rejection === undefined && this.#dependsOnlyOnAccepted(body as Submission);
    return (response) => {
      this.#order += 1;
      this.#checkAcceptance(id, response, rejection);
      if (response.status === 422 && areDependenciesAccepted) {
        violations.report('forgotten', `${id} gets 422, though all that it names is known`);
      }
      this.#check(id, response, sent);
    };
  }

  /** Whether a submission names jobs, all of which were accepted by the answers to their users. */
  #dependsOnlyOnAccepted({ awaits }: Submission): boolean {
    if (!awaits || awaits.length === 0) return false;
    return awaits.every((id) => this.context.jobs.get(id)?.acceptedOrder !== undefined);
  }

  #checkAcceptance(id: string, response: HttpResponse, rejection: string | undefined): void {
    const job = this.context.jobs.getOrAdd(id);
    if (isSuccess(response) && rejection !== undefined && !job.submission) {
      this.context.violations.report('bad_accepted', `${id}: ${rejection}`);
    }
  }

  #check(id: string, response: HttpResponse, sent: SentRequest): void {
    const { jobs, clock, violations } = this.context;
    const job = jobs.getOrAdd(id);
    const { status } = response;
    if (status === 404 || (!sent.isRejectionAllowed && (status === 400 || status === 422))) {
      this.#checkUnknown(id, job, status, sent);
      return;
    }
    if (!isSuccess(response)) return;
    job.lastResponseAt = clock.now();
    const state = (response.body as { standing?: string } | null)?.standing ?? '';
    if (!job.submission) violations.report('invented', `${id} is ${state}`);
    job.acceptedOrder ??= this.#order;
    this.#checkState(id, job, state, sent);
    this.#checkFinal(id, job, state, sent);
  }

  #checkUnknown(id: string, job: ObservedJob, status: number, sent: SentRequest): void {
    const { violations } = this.context;
    const wasKnown = job.acceptedOrder !== undefined && job.acceptedOrder < sent.order;
    if (wasKnown) violations.report('forgotten', `${id} gets ${status}`);
    if (job.final && job.final.order < sent.order) {
      violations.report('went_back', `${id}: ${job.final.state}, then ${status}`);
    }
  }

  #checkState(id: string, job: ObservedJob, state: string, sent: SentRequest): void {
    if (state === DONE) this.#checkDone(id, job);
    if (state === CANCELLED) this.#checkCancelled(id);
    if (state === 'running') this.context.tasks.checkDependencies(id, `${id} is called running`);
    if (state === 'pending' || state === 'running') this.#checkOrphaned(id, state, sent);
  }

  #checkDone(id: string, { submission, completed }: ObservedJob): void {
    const tasks = submission?.pieces ?? 0;
    if (completed.size >= tasks) return;
    const detail = `${id} is done with ${completed.size} of ${tasks} tasks completed`;
    this.context.violations.report('not_done', detail);
  }

  #checkFinal(id: string, job: ObservedJob, state: string, sent: SentRequest): void {
    const isFinal = state === DONE || state === CANCELLED;
    const { final } = job;
    // Of two final states one is wrong, whichever request was sent first.
    if (final && final.state !== state && (isFinal || final.order < sent.order)) {
      this.context.violations.report('went_back', `${id}: ${final.state}, then ${state}`);
    }
    if (!isFinal || final) return;
    job.final = { state, order: this.#order };
    if (state === CANCELLED) this.#onCancelled(id, job);
    else this.#onDone(id);
  }

  #checkCancelled(id: string): void {
    if (this.context.jobs.dependencies.isCancellationAllowed(id)) return;
    this.context.violations.report('went_back', `${id} is withdrawn, though nobody asked for that`);
  }

  #checkOrphaned(id: string, state: string, sent: SentRequest): void {
    const { jobs, cancelS, violations } = this.context;
    const cancelledAt = jobs.dependencies.ancestorCancelledAt(id);
    if (cancelledAt === undefined || sent.at <= cancelledAt + cancelS * 1000) return;
    const lateMs = sent.at - cancelledAt;
    violations.report(
      'orphaned',
      `${id} is ${state} by ${sent.description} ${lateMs} ms after a job before it was cancelled`,
    );
  }

  /** The dependents of a job that is done can't have been cancelled with it. */
  #onDone(id: string): void {
    const { jobs } = this.context;
    for (const dependent of jobs.dependencies.descendants(id)) {
      if (jobs.get(dependent)?.final?.state === CANCELLED) this.#checkCancelled(dependent);
    }
  }

  #onCancelled(id: string, job: ObservedJob): void {
    const { clock, jobs, cancelS, tasks, violations } = this.context;
    job.cancelledAt = clock.now();
    for (const dependent of jobs.dependencies.descendants(id)) {
      if (jobs.get(dependent)?.hasStarted) {
        violations.report('too_early', `${dependent} has started, and ${id} is cancelled`);
      }
    }
    clock.after(cancelS * 1000 + 1, () => {
      tasks.checkStopped(jobs.dependencies.descendants(id).add(id));
    });
  }
}
