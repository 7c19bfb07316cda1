/**
 * @file The state of the worker on one machine: its incarnation, its lease, and the fencing token that it has seen.
 */
import { maxUint64, type Uint64 } from '../../base/uint64';
import { MAX_CLOCK_DRIFT } from '../../bookkeeping/session';
import type { WorkerHeartbeat } from '../../protocol/model';
import { fencingTokenOf, type Attempt } from './attempt';

/** Safety margin after the end of a worker's lease before the lease counts as expired. */
const LEASE_EXPIRY_MARGIN_MS = 500;

/**
 * Tracks the state of one worker by its messages. Messages may be delayed, reordered and duplicated, and may have been
 * sent before this owner acquired the shard. All times are monotonic.
 */
export class WorkerLiveness {
  #incarnation: Uint64 = 0;
  #sequence: Uint64 = -1;
  #fencingTokenSeen: Uint64 = 0;
  #lastHeartbeatAt: number | undefined;
  #latestLeaseStart: number;
  #lastRenewalAt: number;
  #unresponsiveSince: number | undefined;
  #unverifiedIncarnation: Uint64 = 0;
  #unverifiedHeartbeats = 0;
  #lastProbeAt = -Infinity;
  #isLastCommandUnanswered = false;
  #isConfirmed: boolean;
  #wasNeverAnswered: boolean;

  constructor(
    /** Time when this owner first saw the machine. The previous owner may have responded to the worker until then. */
    readonly firstSeenAt: number,
    wasNeverAnswered: boolean,
  ) {
    this.#latestLeaseStart = firstSeenAt;
    this.#lastRenewalAt = firstSeenAt;
    this.#wasNeverAnswered = wasNeverAnswered;
    // A worker that never got a response or a command can't have an attempt, so its machine is confirmed.
    this.#isConfirmed = wasNeverAnswered;
  }

  /** The latest incarnation in the worker's messages; 0 before the first verified message. */
  get incarnation(): Uint64 {
    return this.#incarnation;
  }

  /** The highest fencing token in the worker's messages: the worker rejects commands with a lower one. */
  get fencingTokenSeen(): Uint64 {
    return this.#fencingTokenSeen;
  }

  /** Arrival time of the newest message; delayed older messages don't count. */
  get lastHeartbeatAt(): number | undefined {
    return this.#lastHeartbeatAt;
  }

  /** Latest possible start of the worker's lease: since then no heartbeat got a response, and no incarnation began. */
  get latestLeaseStart(): number {
    return this.#latestLeaseStart;
  }

  /**
   * Time when the worker became unresponsive; undefined while it responds. Its heartbeats may still arrive, but a
   * command got no response, or its lease expired although its heartbeats got responses. It gets no start commands
   * until another command gets a response.
   */
  get unresponsiveSince(): number | undefined {
    return this.#unresponsiveSince;
  }

  /** Time of the last probe, or of the last command without a response if that is later. */
  get lastProbeAt(): number {
    return this.#lastProbeAt;
  }

  /** Whether the last command got no response, whether or not the worker received it. */
  get isLastCommandUnanswered(): boolean {
    return this.#isLastCommandUnanswered;
  }

  /** Whether the worker can no longer execute commands of earlier owners: it rejects them, or was never sent one. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** The incarnation to address commands to; that of an unverified heartbeat if no other is known. */
  get addressedIncarnation(): Uint64 {
    return this.#incarnation > 0 ? this.#incarnation : this.#unverifiedIncarnation;
  }

  /**
   * Whether new heartbeats of the worker were certainly sent after this owner acquired the shard. If its lease expired
   * before any of its heartbeats was verified, it must still show the owner's token or respond to a command. Otherwise
   * a delayed heartbeat would bring back attempts that ended with its incarnation.
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

  /** Monotonic time after which the worker's lease is certainly expired, and its attempts are killed and forgotten. */
  leaseExpiresAt(leaseMs: number): number {
    return this.#latestLeaseStart + leaseMs * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_MS;
  }

