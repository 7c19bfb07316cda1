/** @file Acquires the shards that the leader assigned to this controller, and releases those assigned to others. */
import type { Uint64 } from '../../base/uint64';
import { KEY, read, type ShardRecord } from '../../bookkeeping/records';
import { shardCount } from '../../bookkeeping/shard-count';
import type { Change, Condition, Entry } from '../../protocol/key-value-store';
import { HandoverTrace } from '../../suspicion/handover-trace';
import type { PeerReachability } from '../../suspicion/peer-reachability';
import type { ControllerContext } from '../controller-context';
import { ShardOwner } from '../shard/shard-owner';
import type { LeaseExtension } from './lease-extension';
import { ShardHandover } from './shard-handover';

const CACHE_POLL_MS = 5;

/**
 * The outcome of trying to acquire one shard. `lost`: this controller's session ended, or the new lease was gone before
 * the watch cache showed the lease. No other shard is then tried in the same call of `step`.
 */
type AcquisitionOutcome = 'acquired' | 'refused' | 'lost';

/**
 * Acquires and releases the shards of this controller. A shard is owned from the transaction that acquires its lease
 * until this controller stops acting for it; the lease is deleted only after that, so two controllers never act for a
 * shard at the same time.
 */
export class ShardAcquisition {
  readonly #owners = new Map<number, ShardOwner>();
  /** Handovers to this controller that are in progress, by shard; none with suspicion off. */
  readonly #handovers = new Map<number, HandoverTrace>();
  readonly #shardHandover: ShardHandover;

  constructor(
    private readonly context: ControllerContext,
    reachability: PeerReachability,
    private readonly leaseExtension: LeaseExtension,
  ) {
    this.#shardHandover = new ShardHandover(context, reachability);
  }

  /** The owners of this controller's shards, by shard number; one that was just stopped may be included. */
  get owners(): ReadonlyMap<number, ShardOwner> {
    return this.#owners;
  }

  /** Releases shards assigned to others, hands shards over, and acquires assigned shards. Run in a loop. */
  async step(): Promise<void> {
    this.leaseExtension.beginAcquisition();
    try {
      for (const owner of [...this.#owners.values()]) await this.#reviewOwnership(owner);
      await this.#acquireAssigned();
    } finally {
      this.leaseExtension.endAcquisition();
    }
  }

  /** Gives up an owned shard if its lease was lost, or if it is assigned to or served better by another controller. */
  async #reviewOwnership(owner: ShardOwner): Promise<void> {
    const { controllerId, cache, session, store } = this.context;
    const { shard } = owner;
    const lease = read.lease(cache.get(KEY.lease(shard))?.value);
    if (session.lease === undefined || lease?.owner !== controllerId) {
      owner.stop('lease not held here');
    } else if (this.#record(shard)?.owner !== controllerId) {
      owner.stop('assigned to another controller');
      // The owner has to stop first: once the lease is deleted the other controller may acquire the shard.
      await store.compareAndSwap([owner.leaseCondition()], [{ delete: KEY.lease(shard) }], 'urgent');
    }
    if (!owner.isStopped) await this.#shardHandover.handOverIfUnreachable(owner);
    if (!owner.isStopped) await this.#shardHandover.handOverIfPlanned(owner);
    if (owner.isStopped) this.#owners.delete(shard);
  }

  async #acquireAssigned(): Promise<void> {
    const { cache, settings, types } = this.context;
    if (!cache.isLoaded || types().length === 0) return;
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
      if (this.#owners.has(shard)) continue;
      const outcome = await this.#acquireIfAssigned(shard);
      if (outcome === 'lost') return;
    }
  }

  async #acquireIfAssigned(shard: number): Promise<AcquisitionOutcome> {
    const { cache, session, controllerId } = this.context;
    if (!session.isValid || session.lease === undefined) return 'lost';
    const leaseEntry = cache.get(KEY.lease(shard));
    if (leaseEntry) {
      const isOwnLease = read.lease(leaseEntry.value)?.owner === controllerId;
      if (isOwnLease) await this.#deleteLeaseWithoutOwner(leaseEntry);
      return 'refused';
    }
    const record = this.#record(shard);
    this.#traceAssignment(shard, record?.owner === controllerId);
    if (record?.owner !== controllerId || !this.#mayAcquire(record)) return 'refused';
    return this.#acquire(shard, record, session.lease);
  }

