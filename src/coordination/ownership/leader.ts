import { changesAtOnce } from '../../base/state-limits';
import { shardCount } from '../../bookkeeping/shard-count';
import { KEY, PREFIX, read, type MachineRecord, type ShardRecord } from '../../bookkeeping/records';
import type { Condition } from '../../protocol/state';
import { liveNodes, rankOwners } from './contenders';
import { RecordSweep } from './record-sweep';
import type { CloudView } from '../fleet/cloud-view';
import type { NodeContext } from '../node-context';

const STRAY_AGE_S = 5;
const STRAYS_AT_ONCE = 10;
const SWEPT_AT_ONCE = 8;

/**
 * The leader leases shards to live nodes, takes machines that no record names into a shard, and deletes completions of
 * jobs that are over. It does no more.
 */
export class Leader {
  readonly #recordSweep: RecordSweep;

  constructor(
    private readonly deps: NodeContext,
    private readonly cloud: CloudView,
    /** Whether this process began so lately that it may still be bound by a promise. */
    private readonly isYoung: () => boolean,
  ) {
    this.#recordSweep = new RecordSweep(deps.cache, deps.clock);
  }

  get isLeader(): boolean {
    const { cache, node, session } = this.deps;
    return session.valid && read.leader(cache.get(KEY.leader)?.value)?.node === node;
  }

  /** One step; to be run in a loop, and whenever membership changes. */
  async step(): Promise<void> {
    const { cache, store, session, node, log } = this.deps;
    if (!cache.loaded || !session.valid || session.lease === undefined) return;
    if (!cache.get(KEY.leader)) {
      const result = await store.compareAndSwap(
        [{ key: KEY.leader, version: 0 }],
        [{ put: KEY.leader, value: { node }, lease: session.lease }],
        true,
      );
      if (result.ok) {
        log.info({ node }, 'this node leads');
        cache.offer({ key: KEY.leader, version: result.revision, value: { node }, deleted: false });
      }
    }
    if (!this.isLeader) return;
    await this.#assign();
    await this.#takeStrays();
    await this.#sweep();
  }

  async #assign(): Promise<void> {
    const { cache, settings } = this.deps;
    const load = new Map(liveNodes(this.deps).map((node) => [node, 0]));
    if (load.size === 0) return;
    const orphans: number[] = [];
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
      const record = read.shard(cache.get(KEY.shard(shard))?.value);
      if (record && this.#wantsBack(record, shard, load)) {
        await this.#give(shard, record.holder);
        return;
      }
      const held = record && load.get(record.owner);
      if (record && held !== undefined && !this.#isStuck(shard, record)) load.set(record.owner, held + 1);
      else orphans.push(shard);
    }
    for (const shard of orphans) {
      const [owner] = rankOwners(this.deps, shard, load);
      if (owner === undefined) return;
      const isThere = read.shard(cache.get(KEY.shard(shard))?.value)?.owner === owner;
      if (!isThere && !(await this.#give(shard, owner))) return;
      load.set(owner, (load.get(owner) ?? 0) + 1);
    }
    await this.#balance(load);
  }

  /**
   * Whether the controller that a shard was assigned to is suspected before it has acquired it. Another may then be
   * chosen at once, since nobody holds the lease: whichever acquires it first finds the record unchanged, or doesn't.
   */
  #isStuck(shard: number, { owner }: ShardRecord): boolean {
    const { suspicion, cache, node } = this.deps;
    if (!suspicion || owner === node || cache.get(KEY.lease(shard))) return false;
    return suspicion.isSuspect(owner) && suspicion.mayChooseAgain();
  }

  /** After the end of all nodes the one that held the shard last may take it at once; the others wait a while. */
  #wantsBack(
    record: ShardRecord,
    shard: number,
    nodes: ReadonlyMap<string, number>,
  ): record is ShardRecord & { holder: string } {
    const { owner, holder } = record;
    if (!this.isYoung() || holder === undefined || holder === owner || !nodes.has(holder)) return false;
    if (this.deps.suspicion?.isSuspect(holder)) return false;
    return this.deps.cache.get(KEY.lease(shard)) === undefined;
  }

  /** After a death some node has more shards than another that came back: one at a time, they are spread again. */
  async #balance(load: ReadonlyMap<string, number>): Promise<void> {
    const { cache, settings, suspicion } = this.deps;
    const sorted = [...load].sort((a, b) => a[1] - b[1]);
    const least = sorted.find(([node]) => !suspicion?.isSuspect(node));
    const most = sorted.at(-1);
    if (!least || !most || most[1] - least[1] < 2) return;
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
      if (read.shard(cache.get(KEY.shard(shard))?.value)?.owner !== most[0]) continue;
      if (suspicion?.mayMove(shard) === false) continue;
      await this.#give(shard, least[0]);
      return;
    }
  }

  /**
   * The condition that proves, inside a transaction, that this node still leads; undefined when it knows that it doesn't.
   * Between two writes of one step another may have become the leader, and its record's version would prove nothing.
   */
  leadership(): Condition | undefined {
    return this.isLeader ? { key: KEY.leader, version: this.deps.cache.version(KEY.leader) } : undefined;
  }

  async #give(shard: number, owner: string): Promise<boolean> {
    const { cache, store, settings, log } = this.deps;
    const leadership = this.leadership();
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
      true,
    );
    if (!result.ok) return false;
    log.info({ shard, owner }, 'shard assigned');
    this.deps.publish({ key, version: result.revision, value, deleted: false });
    return true;
  }

  /** A rental whose answer was lost, or that was carried out late, shows up here only. */
  async #takeStrays(): Promise<void> {
    const { cache, store, settings, log, clock } = this.deps;
    const strays = this.cloud
      .machines()
      .filter((m) => m.state !== 'failed' && m.ageS > STRAY_AGE_S && !cache.get(KEY.machine(m.id)))
      .filter((m) => !this.cloud.isGone(m.id))
      .slice(0, changesAtOnce(settings.platform.deployment.state, STRAYS_AT_ONCE));
    const leadership = this.leadership();
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
    log.info({ shard, machines: strays.map((m) => m.id) }, 'strays taken in');
    for (const c of changes) {
      this.deps.publish({ key: c.put, version: result.revision, value: c.value, deleted: false });
    }
  }

  /**
   * A cancellation leaves the job's completions behind, and so does an end whose writer never learnt that an earlier
   * write of them was carried out: with no job left, no one else would ever delete them. That the job is over is
   * proved inside the transaction; a job that is over never comes back.
   */
  async #sweep(): Promise<void> {
    const { store, settings } = this.deps;
    const most = changesAtOnce(settings.platform.deployment.state, SWEPT_AT_ONCE);
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
