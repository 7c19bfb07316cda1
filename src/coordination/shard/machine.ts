/** @file One machine as the owner of its shard tracks it. */
import type { MachineRecord } from '../../bookkeeping/records';
import type { MachineType, Resources, WorkerHeartbeat } from '../../protocol/model';
import { MAX_TASKS_PER_MACHINE } from '../../protocol/workers';
import type { Attempt, AttemptChange, TaskDescription } from './attempt';
import { FailureStreak } from './failure-streak';
import { ImageCache } from './image-cache';
import { MachineAttempts } from './machine-attempts';
import { MachineResources, type OccupancyListener } from './machine-resources';
import { WorkerLiveness } from './worker-liveness';

const BACKOFF_MS = 2_000;

/** The reason why a machine gets no more tasks and is released as soon as possible. */
export type DrainReason = 'idle' | 'spot notice' | 'unresponsive' | 'late boot' | 'quarantined' | 'underused';

/** Arguments of `Machine`. */
export interface MachineOptions {
  readonly id: string;
  readonly record: MachineRecord;
  readonly type: MachineType;
  /** Monotonic time when this owner first saw the machine; an earlier owner may have answered its worker until then. */
  readonly firstSeenAt: number;
  /** Monotonic time of the machine's rental, or of its adoption if the leader adopted it. */
  readonly rentedSince: number;
  readonly listener?: OccupancyListener;
}

/** A machine, its worker, and the attempts on it, unconfirmed ones included. */
export class Machine {
  readonly id: string;
  readonly record: MachineRecord;
  readonly type: MachineType;
  readonly rentedSince: number;
  readonly worker: WorkerLiveness;
  /** Consecutive task failures on this machine. */
  readonly failures = new FailureStreak();
  readonly #resources: MachineResources;
  readonly #images: ImageCache;
  readonly #attempts: MachineAttempts;
  #isUp: boolean;
  #hasSentHeartbeat = false;
  #idleSince: number;
  #spotNoticeDeadline: number | undefined;
  #isQuarantined = false;
  #drainReason: DrainReason | undefined;
  #isReleaseRequested = false;
  #isTerminated = false;
  #backoffUntil = 0;

  constructor({ id, record, type, firstSeenAt, rentedSince, listener }: MachineOptions) {
    this.id = id;
    this.record = record;
    this.type = type;
    this.rentedSince = rentedSince;
    this.#isUp = record.up;
    this.#idleSince = firstSeenAt;
    // A machine is recorded as up before its first heartbeat gets a response. If it isn't, no owner has responded.
    this.worker = new WorkerLiveness(firstSeenAt, !record.up);
    this.#resources = new MachineResources(this, listener);
    this.#images = new ImageCache(type.cacheGb);
    this.#attempts = new MachineAttempts(this.worker, this.#resources, this.#images);
  }

  /** Monotonic time when this owner first saw the machine. */
  get firstSeenAt(): number {
    return this.worker.firstSeenAt;
  }

  /** Arrival time of the worker's newest message; delayed older messages don't count. */
  get lastHeartbeatAt(): number | undefined {
    return this.worker.lastHeartbeatAt;
  }

  /** The latest time at which the worker's current lease can have begun. */
  get latestLeaseStart(): number {
    return this.worker.latestLeaseStart;
  }

  /** Time when the worker became unresponsive, though its heartbeats may still arrive; undefined while it responds. */
  get unresponsiveSince(): number | undefined {
    return this.worker.unresponsiveSince;
  }

  /** Whether the last command to the machine's worker got no response. */
  get isLastCommandUnanswered(): boolean {
    return this.worker.isLastCommandUnanswered;
  }

  /** Whether the machine's worker can no longer execute commands of earlier owners. */
  get isConfirmed(): boolean {
    return this.worker.isConfirmed;
  }

  /** Monotonic time after which the worker's lease is certainly expired, and its attempts are killed and forgotten. */
  leaseExpiresAt(leaseMs: number): number {
    return this.worker.leaseExpiresAt(leaseMs);
  }

  /** Whether the worker's last heartbeat, or `firstSeenAt` if there is none, is more than `missedMs` ago. */
  hasMissedHeartbeats(now: number, missedMs: number): boolean {
    return this.worker.hasMissedHeartbeats(now, missedMs);
  }

  /** Assumes that another controller responded to the worker as late as now, which renewed the worker's lease. */
  assumeHeartbeatAnswered(now: number): void {
    this.worker.assumeHeartbeatAnswered(now);
  }

  /** The attempts on the machine by their keys, unconfirmed ones included. */
  get attempts(): ReadonlyMap<string, Attempt> {
    return this.#attempts.byKey;
  }

  /** Sizes of the images that the machine is estimated to have cached, least recently used first. */
  get cachedImages(): ReadonlyMap<string, number> {
    return this.#images.sizesGb;
  }

  /** CPUs of the machine that no attempt occupies. */
  get freeCpus(): number {
    return this.#resources.freeCpus;
  }

  /** How many more tasks the machine may have. */
  get freeTasks(): number {
    return Math.max(0, MAX_TASKS_PER_MACHINE - this.attempts.size);
  }

  /** Whether any attempt occupies resources of the machine. */
  get isBusy(): boolean {
    return this.#resources.isBusy;
  }

  /** A new object with the machine's free resources, which the caller may modify. */
  freeResources(): Resources {
    return this.#resources.free();
  }

