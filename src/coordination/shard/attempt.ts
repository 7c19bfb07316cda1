/** @file One attempt to run a task on a machine, as the owner of the machine's shard tracks it. */
import type { Uint64 } from '../../base/uint64';
import {
  attemptKey,
  type AttemptPhase,
  type ExitCause,
  type Job,
  type ReportedAttempt,
  type Resources,
} from '../../protocol/model';

/** Attempt numbers contain the fencing token they were issued under, so they stay unique across failovers. */
const ATTEMPTS_PER_TOKEN = 2 ** 20;

/** The worker's phases, and `starting`: the attempt is issued, but no message of its worker has reported it yet. */
export type TrackedPhase = 'starting' | AttemptPhase;

/** The resources and the image that an attempt needs on its machine, and its team. */
export interface TaskDescription {
  readonly resources: Resources;
  readonly team: string;
  readonly image: string;
  readonly imageGb: number;
}

/** The identity and initial state of an attempt that this owner issues, or that a worker reports. */
export interface AttemptOrigin {
  readonly job: string;
  readonly task: number;
  readonly number: Uint64;
  readonly isBoosted: boolean;
  readonly wasStartSent: boolean;
}

/** A change in an attempt's state. `found`: the worker reported an attempt that wasn't tracked yet. */
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

/** Describes the tasks of a job. Team and resources are empty if the shard doesn't have the job (undefined). */
export function describeTask(job: Job | undefined): TaskDescription {
  if (!job) return UNKNOWN_JOB;
  return { resources: job, team: job.team, image: job.image, imageGb: job.imageGb };
}

/** The number of the `counter`-th attempt issued under this fencing token. */
export function attemptNumber(token: number, counter: number): number {
  return token * ATTEMPTS_PER_TOKEN + (counter % ATTEMPTS_PER_TOKEN);
}

/** The fencing token that the attempt with this number was issued under. */
export function fencingTokenOf(attempt: Uint64): number {
  // 44 bits are left, which a number holds exactly.
  return typeof attempt === 'bigint'
    ? Number(attempt / BigInt(ATTEMPTS_PER_TOKEN))
    : Math.floor(attempt / ATTEMPTS_PER_TOKEN);
}

/** Whether the attempt counts against its machine's resources; an attempt whose start is unconfirmed does, too. */
export function occupiesResources(attempt: Attempt): boolean {
  return attempt.phase !== 'exited';
}

/** Seconds since the shard's owner first saw the attempt running; 0 before that. */
export function elapsedS(attempt: Attempt, now: number): number {
  return attempt.runningSince === undefined ? 0 : (now - attempt.runningSince) / 1000;
}

/** One attempt of a task on a machine. */
export class Attempt {
  readonly key: string;
  readonly job: string;
  readonly task: number;
  readonly number: Uint64;
  readonly resources: Resources;
  readonly team: string;
  readonly image: string;
  readonly imageGb: number;
  /** Whether the attempt was placed out of queue order because its job had waited too long. It isn't preempted then. */
  readonly isBoosted: boolean;
  #phase: TrackedPhase = 'starting';
  #exitCause: ExitCause | null = null;
  #runningSince: number | undefined;
  #wasStartSent: boolean;
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
    this.#wasStartSent = origin.wasStartSent;
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

  /** Whether the attempt's start command was sent at least once. */
  get wasStartSent(): boolean {
    return this.#wasStartSent;
  }

  /** Whether the attempt's start command is in flight. */
  get isStartInFlight(): boolean {
    return this.#isStartInFlight;
  }

  /** The request to stop the attempt, with `graceS` seconds to save a checkpoint; undefined if there is none. */
  get eviction(): { readonly graceS: number } | undefined {
    return this.#eviction;
  }

  /** Monotonic time at which the shard's owner learned that the attempt's job has ended. */
  get jobEndedAt(): number | undefined {
    return this.#jobEndedAt;
  }

  /** Applies the phase that the worker reports. */
  enterPhase(reported: ReportedAttempt, now: number): void {
    this.#phase = reported.phase;
    this.#exitCause = reported.cause;
    if (reported.phase === 'running' || reported.phase === 'checkpointing') this.#runningSince ??= now;
  }

  /** Notes that the attempt's start command is being sent. */
  startCommandSent(): void {
    this.#wasStartSent = true;
    this.#isStartInFlight = true;
  }

  /** Notes that the attempt's start command got a response, or failed. */
  startCommandEnded(): void {
    this.#isStartInFlight = false;
  }

  /** Marks the attempt as to be stopped, with `graceS` seconds to save a checkpoint. */
  evict(graceS: number): void {
    this.#eviction = { graceS };
  }

  /** Records when the attempt's job ended; later calls have no effect. */
  markJobEnded(now: number): void {
    this.#jobEndedAt ??= now;
  }
}
