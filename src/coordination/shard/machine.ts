import type { MachineRecord } from '../../bookkeeping/records';
import { DRIFT } from '../../bookkeeping/session';
import {
  attemptKey,
  type ExitCause,
  type MachineType,
  type WorkerHeartbeat,
  type Resources,
} from '../../protocol/model';

/** `starting`: a start has left, or is about to, and no message of the worker has shown the attempt yet. */
export type Phase = 'starting' | 'fetching' | 'running' | 'checkpointing' | 'exited';

/** Added to a worker's lease before its silence counts as its tasks' end. */
const LEASE_EXPIRY_MARGIN_MS = 500;
const BACKOFF_MS = 2_000;

export interface Attempt {
  readonly key: string;
  readonly job: string;
  readonly task: number;
  readonly number: number;
  readonly resources: Resources;
  readonly team: string;
  readonly image: string;
  readonly imageGb: number;
  /** It was given room out of turn because its job had waited too long; nothing is to stop it for others. */
  readonly isBoosted: boolean;
  phase: Phase;
  exitCause: ExitCause | null;
  saved: boolean;
  sentAt: number;
  runningSince: number | undefined;
  /** A command that carries the start has been sent at least once. */
  wasSent: boolean;
  /** A command that carries the start is out and not answered yet. */
  isStartInFlight: boolean;
  /** Wanted gone. */
  eviction: { graceS: number; since: number } | undefined;
  /** Since when its owner knows that its job is over. */
  jobEndedAt?: number;
}

export interface AttemptChange {
  kind: 'found' | 'running' | 'exited' | 'gone';
  attempt: Attempt;
}

/** Attempt numbers hold the token under which they were issued, so they never repeat, also after a takeover. */
const ATTEMPTS_PER_TOKEN = 2 ** 20;

export function attemptNumber(token: number, counter: number): number {
  return token * ATTEMPTS_PER_TOKEN + (counter % ATTEMPTS_PER_TOKEN);
}

export function fencingTokenOf(attempt: number): number {
  return Math.floor(attempt / ATTEMPTS_PER_TOKEN);
}

export function occupiesResources(attempt: Attempt): boolean {
  return attempt.phase !== 'exited';
}

/** How long the attempt has run, as far as its owner saw. */
export function elapsedS(attempt: Attempt, now: number): number {
  return attempt.runningSince === undefined ? 0 : (now - attempt.runningSince) / 1000;
}

/** Told of every attempt that comes to hold room on a machine, and of every one that no longer does. */
export interface OccupancyListener {
  onOccupied(machine: Machine, attempt: Attempt): void;
  onReleased(machine: Machine, attempt: Attempt): void;
}

/** Why a machine takes no more tasks and is returned as soon as it may be. */
export type DrainReason = 'idle' | 'spot notice' | 'unresponsive' | 'late boot' | 'quarantined' | 'underused';

/** What is known of a job whose attempt a worker reports. */
export interface TaskDescription {
  resources: Resources;
  team: string;
  image: string;
  imageGb: number;
}

/** One machine as its shard's owner knows it: what is on it, or may be. */
export class Machine {
  readonly #attempts = new Map<string, Attempt>();
  /** Sums over the attempts that hold room, kept up to date: rounds ask for them for every machine. */
  readonly #used: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };
  #holding = 0;
  incarnation = 0;
  sequence = -1;
  fencingTokenSeen = 0;
  /** Steady time of the last report that was newer than what we knew. */
  lastHeartbeatAt: number | undefined;
  /** The worker's lease can't have begun later: no report sent after this was answered, and no session is younger. */
  latestLeaseStart: number;
  /**
   * The last answer to a report that was news. An answer to a late copy reaches nobody, so it may not count for the
   * worker's life; it does count, in `answeredAt`, for how long its tasks may live.
   */
  lastRenewalAt: number;
  /**
   * Since when it has shown no sign of hearing us, though its reports may arrive: a command went unanswered, or its
   * lease ran out though we answered its reports. Until a command is answered, no start leaves for it.
   */
  unresponsiveSince: number | undefined;
  /** The session that an unproven report named: good enough to address a question, and for nothing else. */
  unverifiedIncarnation = 0;
  /** How many reports came since the takeover that may have been copies from before it. */
  unverifiedHeartbeats = 0;
  /** Since when this owner knows it. */
  readonly firstSeenAt: number;
  lastProbeAt = -Infinity;
  /** The last command to it was not answered, whether it arrived or not. */
  isLastCommandUnanswered = false;
  /** A message showed our token: nothing that an earlier owner sent can still start here. */
  isConfirmed = false;
  spotNoticeDeadline: number | undefined;
  isUp: boolean;
  /** No owner before this one can have answered it, so that its first report is no copy from before. */
  wasNeverAnswered: boolean;
  /** Its worker has reported: while it isn't `up`, only the record of that is missing. */
  hasSentHeartbeat = false;
  idleSince: number;
  /** Images that it should hold, least recently used first, and their sizes; bounded by the type's cache. */
  readonly cachedImages = new Map<string, number>();
  /** Jobs whose tasks failed here since the last success. */
  readonly failedJobs = new Set<string>();
  consecutiveFailures = 0;
  isQuarantined = false;
  /** Not to be used any more; released as soon as it may be. */
  drainReason: DrainReason | undefined;
  isReturnRequested = false;
  /** The cloud confirmed its end: late copies of its reports must bring nothing back. */
  isTerminated = false;
  #backoffUntil = 0;

