/**
 * @file The state of the worker on one machine: its incarnation, its lease, and the fencing token that it has seen.
 */
import { MAX_CLOCK_DRIFT } from '../../bookkeeping/session';
import type { WorkerHeartbeat } from '../../protocol/model';
import { fencingTokenOf, type Attempt } from './attempt';

/** Safety margin after the end of a worker's lease before the lease counts as expired. */
const LEASE_EXPIRY_MARGIN_MS = 500;

/**
 * Tracks the state of one worker by its messages. Messages may be delayed, reordered and duplicated, and may have been
 * sent before this owner acquired the shard. All times are steady.
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
    /** When this owner first saw the machine. The previous owner may have responded to the worker until then. */
    readonly firstSeenAt: number,
    wasNeverAnswered: boolean,
  ) {
    this.#latestLeaseStart = firstSeenAt;
    this.#lastRenewalAt = firstSeenAt;
    this.#wasNeverAnswered = wasNeverAnswered;
    // A machine whose worker never got a response or a command can't have an attempt.
    this.#isConfirmed = wasNeverAnswered;
  }

  /** The latest incarnation in the worker's messages; 0 before the first verified message. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** The highest fencing token in the worker's messages: the worker rejects commands with a lower one. */
  get fencingTokenSeen(): number {
    return this.#fencingTokenSeen;
  }

  /** When the latest message arrived; delayed older messages don't count. */
  get lastHeartbeatAt(): number | undefined {
    return this.#lastHeartbeatAt;
  }

  /** Latest possible start of the worker's lease: no later heartbeat got a response, no later incarnation began. */
  get latestLeaseStart(): number {
    return this.#latestLeaseStart;
  }

  /**
   * When the worker became unresponsive; undefined while it responds. Its heartbeats may still arrive, but a command
   * got no response, or its lease expired although its heartbeats got responses. It is sent no starts until a command
   * gets a response.
   */
  get unresponsiveSince(): number | undefined {
    return this.#unresponsiveSince;
  }

  /** When it was last probed, or a command to it last got no response. */
  get lastProbeAt(): number {
    return this.#lastProbeAt;
  }

  /** Whether the last command got no response, whether or not the worker received it. */
  get isLastCommandUnanswered(): boolean {
    return this.#isLastCommandUnanswered;
  }

  /** No command of an earlier owner can be executed any more: the worker rejects them, or was never sent one. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** The incarnation to address commands to; that of an unverified heartbeat if no other is known. */
  get addressedIncarnation(): number {
    return this.#incarnation > 0 ? this.#incarnation : this.#unverifiedIncarnation;
  }

  /**
   * Whether the worker's heartbeats can't date from before this owner acquired the shard. A worker whose lease expired
   * before any of its heartbeats was verified must still show the owner's token or respond to a command: otherwise a
   * delayed heartbeat would bring back attempts that ended with its incarnation.
   */
  get areHeartbeatsVerified(): boolean {
    return this.#isConfirmed && (this.#incarnation > 0 || this.#wasNeverAnswered);
  }

  /** Whether the message is newer than all earlier ones of the worker. */
  isNewer(heartbeat: WorkerHeartbeat): boolean {
    return (
      heartbeat.incarnation > this.#incarnation ||
      (heartbeat.incarnation === this.#incarnation && heartbeat.sequence > this.#sequence)
    );
  }

  /** When the worker's lease has expired for certain: by then the worker has killed and forgotten all its attempts. */
  leaseExpiresAt(leaseMs: number): number {
    return this.#latestLeaseStart + leaseMs * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_MS;
  }

  /** Whether its last heartbeat is older than this; without a heartbeat, time counts from `firstSeenAt`. */
  hasMissedHeartbeats(now: number, missedMs: number): boolean {
    return now - (this.#lastHeartbeatAt ?? this.firstSeenAt) > missedMs;
  }

  /** Whether a heartbeat arrived within this time. */
  hasRecentHeartbeat(now: number, missedMs: number): boolean {
    return this.#lastHeartbeatAt !== undefined && now - this.#lastHeartbeatAt <= missedMs;
  }

  /** Whether attempts issued now would start, and would not be dropped by this owner. */
  mayReceiveStarts(now: number, leaseMs: number, missedMs: number): boolean {
    return (
      this.#isConfirmed &&
      // Its heartbeats may arrive while commands don't: an attempt issued there would be stuck until its lease expires.
      this.#unresponsiveSince === undefined &&
      // A response to a command shows that the worker is reachable, but only responses to heartbeats renew its lease.
      // If the lease has expired by this owner's count, an attempt issued now would start and yet be dropped at once.
      now < this.#lastRenewalAt + leaseMs &&
      this.hasRecentHeartbeat(now, missedMs)
    );
  }

  /**
   * Whether the worker may still execute the attempt's start. A start command without a response may arrive minutes
   * late, and is executed if the worker's token and incarnation still match. So absence from a heartbeat does not show
   * that the attempt won't start until the worker has seen a higher token.
   */
  isStartUnconfirmed(attempt: Attempt): boolean {
    return (
      attempt.isStartInFlight ||
      (attempt.phase === 'starting' && this.#fencingTokenSeen <= fencingTokenOf(attempt.number))
    );
  }

  /**
   * Whether `forget` may be sent for the attempt. After it, a delayed or duplicated start command would start the
   * attempt again, so the worker must already reject the token of that command.
   */
  isSafeToForget(attempt: Attempt): boolean {
    return (
      attempt.phase === 'exited' &&
      !attempt.isStartInFlight &&
      this.#fencingTokenSeen > fencingTokenOf(attempt.number)
    );
  }

  /** Handles the first message of a new incarnation. */
  beginIncarnation(incarnation: number, now: number, leaseMs: number): void {
    // Its lease was renewed not long ago and yet expired at the worker: the responses don't reach it.
    if (this.#incarnation > 0 && now - this.#lastRenewalAt < leaseMs / 2) this.#unresponsiveSince ??= now;
    this.#incarnation = incarnation;
    // An incarnation begins with a full lease, perhaps as late as now, even if none of its heartbeats got a response.
    // Counted from an earlier response, the lease would seem expired while its tasks run.
    this.assumeHeartbeatAnswered(now);
    this.#lastRenewalAt = now;
  }

  /** Handles a message that is newer than all earlier ones. */
  heartbeatReceived(heartbeat: WorkerHeartbeat, now: number): void {
    this.#sequence = heartbeat.sequence;
    this.#fencingTokenSeen = Math.max(this.#fencingTokenSeen, heartbeat.fencingToken);
    this.#lastHeartbeatAt = now;
  }

  /**
   * Handles a heartbeat that may have been sent before this owner acquired the shard. Its incarnation is only used to
   * address a probe. Returns how many such heartbeats arrived before the machine was confirmed.
   */
  unverifiedHeartbeatReceived(incarnation: number): number {
    this.#unverifiedIncarnation = incarnation;
    if (!this.#isConfirmed) this.#unverifiedHeartbeats += 1;
    return this.#unverifiedHeartbeats;
  }

  /** A heartbeat, perhaps a delayed duplicate, got a response: the worker's attempts may live for a lease from now. */
  heartbeatAnswered(now: number): void {
    this.#latestLeaseStart = now;
  }

  /**
   * A new heartbeat gets a response, which renews the worker's lease. The response to a delayed duplicate reaches no
   * worker, so it isn't counted here, but only in `heartbeatAnswered`, for how long the worker's attempts may live.
   */
  leaseRenewed(now: number): void {
    this.#lastRenewalAt = now;
  }

  /** Assumes that another controller responded to the worker as late as now, which renewed its lease. */
  assumeHeartbeatAnswered(now: number): void {
    this.#latestLeaseStart = Math.max(this.#latestLeaseStart, now);
  }

  /** The machine is being probed. */
  probed(now: number): void {
    this.#lastProbeAt = now;
  }

  /** The last command got a response: executed or refused. */
  commandAnswered(): void {
    this.#isLastCommandUnanswered = false;
    this.#unresponsiveSince = undefined;
  }

  /** The last command could not be sent. */
  commandNotSent(): void {
    this.#isLastCommandUnanswered = true;
  }

  /** The last command was sent and got no response. */
  commandUnanswered(now: number): void {
    this.#isLastCommandUnanswered = true;
    this.#unresponsiveSince ??= now;
    this.#lastProbeAt = now;
  }

  /** Marks the worker as confirmed: no command of an earlier owner can be executed any more. */
  confirm(): void {
    this.#isConfirmed = true;
  }

  /** Notes that no owner has responded to the worker, so its heartbeats can't date from before this owner. */
  markNeverAnswered(): void {
    this.#wasNeverAnswered = true;
  }
}
