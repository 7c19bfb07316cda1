/** @file Acquires the blocks that the leader assigned to this node, gives them up, and hands them over. */
import { blockCount } from '../../bookkeeping/block-count';
import { KEY, read, type BlockRecord } from '../../bookkeeping/records';
import type { Entry } from '../../protocol/state';
import { HandoverTrace } from '../../suspicion/handover-trace';
import type { PeerReachability } from '../../suspicion/peer-reachability';
import { BlockOwner } from '../block/block-owner';
import type { NodeContext } from '../node-context';
import { blocksByNode, contenders } from './contenders';
import type { LeaseExtension } from './lease-extension';

const VIEW_POLL_MS = 5;
const DRAIN_POLL_MS = 20;
/** How long commands that are on their way may hold up an orderly handover. */
const DRAIN_MS = 500;

/**
 * What became of the look at a block. Lost: this node's session ended, or the lease went again before the view showed
 * it, so no other block is tried in the same step.
 */
type AcquisitionOutcome = 'acquired' | 'refused' | 'lost';

/**
 * The blocks that this node owns. A block is owned from the transaction that acquires its lease until this node stops
 * acting for it; the lease is deleted only after that, so two nodes never act for a block at one moment.
 */
export class BlockAcquisition {
  readonly #owners = new Map<number, BlockOwner>();
  /** Handovers to this node that are under way, by block; none with suspicion off. */
  readonly #handovers = new Map<number, HandoverTrace>();
  #isAcquiring = false;

  constructor(
    private readonly context: NodeContext,
    private readonly reachability: PeerReachability,
    private readonly leaseExtension: LeaseExtension,
  ) {}

  /** The owned blocks by their numbers. One that was just stopped may still be among them. */
  get owners(): ReadonlyMap<number, BlockOwner> {
    return this.#owners;
  }

  /** Whether a step is under way, which may be acquiring a block at this moment. */
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

