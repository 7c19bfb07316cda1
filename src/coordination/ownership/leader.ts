/** @file Leader election, and the periodic duties of the leader. */
import { eventOfChange } from '../../bookkeeping/change-events';
import { KEY, read } from '../../bookkeeping/records';
import type { ChangeEvent, Condition } from '../../protocol/key-value-store';
import type { CloudInventory } from '../autoscaling/cloud-inventory';
import type { ControllerContext } from '../controller-context';
import { MachineAdoption } from './machine-adoption';
import { RecordGarbageCollector } from './record-garbage-collector';
import { ShardAssignment } from './shard-assignment';

/**
 * Takes part in the leader election. The elected controller assigns shards to live controllers, adopts machines without
 * a record, and deletes records of ended jobs. The leader has no other duties: it schedules no jobs.
 */
export class Leader {
  readonly #shardAssignment: ShardAssignment;
  readonly #machineAdoption: MachineAdoption;
  readonly #garbageCollector: RecordGarbageCollector;

  /** `mayBeBoundByGrant`: whether a lease extension granted by this controller's previous process may be valid. */
  constructor(
    private readonly context: ControllerContext,
    cloud: CloudInventory,
    mayBeBoundByGrant: () => boolean,
  ) {
    const leadershipCondition = (): Condition | undefined => this.leaderCondition();
    this.#shardAssignment = new ShardAssignment(context, leadershipCondition, mayBeBoundByGrant);
    this.#machineAdoption = new MachineAdoption(context, leadershipCondition, cloud);
    this.#garbageCollector = new RecordGarbageCollector(context);
  }

  /** Whether this controller is the leader, according to its watch cache. */
  get isLeader(): boolean {
    const { cache, controllerId, session } = this.context;
    return session.isValid && read.leader(cache.get(KEY.leader)?.value)?.node === controllerId;
  }

  /**
   * The condition by which a transaction succeeds only while this controller is the leader; undefined when it knows
   * that it isn't. Callers get a new condition right before each write, since the leader may change between two writes:
   * the version of another leader's record would guarantee nothing.
   */
  leaderCondition(): Condition | undefined {
    return this.isLeader ? { key: KEY.leader, version: this.context.cache.version(KEY.leader) } : undefined;
  }

  /** Takes part in the election; if elected, performs the leader's duties. Run in a loop and on record changes. */
  async step(): Promise<void> {
    const { cache, store, session, controllerId } = this.context;
    if (!cache.isLoaded || !session.isValid || session.lease === undefined) return;
    if (!cache.get(KEY.leader)) {
      const change = { put: KEY.leader, value: { node: controllerId }, lease: session.lease };
      const result = await store.compareAndSwap([{ key: KEY.leader, version: 0 }], [change], 'urgent');
      if (result.ok) this.#onElected(eventOfChange(change, result.revision));
    }
    if (!this.isLeader) return;
    await this.#shardAssignment.step();
    await this.#machineAdoption.step();
    await this.#garbageCollector.step();
  }

  #onElected(event: ChangeEvent): void {
    this.context.log.info({ node: this.context.controllerId }, 'became leader');
    this.context.cache.applyNotification(event);
  }
}
