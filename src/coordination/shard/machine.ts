/** @file One machine as the owner of its shard knows it. */
import type { MachineRecord } from '../../bookkeeping/records';
import type { MachineType, Resources, WorkerHeartbeat } from '../../protocol/model';
import type { Attempt, AttemptChange, TaskDescription } from './attempt';
import { FailureStreak } from './failure-streak';
import { ImageCache } from './image-cache';
import { MachineAttempts } from './machine-attempts';
import { MachineResources, type OccupancyListener } from './machine-resources';
import { WorkerLiveness } from './worker-liveness';

const BACKOFF_MS = 2_000;

/** Why a machine takes no more tasks and is returned as soon as it may be. */
export type DrainReason = 'idle' | 'spot notice' | 'unresponsive' | 'late boot' | 'quarantined' | 'underused';

/** What a machine is made from. */
export interface MachineOptions {
  readonly id: string;
  readonly record: MachineRecord;
  readonly type: MachineType;
  /** Since when this owner knows it, in steady time. The owner before it can have answered its worker until then. */
  readonly firstSeenAt: number;
  /** When it was rented, in steady time. */
  readonly rentedSince: number;
  readonly listener?: OccupancyListener;
}

/** A machine, its worker, and what is on it or may be. */
export class Machine {
  readonly id: string;
  readonly record: MachineRecord;
  readonly type: MachineType;
  readonly rentedSince: number;
  /** What is known of its worker. */
  readonly worker: WorkerLiveness;
  /** Tasks that failed here since the last success. */
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

  constructor({ id, record, type, firstSeenAt, rentedSince: knownSince, listener }: MachineOptions) {
    this.id = id;
    this.record = record;
    this.type = type;
    this.rentedSince = knownSince;
    this.#isUp = record.up;
    this.#idleSince = firstSeenAt;
    // Before its first answer it is recorded as up; so one that isn't was never answered by the owners before this one.
    this.worker = new WorkerLiveness(firstSeenAt, !record.up);
    this.#resources = new MachineResources(this, listener);
    this.#images = new ImageCache(type.cacheGb);
    this.#attempts = new MachineAttempts(this.worker, this.#resources, this.#images);
  }

  // Its worker.

  /** Since when this owner knows it. */
  get firstSeenAt(): number {
    return this.worker.firstSeenAt;
  }

  /** When the last message came that was newer than all before it. */
  get lastHeartbeatAt(): number | undefined {
    return this.worker.lastHeartbeatAt;
  }

  /** The worker's lease can't have begun later. */
  get latestLeaseStart(): number {
    return this.worker.latestLeaseStart;
  }

  /** Since when it has shown no sign of receiving this owner's messages, though its heartbeats may arrive. */
  get unresponsiveSince(): number | undefined {
    return this.worker.unresponsiveSince;
  }

  /** The last command to it was not answered, whether it arrived or not. */
  get isLastCommandUnanswered(): boolean {
    return this.worker.isLastCommandUnanswered;
  }

  /** A message showed the owner's fencing token: nothing that an earlier owner sent can still start here. */
  get isConfirmed(): boolean {
    return this.worker.isConfirmed;
  }

  /** From this time on the worker has killed and forgotten all that it had. */
  leaseExpiresAt(leaseMs: number): number {
    return this.worker.leaseExpiresAt(leaseMs);
  }

  /** Whether its heartbeats have been missing for so long. */
  hasMissedHeartbeats(now: number, missedMs: number): boolean {
    return this.worker.hasMissedHeartbeats(now, missedMs);
  }

  /** Another controller may have answered its worker until now: its lease may have begun as late as that. */
  assumeHeartbeatAnswered(now: number): void {
    this.worker.assumeHeartbeatAnswered(now);
  }

  // What is on it.

  /** The attempts on it, or that may be, by their keys. */
  get attempts(): ReadonlyMap<string, Attempt> {
    return this.#attempts.byKey;
  }

  /** Images that it should hold, least recently used first, and their sizes. */
  get cachedImages(): ReadonlyMap<string, number> {
    return this.#images.sizesGb;
  }

  /** CPUs that no attempt occupies. */
  get freeCpus(): number {
    return this.#resources.freeCpus;
  }

  /** Whether any attempt occupies resources. */
  get isBusy(): boolean {
    return this.#resources.isBusy;
  }

  /** What is free, as an object of the caller's own. */
  freeResources(): Resources {
    return this.#resources.free();
  }

  /** Puts an attempt on the machine that is issued by this owner. */
  addAttempt(attempt: Attempt): void {
    this.#attempts.add(attempt);
  }

