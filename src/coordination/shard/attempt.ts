/** @file One attempt to run a task on a machine, as the owner of the machine's shard knows it. */
import {
  attemptKey,
  type AttemptPhase,
  type ExitCause,
  type Job,
  type ReportedAttempt,
  type Resources,
} from '../../protocol/model';

/** Attempt numbers hold the fencing token under which they were issued, so they never repeat, also after a failover. */
const ATTEMPTS_PER_TOKEN = 2 ** 20;

/** `starting`: a start has left, or is about to, and no message of the worker has shown the attempt yet. */
export type TrackedPhase = 'starting' | AttemptPhase;

/** What an attempt needs and for whom it runs, as far as its job is known. */
export interface TaskDescription {
  readonly resources: Resources;
  readonly team: string;
  readonly image: string;
  readonly imageGb: number;
}

/** Where an attempt comes from: issued by this owner, or found in a message of its worker. */
export interface AttemptOrigin {
  readonly job: string;
  readonly task: number;
  readonly number: number;
  readonly isBoosted: boolean;
  readonly wasStartSent: boolean;
}

/** What became of an attempt. */
export interface AttemptChange {
  readonly kind: 'found' | 'running' | 'exited' | 'gone';
  readonly attempt: Attempt;
}

const UNKNOWN_JOB: TaskDescription = {
  resources: { cpus: 0, gpus: 0, memoryGb: 0 },
  team: '',
  image: '',
  imageGb: 0,
};

/** Describes the tasks of a job; those of a job that the shard does not have are of no team and need nothing. */
export function describeTask(job: Job | undefined): TaskDescription {
  if (!job) return UNKNOWN_JOB;
  return { resources: job, team: job.team, image: job.image, imageGb: job.imageGb };
}

/** The number of the attempt that is issued under this fencing token as the `counter`-th. */
export function attemptNumber(token: number, counter: number): number {
  return token * ATTEMPTS_PER_TOKEN + (counter % ATTEMPTS_PER_TOKEN);
}

/** The fencing token under which the attempt with this number was issued. */
export function fencingTokenOf(attempt: number): number {
  return Math.floor(attempt / ATTEMPTS_PER_TOKEN);
}

/** Whether the attempt takes up resources of its machine, or may do so. */
export function occupiesResources(attempt: Attempt): boolean {
  return attempt.phase !== 'exited';
}

/** How long the attempt has run, as far as its owner saw. */
export function elapsedS(attempt: Attempt, now: number): number {
  return attempt.runningSince === undefined ? 0 : (now - attempt.runningSince) / 1000;
}

/** One attempt of a task on a machine. */
export class Attempt {
  readonly key: string;
  readonly job: string;
  readonly task: number;
  readonly number: number;
  readonly resources: Resources;
  readonly team: string;
  readonly image: string;
  readonly imageGb: number;
  /** It was placed out of turn because its job had waited too long; it is not preempted for others. */
  readonly isBoosted: boolean;
  #phase: TrackedPhase = 'starting';
  #exitCause: ExitCause | null = null;
  #runningSince: number | undefined;
  #wasSent: boolean;
  #isStartInFlight = false;
  #eviction: { readonly graceS: number } | undefined;
  #jobEndedAt: number | undefined;

  constructor(origin: AttemptOrigin, description: TaskDescription) {
    this.key = attemptKey(origin.job, origin.task, origin.number);
    this.job = origin.job;
    this.task = origin.task;
    this.number = origin.number;
    this.resources = description.resources;
    this.team = description.team;
    this.image = description.image;
    this.imageGb = description.imageGb;
    this.isBoosted = origin.isBoosted;
    this.#wasSent = origin.wasStartSent;
  }

  get phase(): TrackedPhase {
    return this.#phase;
  }

  get exitCause(): ExitCause | null {
    return this.#exitCause;
  }

  get runningSince(): number | undefined {
    return this.#runningSince;
  }

  /** A command that carries the start has been sent at least once. */
  get wasStartSent(): boolean {
    return this.#wasSent;
  }

  /** A command that carries the start is in flight. */
  get isStartInFlight(): boolean {
    return this.#isStartInFlight;
  }

  /** It is to be stopped, with this much time to save a checkpoint. */
  get eviction(): { readonly graceS: number } | undefined {
    return this.#eviction;
  }

  /** Since when its owner knows that its job is over. */
  get jobEndedAt(): number | undefined {
    return this.#jobEndedAt;
  }

  /** The worker reports another phase. */
  enterPhase(reported: ReportedAttempt, now: number): void {
    this.#phase = reported.phase;
    this.#exitCause = reported.cause;
    if (reported.phase === 'running' || reported.phase === 'checkpointing') this.#runningSince ??= now;
  }

  /** A command that carries the start leaves. */
  startCommandSent(): void {
    this.#wasSent = true;
    this.#isStartInFlight = true;
  }

  /** The command that carries the start has ended, answered or not. */
  startCommandEnded(): void {
    this.#isStartInFlight = false;
  }

  /** It is to be stopped. */
  evict(graceS: number): void {
    this.#eviction = { graceS };
  }

  /** Its job is over. The first time counts. */
  markJobEnded(now: number): void {
    this.#jobEndedAt ??= now;
  }
}