  /** Whether the last heartbeat, or `firstSeenAt` if there is none, is more than `missedMs` ago. */
  hasMissedHeartbeats(now: number, missedMs: number): boolean {
    return now - (this.#lastHeartbeatAt ?? this.firstSeenAt) > missedMs;
  }

  /** Whether a heartbeat arrived within the last `missedMs`. */
  hasRecentHeartbeat(now: number, missedMs: number): boolean {
    return this.#lastHeartbeatAt !== undefined && now - this.#lastHeartbeatAt <= missedMs;
  }

  /** Whether attempts issued now would start, and would not be dropped by this owner. */
  mayReceiveStarts(now: number, leaseMs: number, missedMs: number): boolean {
    return (
      this.#isConfirmed &&
      // Heartbeats may arrive although commands don't reach the worker: attempts would be stuck until lease expiry.
      this.#unresponsiveSince === undefined &&
      // A response to a command shows that the worker is reachable, but only responses to heartbeats renew its lease.
      // If the lease has expired by this owner's count, an attempt issued now would start and yet be dropped at once.
      now < this.#lastRenewalAt + leaseMs &&
      this.hasRecentHeartbeat(now, missedMs)
    );
  }

  /**
   * Whether the worker may still execute the attempt's start command. A start command without a response may arrive
   * minutes late, and is executed if the worker's token and incarnation still match. So an attempt that is missing from
   * a heartbeat may still start, until the worker has seen a higher token.
   */
  isStartUnconfirmed(attempt: Attempt): boolean {
    return (
      attempt.isStartInFlight ||
      (attempt.phase === 'starting' && this.#fencingTokenSeen <= fencingTokenOf(attempt.number))
    );
  }

  /**
   * Whether a `forget` command may be sent for the attempt. After that, a delayed or duplicated start command would
   * start the attempt again, so the worker must already reject the token of that command.
   */
  isSafeToForget(attempt: Attempt): boolean {
    return (
      attempt.phase === 'exited' &&
      !attempt.isStartInFlight &&
      this.#fencingTokenSeen > fencingTokenOf(attempt.number)
    );
  }

  /** Handles the first message of a new incarnation. */
  beginIncarnation(incarnation: Uint64, now: number, leaseMs: number): void {
    // The lease expired on the worker although it was renewed recently, so the worker receives no responses.
    if (this.#incarnation > 0 && now - this.#lastRenewalAt < leaseMs / 2) this.#unresponsiveSince ??= now;
    this.#incarnation = incarnation;
    // An incarnation begins with a full lease, perhaps just now, even if none of its heartbeats got a response. If the
    // lease were counted from an earlier response, it would seem expired while tasks of the incarnation run.
    this.assumeHeartbeatAnswered(now);
    this.#lastRenewalAt = now;
  }

  /** Handles a heartbeat that is newer than all others by incarnation and sequence number, not by arrival. */
  heartbeatReceived(heartbeat: WorkerHeartbeat, now: number): void {
    this.#sequence = heartbeat.sequence;
    this.#fencingTokenSeen = maxUint64(this.#fencingTokenSeen, heartbeat.fencingToken);
    this.#lastHeartbeatAt = now;
  }

  /**
   * Handles a heartbeat that may have been sent before this owner acquired the shard. Its incarnation is only used to
   * address a probe. Returns how many such heartbeats arrived before the machine was confirmed.
   */
  unverifiedHeartbeatReceived(incarnation: Uint64): number {
    this.#unverifiedIncarnation = incarnation;
    if (!this.#isConfirmed) this.#unverifiedHeartbeats += 1;
    return this.#unverifiedHeartbeats;
  }

  /** Notes that a heartbeat, maybe a delayed duplicate, got a response: attempts may run for a lease duration. */
  heartbeatAnswered(now: number): void {
    this.#latestLeaseStart = now;
  }

  /**
   * Notes that a new heartbeat gets a response, which renews the worker's lease. The response to a delayed duplicate
   * reaches no worker, so only `heartbeatAnswered` counts it, which tracks how long the worker's attempts may run.
   */
  leaseRenewed(now: number): void {
    this.#lastRenewalAt = now;
  }

  /** Assumes that another controller responded to the worker as late as now, which renewed its lease. */
  assumeHeartbeatAnswered(now: number): void {
    this.#latestLeaseStart = Math.max(this.#latestLeaseStart, now);
  }

  /** Notes that the machine is being probed. */
  probed(now: number): void {
    this.#lastProbeAt = now;
  }

  /** Notes that the last command got a response: it was executed or refused. */
  commandAnswered(): void {
    this.#isLastCommandUnanswered = false;
    this.#unresponsiveSince = undefined;
  }

  /** Notes that the last command could not be sent. */
  commandNotSent(): void {
    this.#isLastCommandUnanswered = true;
  }

  /** Notes that the last command was sent and got no response. */
  commandUnanswered(now: number): void {
    this.#isLastCommandUnanswered = true;
    this.#unresponsiveSince ??= now;
    this.#lastProbeAt = now;
  }

  /** Marks the worker as confirmed: no command of an earlier owner can be executed any more. */
  confirm(): void {
    this.#isConfirmed = true;
  }

  /** Notes that no owner has responded to the worker, so its heartbeats need no verification. */
  markNeverAnswered(): void {
    this.#wasNeverAnswered = true;
  }
}