  /**
   * Deletes a lease of this controller that no `ShardOwner` uses, so that the shard can be acquired again. Such a lease
   * remains if an acquisition got no response but was applied, or if an owner didn't know the lease's version
   * when it stopped, because a raise of its fencing token got no response. Without the deletion, the controller that
   * the shard is assigned to would wait until this controller's session ends.
   */
  async #deleteLeaseWithoutOwner({ key, version }: Entry): Promise<void> {
    await this.context.store.compareAndSwap([{ key, version }], [{ delete: key }], 'urgent');
  }

  /** Begins the trace of a handover when the shard is assigned to this controller, else abandons an existing trace. */
  #traceAssignment(shard: number, isAssigned: boolean): void {
    if (!this.context.suspicion) return;
    if (!isAssigned) {
      this.#handovers.get(shard)?.abandon();
      this.#handovers.delete(shard);
    } else if (!this.#handovers.has(shard)) {
      const handover = new HandoverTrace(shard, this.context);
      handover.recordStep('chosen');
      this.#handovers.set(shard, handover);
    }
  }

  /** Acquires the shard's lease and a new fencing token in one transaction, and then starts the shard's owner. */
  async #acquire(shard: number, record: ShardRecord, sessionLease: Uint64): Promise<AcquisitionOutcome> {
    const { controllerId, cache, session, store, clock, log } = this.context;
    const fencingToken = (read.fencingToken(cache.get(KEY.fencingToken)?.value)?.next ?? 0) + 1;
    const changes: Change[] = [
      { put: KEY.fencingToken, value: { next: fencingToken } },
      { put: KEY.lease(shard), value: { owner: controllerId, token: fencingToken }, lease: sessionLease },
      { put: KEY.shard(shard), value: { ...record, holder: controllerId } },
    ];
    const result = await store.compareAndSwap(this.#acquisitionConditions(shard), changes, 'urgent');
    if (!result.ok) return 'refused';
    const { revision } = result;
    // Before the owner starts, the watch cache has to include every record that the previous owner could have acted on.
    while (cache.revision < revision && session.isValid) await clock.sleep(CACHE_POLL_MS);
    if (!session.isValid || read.lease(cache.get(KEY.lease(shard))?.value)?.owner !== controllerId) {
      log.warn({ shard }, 'shard lease lost during acquisition');
      return 'lost';
    }
    this.#startOwner(shard, record, { fencingToken, revision });
    return 'acquired';
  }

  #acquisitionConditions(shard: number): Condition[] {
    const { cache } = this.context;
    return [
      { key: KEY.lease(shard), version: 0 },
      { key: KEY.shard(shard), version: cache.version(KEY.shard(shard)) },
      { key: KEY.fencingToken, version: cache.version(KEY.fencingToken) },
    ];
  }

  #startOwner(
    shard: number,
    { teams }: ShardRecord,
    { fencingToken, revision }: { fencingToken: number; revision: Uint64 },
  ): void {
    const owner = new ShardOwner(
      {
        number: shard,
        teams,
        fencingToken,
        leaseVersion: revision,
        acquiredRevision: revision,
      },
      this.context,
    );
    this.#owners.set(shard, owner);
    const handover = this.#handovers.get(shard);
    this.#handovers.delete(shard);
    handover?.recordStep('acquired');
    handover?.recordStep('token drawn', { token: fencingToken });
    owner.start(handover);
  }

  /**
   * Whether this controller may acquire the shard. Lease extensions that this or its previous process may have granted
   * forbid acquisitions for some time. No extension can concern a shard that this controller held last, or any shard
   * before the first acquisition of all: such shards are acquired at once, because their workers' leases are running out.
   */
  #mayAcquire({ holder }: ShardRecord): boolean {
    const { cache, controllerId } = this.context;
    const wasNeverHeld = cache.get(KEY.fencingToken) === undefined;
    return this.leaseExtension.mayAcquireShards || wasNeverHeld || holder === controllerId;
  }

  #record(shard: number): ShardRecord | undefined {
    return read.shard(this.context.cache.get(KEY.shard(shard))?.value);
  }
}
