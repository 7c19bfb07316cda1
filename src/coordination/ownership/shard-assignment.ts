/** @file Assignment of shards to live controllers, and rebalancing; the leader's duty. */
import { CONDITIONS_PER_CHANGE } from '../../base/state-limits';
import { eventOfChange } from '../../bookkeeping/change-events';
import { KEY, read, type ShardRecord } from '../../bookkeeping/records';
import { shardCount } from '../../bookkeeping/shard-count';
import type { Condition } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import { liveControllers, rankOwners } from './owner-candidates';
import { teamsOfShard } from './shard-teams';

/** Rebalancing moves a shard only between controllers whose shard counts differ by at least this number. */
const MIN_IMBALANCE = 2;

/** What one call of `step` does: returns a shard to its last holder at once, or assigns shards that need an owner. */
type AssignmentPlan =
  | { readonly kind: 'return to holder'; readonly shard: number; readonly holder: string }
  | { readonly kind: 'assign'; readonly unassigned: readonly number[] };

/** Assigns an owner to each shard that has none, and balances the number of shards per controller. */
export class ShardAssignment {
  /**
   * `leadershipCondition` makes a transaction fail unless this controller is the leader. `mayBeBoundByGrant` tells
   * whether this process began so recently that a lease extension granted by the previous one may still be valid.
   */
  constructor(
    private readonly context: ControllerContext,
    private readonly leadershipCondition: () => Condition | undefined,
    private readonly mayBeBoundByGrant: () => boolean,
  ) {}

  /** Assigns one shard to its last holder, or else all shards that need an owner, and rebalances. Run by the leader. */
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

  /** Plans one call of `step`, and counts the shards that keep their owner in `shardCounts`. */
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
   * Whether the assigned owner is suspected before it has acquired the shard, and suspicion allows a reassignment. This
   * is safe: no controller holds the lease, and an acquisition by the suspect fails if the shard's record has changed.
   */
  #isAssignmentStuck(shard: number, { owner }: ShardRecord): boolean {
    const { suspicion, cache, controllerId } = this.context;
    if (!suspicion || owner === controllerId || cache.get(KEY.lease(shard))) return false;
    return suspicion.isSuspect(owner) && suspicion.allowsReassignment();
  }

  /**
   * Whether to assign the shard to its last holder. After a restart of all controllers the last holder may acquire the
   * shard at once, while lease extensions that other controllers may have granted forbid these to do so for some time.
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

  /** Moves one shard per call to a controller with fewer shards, for example to one that restarted after a failover. */
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

  /** Writes the owner into the shard's record; false if this controller isn't the leader or the record has changed. */
  async #assign(shard: number, owner: string): Promise<boolean> {
    const { store, log } = this.context;
    const leadership = this.leadershipCondition();
    if (!leadership) return false;
    const key = KEY.shard(shard);
    const change = { put: key, value: this.#recordWithOwner(shard, owner) };
    const conditions = [leadership, ...this.#unchangedShards(shard)];
    const result = await store.compareAndSwap(conditions, [change], 'urgent');
    if (!result.ok) return false;
    log.info({ shard, owner }, 'shard assigned');
    this.context.publish(eventOfChange(change, result.revision));
    return true;
  }

  /**
   * Conditions that this shard's record, and those of the others as far as a transaction may have conditions, are as they
   * are cached: a team that another leader has just given to another shard must not be given to this one as well.
   */
  #unchangedShards(shard: number): Condition[] {
    const { cache, settings } = this.context;
    const others = Array.from({ length: shardCount(cache, settings) }, (_, other) => other);
    const maxConditions = CONDITIONS_PER_CHANGE * settings.platform.deployment.state.txn_ops;
    return [shard, ...others.filter((other) => other !== shard)]
      .slice(0, maxConditions - 1)
      .map((other) => ({ key: KEY.shard(other), version: cache.version(KEY.shard(other)) }));
  }

  #recordWithOwner(shard: number, owner: string): ShardRecord {
    const { cache, settings } = this.context;
    const teams = settings.platform.deployment.teams.map(({ name }) => name);
    const shards = shardCount(cache, settings);
    const records = Array.from({ length: shards }, (_, other) => this.#record(other));
    return { ...this.#record(shard), owner, of: shards, teams: teamsOfShard(shard, { records, teams }) };
  }

  #record(shard: number): ShardRecord | undefined {
    return read.shard(this.context.cache.get(KEY.shard(shard))?.value);
  }
}
