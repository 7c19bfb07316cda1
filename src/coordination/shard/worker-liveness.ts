/**
 * @file What is known of the worker on one machine: its incarnation, its lease, and what its messages prove.
 */
import { MAX_CLOCK_DRIFT } from '../../bookkeeping/session';
import type { WorkerHeartbeat } from '../../protocol/model';
import { fencingTokenOf, type Attempt } from './attempt';

/** Added to a worker's lease before its silence counts as the end of its tasks. */
const LEASE_EXPIRY_MARGIN_MS = 500;

/**
 * The messages of one worker and what may be concluded from them. Messages come late, out of order and more than once,
 * and may come from before this owner acquired the shard. All times are steady.
 */
export class WorkerLiveness {
  #incarnation = 0;
  #sequence = -1;
  #fencingTokenSeen = 0;
  #lastHeartbeatAt: number | undefined;
  #latestLeaseStart: number;
  #lastRenewalAt: number;
  #unresponsiveSince: number | undefined;
  #unverifiedIncarnation = 0;
  #unverifiedHeartbeats = 0;
  #lastProbeAt = -Infinity;
  #isLastCommandUnanswered = false;
  #isConfirmed: boolean;
  #wasNeverAnswered: boolean;

  constructor(
    /** Since when this owner knows the machine. The owner before it can have answered the worker until then. */
    readonly firstSeenAt: number,
    wasNeverAnswered: boolean,
  ) {
    this.#latestLeaseStart = firstSeenAt;
    this.#lastRenewalAt = firstSeenAt;
    this.#wasNeverAnswered = wasNeverAnswered;
    // A machine that was never answered and never sent a command can't hold a task.
    this.#isConfirmed = wasNeverAnswered;
  }

  /** The latest session of the worker; 0 before any is known. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** The highest fencing token that a message showed. */
  get fencingTokenSeen(): number {
    return this.#fencingTokenSeen;
  }

  /** When the last message came that was newer than all before it. */
  get lastHeartbeatAt(): number | undefined {
    return this.#lastHeartbeatAt;
  }

  /** The worker's lease can't have begun later: no heartbeat sent after this was answered, and no session is younger. */
  get latestLeaseStart(): number {
    return this.#latestLeaseStart;
  }

  /**
   * Since when it has shown no sign of receiving this owner's messages, though its heartbeats may arrive: a command went
   * unanswered, or its lease ran out though its heartbeats were answered. Until a command is answered, no start leaves
   * for it.
   */
  get unresponsiveSince(): number | undefined {
    return this.#unresponsiveSince;
  }

  /** When it was last probed. */
  get lastProbeAt(): number {
    return this.#lastProbeAt;
  }

  /** The last command to it was not answered, whether it arrived or not. */
  get isLastCommandUnanswered(): boolean {
    return this.#isLastCommandUnanswered;
  }

  /** A message showed the owner's fencing token: nothing that an earlier owner sent can still start here. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** The session to address a command to. One that only an unverified heartbeat named will do, if there is no other. */
  get addressedIncarnation(): number {
    return this.#incarnation > 0 ? this.#incarnation : this.#unverifiedIncarnation;
  }

  /**
   * Whether the worker's heartbeats are known to be no copies from before. One whose lease expired before any heartbeat
   * of it was verified proves its messages new like any other: otherwise a heartbeat that was held up would bring back
   * what ended with its session.
   */
  get areHeartbeatsVerified(): boolean {
    return this.#isConfirmed && (this.#incarnation > 0 || this.#wasNeverAnswered);
  }

