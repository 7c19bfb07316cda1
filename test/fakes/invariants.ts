/** @file The rules of the protocol, checked from outside the controllers. */
import type { HttpResponse } from '../../src/transport/http-client';
import type { TimerClock } from './clock';
import { DependencyModel } from './dependency-model';
import type { Request } from './network';
import { SubmissionModel, type Submission, type MachineType } from './submission-model';

export interface MachineFacts {
  frame: string;
  yard: string;
  loaners: boolean;
}

/** A user's request, for what its answer may say. */
interface Sent {
  /** Its method and path. */
  what: string;
  order: number;
  at: number;
  /** Whether 400 and 422 are right even for a job that is known. */
  mayBeRefused: boolean;
}

interface Record_ {
  /** What its user submitted first; undefined: nobody has sent a submission that can run. */
  submission: Submission | undefined;
  completed: Set<number>;
  /** Every answer that said something of the job, with the order of its arrival. */
  accepted: number | undefined;
  final: { standing: string; at: number } | undefined;
  isCancelRequested: boolean;
  /** When a user was first told that it is cancelled. */
  cancelledAt: number | undefined;
  answeredAt: number;
  hasStarted: boolean;
}

type Kind =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'too_early'
  | 'orphaned'
  | 'forgotten'
  | 'invented'
  | 'not_done'
  | 'went_back'
  | 'bad_accepted'
  | 'waits';

const jobOf = (piece: string): string => piece.split('/')[0] ?? '';

/**
 * The rules of the protocol, watched from outside: by what happens on machines, and by every answer that a user gets.
 * An answer counts from when it arrives, a question from when it was sent: nothing can have gone back but an answer to a
 * question that was sent after the other answer had come.
 */
export class Invariants {
  readonly violations: string[] = [];
  /** Starts after a confirmed cancellation, within `cancel_s`: no broken rule, yet nothing that ought to be. */
  readonly startsAfterCancellation: string[] = [];
  readonly #jobs = new Map<string, Record_>();
  readonly #dependencies = new DependencyModel(this.#jobs);
  readonly #submissions: SubmissionModel;
  readonly #on = new Map<string, string>();
  #order = 0;

  constructor(
    private readonly clock: TimerClock,
    private readonly deployment: {
      cancelS: number;
      /** CPUs that a team's tasks may use at once; a team without a limit has Infinity. */
      limits: ReadonlyMap<string, number>;
      types: readonly MachineType[];
      machine(id: string): MachineFacts | undefined;
    },
  ) {
    this.#submissions = new SubmissionModel(deployment, (id) => this.submissionOf(id) !== undefined);
  }

  /** Where a task is at this moment. */
  machineOf(piece: string): string | undefined {
    return this.#on.get(piece);
  }

