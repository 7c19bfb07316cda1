import type { MachineRecord } from '../../bookkeeping/records';
import { DRIFT } from '../../bookkeeping/session';
import {
  attemptKey,
  type ExitCause,
  type MachineType,
  type WorkerHeartbeat,
  type Resources,
} from '../../protocol/model';

/** `sent`: a start has left, or is about to, and no message of the worker has shown the attempt yet. */
export type Phase = 'sent' | 'fetching' | 'running' | 'saving' | 'exited';

/** Added to a worker's lease before its silence counts as its tasks' end. */
const DEAD_MARGIN_MS = 500;
const AVOID_MS = 2_000;

export interface Attempt {
  readonly key: string;
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly needs: Resources;
  readonly team: string;
  readonly image: string;
  readonly imageGb: number;
  /** It was given room out of turn because its job had waited too long; nothing is to stop it for others. */
  readonly aged: boolean;
  phase: Phase;
  cause: ExitCause | null;
  saved: boolean;
  sentAt: number;
  runningSince: number | undefined;
  /** A command that carries the start has been sent at least once. */
  posted: boolean;
  /** A command that carries the start is out and not answered yet. */
  inFlight: boolean;
  /** Wanted gone. */
  stop: { graceS: number; since: number } | undefined;
  /** Since when its owner knows that its job is over. */
  endedSince?: number;
}

export interface Change {
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

export function holdsRoom(attempt: Attempt): boolean {
  return attempt.phase !== 'exited';
}

/** How long the attempt has run, as far as its owner saw. */
export function ranS(attempt: Attempt, now: number): number {
  return attempt.runningSince === undefined ? 0 : (now - attempt.runningSince) / 1000;
}

/** Told of every attempt that comes to hold room on a machine, and of every one that no longer does. */
export interface RoomWatcher {
  took(machine: Machine, attempt: Attempt): void;
  freed(machine: Machine, attempt: Attempt): void;
}

/** What is known of a job whose attempt a worker reports. */
export interface Described {
  needs: Resources;
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
  heardAt: number | undefined;
  /** The worker's lease can't have begun later: no report sent after this was answered, and no session is younger. */
  answeredAt: number;
  /**
   * The last answer to a report that was news. An answer to a late copy reaches nobody, so it may not count for the
   * worker's life; it does count, in `answeredAt`, for how long its tasks may live.
   */
  renewedAt: number;
  /**
   * Since when it has shown no sign of hearing us, though its reports may arrive: a command went unanswered, or its
   * lease ran out though we answered its reports. Until a command is answered, no start leaves for it.
   */
  deafSince: number | undefined;
  /** The session that an unproven report named: good enough to address a question, and for nothing else. */
  unverifiedIncarnation = 0;
  /** How many reports came since the takeover that may have been copies from before it. */
  unproven = 0;
  /** Since when this owner knows it. */
  readonly firstSeenAt: number;
  probedAt = -Infinity;
  /** The last command to it was not answered, whether it arrived or not. */
  unanswered = false;
  /** A message showed our token: nothing that an earlier owner sent can still start here. */
  settled = false;
  noticeUntil: number | undefined;
  up: boolean;
  /** No owner before this one can have answered it, so that its first report is no copy from before. */
  wasNeverAnswered: boolean;
  /** Its worker has reported: while it isn't `up`, only the record of that is missing. */
  hasReported = false;
  idleSince: number;
  /** Images that it should hold, least recently used first, and their sizes; bounded by the type's cache. */
  readonly images = new Map<string, number>();
  /** Jobs whose tasks failed here since the last success. */
  readonly errorJobs = new Set<string>();
  errorsInRow = 0;
  sick = false;
  /** Not to be used any more; released as soon as it may be. */
  leaving: string | undefined;
  releasing = false;
  /** The cloud confirmed its end: late copies of its reports must bring nothing back. */
  gone = false;
  #avoidUntil = 0;

  constructor(
    readonly id: string,
    readonly record: MachineRecord,
    readonly type: MachineType,
    /** When the previous owner can last have answered it. */
    takenAt: number,
    readonly knownSince: number,
    private readonly watcher?: RoomWatcher,
  ) {
    this.answeredAt = takenAt;
    this.renewedAt = takenAt;
    this.firstSeenAt = takenAt;
    this.up = record.up;
    this.wasNeverAnswered = !record.up;
    this.idleSince = takenAt;
    // A machine that was never answered and never sent a command can't hold a task.
    this.settled = this.wasNeverAnswered;
  }

  /** From this time on the worker has killed and forgotten all that it had. */
  deadAt(leaseMs: number): number {
    return this.answeredAt + leaseMs * (1 + 2 * DRIFT) + DEAD_MARGIN_MS;
  }

  isSilent(now: number, missedMs: number): boolean {
    return now - (this.heardAt ?? this.firstSeenAt) > missedMs;
  }

  /** Whether tasks may be started here. */
  mayStart(now: number, leaseMs: number, missedMs: number): boolean {
    return (
      this.up &&
      this.settled &&
      this.leaving === undefined &&
      !this.sick &&
      now >= this.#avoidUntil &&
      // Its reports may arrive while nothing reaches it: what is issued there would be stuck until its lease ends.
      this.deafSince === undefined &&
      // An answer to a command shows that the worker is there, but only an answered report renews its lease. What is
      // issued to a worker whose lease has run out by our count would be dropped at once, though it starts.
      now < this.renewedAt + leaseMs &&
      this.heardAt !== undefined &&
      now - this.heardAt <= missedMs
    );
  }

