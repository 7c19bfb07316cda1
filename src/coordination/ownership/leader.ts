import { changesAtOnce } from '../../base/state-limits';
import { shardCount } from '../../bookkeeping/shard-count';
import { KEY, PREFIX, read, type MachineRecord, type ShardRecord } from '../../bookkeeping/records';
import type { Condition } from '../../protocol/key-value-store';
import { liveControllers, rankOwners } from './owner-candidates';
import { RecordGarbageCollector } from './record-garbage-collector';
import type { CloudInventory } from '../autoscaling/cloud-inventory';
import type { ControllerContext } from '../controller-context';

const ADOPTION_AGE_S = 5;
const MAX_ADOPTIONS = 10;
const MAX_DELETIONS = 8;

/**
 * The leader leases shards to live nodes, takes machines that no record names into a shard, and deletes completions of
 * jobs that are over. It does no more.
 */
export class Leader {
  readonly #recordSweep: RecordGarbageCollector;

  constructor(
    private readonly context: ControllerContext,
    private readonly cloud: CloudInventory,
    /** Whether this process began so lately that it may still be bound by a promise. */
    private readonly mayBeBoundByGrant: () => boolean,
  ) {
    this.#recordSweep = new RecordGarbageCollector(context.cache, context.clock);
  }

  get isLeader(): boolean {
    const { cache, controllerId, session } = this.context;
    return session.valid && read.leader(cache.get(KEY.leader)?.value)?.node === controllerId;
  }

  /** One step; to be run in a loop, and whenever membership changes. */
  async step(): Promise<void> {
    const { cache, store, session, controllerId, log } = this.context;
    if (!cache.loaded || !session.valid || session.lease === undefined) return;
    if (!cache.get(KEY.leader)) {
      const result = await store.compareAndSwap(
        [{ key: KEY.leader, version: 0 }],
        [{ put: KEY.leader, value: { node: controllerId }, lease: session.lease }],
        'urgent',
      );
      if (result.ok) {
        log.info({ node: controllerId }, 'became leader');
        cache.offer({
          key: KEY.leader,
          version: result.revision,
          value: { node: controllerId },
          deleted: false,
        });
      }
    }
    if (!this.isLeader) return;
    await this.#assignShards();
    await this.#adoptUnrecordedMachines();
    await this.#collectGarbage();
  }

  async #assignShards(): Promise<void> {
    const { cache, settings } = this.context;
    const load = new Map(liveControllers(this.context).map((node) => [node, 0]));
    if (load.size === 0) return;
    const orphans: number[] = [];
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
      const record = read.shard(cache.get(KEY.shard(shard))?.value);
      if (record && this.#shouldReturnToHolder(record, shard, load)) {
        await this.#assignShard(shard, record.holder);
        return;
      }
      const held = record && load.get(record.owner);
      if (record && held !== undefined && !this.#isStuck(shard, record)) load.set(record.owner, held + 1);
      else orphans.push(shard);
    }
    for (const shard of orphans) {
      const [owner] = rankOwners(this.context, shard, load);
      if (owner === undefined) return;
      const isThere = read.shard(cache.get(KEY.shard(shard))?.value)?.owner === owner;
      if (!isThere && !(await this.#assignShard(shard, owner))) return;
      load.set(owner, (load.get(owner) ?? 0) + 1);
    }
    await this.#rebalance(load);
  }

  /**
   * Whether the controller that a shard was assigned to is suspected before it has acquired it. Another may then be
   * chosen at once, since nobody holds the lease: whichever acquires it first finds the record unchanged, or doesn't.
   */
  #isStuck(shard: number, { owner }: ShardRecord): boolean {
    const { suspicion, cache, controllerId } = this.context;
    if (!suspicion || owner === controllerId || cache.get(KEY.lease(shard))) return false;
    return suspicion.isSuspect(owner) && suspicion.mayChooseAgain();
  }