  constructor(
    readonly id: string,
    readonly record: MachineRecord,
    readonly type: MachineType,
    /** When the previous owner can last have answered it. */
    takenAt: number,
    readonly knownSince: number,
    private readonly watcher?: OccupancyListener,
  ) {
    this.latestLeaseStart = takenAt;
    this.lastRenewalAt = takenAt;
    this.firstSeenAt = takenAt;
    this.isUp = record.up;
    this.wasNeverAnswered = !record.up;
    this.idleSince = takenAt;
    // A machine that was never answered and never sent a command can't hold a task.
    this.isConfirmed = this.wasNeverAnswered;
  }

  /** From this time on the worker has killed and forgotten all that it had. */
  leaseExpiresAt(leaseMs: number): number {
    return this.latestLeaseStart + leaseMs * (1 + 2 * DRIFT) + LEASE_EXPIRY_MARGIN_MS;
  }

  hasMissedHeartbeats(now: number, missedMs: number): boolean {
    return now - (this.lastHeartbeatAt ?? this.firstSeenAt) > missedMs;
  }

  /** Whether tasks may be started here. */
  isSchedulable(now: number, leaseMs: number, missedMs: number): boolean {
    return (
      this.isUp &&
      this.isConfirmed &&
      this.drainReason === undefined &&
      !this.isQuarantined &&
      now >= this.#backoffUntil &&
      // Its reports may arrive while nothing reaches it: what is issued there would be stuck until its lease ends.
      this.unresponsiveSince === undefined &&
      // An answer to a command shows that the worker is there, but only an answered report renews its lease. What is
      // issued to a worker whose lease has run out by our count would be dropped at once, though it starts.
      now < this.lastRenewalAt + leaseMs &&
      this.lastHeartbeatAt !== undefined &&
      now - this.lastHeartbeatAt <= missedMs
    );
  }

  /** No more tasks start here, and it is returned as soon as it may be. The first reason stays. */
  drain(reason: DrainReason): void {
    this.drainReason ??= reason;
  }

  /** It is returned with all that is on it, whatever it was drained for before. */
  drainAsUnresponsive(): void {
    this.drainReason = 'unresponsive';
  }

  /** Its return has been asked for: it may disappear at any moment. */
  requestReturn(): void {
    this.isReturnRequested = true;
  }

  /** Somebody may have answered its worker until now: its lease may have begun as late as that. */
  assumeAnswered(now: number): void {
    this.latestLeaseStart = Math.max(this.latestLeaseStart, now);
  }

  /** No starts for a while, after one that was refused or could not be delivered. */
  backOff(now: number): void {
    this.#backoffUntil = now + BACKOFF_MS;
  }

  get attempts(): ReadonlyMap<string, Attempt> {
    return this.#attempts;
  }

  freeResources(): Resources {
    return {
      cpus: this.type.cpus - this.#used.cpus,
      gpus: this.type.gpus - this.#used.gpus,
      memoryGb: this.type.memoryGb - this.#used.memoryGb,
    };
  }

  get freeCpus(): number {
    return this.type.cpus - this.#used.cpus;
  }

  get isBusy(): boolean {
    return this.#holding > 0;
  }

  /** Puts an attempt on the machine: issued by us, or found in a report. */
  addAttempt(attempt: Attempt): void {
    this.#attempts.set(attempt.key, attempt);
    if (occupiesResources(attempt)) this.#occupy(attempt);
  }

  touchImage(image: string, gb: number): void {
    this.cachedImages.delete(image);
    this.cachedImages.set(image, gb);
    let total = 0;
    for (const size of this.cachedImages.values()) total += size;
    for (const [oldest, size] of this.cachedImages) {
      if (total <= this.type.cacheGb || oldest === image) break;
      this.cachedImages.delete(oldest);
      total -= size;
    }
  }

