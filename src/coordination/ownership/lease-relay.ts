/**
 * @file Relay of worker leases: answers another node's workers while they reach this node and not their owner.
 */
import { shardCount } from '../../bookkeeping/shard-count';
import { KEY, read } from '../../bookkeeping/records';
import type { WatchCache } from '../../bookkeeping/watch-cache';
import type { WorkerCommand, WorkerHeartbeat } from '../../protocol/model';
import type { ControllerContext } from '../controller-context';
import { PEER_TIMEOUT_MS } from '../../suspicion/peer-liveness';
import type { PeerReachability } from '../../suspicion/peer-reachability';

/** How long a node goes on relaying after it last had a reason to. */
const LINGER_MS = 3_000;

/** Stop commands for the reported attempts whose jobs are over: whoever renews a worker's lease sends them along. */
export function evictionsOfEndedJobs(heartbeat: WorkerHeartbeat, cache: WatchCache): WorkerCommand[] {
  return heartbeat.attempts
    .filter((attempt) => attempt.phase !== 'exited' && !cache.get(KEY.job(attempt.job)))
    .map(({ job, task, attempt }) => ({ op: 'stop', job, task, attempt, graceS: 0 }));
}

/**
 * Renews the leases of another node's workers while they reach this node and not their owner, as in a network
 * partition between zones or during a takeover.
 *
 * A relay answers reports with the shard's current token and starts nothing; it only stops tasks of jobs that are over.
 * The owner must not declare such workers dead. So a relay first writes a record that it relays, which is bound to its
 * own lease, and answers only while that lease is valid; the owner declares an unresponsive worker dead only when the
 * state service says that no such record exists.
 */
export class LeaseRelay {
  /**
   * Shards with an acknowledged record of this node that was not deleted since, and the lease that the record is bound
   * to: with the next lease the record is gone, even when no step ran in between.
   */
  readonly #relayed = new Map<number, number>();
  readonly #neededAt = new Map<number, number>();
  readonly #startedAt: number;

  constructor(
    private readonly context: ControllerContext,
    private readonly reachability: PeerReachability,
  ) {
    this.#startedAt = context.clock.now();
  }

  /** One step: writes or deletes records. To be run in a loop, and whenever a peer may have become unreachable. */
  async step(): Promise<void> {
    const { cache, session, settings } = this.context;
    const { lease: ownLease } = session;
    if (!cache.loaded || !session.valid || ownLease === undefined) {
      this.#relayed.clear();
      return;
    }
    const now = this.context.clock.now();
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
      const needed = this.#isNeeded(shard, now);
      if (needed && this.#relayed.get(shard) !== ownLease) {
        await this.#writeRecord(shard, ownLease);
      } else if (!needed && (this.#relayed.has(shard) || cache.get(this.#key(shard)))) {
        await this.#deleteRecord(shard);
      }
    }
  }

  /** Whether the owner of the shard is another node that is unreachable, or was until a moment ago. */
  #isNeeded(shard: number, now: number): boolean {
    const { cache, controllerId } = this.context;
    const lease = read.lease(cache.get(KEY.lease(shard))?.value);
    if (lease === undefined || lease.owner === controllerId) return false;
    // A node that starts has not received anything from its peers yet. If it relayed then for no reason, unresponsive
    // workers would count as just answered, and a shard that was taken over would wait for them for another lease.
    const hasListened = now - this.#startedAt > PEER_TIMEOUT_MS;
    if (hasListened && !this.reachability.reaches(lease.owner, shard)) this.#neededAt.set(shard, now);
    return now - (this.#neededAt.get(shard) ?? -Infinity) < LINGER_MS;
  }

  async #writeRecord(shard: number, ownLease: number): Promise<void> {
    const key = this.#key(shard);
    const result = await this.context.store.compareAndSwap(
      [{ key, version: this.context.cache.version(key) }],
      [{ put: key, value: {}, lease: ownLease }],
      'urgent',
    );
    if (result.ok) this.#relayed.set(shard, ownLease);
  }

  async #deleteRecord(shard: number): Promise<void> {
    const key = this.#key(shard);
    // In this order: no report is answered any more when the record goes.
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
   * The answer to a worker's report if this node relays its shard; only for a machine that holds tasks. Never by virtue
   * of a lease extension: during an outage of the state service nobody raises the token, so a start command of the owner
   * that is delayed beyond the partition could still be carried out for as long as the relay answers, though its job was
   * cancelled long ago.
   */
  respond(
    heartbeat: WorkerHeartbeat,
    shard: number,
  ): { fencingToken: number; commands: WorkerCommand[] } | undefined {
    const { cache, session, controllerId } = this.context;
    const isRelayed = session.lease !== undefined && this.#relayed.get(shard) === session.lease;
    if (!isRelayed || !session.validByOwnLease || heartbeat.attempts.length === 0) return undefined;
    const lease = read.lease(cache.get(KEY.lease(shard))?.value);
    if (!lease || lease.owner === controllerId || this.reachability.reaches(lease.owner, shard))
      return undefined;
    return { fencingToken: lease.token, commands: evictionsOfEndedJobs(heartbeat, cache) };
  }
}