  /** Gives an owned block up when it is no longer this node's, or when another node reaches its workers. */
  async #review(owner: BlockOwner): Promise<void> {
    const { node, cache, session, store } = this.context;
    const { block } = owner;
    const lease = read.lease(cache.get(KEY.lease(block))?.value);
    if (session.lease === undefined || lease?.owner !== node) owner.stop('its lease is not held here');
    else if (read.block(cache.get(KEY.block(block))?.value)?.owner !== node) {
      owner.stop('the leader gave it to another node');
      // Once the lease is gone the other may take it: nothing leaves here any more.
      await store.txn([owner.leaseGuard()], [{ delete: KEY.lease(block) }], true);
    }
    if (!owner.stopped) await this.#handOverUnreachable(owner);
    if (!owner.stopped) await this.#handOverPlanned(owner);
    if (owner.stopped) this.#owners.delete(block);
  }

  /** A node that is cut from most workers of its block gives it to one that they come to instead. */
  async #handOverUnreachable(owner: BlockOwner): Promise<void> {
    const { machines, unheard } = owner.hearing();
    const successor = this.reachability.successor(owner.block, machines, unheard);
    if (successor === undefined || this.#record(owner.block) === undefined) return;
    const { block } = owner;
    this.context.log.info({ block, successor, machines, unheard }, 'another node hears the workers');
    owner.stop('its workers reach another node only');
    await this.#nameSuccessor(owner, successor);
  }

  /**
   * A node that is slow itself, or that most peers don't hear, gives its blocks up in order: it stops, lets the commands
   * that are on their way be answered, and names the successor in the transaction that deletes the lease. That takes well
   * under the lease, whose end the others would have to wait for.
   */
  async #handOverPlanned(owner: BlockOwner): Promise<void> {
    const { suspicion, log } = this.context;
    const { block } = owner;
    const candidates = suspicion ? contenders(this.context, blocksByNode(this.context)) : [];
    const planned = suspicion?.plannedHandover(block, candidates);
    if (!planned || this.#record(block)?.owner !== this.context.node) return;
    const { successor, reason } = planned;
    log.info({ block, successor, reason }, 'giving a block up in order');
    const handover = new HandoverTrace(block, this.context);
    owner.stop(reason);
    handover.reached('stopped', { reason });
    await this.#drain(owner);
    handover.reached('drained', { unanswered: owner.outstandingCommands });
    await this.#nameSuccessor(owner, successor);
    handover.reached('successor named', { successor });
  }

  /** Waits for the answers to commands that have left. What is still unanswered then is the successor's to settle. */
  async #drain(owner: BlockOwner): Promise<void> {
    const { clock, session } = this.context;
    const until = clock.now() + DRAIN_MS;
    while (owner.outstandingCommands > 0 && clock.now() < until && session.valid) {
      await clock.sleep(DRAIN_POLL_MS);
    }
  }

  /** One transaction names the successor and deletes the lease; the owner has stopped before. */
  async #nameSuccessor(owner: BlockOwner, successor: string): Promise<void> {
    const { store, cache } = this.context;
    const key = KEY.block(owner.block);
    const record = this.#record(owner.block);
    if (!record) return;
    const deletion = { delete: KEY.lease(owner.block) };
    // The leader may have given it to another meanwhile: its word stands.
    const isAssignedHere = record.owner === this.context.node;
    const changes = isAssignedHere
      ? [{ put: key, value: { ...record, owner: successor } }, deletion]
      : [deletion];
    await store.txn([owner.leaseGuard(), { key, version: cache.version(key) }], changes, true);
  }

  async #acquireAssigned(): Promise<void> {
    const { cache, settings, types } = this.context;
    if (!cache.loaded || types().length === 0) return;
    for (let block = 0; block < blockCount(cache, settings); block += 1) {
      if (this.#owners.has(block)) continue;
      const outcome = await this.#acquireIfAssigned(block);
      if (outcome === 'lost') return;
    }
  }

  async #acquireIfAssigned(block: number): Promise<AcquisitionOutcome> {
    const { cache, session, node } = this.context;
    if (!session.valid || session.lease === undefined) return 'lost';
    const held = cache.get(KEY.lease(block));
    if (held) {
      if (read.lease(held.value)?.owner === node) await this.#deleteLeaseWithoutTables(held);
      return 'refused';
    }
    const record = this.#record(block);
    this.#followAssignment(block, record?.owner === node);
    if (record?.owner !== node || !this.#mayAcquire(record)) return 'refused';
    return this.#acquire(block, record, session.lease);
  }

  /**
   * An acquisition of ours that got no answer was carried out after all, or we stopped while a raise of ours that got
   * none hid the lease's version. No tables are behind it: start over. Whoever the block is given to now would wait for
   * it as long as our session lives.
   */
  async #deleteLeaseWithoutTables({ key, version }: Entry): Promise<void> {
    await this.context.store.txn([{ key, version }], [{ delete: key }], true);
  }

  /** A handover begins when this node is seen to be chosen, and is broken off when another is. */
  #followAssignment(block: number, isAssigned: boolean): void {
    if (!this.context.suspicion) return;
    if (!isAssigned) {
      this.#handovers.get(block)?.abandon();
      this.#handovers.delete(block);
    } else if (!this.#handovers.has(block)) {
      const handover = new HandoverTrace(block, this.context);
      handover.reached('chosen');
      this.#handovers.set(block, handover);
    }
  }

  /** Acquires the lease and draws a token in one transaction. */
  async #acquire(block: number, record: BlockRecord, sessionLease: number): Promise<AcquisitionOutcome> {
    const { node, cache, session, store, clock, log } = this.context;
    const token = (read.baton(cache.get(KEY.baton)?.value)?.next ?? 0) + 1;
    const result = await store.txn(
      [
        { key: KEY.lease(block), version: 0 },
        { key: KEY.block(block), version: cache.version(KEY.block(block)) },
        { key: KEY.baton, version: cache.version(KEY.baton) },
      ],
      [
        { put: KEY.baton, value: { next: token } },
        { put: KEY.lease(block), value: { owner: node, token }, lease: sessionLease },
        { put: KEY.block(block), value: { ...record, holder: node } },
      ],
      true,
    );
    if (!result.ok) return 'refused';
    // The tables are built from a view that holds everything the owner before us could have acted on.
    while (cache.revision < result.revision && session.valid) await clock.sleep(VIEW_POLL_MS);
    if (!session.valid || read.lease(cache.get(KEY.lease(block))?.value)?.owner !== node) {
      log.warn({ block }, 'a block was lost before it was taken');
      return 'lost';
    }
    const owner = new BlockOwner(
      {
        number: block,
        teams: record.teams,
        token,
        leaseVersion: result.revision,
        takenRevision: result.revision,
      },
      this.context,
    );
    this.#begin(owner, token);
    return 'acquired';
  }

  #begin(owner: BlockOwner, token: number): void {
    const { block } = owner;
    this.#owners.set(block, owner);
    const handover = this.#handovers.get(block);
    this.#handovers.delete(block);
    handover?.reached('acquired');
    handover?.reached('token drawn', { token });
    owner.start(handover);
  }

  /**
   * Before its end this process may have promised another to take nothing from it. Not if this node itself held the
   * block last, or nobody ever did: then there is nobody to be promised anything, and workers' leases are running out.
   */
  #mayAcquire({ holder }: BlockRecord): boolean {
    const { cache, node } = this.context;
    const neverHeld = cache.get(KEY.baton) === undefined;
    return this.leaseExtension.mayAcquireBlocks || neverHeld || holder === node;
  }

  #record(block: number): BlockRecord | undefined {
    return read.block(this.context.cache.get(KEY.block(block))?.value);
  }
}
