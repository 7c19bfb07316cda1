/** @file Acquires the shards that the leader assigned to this node, gives them up, and hands them over. */
import { shardCount } from '../../bookkeeping/shard-count';
import { KEY, read, type ShardRecord } from '../../bookkeeping/records';
import type { Entry } from '../../protocol/key-value-store';
import { HandoverTrace } from '../../suspicion/handover-trace';
import type { PeerReachability } from '../../suspicion/peer-reachability';
import { ShardOwner } from '../shard/shard-owner';
import type { ControllerContext } from '../controller-context';
import { shardsByController, ownerCandidates } from './owner-candidates';
import type { LeaseExtension } from './lease-extension';

const VIEW_POLL_MS = 5;
const DRAIN_POLL_MS = 20;
/** How long commands that are on their way may hold up an orderly handover. */
const DRAIN_MS = 500;

/**
 * What became of the look at a shard. Lost: this node's session ended, or the lease went again before the view showed
 * it, so no other shard is tried in the same step.
 */
type AcquisitionOutcome = 'acquired' | 'refused' | 'lost';

/**
 * The shards that this node owns. A shard is owned from the transaction that acquires its lease until this node stops
 * acting for it; the lease is deleted only after that, so two nodes never act for a shard at one moment.
 */
export class ShardAcquisition {
  readonly #owners = new Map<number, ShardOwner>();
  /** Handovers to this node that are under way, by shard; none with suspicion off. */
  readonly #handovers = new Map<number, HandoverTrace>();
  #isAcquiring = false;

  constructor(
    private readonly context: ControllerContext,
    private readonly reachability: PeerReachability,
    private readonly leaseExtension: LeaseExtension,
  ) {}

  /** The owned shards by their numbers. One that was just stopped may still be among them. */
  get owners(): ReadonlyMap<number, ShardOwner> {
    return this.#owners;
  }

  /** Whether a step is under way, which may be acquiring a shard at this moment. */
  get isAcquiring(): boolean {
    return this.#isAcquiring;
  }

  /** One step: gives up what is no longer this node's, hands over, and acquires. To be run in a loop. */
  async step(): Promise<void> {
    this.#isAcquiring = true;
    try {
      for (const owner of [...this.#owners.values()]) await this.#review(owner);
      await this.#acquireAssigned();
    } finally {
      this.#isAcquiring = false;
    }
  }

  /** Gives an owned shard up when it is no longer this node's, or when another node reaches its workers. */
  async #review(owner: ShardOwner): Promise<void> {
    const { controllerId, cache, session, store } = this.context;
    const { shard } = owner;
    const lease = read.lease(cache.get(KEY.lease(shard))?.value);
    if (session.lease === undefined || lease?.owner !== controllerId) owner.stop('lease not held here');
    else if (read.shard(cache.get(KEY.shard(shard))?.value)?.owner !== controllerId) {
      owner.stop('assigned to another controller');
      // Once the lease is gone the other may take it: nothing leaves here any more.
      await store.compareAndSwap([owner.leaseCondition()], [{ delete: KEY.lease(shard) }], 'urgent');
    }
    if (!owner.stopped) await this.#handOverUnreachable(owner);
    if (!owner.stopped) await this.#handOverPlanned(owner);
    if (owner.stopped) this.#owners.delete(shard);
  }

  /** A node that is cut from most workers of its shard gives it to one that they come to instead. */
  async #handOverUnreachable(owner: ShardOwner): Promise<void> {
    const { machines, unheard } = owner.workerReachability();
    const successor = this.reachability.successor(owner.shard, machines, unheard);
    if (successor === undefined || this.#record(owner.shard) === undefined) return;
    const { shard } = owner;
    this.context.log.info(
      { shard, successor, machines, unheard },
      'handing shard over: its workers reach another controller only',
    );
    owner.stop('its workers reach another controller only');
    await this.#nameSuccessor(owner, successor);
  }

  /**
   * A node that is slow itself, or that most peers don't hear, gives its shards up in order: it stops, lets the commands
   * that are on their way be answered, and names the successor in the transaction that deletes the lease. That takes well
   * under the lease, whose end the others would have to wait for.
   */
  async #handOverPlanned(owner: ShardOwner): Promise<void> {
    const { suspicion, log } = this.context;
    const { shard } = owner;
    const candidates = suspicion ? ownerCandidates(this.context, shardsByController(this.context)) : [];
    const planned = suspicion?.plannedHandover(shard, candidates);
    if (!planned || this.#record(shard)?.owner !== this.context.controllerId) return;
    const { successor, reason } = planned;
    log.info({ shard, successor, reason }, 'planned shard handover');
    const handover = new HandoverTrace(shard, this.context);
    owner.stop(reason);
    handover.reached('stopped', { reason });
    await this.#drain(owner);
    handover.reached('drained', { unanswered: owner.commandsInFlight });
    await this.#nameSuccessor(owner, successor);
    handover.reached('successor named', { successor });
  }

  /** Waits for the answers to commands that have left. What is still unanswered then is the successor's to settle. */
  async #drain(owner: ShardOwner): Promise<void> {
    const { clock, session } = this.context;
    const until = clock.now() + DRAIN_MS;
    while (owner.commandsInFlight > 0 && clock.now() < until && session.valid) {
      await clock.sleep(DRAIN_POLL_MS);
    }
  }