  #occupy(attempt: Attempt): void {
    this.#holding += 1;
    this.#used.cpus += attempt.resources.cpus;
    this.#used.gpus += attempt.resources.gpus;
    this.#used.memoryGb += attempt.resources.memoryGb;
    this.watcher?.onOccupied(this, attempt);
  }

  #release(attempt: Attempt): void {
    this.#holding -= 1;
    this.#used.cpus -= attempt.resources.cpus;
    this.#used.gpus -= attempt.resources.gpus;
    this.#used.memoryGb -= attempt.resources.memoryGb;
    // Sums of decimals drift; an empty machine is empty.
    if (this.#holding === 0) Object.assign(this.#used, { cpus: 0, gpus: 0, memoryGb: 0 });
    this.watcher?.onReleased(this, attempt);
  }

  #enter(attempt: Attempt, phase: Phase): void {
    const held = occupiesResources(attempt);
    attempt.phase = phase;
    if (held && !occupiesResources(attempt)) this.#release(attempt);
    else if (!held && occupiesResources(attempt)) this.#occupy(attempt);
  }

  /** Whether this message is newer than all that we know of the worker. */
  isNewer(heartbeat: WorkerHeartbeat): boolean {
    return (
      heartbeat.incarnation > this.incarnation ||
      (heartbeat.incarnation === this.incarnation && heartbeat.sequence > this.sequence)
    );
  }

  /**
   * Takes over what a message of the worker says. `describe` gives the needs of an attempt that we did not issue.
   * Messages come late and out of order: an old one must change nothing.
   */
  reconcile(
    heartbeat: WorkerHeartbeat,
    now: number,
    leaseMs: number,
    describe: (job: string) => TaskDescription,
  ): AttemptChange[] {
    if (!this.isNewer(heartbeat)) return [];
    const changes: AttemptChange[] = [];
    if (heartbeat.incarnation > this.incarnation) {
      // A later session proves that everything of the earlier ones is gone, late commands for them included.
      changes.push(...this.dropAllAttempts());
      // We answered it not long ago, yet its lease ran out: our answers don't reach it.
      if (this.incarnation > 0 && now - this.lastRenewalAt < leaseMs / 2) this.unresponsiveSince ??= now;
      this.incarnation = heartbeat.incarnation;
      // A session has a full lease from its beginning, which may be as late as now, though no report of it was ever
      // answered: counted from an earlier answer, its tasks would be taken for dead while they run.
      this.latestLeaseStart = Math.max(this.latestLeaseStart, now);
      this.lastRenewalAt = now;
      this.cachedImages.clear();
    }
    this.sequence = heartbeat.sequence;
    this.fencingTokenSeen = Math.max(this.fencingTokenSeen, heartbeat.fencingToken);
    this.lastHeartbeatAt = now;
    if (heartbeat.spotNoticeS !== null) {
      const until = now + heartbeat.spotNoticeS * 1000;
      this.spotNoticeDeadline = Math.min(this.spotNoticeDeadline ?? Infinity, until);
    } else {
      this.spotNoticeDeadline = undefined;
    }
    const reported = new Set<string>();
    for (const r of heartbeat.attempts) {
      const key = attemptKey(r.job, r.task, r.attempt);
      reported.add(key);
      let attempt = this.#attempts.get(key);
      if (!attempt) {
        const { job, task } = r;
        attempt = {
          ...{ key, job, task, number: r.attempt, ...describe(job), isBoosted: false },
          ...{ phase: 'starting', exitCause: null, saved: false, sentAt: now, runningSince: undefined },
          ...{ wasSent: true, isStartInFlight: false, eviction: undefined },
        };
        this.addAttempt(attempt);
        changes.push({ kind: 'found', attempt });
      }
      if (r.phase === attempt.phase) continue;
      this.#enter(attempt, r.phase);
      attempt.exitCause = r.cause;
      attempt.saved = r.hasCheckpoint;
      if (r.phase === 'running' || r.phase === 'checkpointing') {
        attempt.runningSince ??= now;
        this.touchImage(attempt.image, attempt.imageGb);
        if (r.phase === 'running') changes.push({ kind: 'running', attempt });
      } else if (r.phase === 'exited') {
        changes.push({ kind: 'exited', attempt });
      }
    }
    // Attempts are never fewer than what is reported; where they are as many, none is missing from the report.
    if (this.#attempts.size === reported.size) return changes;
    for (const attempt of [...this.#attempts.values()]) {
      if (reported.has(attempt.key) || this.mayStillStart(attempt)) continue;
      changes.push(this.#drop(attempt));
    }
    return changes;
  }

  /**
   * A start that was never answered may be carried out minutes later, while the worker's token and session still
   * match; so its absence from a report proves nothing before the worker has seen a higher token.
   */
  mayStillStart(attempt: Attempt): boolean {
    return (
      attempt.isStartInFlight ||
      (attempt.phase === 'starting' && this.fencingTokenSeen <= fencingTokenOf(attempt.number))
    );
  }

  /**
   * After `forget` a late or repeated copy of the start would start the attempt anew: it must not be sent before the
   * worker refuses the token of that start.
   */
  mayForget(attempt: Attempt): boolean {
    return (
      attempt.phase === 'exited' &&
      !attempt.isStartInFlight &&
      this.fencingTokenSeen > fencingTokenOf(attempt.number)
    );
  }

  /** The start certainly never happened (refused, or never sent). */
  discardUnstarted(key: string): AttemptChange | undefined {
    const attempt = this.#attempts.get(key);
    if (attempt?.phase !== 'starting') return undefined;
    return this.#drop(attempt);
  }

  dropAllAttempts(): AttemptChange[] {
    return [...this.#attempts.values()].map((attempt) => this.#drop(attempt));
  }

  #drop(attempt: Attempt): AttemptChange {
    this.#attempts.delete(attempt.key);
    if (occupiesResources(attempt)) this.#release(attempt);
    return { kind: 'gone', attempt };
  }
}
