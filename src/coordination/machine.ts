import type { MachineRecord } from '../bookkeeping/records';
import { DRIFT } from '../bookkeeping/session';
import { attemptKey, type ExitCause, type MachineType, type Report, type Resources } from '../protocol/model';

/** `sent`: a start has left, or is about to, and no message of the worker has shown the attempt yet. */
export type Phase = 'sent' | 'fetching' | 'running' | 'saving' | 'exited';

/** Added to a worker's lease before its silence counts as its tasks' end. */
const DEAD_MARGIN_MS = 500;

export interface Attempt {
  readonly key: string;
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly needs: Resources;
  readonly team: string;
  readonly image: string;
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

export function issueToken(attempt: number): number {
  return Math.floor(attempt / ATTEMPTS_PER_TOKEN);
}

export function holdsRoom(attempt: Attempt): boolean {
  return attempt.phase !== 'exited';
}

/** How long the attempt has run, as far as its owner saw. */
export function ranS(attempt: Attempt, now: number): number {
  return attempt.runningSince === undefined ? 0 : (now - attempt.runningSince) / 1000;
}

/** One machine as its block's owner knows it: what is on it, or may be. */
export class Machine {
  readonly attempts = new Map<string, Attempt>();
  session = 0;
  sequence = -1;
  tokenSeen = 0;
  /** Steady time of the last report that was newer than what we knew. */
  heardAt: number | undefined;
  /** The worker's lease can't have begun later: no report sent after this was answered, and no session is younger. */
  answeredAt: number;
  /** Since when this owner knows it. */
  readonly firstSeenAt: number;
  probedAt = -Infinity;
  /** A message showed our token: nothing that an earlier owner sent can still start here. */
  settled = false;
  noticeUntil: number | undefined;
  commandOut = false;
  up: boolean;
  idleSince: number;
  /** Images that it should hold, by last use; bounded by the type's cache. */
  readonly images = new Map<string, number>();
  /** Jobs whose tasks failed here since the last success. */
  readonly errorJobs = new Set<string>();
  errorsInRow = 0;
  sick = false;
  /** Not to be used any more; released as soon as it may be. */
  leaving: string | undefined;
  releasing = false;
  /** No starts before this time, after a start that was refused or could not be delivered. */
  avoidUntil = 0;

  constructor(
    readonly id: string,
    readonly record: MachineRecord,
    readonly type: MachineType,
    /** When the previous owner can last have answered it. */
    takenAt: number,
    readonly knownSince: number,
  ) {
    this.answeredAt = takenAt;
    this.firstSeenAt = takenAt;
    this.up = record.up;
    this.idleSince = takenAt;
    // A machine that was never answered and never sent an order can't hold a task.
    this.settled = !record.up;
  }

  /** From this time on the worker has killed and forgotten all that it had. */
  deadAt(leaseMs: number): number {
    return this.answeredAt + leaseMs * (1 + 2 * DRIFT) + DEAD_MARGIN_MS;
  }

  /** Whether tasks may be started here. */
  mayStart(now: number, leaseMs: number, missedMs: number): boolean {
    return (
      this.up &&
      this.settled &&
      this.leaving === undefined &&
      !this.sick &&
      now >= this.avoidUntil &&
      // An answer to a command shows that the worker is there, but only an answered report renews its lease. What is
      // issued to a worker whose lease has run out by our count would be dropped at once, though it starts.
      now < this.deadAt(leaseMs) &&
      this.heardAt !== undefined &&
      now - this.heardAt <= missedMs
    );
  }

  free(): Resources {
    const free = { cpus: this.type.cpus, gpus: this.type.gpus, memoryGb: this.type.memoryGb };
    for (const attempt of this.attempts.values()) {
      if (!holdsRoom(attempt)) continue;
      free.cpus -= attempt.needs.cpus;
      free.gpus -= attempt.needs.gpus;
      free.memoryGb -= attempt.needs.memoryGb;
    }
    return free;
  }

  get busy(): boolean {
    for (const attempt of this.attempts.values()) if (holdsRoom(attempt)) return true;
    return false;
  }

  /** Whether this message is newer than all that we know of the worker. */
  isNews(report: Report): boolean {
    return (
      report.session > this.session || (report.session === this.session && report.sequence > this.sequence)
    );
  }

  /**
   * Takes over what a message of the worker says. `describe` gives the needs of an attempt that we did not issue.
   * Messages come late and out of order: an old one must change nothing.
   */
  absorb(
    report: Report,
    now: number,
    describe: (job: string) => { needs: Resources; team: string; image: string },
  ): Change[] {
    if (!this.isNews(report)) return [];
    const changes: Change[] = [];
    if (report.session > this.session) {
      // A later session proves that everything of the earlier ones is gone, late commands for them included.
      changes.push(...this.dropAll());
      this.session = report.session;
      // A session has a full lease from its beginning, which may be as late as now, though no report of it was ever
      // answered: counted from an earlier answer, its tasks would be taken for dead while they run.
      this.answeredAt = Math.max(this.answeredAt, now);
      this.images.clear();
    }
    this.sequence = report.sequence;
    this.tokenSeen = Math.max(this.tokenSeen, report.token);
    this.heardAt = now;
    if (report.noticeS !== null) {
      const until = now + report.noticeS * 1000;
      this.noticeUntil = Math.min(this.noticeUntil ?? Infinity, until);
    } else {
      this.noticeUntil = undefined;
    }
    const reported = new Set<string>();
    for (const r of report.attempts) {
      const key = attemptKey(r.job, r.task, r.attempt);
      reported.add(key);
      let attempt = this.attempts.get(key);
      if (!attempt) {
        const { job, task } = r;
        attempt = {
          ...{
            key,
            job,
            task,
            attempt: r.attempt,
            ...describe(job),
            phase: 'sent',
            cause: null,
            saved: false,
          },
          ...{ sentAt: now, runningSince: undefined, posted: true, inFlight: false },
          stop: undefined,
        };
        this.attempts.set(key, attempt);
        changes.push({ kind: 'found', attempt });
      }
      if (r.phase === attempt.phase) continue;
      attempt.phase = r.phase;
      attempt.cause = r.cause;
      attempt.saved = r.saved;
      if (r.phase === 'running' || r.phase === 'saving') {
        attempt.runningSince ??= now;
        this.images.set(attempt.image, now);
        if (r.phase === 'running') changes.push({ kind: 'running', attempt });
      } else if (r.phase === 'exited') {
        changes.push({ kind: 'exited', attempt });
      }
    }
    for (const attempt of [...this.attempts.values()]) {
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
    return attempt.inFlight || (attempt.phase === 'sent' && this.tokenSeen <= issueToken(attempt.attempt));
  }

  /**
   * After `forget` a late or repeated copy of the start would start the attempt anew: it must not be sent before the
   * worker refuses the token of that start.
   */
  mayForget(attempt: Attempt): boolean {
    return attempt.phase === 'exited' && !attempt.inFlight && this.tokenSeen > issueToken(attempt.attempt);
  }

  /** The start certainly never happened (refused, or never sent). */
  neverStarted(key: string): Change | undefined {
    const attempt = this.attempts.get(key);
    if (attempt?.phase !== 'sent') return undefined;
    return this.#drop(attempt);
  }

  dropAll(): Change[] {
    return [...this.attempts.values()].map((attempt) => this.#drop(attempt));
  }

  #drop(attempt: Attempt): Change {
    this.attempts.delete(attempt.key);
    return { kind: 'gone', attempt };
  }
}
