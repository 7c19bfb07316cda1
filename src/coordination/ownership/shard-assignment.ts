/** @file Assignment of shards to live controllers, and their rebalancing; the leader's duty. */
import { eventOfChange } from '../../bookkeeping/change-events';
import { KEY, read, type ShardRecord } from '../../bookkeeping/records';
import { shardCount } from '../../bookkeeping/shard-count';
import type { Condition } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import { liveControllers, rankOwners } from './owner-candidates';

/** Rebalancing moves a shard only between controllers whose numbers of shards differ by at least this much. */
const MIN_IMBALANCE = 2;

/** What the records ask for: a shard that goes back to its last owner at once, or the shards that need an owner. */
type AssignmentPlan =
  | { readonly kind: 'return to holder'; readonly shard: number; readonly holder: string }
  | { readonly kind: 'assign'; readonly unassigned: readonly number[] };

/** Names an owner for each shard that lacks one, and evens out the numbers of shards. */
export class ShardAssignment {
  /**
   * `leadershipCondition` proves inside a transaction that this controller leads, `mayBeBoundByGrant` tells whether this
   * process began so recently that a lease extension granted by a previous one may still bind it.
   */
  constructor(
    private readonly context: ControllerContext,
    private readonly leadershipCondition: () => Condition | undefined,
    private readonly mayBeBoundByGrant: () => boolean,
  ) {}

  /** One step of the leader. */
  async step(): Promise<void> {
    const shardCounts = new Map(liveControllers(this.context).map((controller) => [controller, 0]));
    if (shardCounts.size === 0) return;
    const plan = this.#plan(shardCounts);
    if (plan.kind === 'return to holder') {
      await this.#assign(plan.shard, plan.holder);
      return;
    }
    for (const shard of plan.unassigned) {
      const [owner] = rankOwners(this.context, shard, shardCounts);
      if (owner === undefined) return;
      const isAssigned = this.#record(shard)?.owner === owner;
      if (!isAssigned && !(await this.#assign(shard, owner))) return;
      shardCounts.set(owner, (shardCounts.get(owner) ?? 0) + 1);
    }
    await this.#rebalance(shardCounts);
  }

  /** Counts the shards that stay where they are into `shardCounts`, and finds those to be assigned. */
  #plan(shardCounts: Map<string, number>): AssignmentPlan {
    const { cache, settings } = this.context;
    const unassigned: number[] = [];
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
      const record = this.#record(shard);
      if (record && this.#shouldReturnToHolder(record, shard, shardCounts)) {
        return { kind: 'return to holder', shard, holder: record.holder };
      }
      const ownerCount = record && shardCounts.get(record.owner);
      if (record && ownerCount !== undefined && !this.#isAssignmentStuck(shard, record)) {
        shardCounts.set(record.owner, ownerCount + 1);
      } else {
        unassigned.push(shard);
      }
    }
    return { kind: 'assign', unassigned };
  }

  /**
   * Whether the controller that a shard was assigned to is suspected before it has acquired it. Another may then be
   * chosen at once, since no controller holds the lease: whichever acquires it first finds the record unchanged, or
   * doesn't.
   */
  #isAssignmentStuck(shard: number, { owner }: ShardRecord): boolean {
    const { suspicion, cache, controllerId } = this.context;
    if (!suspicion || owner === controllerId || cache.get(KEY.lease(shard))) return false;
    return suspicion.isSuspect(owner) && suspicion.allowsReassignment();
  }

  /**
   * After a restart of all controllers the one that held the shard last may acquire it at once, while the others are
   * bound for some time by grants that they may have given.
   */
  #shouldReturnToHolder(
    record: ShardRecord,
    shard: number,
    shardCounts: ReadonlyMap<string, number>,
  ): record is ShardRecord & { holder: string } {
    const { owner, holder } = record;
    if (!this.mayBeBoundByGrant()) return false;
    if (holder === undefined || holder === owner || !shardCounts.has(holder)) return false;
    if (this.context.suspicion?.isSuspect(holder)) return false;
    return this.context.cache.get(KEY.lease(shard)) === undefined;
  }

  /** After a failover one controller may have more shards than another that has restarted: moves one shard a step. */
  async #rebalance(shardCounts: ReadonlyMap<string, number>): Promise<void> {
    const { cache, settings, suspicion } = this.context;
    const byCount = [...shardCounts].sort((a, b) => a[1] - b[1]);
    const least = byCount.find(([controller]) => !suspicion?.isSuspect(controller));
    const most = byCount.at(-1);
    if (!least || !most || most[1] - least[1] < MIN_IMBALANCE) return;
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
      if (this.#record(shard)?.owner !== most[0]) continue;
      if (suspicion?.allowsMove(shard) === false) continue;
      await this.#assign(shard, least[0]);
      return;
    }
  }

  /** Writes the owner into the shard's record. False: this controller no longer leads, or the record has changed. */
  async #assign(shard: number, owner: string): Promise<boolean> {
    const { cache, store, log } = this.context;
    const leadership = this.leadershipCondition();
    if (!leadership) return false;
    const key = KEY.shard(shard);
    const change = { put: key, value: this.#recordWithOwner(shard, owner) };
    const result = await store.compareAndSwap(
      [{ key, version: cache.version(key) }, leadership],
      [change],
      'urgent',
    );
    if (!result.ok) return false;
    log.info({ shard, owner }, 'shard assigned');
    this.context.publish(eventOfChange(change, result.revision));
    return true;
  }

  #recordWithOwner(shard: number, owner: string): ShardRecord {
    const { cache, settings } = this.context;
    const { teams } = settings.platform.deployment;
    const shards = shardCount(cache, settings);
    return {
      ...this.#record(shard),
      owner,
      of: shards,
      teams: teams.filter((_, index) => index % shards === shard).map((team) => team.name),
    };
  }

  #record(shard: number): ShardRecord | undefined {
    return read.shard(this.context.cache.get(KEY.shard(shard))?.value);
  }
}