  /** One transaction names the successor and deletes the lease; the owner has stopped before. */
  async #nameSuccessor(owner: ShardOwner, successor: string): Promise<void> {
    const { store, cache } = this.context;
    const key = KEY.shard(owner.shard);
    const record = this.#record(owner.shard);
    if (!record) return;
    const deletion = { delete: KEY.lease(owner.shard) };
    // The leader may have given it to another meanwhile: its word stands.
    const isAssignedHere = record.owner === this.context.controllerId;
    const changes = isAssignedHere
      ? [{ put: key, value: { ...record, owner: successor } }, deletion]
      : [deletion];
    await store.compareAndSwap(
      [owner.leaseCondition(), { key, version: cache.version(key) }],
      changes,
      'urgent',
    );
  }

  async #acquireAssigned(): Promise<void> {
    const { cache, settings, types } = this.context;
    if (!cache.loaded || types().length === 0) return;
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
      if (this.#owners.has(shard)) continue;
      const outcome = await this.#acquireIfAssigned(shard);
      if (outcome === 'lost') return;
    }
  }

  async #acquireIfAssigned(shard: number): Promise<AcquisitionOutcome> {
    const { cache, session, controllerId } = this.context;
    if (!session.valid || session.lease === undefined) return 'lost';
    const held = cache.get(KEY.lease(shard));
    if (held) {
      if (read.lease(held.value)?.owner === controllerId) await this.#deleteLeaseWithoutTables(held);
      return 'refused';
    }
    const record = this.#record(shard);
    this.#followAssignment(shard, record?.owner === controllerId);
    if (record?.owner !== controllerId || !this.#mayAcquire(record)) return 'refused';
    return this.#acquire(shard, record, session.lease);
  }

  /**
   * An acquisition of ours that got no answer was carried out after all, or we stopped while a raise of ours that got
   * none hid the lease's version. No tables are behind it: start over. Whoever the shard is given to now would wait for
   * it as long as our session lives.
   */
  async #deleteLeaseWithoutTables({ key, version }: Entry): Promise<void> {
    await this.context.store.compareAndSwap([{ key, version }], [{ delete: key }], 'urgent');
  }

  /** A handover begins when this node is seen to be chosen, and is broken off when another is. */
  #followAssignment(shard: number, isAssigned: boolean): void {
    if (!this.context.suspicion) return;
    if (!isAssigned) {
      this.#handovers.get(shard)?.abandon();
      this.#handovers.delete(shard);
    } else if (!this.#handovers.has(shard)) {
      const handover = new HandoverTrace(shard, this.context);
      handover.reached('chosen');
      this.#handovers.set(shard, handover);
    }
  }

  /** Acquires the lease and draws a token in one transaction. */
  async #acquire(shard: number, record: ShardRecord, sessionLease: number): Promise<AcquisitionOutcome> {
    const { controllerId, cache, session, store, clock, log } = this.context;
    const token = (read.fencingToken(cache.get(KEY.fencingToken)?.value)?.next ?? 0) + 1;
    const result = await store.compareAndSwap(
      [
        { key: KEY.lease(shard), version: 0 },
        { key: KEY.shard(shard), version: cache.version(KEY.shard(shard)) },
        { key: KEY.fencingToken, version: cache.version(KEY.fencingToken) },
      ],
      [
        { put: KEY.fencingToken, value: { next: token } },
        { put: KEY.lease(shard), value: { owner: controllerId, token }, lease: sessionLease },
        { put: KEY.shard(shard), value: { ...record, holder: controllerId } },
      ],
      'urgent',
    );
    if (!result.ok) return 'refused';
    // The tables are built from a view that holds everything the owner before us could have acted on.
    while (cache.revision < result.revision && session.valid) await clock.sleep(VIEW_POLL_MS);
    if (!session.valid || read.lease(cache.get(KEY.lease(shard))?.value)?.owner !== controllerId) {
      log.warn({ shard }, 'shard lease lost during acquisition');
      return 'lost';
    }
    const owner = new ShardOwner(
      {
        number: shard,
        teams: record.teams,
        fencingToken: token,
        leaseVersion: result.revision,
        acquiredRevision: result.revision,
      },
      this.context,
    );
    this.#startOwner(owner, token);
    return 'acquired';
  }

  #startOwner(owner: ShardOwner, token: number): void {
    const { shard } = owner;
    this.#owners.set(shard, owner);
    const handover = this.#handovers.get(shard);
    this.#handovers.delete(shard);
    handover?.reached('acquired');
    handover?.reached('token drawn', { token });
    owner.start(handover);
  }

  /**
   * Before its end this process may have promised another to take nothing from it. Not if this node itself held the
   * shard last, or nobody ever did: then there is nobody to be promised anything, and workers' leases are running out.
   */
  #mayAcquire({ holder }: ShardRecord): boolean {
    const { cache, controllerId } = this.context;
    const neverHeld = cache.get(KEY.fencingToken) === undefined;
    return this.leaseExtension.mayAcquireShards || neverHeld || holder === controllerId;
  }

  #record(shard: number): ShardRecord | undefined {
    return read.shard(this.context.cache.get(KEY.shard(shard))?.value);
  }
}