  get runningTasks(): string[] {
    return [...this.#on.keys()];
  }

  /** Jobs that were accepted, are not final, and whose users haven't asked to cancel them or a job that they need. */
  get unfinishedJobs(): string[] {
    return [...this.#jobs]
      .filter(([, j]) => j.accepted !== undefined && j.final === undefined)
      .map(([id]) => id)
      .filter((id) => !this.#dependencies.mayBeCancelled(id));
  }

  /** Whether all that the job needs is done. */
  isReady(id: string): boolean {
    return this.#dependencies.unfinishedDependency(id) === undefined;
  }

  cancellationWasRequested(id: string): boolean {
    return this.#jobs.get(id)?.isCancelRequested ?? false;
  }

  /** Every job of which a user was told that it is known. */
  get acceptedJobs(): string[] {
    return [...this.#jobs].filter(([, j]) => j.accepted !== undefined).map(([id]) => id);
  }

  submissionOf(id: string): Submission | undefined {
    return this.#jobs.get(id)?.submission;
  }

  /** The final state that a user was told. */
  finalState(id: string): string | undefined {
    return this.#jobs.get(id)?.final?.standing;
  }

  hasCompleted(piece: string): boolean {
    return this.#jobs.get(jobOf(piece))?.completed.has(Number(piece.split('/')[1])) ?? false;
  }

  /** When a user was last told something of it; from its first submission on. */
  answeredAt(id: string): number {
    return this.#jobs.get(id)?.answeredAt ?? this.clock.now();
  }

  report(kind: Kind, what: string): void {
    this.violations.push(`${kind}: ${what} at ${this.clock.now()} ms`);
  }

  // What happens on machines.

  onTaskStarted(piece: string, machine: string): void {
    const other = this.#on.get(piece);
    if (other !== undefined) this.report('ran_twice', `${piece} on ${other} and ${machine}`);
    this.#on.set(piece, machine);
    const id = jobOf(piece);
    const job = this.#jobs.get(id);
    const cancelledAt = job?.cancelledAt ?? this.#dependencies.ancestorCancelledAt(id);
    if (cancelledAt !== undefined) {
      if (this.clock.now() > cancelledAt + this.deployment.cancelS * 1000) {
        this.report('ran_cancelled', `${piece} starts on ${machine}`);
      } else {
        this.startsAfterCancellation.push(`${piece} on ${machine}`);
      }
    }
    if (!job?.submission) return;
    job.hasStarted = true;
    this.#checkDependencies(id, `${piece} starts on ${machine}`);
    this.#checkPlace(id, job.submission, piece, machine);
    this.#checkLimit(job.submission.crew);
  }

  onTaskLeft(piece: string, machine: string): void {
    if (this.#on.get(piece) === machine) this.#on.delete(piece);
  }

  onTaskCompleted(piece: string): void {
    this.#job(jobOf(piece)).completed.add(Number(piece.split('/')[1]));
  }

  usedCpus(team: string): number {
    let sum = 0;
    for (const piece of this.#on.keys()) {
      const described = this.submissionOf(jobOf(piece));
      if (described?.crew === team) sum += described.cpus;
    }
    return sum;
  }

  cpuLimit(team: string): number {
    return this.deployment.limits.get(team) ?? Infinity;
  }

  /** What a job's next task would break on this machine. */
  placementViolation(id: string, machine: string, besides?: string): string | undefined {
    const job = this.submissionOf(id);
    const facts = this.deployment.machine(machine);
    if (!job || !facts) return undefined;
    if (job.frames && !job.frames.includes(facts.frame)) return `type ${facts.frame}`;
    if (job.yard && job.yard !== facts.yard) return `zone ${facts.yard}`;
    if (!job.loaners && facts.loaners) return 'a spot machine';
    const zones = [...this.#on]
      .filter(([piece]) => jobOf(piece) === id && piece !== besides)
      .map(([, on]) => this.deployment.machine(on)?.yard);
    if (job.together && zones.some((zone) => zone !== facts.yard)) return 'not together';
    const here = zones.filter((zone) => zone === facts.yard).length + 1;
    if (job.apart && here > Math.ceil(job.pieces / 2)) return `${here} of ${job.pieces} in one zone`;
    return undefined;
  }

  #checkDependencies(id: string, what: string): void {
    const missing = this.#dependencies.unfinishedDependency(id);
    if (missing !== undefined) this.report('too_early', `${what}, and ${missing} isn't done`);
  }

  #checkPlace(id: string, job: Submission, piece: string, machine: string): void {
    const task = Number(piece.split('/')[1]);
    if (!(task >= 0 && task < job.pieces)) this.report('wrong_place', `${piece}: no such task`);
    const why = this.placementViolation(id, machine, piece);
    if (why !== undefined) this.report('wrong_place', `${piece} on ${machine}: ${why}`);
  }

  #checkLimit(team: string): void {
    const used = this.usedCpus(team);
    const limit = this.cpuLimit(team);
    if (used > limit + 1e-9) this.report('quota', `${team} uses ${used} of ${limit}`);
  }

  // What users send and are told.

  /** A user's request leaves. What is returned is to be called with its answer, when that arrives. */
  onRequest(request: Request): (answer: HttpResponse) => void {
    this.#order += 1;
    const sent: Sent = {
      what: `${request.method} ${request.path}`,
      order: this.#order,
      at: this.clock.now(),
      mayBeRefused: false,
    };
    const [, head = '', named = '', verb = ''] = request.path.split('/');
    if (head !== 'work') return () => undefined;
    const submits = request.method === 'POST' && named === '';
    const id = submits ? (request.body as { nameId?: unknown } | null)?.nameId : named;
    const why = submits ? this.rejectionReason(request.body) : undefined;
    if (typeof id !== 'string') {
      return ({ status }) => {
        if (status === 200 || status === 201) this.report('bad_accepted', 'a submission without an id');
      };
    }
    const job = this.#job(id);
    if (submits && why === undefined) this.#describe(id, request.body as Submission);
    if (verb === 'withdraw') job.isCancelRequested = true;
    // A job that was accepted is known, whatever the dependencies in a repetition of its submission.
    if (submits)
      sent.mayBeRefused = this.#submissions.rejectionReasonBesidesDependencies(request.body) !== undefined;
    const namesKnown = submits && why === undefined && this.#namesOnlyAccepted(request.body as Submission);
    return (answer) => {
      this.#order += 1;
      if (submits) this.#toldOfSubmission(id, answer, why);
      if (answer.status === 422 && namesKnown) {
        this.report('forgotten', `${id} gets 422, though all that it names is known`);
      }
      this.#told(id, answer, sent);
    };
  }

  #describe(id: string, described: Submission): void {
    const job = this.#job(id);
    if (job.submission) return;
    job.submission = described;
    this.#dependencies.add(id);
  }

  #toldOfSubmission(id: string, { status }: HttpResponse, why: string | undefined): void {
    const job = this.#job(id);
    const accepts = status === 200 || status === 201;
    if (accepts && why !== undefined && !job.submission) this.report('bad_accepted', `${id}: ${why}`);
  }

  #told(id: string, { status, body }: HttpResponse, sent: Sent): void {
    const job = this.#job(id);
    const knownBefore = job.accepted !== undefined && job.accepted < sent.order;
    if (status === 404 || (!sent.mayBeRefused && (status === 400 || status === 422))) {
      if (knownBefore) this.report('forgotten', `${id} gets ${status}`);
      if (job.final && job.final.at < sent.order)
        this.report('went_back', `${id}: ${job.final.standing}, then ${status}`);
      return;
    }
    if (status !== 200 && status !== 201) return;
    job.answeredAt = this.clock.now();
    const standing = (body as { standing?: string } | null)?.standing ?? '';
    if (!job.submission) this.report('invented', `${id} is ${standing}`);
    job.accepted ??= this.#order;
    if (standing === 'done') {
      const pieces = job.submission?.pieces ?? 0;
      if (job.completed.size < pieces) {
        this.report('not_done', `${id} is done with ${job.completed.size} of ${pieces} tasks completed`);
      }
    }
    if (standing === 'withdrawn') this.#checkCancelled(id);
    if (standing === 'running') this.#checkDependencies(id, `${id} is called running`);
    if (standing === 'pending' || standing === 'running') this.#checkOrphaned(id, standing, sent);
    const isFinal = standing === 'done' || standing === 'withdrawn';
    const { final } = job;
    // Of two final states one is wrong, whichever question was sent first.
    if (final && final.standing !== standing && (isFinal || final.at < sent.order)) {
      this.report('went_back', `${id}: ${final.standing}, then ${standing}`);
    }
    if (!isFinal || final) return;
    job.final = { standing, at: this.#order };
    if (standing === 'withdrawn') this.#toldCancelled(id, job);
    else this.#toldDone(id);
  }

  #checkCancelled(id: string): void {
    if (this.#dependencies.mayBeCancelled(id)) return;
    this.report('went_back', `${id} is withdrawn, though nobody asked for that`);
  }

  #checkOrphaned(id: string, standing: string, sent: Sent): void {
    const cancelledAt = this.#dependencies.ancestorCancelledAt(id);
    if (cancelledAt === undefined || sent.at <= cancelledAt + this.deployment.cancelS * 1000) return;
    const lateMs = sent.at - cancelledAt;
    this.report(
      'orphaned',
      `${id} is ${standing} by ${sent.what} ${lateMs} ms after a job before it was cancelled`,
    );
  }

