/** @file Adoption of machines that the cloud lists but that have no record; the leader's duty. */
import { maxChangesPerTransaction } from '../../base/state-limits';
import { eventOfChange } from '../../bookkeeping/change-events';
import { KEY, PREFIX, read, type MachineRecord } from '../../bookkeeping/records';
import { shardCount } from '../../bookkeeping/shard-count';
import type { Condition } from '../../protocol/key-value-store';
import type { ListedMachine } from '../../protocol/model';
import type { CloudInventory } from '../autoscaling/cloud-inventory';
import type { ControllerContext } from '../controller-context';

/** Younger machines are not adopted, because the controller that rented them may be about to record them. */
const MIN_AGE_S = 5;
/** Maximum number of machines adopted by one transaction. */
const MAX_ADOPTIONS = 10;

/**
 * Assigns machines without a record to the shard with the fewest machines. Such a machine appears only in the cloud's
 * list, because the response to its rental request was lost or the cloud executed the rental late.
 */
export class MachineAdoption {
  /** `leadershipCondition` makes a transaction fail unless this controller is the leader. */
  constructor(
    private readonly context: ControllerContext,
    private readonly leadershipCondition: () => Condition | undefined,
    private readonly cloud: CloudInventory,
  ) {}

  /** Adopts machines without a record, up to the limit for one transaction. Run by the leader. */
  async step(): Promise<void> {
    const { store, clock, log, publish } = this.context;
    const unrecorded = this.#unrecordedMachines();
    const leadership = this.leadershipCondition();
    if (unrecorded.length === 0 || !leadership) return;
    const shard = this.#shardWithFewestMachines();
    // `rentedAt` is set to the time of adoption, not of the rental, so that each machine gets the full boot time.
    const rentedAt = clock.date().getTime();
    const changes = unrecorded.map((machine) => ({
      put: KEY.machine(machine.id),
      value: recordOf(machine, shard, rentedAt),
    }));
    const noRecordConditions = changes.map(({ put }) => ({ key: put, version: 0 }));
    const result = await store.compareAndSwap([leadership, ...noRecordConditions], changes);
    if (!result.ok) return;
    log.info({ shard, machines: unrecorded.map(({ id }) => id) }, 'unrecorded machines adopted');
    for (const change of changes) publish(eventOfChange(change, result.revision));
  }

  #unrecordedMachines(): ListedMachine[] {
    const { cache, settings } = this.context;
    return this.cloud
      .machines()
      .filter(({ state, ageS }) => state !== 'failed' && ageS > MIN_AGE_S)
      .filter(({ id }) => !cache.get(KEY.machine(id)) && !this.cloud.wasRecordDeletedRecently(id))
      .slice(0, maxChangesPerTransaction(settings.platform.deployment.state, MAX_ADOPTIONS));
  }

  #shardWithFewestMachines(): number {
    const { cache, settings } = this.context;
    const machineCounts = new Map<number, number>();
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) machineCounts.set(shard, 0);
    for (const entry of cache.under(PREFIX.machine)) {
      const shard = read.machine(entry.value)?.block ?? 0;
      machineCounts.set(shard, (machineCounts.get(shard) ?? 0) + 1);
    }
    const [fewest] = [...machineCounts].sort((a, b) => a[1] - b[1]);
    return fewest?.[0] ?? 0;
  }
}

function recordOf({ type, zone, spot }: ListedMachine, shard: number, rentedAt: number): MachineRecord {
  return {
    block: shard,
    address: '',
    type,
    zone,
    spot,
    up: false,
    rentedAt,
  };
}
