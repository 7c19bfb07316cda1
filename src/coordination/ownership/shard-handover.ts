/** @file Orderly handover of an owned shard to another controller. */
import { KEY, read, type ShardRecord } from '../../bookkeeping/records';
import { HandoverTrace } from '../../suspicion/handover-trace';
import type { PeerReachability } from '../../suspicion/peer-reachability';
import type { ControllerContext } from '../controller-context';
import type { ShardOwner } from '../shard/shard-owner';
import { ownerCandidates, shardCountByController } from './owner-candidates';

const DRAIN_POLL_MS = 20;
/** Maximum time that a planned handover waits for the responses to commands in flight. */
const DRAIN_TIMEOUT_MS = 500;

/**
 * Hands shards over to a successor that serves them better than this controller. The owner stops first; then one
 * transaction assigns the successor and deletes the lease, so that the successor doesn't wait for the lease's expiry.
 */
export class ShardHandover {
  constructor(
    private readonly context: ControllerContext,
    private readonly reachability: PeerReachability,
  ) {}

  /** Hands the shard over if most of its workers don't reach this controller, but reach another controller. */
  async handOverIfUnreachable(owner: ShardOwner): Promise<void> {
    const { shard } = owner;
    const { machines, unreachable } = owner.workerReachability();
    const successor = this.reachability.successor(shard, machines, unreachable);
    if (successor === undefined || this.#record(shard) === undefined) return;
    this.context.log.info(
      { shard, successor, machines, unreachable },
      'handing shard over: its workers reach another controller only',
    );
    owner.stop('its workers reach another controller only');
    await this.#nameSuccessor(owner, successor);
  }

  /**
   * Hands the shard over if this controller is slow, or most peers don't receive its heartbeats: it stops the owner,
   * waits for the responses to commands in flight, and assigns the successor in the transaction that deletes the lease.
   * The handover takes far less time than the expiry of the lease, for which the peers would otherwise have to wait.
   */
  async handOverIfPlanned(owner: ShardOwner): Promise<void> {
    const { suspicion, log } = this.context;
    const { shard } = owner;
    const candidates = suspicion ? ownerCandidates(this.context, shardCountByController(this.context)) : [];
    const planned = suspicion?.plannedHandover(shard, candidates);
    if (!planned || this.#record(shard)?.owner !== this.context.controllerId) return;
    const { successor, reason } = planned;
    log.info({ shard, successor, reason }, 'planned shard handover');
    const handover = new HandoverTrace(shard, this.context);
    owner.stop(reason);
    handover.recordStep('stopped', { reason });
    await this.#drain(owner);
    handover.recordStep('drained', { unanswered: owner.commandsInFlight });
    await this.#nameSuccessor(owner, successor);
    handover.recordStep('successor named', { successor });
  }

  /** Waits briefly for responses to commands in flight. The successor confirms the attempts of unanswered commands. */
  async #drain(owner: ShardOwner): Promise<void> {
    const { clock, session } = this.context;
    const until = clock.now() + DRAIN_TIMEOUT_MS;
    while (owner.commandsInFlight > 0 && clock.now() < until && session.isValid) {
      await clock.sleep(DRAIN_POLL_MS);
    }
  }

  /** Assigns the successor and deletes the lease in one transaction; the owner must have stopped before. */
  async #nameSuccessor(owner: ShardOwner, successor: string): Promise<void> {
    const { store, cache, controllerId } = this.context;
    const key = KEY.shard(owner.shard);
    const record = this.#record(owner.shard);
    if (!record) return;
    const deletion = { delete: KEY.lease(owner.shard) };
    // The leader may have assigned the shard to another controller meanwhile; that assignment is kept.
    const isAssignedHere = record.owner === controllerId;
    const changes = isAssignedHere
      ? [{ put: key, value: { ...record, owner: successor } }, deletion]
      : [deletion];
    await store.compareAndSwap(
      [owner.leaseCondition(), { key, version: cache.version(key) }],
      changes,
      'urgent',
    );
  }

  #record(shard: number): ShardRecord | undefined {
    return read.shard(this.context.cache.get(KEY.shard(shard))?.value);
  }
}