  /** Whether this message is newer than all that is known of the worker. */
  isNewer(heartbeat: WorkerHeartbeat): boolean {
    return (
      heartbeat.incarnation > this.#incarnation ||
      (heartbeat.incarnation === this.#incarnation && heartbeat.sequence > this.#sequence)
    );
  }

  /** From this time on the worker has killed and forgotten all that it had. */
  leaseExpiresAt(leaseMs: number): number {
    return this.#latestLeaseStart + leaseMs * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_MS;
  }

  /** Whether its heartbeats have been missing for so long; counted from when the machine became known, if none came. */
  hasMissedHeartbeats(now: number, missedMs: number): boolean {
    return now - (this.#lastHeartbeatAt ?? this.firstSeenAt) > missedMs;
  }

  /** Whether a heartbeat came, and not longer ago than this. */
  hasRecentHeartbeat(now: number, missedMs: number): boolean {
    return this.#lastHeartbeatAt !== undefined && now - this.#lastHeartbeatAt <= missedMs;
  }

  /** Whether starts that are issued now would arrive, and would not be dropped. */
  mayReceiveStarts(now: number, leaseMs: number, missedMs: number): boolean {
    return (
      this.#isConfirmed &&
      // Its heartbeats may arrive while no command reaches it: what is issued there would be stuck until its lease ends.
      this.#unresponsiveSince === undefined &&
      // An answer to a command shows that the worker is there, but only an answered heartbeat renews its lease. What is
      // issued to a worker whose lease has run out by our count would be dropped at once, though it starts.
      now < this.#lastRenewalAt + leaseMs &&
      this.hasRecentHeartbeat(now, missedMs)
    );
  }

  /**
   * A start that was never answered may be carried out minutes later, while the worker's token and session still
   * match; so its absence from a heartbeat proves nothing before the worker has seen a higher token.
   */
  isStartUnconfirmed(attempt: Attempt): boolean {
    return (
      attempt.isStartInFlight ||
      (attempt.phase === 'starting' && this.#fencingTokenSeen <= fencingTokenOf(attempt.number))
    );
  }

  /**
   * After `forget` a late or repeated copy of the start would start the attempt anew: it must not be sent before the
   * worker refuses the token of that start.
   */
  isSafeToForget(attempt: Attempt): boolean {
    return (
      attempt.phase === 'exited' &&
      !attempt.isStartInFlight &&
      this.#fencingTokenSeen > fencingTokenOf(attempt.number)
    );
  }

  /** A message shows a later session than all before. */
  beginIncarnation(incarnation: number, now: number, leaseMs: number): void {
    // It was answered not long ago, yet its lease ran out: the answers don't reach it.
    if (this.#incarnation > 0 && now - this.#lastRenewalAt < leaseMs / 2) this.#unresponsiveSince ??= now;
    this.#incarnation = incarnation;
    // A session has a full lease from its beginning, which may be as late as now, though no heartbeat of it was ever
    // answered: counted from an earlier answer, its lease would seem expired while its tasks run.
    this.assumeHeartbeatAnswered(now);
    this.#lastRenewalAt = now;
  }

  /** A message that is newer than all before it. */
  heartbeatReceived(heartbeat: WorkerHeartbeat, now: number): void {
    this.#sequence = heartbeat.sequence;
    this.#fencingTokenSeen = Math.max(this.#fencingTokenSeen, heartbeat.fencingToken);
    this.#lastHeartbeatAt = now;
  }

  /**
   * A heartbeat came that may be a copy from before. The session that it names is good enough to address a probe, and
   * for nothing else. Returns how many such heartbeats came before the machine was confirmed.
   */
  unverifiedHeartbeatReceived(incarnation: number): number {
    this.#unverifiedIncarnation = incarnation;
    if (!this.#isConfirmed) this.#unverifiedHeartbeats += 1;
    return this.#unverifiedHeartbeats;
  }

  /** A heartbeat is answered, be it a late copy: that counts for how long the worker's tasks may live. */
  heartbeatAnswered(now: number): void {
    this.#latestLeaseStart = now;
  }

  /**
   * A heartbeat that was news is answered, which renews the worker's lease. The answer to a late copy reaches no worker,
   * so it may not count for the worker's life; it does count, in `heartbeatAnswered`, for how long its tasks may live.
   */
  leaseRenewed(now: number): void {
    this.#lastRenewalAt = now;
  }

  /** Another controller may have answered the worker until now: its lease may have begun as late as that. */
  assumeHeartbeatAnswered(now: number): void {
    this.#latestLeaseStart = Math.max(this.#latestLeaseStart, now);
  }

  /** It is the machine's turn to be probed. */
  probed(now: number): void {
    this.#lastProbeAt = now;
  }

  /** The last command was answered: executed or refused. */
  commandAnswered(): void {
    this.#isLastCommandUnanswered = false;
    this.#unresponsiveSince = undefined;
  }

  /** The last command could not be sent. */
  commandNotSent(): void {
    this.#isLastCommandUnanswered = true;
  }

  /** The last command was sent and got no answer. */
  commandUnanswered(now: number): void {
    this.#isLastCommandUnanswered = true;
    this.#unresponsiveSince ??= now;
    this.#lastProbeAt = now;
  }

  /** Nothing that an earlier owner sent can still start here. */
  confirm(): void {
    this.#isConfirmed = true;
  }

  /** No owner can have answered it, so that its first heartbeat is no copy from before. */
  markNeverAnswered(): void {
    this.#wasNeverAnswered = true;
  }
}