  /** What needs a job that is done can't have been cancelled with it. */
  #toldDone(id: string): void {
    for (const dependent of this.#dependencies.descendants(id)) {
      if (this.finalState(dependent) === 'withdrawn') this.#checkCancelled(dependent);
    }
  }

  #toldCancelled(id: string, job: Record_): void {
    job.cancelledAt = this.clock.now();
    const { cancelS } = this.deployment;
    for (const dependent of this.#dependencies.descendants(id)) {
      if (this.#jobs.get(dependent)?.hasStarted) {
        this.report('too_early', `${dependent} has started, and ${id} is cancelled`);
      }
    }
    this.clock.after(cancelS * 1000 + 1, () => {
      const cancelled = this.#dependencies.descendants(id).add(id);
      for (const [piece, machine] of this.#on) {
        if (!cancelled.has(jobOf(piece))) continue;
        this.report('ran_cancelled', `${piece} is on ${machine} after ${cancelS} s`);
      }
    });
  }

  /** Why a submission may not be accepted. */
  rejectionReason(body: unknown): string | undefined {
    return this.#submissions.rejectionReason(body);
  }

  /** Whether a submission names jobs, and users were told of each that it is accepted. */
  #namesOnlyAccepted({ awaits }: Submission): boolean {
    if (!awaits || awaits.length === 0) return false;
    return awaits.every((id) => this.#jobs.get(id)?.accepted !== undefined);
  }

  #job(id: string): Record_ {
    const known = this.#jobs.get(id);
    if (known) return known;
    const job: Record_ = {
      ...{ submission: undefined, completed: new Set<number>(), accepted: undefined, final: undefined },
      ...{ isCancelRequested: false, cancelledAt: undefined, answeredAt: this.clock.now() },
      hasStarted: false,
    };
    this.#jobs.set(id, job);
    return job;
  }
}