  /** After the end of all nodes the one that held the shard last may take it at once; the others wait a while. */
  #shouldReturnToHolder(
    record: ShardRecord,
    shard: number,
    nodes: ReadonlyMap<string, number>,
  ): record is ShardRecord & { holder: string } {
    const { owner, holder } = record;
    if (!this.mayBeBoundByGrant() || holder === undefined || holder === owner || !nodes.has(holder))
      return false;
    if (this.context.suspicion?.isSuspect(holder)) return false;
    return this.context.cache.get(KEY.lease(shard)) === undefined;
  }

  /** After a death some node has more shards than another that came back: one at a time, they are spread again. */
  async #rebalance(load: ReadonlyMap<string, number>): Promise<void> {
    const { cache, settings, suspicion } = this.context;
    const sorted = [...load].sort((a, b) => a[1] - b[1]);
    const least = sorted.find(([node]) => !suspicion?.isSuspect(node));
    const most = sorted.at(-1);
    if (!least || !most || most[1] - least[1] < 2) return;
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
      if (read.shard(cache.get(KEY.shard(shard))?.value)?.owner !== most[0]) continue;
      if (suspicion?.mayMove(shard) === false) continue;
      await this.#assignShard(shard, least[0]);
      return;
    }
  }

  /**
   * The condition that proves, inside a transaction, that this node still leads; undefined when it knows that it doesn't.
   * Between two writes of one step another may have become the leader, and its record's version would prove nothing.
   */
  leadershipCondition(): Condition | undefined {
    return this.isLeader ? { key: KEY.leader, version: this.context.cache.version(KEY.leader) } : undefined;
  }

  async #assignShard(shard: number, owner: string): Promise<boolean> {
    const { cache, store, settings, log } = this.context;
    const leadership = this.leadershipCondition();
    if (!leadership) return false;
    const { teams } = settings.platform.deployment;
    const shards = shardCount(cache, settings);
    const key = KEY.shard(shard);
    const value: ShardRecord = {
      ...read.shard(cache.get(key)?.value),
      owner,
      of: shards,
      teams: teams.filter((_, index) => index % shards === shard).map((t) => t.name),
    };
    const result = await store.compareAndSwap(
      [{ key, version: cache.version(key) }, leadership],
      [{ put: key, value }],
      'urgent',
    );
    if (!result.ok) return false;
    log.info({ shard, owner }, 'shard assigned');
    this.context.publish({ key, version: result.revision, value, deleted: false });
    return true;
  }

  /** A rental whose answer was lost, or that was carried out late, shows up here only. */
  async #adoptUnrecordedMachines(): Promise<void> {
    const { cache, store, settings, log, clock } = this.context;
    const strays = this.cloud
      .machines()
      .filter((m) => m.state !== 'failed' && m.ageS > ADOPTION_AGE_S && !cache.get(KEY.machine(m.id)))
      .filter((m) => !this.cloud.isDeleted(m.id))
      .slice(0, changesAtOnce(settings.platform.deployment.state, MAX_ADOPTIONS));
    const leadership = this.leadershipCondition();
    if (strays.length === 0 || !leadership) return;
    const machinesOf = new Map<number, number>();
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) machinesOf.set(shard, 0);
    for (const entry of cache.under(PREFIX.machine)) {
      const shard = read.machine(entry.value)?.block ?? 0;
      machinesOf.set(shard, (machinesOf.get(shard) ?? 0) + 1);
    }
    const [shard] = [...machinesOf].sort((a, b) => a[1] - b[1])[0] ?? [0];
    // Counted from now: each has its time to come up like any other, though it was rented long ago.
    const rentedAt = clock.date().getTime();
    const changes = strays.map(({ id, type, zone, spot }) => {
      const value: MachineRecord = { block: shard, address: '', type, zone, spot, up: false, rentedAt };
      return { put: KEY.machine(id), value };
    });
    const conditions = changes.map((c) => ({ key: c.put, version: 0 }));
    const result = await store.compareAndSwap([leadership, ...conditions], changes);
    if (!result.ok) return;
    log.info({ shard, machines: strays.map((m) => m.id) }, 'unrecorded machines adopted');
    for (const c of changes) {
      this.context.publish({ key: c.put, version: result.revision, value: c.value, deleted: false });
    }
  }

  /**
   * A cancellation leaves the job's completions behind, and so does an end whose writer never learnt that an earlier
   * write of them was carried out: with no job left, no one else would ever delete them. That the job is over is
   * proved inside the transaction; a job that is over never comes back.
   */
  async #collectGarbage(): Promise<void> {
    const { store, settings } = this.context;
    const most = changesAtOnce(settings.platform.deployment.state, MAX_DELETIONS);
    const orphans = this.#recordSweep.orphans().slice(0, most);
    if (orphans.length === 0) return;
    await store.compareAndSwap(
      orphans.flatMap(({ key, version, job }) => [
        { key, version },
        { key: job, version: 0 },
      ]),
      orphans.map(({ key }) => ({ delete: key })),
    );
  }
}
