/** @file Invariants of the responses to users: no accepted job is lost, none is invented, no final state changes. */
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

/** A user's request, as needed to check its response. */
interface SentRequest {
  /** Method and path. */
  readonly description: string;
  readonly order: number;
  readonly at: number;
  /** Whether 400 and 422 are valid responses even if the job was accepted before. */
  readonly isRejectionAllowed: boolean;
}

/** The observed state and the models that the responses are checked against. */
export interface ResponseInvariantsContext {
  readonly clock: TimerClock;
  /** Seconds that a job may still be pending or running after its or a dependency's cancellation was confirmed. */
  readonly cancelS: number;
  readonly jobs: ObservedJobs;
  readonly submissions: SubmissionModel;
  readonly tasks: TaskInvariants;
  readonly violations: Violations;
}

const isSuccess = ({ status }: HttpResponse): boolean => status === 200 || status === 201;

/**
 * Checks every response that a user receives. A response can contradict an earlier one only if its request was sent
 * after the earlier response had arrived; otherwise controllers may have handled the requests in the other order.
 */
export class ResponseInvariants {
  #order = 0;

  constructor(private readonly context: ResponseInvariantsContext) {}

  /** Records that a user sent a request. Returns a function to call with the response when it arrives. */
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
    // Once a job is accepted, a resubmission must succeed even if it names other dependencies.
    const isRejectionAllowed = submissions.rejectionReasonIgnoringDependencies(body) !== undefined;
    const sent = this.#sent(request, isRejectionAllowed);
    const areDependenciesAccepted =
      rejection === undefined && this.#dependsOnlyOnAccepted(body as Submission);
    return (response) => {
      this.#order += 1;
      this.#checkAcceptance(id, response, rejection);
      if (response.status === 422 && areDependenciesAccepted) {
        violations.report('forgotten', `${id} gets 422, though all its dependencies were accepted`);
      }
      this.#check(id, response, sent);
    };
  }

  /** Whether a submission has dependencies, and responses confirmed the acceptance of all of them. */
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
    if (state === 'running') this.context.tasks.checkDependencies(id, `${id} is reported as running`);
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
    // Two different final states are a violation in any order of the requests.
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
    this.context.violations.report(
      'went_back',
      `${id} is withdrawn, though no user cancelled it or a dependency`,
    );
  }

  #checkOrphaned(id: string, state: string, sent: SentRequest): void {
    const { jobs, cancelS, violations } = this.context;
    const cancelledAt = jobs.dependencies.ancestorCancelledAt(id);
    if (cancelledAt === undefined || sent.at <= cancelledAt + cancelS * 1000) return;
    const lateMs = sent.at - cancelledAt;
    violations.report(
      'orphaned',
      `${id} is ${state} by ${sent.description} ${lateMs} ms after a dependency was cancelled`,
    );
  }

  /** Checks the cancelled dependents of a job that is done: its own cancellation can't be the reason for theirs. */
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