  /** The image is used, or about to be. */
  touchImage(image: string, imageGb: number): void {
    this.#images.touch(image, imageGb);
  }

  /** The start certainly never happened (refused, or never sent). */
  discardUnstarted(key: string): AttemptChange | undefined {
    return this.#attempts.discardUnstarted(key);
  }

  /** All that was on the machine is gone. */
  dropAllAttempts(): AttemptChange[] {
    return this.#attempts.dropAll();
  }

  /**
   * Takes in what a message of the worker says; `describe` describes tasks that we did not issue. Messages come late and
   * out of order: an old one must change nothing.
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
      // A later session proves that everything of the earlier ones is gone, late commands for them included.
      changes.push(...this.dropAllAttempts());
      this.worker.beginIncarnation(heartbeat.incarnation, now, leaseMs);
      this.#images.clear();
    }
    this.worker.heartbeatReceived(heartbeat, now);
    this.#updateSpotNotice(heartbeat.spotNoticeS, now);
    changes.push(...this.#attempts.reconcile(heartbeat.attempts, now, describe));
    return changes;
  }

  // Whether it is used.

  /** It is recorded as up: from then on its worker's heartbeats are answered. */
  get isUp(): boolean {
    return this.#isUp;
  }

  /** Its worker has sent a heartbeat: while it isn't up, only the record of that is missing. */
  get hasSentHeartbeat(): boolean {
    return this.#hasSentHeartbeat;
  }

  /** Since when it has been of use to no task. */
  get idleSince(): number {
    return this.#idleSince;
  }

  /** By when the cloud takes back a spot machine that it gave notice of. */
  get spotNoticeDeadline(): number | undefined {
    return this.#spotNoticeDeadline;
  }

  /** Tasks fail here that succeed elsewhere. */
  get isQuarantined(): boolean {
    return this.#isQuarantined;
  }

  /** It takes no more tasks and is returned as soon as it may be. */
  get drainReason(): DrainReason | undefined {
    return this.#drainReason;
  }

  /** Its return was requested: it may disappear at any moment. */
  get isReleaseRequested(): boolean {
    return this.#isReleaseRequested;
  }

  /** The cloud confirmed its end: late copies of its heartbeats must bring nothing back. */
  get isTerminated(): boolean {
    return this.#isTerminated;
  }

  /** Whether tasks may be started here. */
  isSchedulable(now: number, leaseMs: number, missedMs: number): boolean {
    return (
      this.#isUp &&
      this.#drainReason === undefined &&
      !this.#isQuarantined &&
      now >= this.#backoffUntil &&
      this.worker.mayReceiveStarts(now, leaseMs, missedMs)
    );
  }

  /** The worker sends heartbeats, and the machine is about to be recorded as up. */
  firstHeartbeatReceived(): void {
    this.#hasSentHeartbeat = true;
  }

  /** It is recorded as up, at this address. */
  markUp(address: string, now: number): void {
    this.#isUp = true;
    this.record.address = address;
    this.#idleSince = now;
  }

  /** Its time without tasks counts from now on. */
  restartIdleTime(now: number): void {
    this.#idleSince = now;
  }

  #updateSpotNotice(noticeS: number | null, now: number): void {
    if (noticeS === null) this.#spotNoticeDeadline = undefined;
    else this.#spotNoticeDeadline = Math.min(this.#spotNoticeDeadline ?? Infinity, now + noticeS * 1000);
  }

  /** No starts for a while, after one that was refused or could not be delivered. */
  backOff(now: number): void {
    this.#backoffUntil = now + BACKOFF_MS;
  }

  /** No more tasks start here. */
  quarantine(): void {
    this.#isQuarantined = true;
  }

  /** No more tasks start here, and it is returned as soon as it may be. The first reason stays. */
  drain(reason: DrainReason): void {
    this.#drainReason ??= reason;
  }

  /** It is returned with all that is on it, whatever it was drained for before. */
  drainAsUnresponsive(): void {
    this.#drainReason = 'unresponsive';
  }

  /** It is used again if it was drained as unresponsive, responds, and is still there. */
  cancelDrainIfResponsive(): void {
    const isDrainedAsUnresponsive = this.#drainReason === 'unresponsive' && !this.#isReleaseRequested;
    if (isDrainedAsUnresponsive && this.worker.unresponsiveSince === undefined) this.#drainReason = undefined;
  }

  /** Its return is requested: it may disappear at any moment. */
  markReleaseRequested(): void {
    this.#isReleaseRequested = true;
  }

  /** The cloud confirmed its end. */
  markTerminated(): void {
    this.#isTerminated = true;
  }
}