  /** Adds an attempt that this owner issues. */
  addAttempt(attempt: Attempt): void {
    this.#attempts.add(attempt);
  }

  /** Marks the image as most recently used. */
  touchImage(image: string, imageGb: number): void {
    this.#images.touch(image, imageGb);
  }

  /** Removes an attempt that was certainly never started: its start command was refused or never sent. */
  discardUnstarted(key: string): AttemptChange | undefined {
    return this.#attempts.discardUnstarted(key);
  }

  /** Removes all attempts: the worker has stopped them, or the machine is gone. */
  dropAllAttempts(): AttemptChange[] {
    return this.#attempts.dropAll();
  }

  /**
   * Applies a message of the worker; `describe` describes the tasks of attempts that this owner didn't issue. Messages
   * may be delayed and reordered: a message that is older than one already applied changes nothing.
   */
  reconcile(
    heartbeat: WorkerHeartbeat,
    now: number,
    leaseMs: number,
    describe: (job: string) => TaskDescription,
  ): AttemptChange[] {
    if (!this.worker.isNewer(heartbeat)) return [];
    const changes: AttemptChange[] = [];
    if (heartbeat.incarnation > this.worker.incarnation) {
      // The worker killed all attempts when it began this incarnation, and rejects delayed commands for earlier ones.
      changes.push(...this.dropAllAttempts());
      this.worker.beginIncarnation(heartbeat.incarnation, now, leaseMs);
      this.#images.clear();
    }
    this.worker.heartbeatReceived(heartbeat, now);
    this.#updateSpotNotice(heartbeat.spotNoticeS, now);
    changes.push(...this.#attempts.reconcile(heartbeat.attempts, now, describe));
    return changes;
  }

  /** Whether the machine is recorded as up; only then do its worker's heartbeats get responses. */
  get isUp(): boolean {
    return this.#isUp;
  }

  /** Whether the worker has sent a heartbeat; until `isUp`, the write of the machine's record is pending. */
  get hasSentHeartbeat(): boolean {
    return this.#hasSentHeartbeat;
  }

  /** Monotonic time since which the machine has been idle; used by scale-in. */
  get idleSince(): number {
    return this.#idleSince;
  }

  /** Time at which the cloud takes the spot machine back, according to its interruption notice. */
  get spotNoticeDeadline(): number | undefined {
    return this.#spotNoticeDeadline;
  }

  /** Whether the machine gets no more tasks, because it counts as faulty; see `QuarantinePolicy`. */
  get isQuarantined(): boolean {
    return this.#isQuarantined;
  }

  /** Reason why the machine gets no more tasks and is released as soon as possible; undefined while not drained. */
  get drainReason(): DrainReason | undefined {
    return this.#drainReason;
  }

  /** Whether the machine's release was requested from the cloud; if so, it may disappear at any moment. */
  get isReleaseRequested(): boolean {
    return this.#isReleaseRequested;
  }

  /** Whether the cloud confirmed the machine's termination; if so, delayed heartbeats of it must change nothing. */
  get isTerminated(): boolean {
    return this.#isTerminated;
  }

  /** Whether tasks may be placed on the machine. */
  isSchedulable(now: number, leaseMs: number, missedMs: number): boolean {
    return (
      this.#isUp &&
      this.#drainReason === undefined &&
      !this.#isQuarantined &&
      now >= this.#backoffUntil &&
      this.worker.mayReceiveStarts(now, leaseMs, missedMs)
    );
  }

  /** Notes the worker's first heartbeat; the machine is about to be recorded as up. */
  firstHeartbeatReceived(): void {
    this.#hasSentHeartbeat = true;
  }

  /** Notes that the machine is recorded as up, with this address. */
  markUp(address: string, now: number): void {
    this.#isUp = true;
    this.record.address = address;
    this.#idleSince = now;
  }

  restartIdleTime(now: number): void {
    this.#idleSince = now;
  }

  #updateSpotNotice(noticeS: number | null, now: number): void {
    if (noticeS === null) this.#spotNoticeDeadline = undefined;
    else this.#spotNoticeDeadline = Math.min(this.#spotNoticeDeadline ?? Infinity, now + noticeS * 1000);
  }

  /** Stops placement for `BACKOFF_MS`, after a start was refused for lack of resources or a command got no response. */
  backOff(now: number): void {
    this.#backoffUntil = now + BACKOFF_MS;
  }

  /** Stops the placement of tasks on the machine. */
  quarantine(): void {
    this.#isQuarantined = true;
  }

  /** Drains the machine: it gets no more tasks and is released as soon as possible. A reason set earlier is kept. */
  drain(reason: DrainReason): void {
    this.#drainReason ??= reason;
  }

  /** Drains the machine as unresponsive, in place of any other reason: it is released even with attempts on it. */
  drainAsUnresponsive(): void {
    this.#drainReason = 'unresponsive';
  }

  /** Ends a drain as unresponsive if the worker responds again and the machine's release was not requested yet. */
  cancelDrainIfResponsive(): void {
    const isDrainedAsUnresponsive = this.#drainReason === 'unresponsive' && !this.#isReleaseRequested;
    if (isDrainedAsUnresponsive && this.worker.unresponsiveSince === undefined) this.#drainReason = undefined;
  }

  /** Notes that the machine's release is requested from the cloud. */
  markReleaseRequested(): void {
    this.#isReleaseRequested = true;
  }

  /** Notes that the cloud confirmed the machine's termination. */
  markTerminated(): void {
    this.#isTerminated = true;
  }
}
