/** @file Relay of worker leases: renews them for workers that reach this controller but not their shard's owner. */
import { KEY, read } from '../../bookkeeping/records';
import { shardCount } from '../../bookkeeping/shard-count';
import type { WatchCache } from '../../bookkeeping/watch-cache';
import type { WorkerCommand, WorkerHeartbeat } from '../../protocol/model';
import { PEER_TIMEOUT_MS } from '../../suspicion/peer-liveness';
import type { PeerReachability } from '../../suspicion/peer-reachability';
import type { ControllerContext } from '../controller-context';

/** Time for which a controller continues to relay after the owner was last unreachable. */
const LINGER_MS = 3_000;

/** Stop commands for the reported attempts whose jobs have ended; each renewal of a worker's lease includes them. */
export function evictionsOfEndedJobs(heartbeat: WorkerHeartbeat, cache: WatchCache): WorkerCommand[] {
  return heartbeat.attempts
    .filter((attempt) => attempt.phase !== 'exited' && !cache.get(KEY.job(attempt.job)))
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
 * that have ended. The owner must not declare such workers dead. A relay therefore first writes a relay record bound to
 * its own lease, and responds only while that lease is valid. The owner declares an unresponsive worker dead only when
 * the key-value store confirms that no such record exists.
 */
export class LeaseRelay {
  /**
   * The session lease to which this controller's acknowledged relay record is bound, by shard number. An entry with an
   * earlier lease may remain until a later step. It is ignored, because the store deleted the record with that lease.
   */
  readonly #relayed = new Map<number, number>();
  /** Monotonic time when a relay was last needed, by shard. */
  readonly #lastNeededAt = new Map<number, number>();
  readonly #startedAt: number;

  constructor(
    private readonly context: ControllerContext,
    private readonly reachability: PeerReachability,
  ) {
    this.#startedAt = context.clock.now();
  }

  /** Writes or deletes relay records as needed. Run in a loop, and when a peer may have become unreachable. */
  async step(): Promise<void> {
    const { cache, session, settings, clock } = this.context;
    const { lease: ownLease } = session;
    if (!cache.isLoaded || !session.isValid || ownLease === undefined) {
      this.#relayed.clear();
      return;
    }
    const now = clock.now();
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
      const isNeeded = this.#isNeeded(shard, now);
      if (isNeeded && this.#relayed.get(shard) !== ownLease) {
        await this.#writeRecord(shard, ownLease);
      } else if (!isNeeded && (this.#relayed.has(shard) || cache.get(this.#key(shard)))) {
        await this.#deleteRecord(shard);
      }
    }
  }

  /** Whether the owner of the shard is a peer that is unreachable, or was within the last `LINGER_MS`. */
  #isNeeded(shard: number, now: number): boolean {
    const { cache, controllerId } = this.context;
    const lease = read.lease(cache.get(KEY.lease(shard))?.value);
    if (lease === undefined || lease.owner === controllerId) return false;
    // A controller that just started has received no heartbeats yet, so all peers seem unreachable. If it relayed their
    // shards, leases of unresponsive workers would count as renewed. After a failover, the new owner would then have to
    // wait again for the expiry of these leases.
    const isStartupOver = now - this.#startedAt > PEER_TIMEOUT_MS;
    if (isStartupOver && !this.reachability.isReachable(lease.owner, shard))
      this.#lastNeededAt.set(shard, now);
    return now - (this.#lastNeededAt.get(shard) ?? -Infinity) < LINGER_MS;
  }

  async #writeRecord(shard: number, ownLease: number): Promise<void> {
    const key = this.#key(shard);
    const result = await this.context.store.compareAndSwap(
      [{ key, version: this.context.cache.version(key) }],
      [{ put: key, value: {}, lease: ownLease }],
      'urgent',
    );
    if (!result.ok) return;
    this.#relayed.set(shard, ownLease);
    this.context.log.info({ shard }, 'relaying worker leases');
  }

  async #deleteRecord(shard: number): Promise<void> {
    const key = this.#key(shard);
    if (this.#relayed.has(shard)) this.context.log.info({ shard }, 'worker leases no longer relayed');
    // Responses stop before the record is deleted: after the deletion, the owner may declare unresponsive workers dead.
    this.#relayed.delete(shard);
    await this.context.store.compareAndSwap(
      [{ key, version: this.context.cache.version(key) }],
      [{ delete: key }],
      'urgent',
    );
  }

  #key(shard: number): string {
    return KEY.relay(shard, this.context.controllerId);
  }

  /**
   * Returns the response to a worker's heartbeat if this controller relays the shard, the shard's owner is unreachable,
   * and the worker reports attempts. A session valid only by a lease extension is not enough: during an outage of the
   * key-value store no controller can raise the fencing token. If the relay responded, a delayed start command of the
   * owner could still be executed after the network partition, although the command's job was cancelled long ago.
   */
  respond(heartbeat: WorkerHeartbeat, shard: number): RelayResponse | undefined {
    const { cache, session, controllerId } = this.context;
    const isRelayed = session.lease !== undefined && this.#relayed.get(shard) === session.lease;
    if (!isRelayed || !session.isValidByOwnLease || heartbeat.attempts.length === 0) return undefined;
    const lease = read.lease(cache.get(KEY.lease(shard))?.value);
    if (!lease || lease.owner === controllerId) return undefined;
    if (this.reachability.isReachable(lease.owner, shard)) return undefined;
    return { fencingToken: lease.token, commands: evictionsOfEndedJobs(heartbeat, cache) };
  }
}
