/** @file Relay of worker leases: renews them for workers that reach this controller but not their shard's owner. */
import type { Uint64 } from '../../base/uint64';
import { maxChangesPerTransaction, maxValueBytes } from '../../base/state-limits';
import { eventOfChange } from '../../bookkeeping/change-events';
import { KEY, read, type LeaseRecord } from '../../bookkeeping/records';
import {
  relayRecordChanges,
  relayRecordDeletions,
  unchangedRelayCondition,
  type RelayId,
} from '../../bookkeeping/relay-records';
import { shardCount } from '../../bookkeeping/shard-count';
import type { WatchCache } from '../../bookkeeping/watch-cache';
import type { Change } from '../../protocol/key-value-store';
import type { WorkerCommand, WorkerHeartbeat } from '../../protocol/model';
import { PEER_TIMEOUT_MS } from '../../suspicion/peer-liveness';
import type { PeerReachability } from '../../suspicion/peer-reachability';
import type { ControllerContext } from '../controller-context';
import { RelayedWorkers } from './relayed-workers';

/** Time for which a controller continues to relay after the owner was last unreachable. */
const LINGER_MS = 3_000;
const MS_PER_S = 1000;

/** The most commands of a response: it has up to 64 KiB, and a stop command up to 150 bytes. */
const MAX_STOPS = 400;

/** Stop commands for the reported attempts whose jobs have ended; each renewal of a worker's lease includes them. */
export function evictionsOfEndedJobs(heartbeat: WorkerHeartbeat, cache: WatchCache): WorkerCommand[] {
  return heartbeat.attempts
    .filter((attempt) => attempt.phase !== 'exited' && !cache.get(KEY.job(attempt.job)))
    .slice(0, MAX_STOPS)
    .map(({ job, task, attempt }) => ({
      op: 'stop',
      job,
      task,
      attempt,
      graceS: 0,
    }));
}

/** The response of a relay to a worker's heartbeat. */
export interface RelayResponse {
  readonly fencingToken: number;
  readonly commands: WorkerCommand[];
}

/**
 * Renews the leases of another controller's workers while they reach this controller but not their shard's owner, as in
 * a network partition between zones or during a failover.
 *
 * A relay responds to heartbeats with the shard's current fencing token and starts nothing; it only stops tasks of jobs
 * that have ended. The owner must not declare such workers dead. A relay therefore first writes a relay record that lists
 * their machines and is bound to its own lease, and responds only to listed workers while that lease is valid. The owner declares an
 * unresponsive worker dead only when the key-value store confirms that no such record lists its machine. Machines that
 * send no heartbeats to a relay are listed by none, so their workers' leases expire although other leases are relayed.
 */
export class LeaseRelay {
  readonly #workers = new Map<number, RelayedWorkers>();
  /** Monotonic time when a shard's owner was last unreachable, by shard. */
  readonly #lastUnreachableAt = new Map<number, number>();
  readonly #startedAt: number;

  constructor(
    private readonly context: ControllerContext,
    private readonly reachability: PeerReachability,
  ) {
    this.#startedAt = context.clock.now();
  }