  /** No starts for a while, after one that was refused or could not be delivered. */
  avoid(now: number): void {
    this.#avoidUntil = now + AVOID_MS;
  }

  get attempts(): ReadonlyMap<string, Attempt> {
    return this.#attempts;
  }

  free(): Resources {
    return {
      cpus: this.type.cpus - this.#used.cpus,
      gpus: this.type.gpus - this.#used.gpus,
      memoryGb: this.type.memoryGb - this.#used.memoryGb,
    };
  }

  get freeCpus(): number {
    return this.type.cpus - this.#used.cpus;
  }

  get busy(): boolean {
    return this.#holding > 0;
  }

  /** Puts an attempt on the machine: issued by us, or found in a report. */
  put(attempt: Attempt): void {
    this.#attempts.set(attempt.key, attempt);
    if (holdsRoom(attempt)) this.#take(attempt);
  }

  useImage(image: string, gb: number): void {
    this.images.delete(image);
    this.images.set(image, gb);
    let total = 0;
    for (const size of this.images.values()) total += size;
    for (const [oldest, size] of this.images) {
      if (total <= this.type.cacheGb || oldest === image) break;
      this.images.delete(oldest);
      total -= size;
    }
  }

  #take(attempt: Attempt): void {
    this.#holding += 1;
    this.#used.cpus += attempt.needs.cpus;
    this.#used.gpus += attempt.needs.gpus;
    this.#used.memoryGb += attempt.needs.memoryGb;
    this.watcher?.took(this, attempt);
  }

  #give(attempt: Attempt): void {
    this.#holding -= 1;
    this.#used.cpus -= attempt.needs.cpus;
    this.#used.gpus -= attempt.needs.gpus;
    this.#used.memoryGb -= attempt.needs.memoryGb;
    // Sums of decimals drift; an empty machine is empty.
    if (this.#holding === 0) Object.assign(this.#used, { cpus: 0, gpus: 0, memoryGb: 0 });
    this.watcher?.freed(this, attempt);
  }

  #enter(attempt: Attempt, phase: Phase): void {
    const held = holdsRoom(attempt);
    attempt.phase = phase;
    if (held && !holdsRoom(attempt)) this.#give(attempt);
    else if (!held && holdsRoom(attempt)) this.#take(attempt);
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
    describe: (job: string) => Described,
  ): Change[] {
    if (!this.isNewer(heartbeat)) return [];
    const changes: Change[] = [];
    if (heartbeat.incarnation > this.incarnation) {
      // A later session proves that everything of the earlier ones is gone, late commands for them included.
      changes.push(...this.dropAll());
      // We answered it not long ago, yet its lease ran out: our answers don't reach it.
      if (this.incarnation > 0 && now - this.renewedAt < leaseMs / 2) this.deafSince ??= now;
      this.incarnation = heartbeat.incarnation;
      // A session has a full lease from its beginning, which may be as late as now, though no report of it was ever
      // answered: counted from an earlier answer, its tasks would be taken for dead while they run.
      this.answeredAt = Math.max(this.answeredAt, now);
      this.renewedAt = now;
      this.images.clear();
    }
    this.sequence = heartbeat.sequence;
    this.fencingTokenSeen = Math.max(this.fencingTokenSeen, heartbeat.fencingToken);
    this.heardAt = now;
    if (heartbeat.spotNoticeS !== null) {
      const until = now + heartbeat.spotNoticeS * 1000;
      this.noticeUntil = Math.min(this.noticeUntil ?? Infinity, until);
    } else {
      this.noticeUntil = undefined;
    }
    const reported = new Set<string>();
    for (const r of heartbeat.attempts) {
      const key = attemptKey(r.job, r.task, r.attempt);
      reported.add(key);
      let attempt = this.#attempts.get(key);
      if (!attempt) {
        const { job, task } = r;
        attempt = {
          ...{ key, job, task, attempt: r.attempt, ...describe(job), aged: false },
          ...{ phase: 'sent', cause: null, saved: false, sentAt: now, runningSince: undefined },
          ...{ posted: true, inFlight: false, stop: undefined },
        };
        this.put(attempt);
        changes.push({ kind: 'found', attempt });
      }
      if (r.phase === attempt.phase) continue;
      this.#enter(attempt, r.phase);
      attempt.cause = r.cause;
      attempt.saved = r.hasCheckpoint;
      if (r.phase === 'running' || r.phase === 'saving') {
        attempt.runningSince ??= now;
        this.useImage(attempt.image, attempt.imageGb);
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
      attempt.inFlight ||
      (attempt.phase === 'sent' && this.fencingTokenSeen <= fencingTokenOf(attempt.attempt))
    );
  }

  /**
   * After `forget` a late or repeated copy of the start would start the attempt anew: it must not be sent before the
   * worker refuses the token of that start.
   */
  mayForget(attempt: Attempt): boolean {
    return (
      attempt.phase === 'exited' &&
      !attempt.inFlight &&
      this.fencingTokenSeen > fencingTokenOf(attempt.attempt)
    );
  }

  /** The start certainly never happened (refused, or never sent). */
  neverStarted(key: string): Change | undefined {
    const attempt = this.#attempts.get(key);
    if (attempt?.phase !== 'sent') return undefined;
    return this.#drop(attempt);
  }

  dropAll(): Change[] {
    return [...this.#attempts.values()].map((attempt) => this.#drop(attempt));
  }

  #drop(attempt: Attempt): Change {
    this.#attempts.delete(attempt.key);
    if (holdsRoom(attempt)) this.#give(attempt);
    return { kind: 'gone', attempt };
  }
}