  /** Writes or deletes relay records as needed. Run in a loop. */
  async step(): Promise<void> {
    const { cache, session, settings } = this.context;
    const { lease: sessionLease } = session;
    if (!cache.isLoaded || !session.isValid || sessionLease === undefined) {
      this.#stopAll();
      return;
    }
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
      const endWaits = this.#workersOf(shard).beginUpdate();
      try {
        await this.#updateRecord(shard, sessionLease);
      } finally {
        endWaits();
      }
    }
  }

  #stopAll(): void {
    for (const workers of this.#workers.values()) {
      workers.clear();
      workers.beginUpdate()();
    }
  }

  async #updateRecord(shard: number, sessionLease: Uint64): Promise<void> {
    const { clock, settings } = this.context;
    const now = clock.now();
    const workers = this.#workersOf(shard);
    const leaseMs = settings.platform.deployment.workers.lease_s * MS_PER_S;
    const machines = this.#isNeeded(shard, now) ? workers.active(now, leaseMs) : [];
    if (machines.length === 0) await this.#deleteRecord(shard);
    else if (!workers.coversExactly(machines, sessionLease))
      await this.#writeRecord(shard, machines, sessionLease);
  }

  /** Whether the owner of the shard is a peer that is unreachable, or was within the last `LINGER_MS`. */
  #isNeeded(shard: number, now: number): boolean {
    if (this.#peerLease(shard) === undefined) return false;
    if (this.#isOwnerUnreachable(shard)) this.#lastUnreachableAt.set(shard, now);
    return now - (this.#lastUnreachableAt.get(shard) ?? -Infinity) < LINGER_MS;
  }

  #isOwnerUnreachable(shard: number): boolean {
    const lease = this.#peerLease(shard);
    if (lease === undefined) return false;
    // A controller that just started has received no heartbeats yet, so all peers seem unreachable. If it relayed their
    // shards, leases of unresponsive workers would count as renewed. After a failover, the new owner would then have to
    // wait again for the expiry of these leases.
    const isStartupOver = this.context.clock.now() - this.#startedAt > PEER_TIMEOUT_MS;
    return isStartupOver && !this.reachability.isReachable(lease.owner, shard);
  }

  /** The lease of the shard if a peer holds it. */
  #peerLease(shard: number): LeaseRecord | undefined {
    const { cache, controllerId } = this.context;
    const lease = read.lease(cache.get(KEY.lease(shard))?.value);
    return lease?.owner === controllerId ? undefined : lease;
  }

  async #writeRecord(shard: number, machines: readonly string[], sessionLease: Uint64): Promise<void> {
    const { cache, settings, log } = this.context;
    const { state } = settings.platform.deployment;
    const workers = this.#workersOf(shard);
    const limits = { valueBytes: maxValueBytes(state), changes: maxChangesPerTransaction(state) };
    const changes = relayRecordChanges(cache, this.#relayId(shard), {
      machines,
      lease: sessionLease,
      limits,
    });
    if (!workers.hasRecord) log.info({ shard, machines: machines.length }, 'relaying worker leases');
    // Workers that are no longer listed get no responses from now on: the owner may declare them dead after the write.
    workers.recordWriteStarted(machines, sessionLease);
    if (await this.#apply(shard, changes)) workers.recordWritten(machines, sessionLease);
  }

  /** Deletes the record of the shard, if there is one. */
  async #deleteRecord(shard: number): Promise<void> {
    const workers = this.#workersOf(shard);
    if (workers.hasRecord) this.context.log.info({ shard }, 'worker leases no longer relayed');
    // Responses stop before the record is deleted: after the deletion, the owner may declare unresponsive workers dead.
    workers.clear();
    await this.#apply(shard, relayRecordDeletions(this.context.cache, this.#relayId(shard)));
  }

  /** Applies changes of this controller's relay records, unless the watch cache has other records than the store. */
  async #apply(shard: number, changes: Change[]): Promise<boolean> {
    if (changes.length === 0) return true;
    const { store, cache } = this.context;
    const condition = unchangedRelayCondition(cache, this.#relayId(shard));
    const result = await store.compareAndSwap([condition], changes, 'urgent');
    if (!result.ok) return false;
    for (const change of changes) cache.applyNotification(eventOfChange(change, result.revision));
    return true;
  }

  #relayId(shard: number): RelayId {
    return { shard, controller: this.context.controllerId };
  }

  #workersOf(shard: number): RelayedWorkers {
    const workers = this.#workers.get(shard) ?? new RelayedWorkers();
    this.#workers.set(shard, workers);
    return workers;
  }

  /**
   * Returns the response to a worker's heartbeat if the shard's owner is unreachable for this controller and the worker
   * reports attempts. The response to a worker that no record lists yet waits until one does; it is undefined if the
   * record could not be written.
   */
  respond(
    heartbeat: WorkerHeartbeat,
    shard: number,
  ): RelayResponse | undefined | Promise<RelayResponse | undefined> {
    const { session, clock } = this.context;
    if (heartbeat.attempts.length === 0 || !this.#isOwnerUnreachable(shard)) return undefined;
    if (session.lease === undefined || !session.isValidByOwnLease) return undefined;
    const workers = this.#workersOf(shard);
    workers.heartbeatReceived(heartbeat.machine, clock.now());
    if (workers.covers(heartbeat.machine, session.lease)) return this.#responseOf(heartbeat, shard);
    return workers.nextUpdate().then(() => this.#responseOf(heartbeat, shard));
  }

  /**
   * The response under an acknowledged record. A session valid only by a lease extension is not enough: during an outage
   * of the key-value store no controller can raise the fencing token. If the relay responded, a delayed start command of
   * the owner could still be executed after the network partition, although the command's job was cancelled long ago.
   */
  #responseOf(heartbeat: WorkerHeartbeat, shard: number): RelayResponse | undefined {
    const { cache, session } = this.context;
    const lease = this.#peerLease(shard);
    if (lease === undefined || session.lease === undefined || !session.isValidByOwnLease) return undefined;
    if (!this.#workersOf(shard).covers(heartbeat.machine, session.lease)) return undefined;
    if (!this.#isOwnerUnreachable(shard)) return undefined;
    return { fencingToken: lease.token, commands: evictionsOfEndedJobs(heartbeat, cache) };
  }
}
