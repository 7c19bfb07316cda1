/** @file The snapshot of a shard's pending tasks and fleet from which scaling is planned. */
import { PRIORITY_RANK } from '../../protocol/model';
import type { ControllerContext } from '../controller-context';
import { jobOccupyingResources, remainingRunS } from '../scheduling/machine-snapshot';
import type { DispatchTable } from '../shard/dispatch-table';
import type { Machine } from '../shard/machine';
import type { Shard } from '../shard/shard';
import type { FleetMachine, InstanceOption, ScalingInput, UnplacedWork } from './scaling-plan';

/** Tasks that have to start within this many boot times do not wait for running tasks to free resources. */
const URGENT_SLACK_BOOT_TIMES = 3;

/** The sources of the snapshot. */
export interface ScalingSource {
  readonly shard: Shard;
  readonly context: ControllerContext;
  /** The number of tasks that the last scheduling round could not place, by job. */
  readonly unplaced: ReadonlyMap<string, number>;
  readonly isBackedOff: (option: InstanceOption) => boolean;
}

/** Takes the snapshot of the shard. */
export function buildScalingInput(source: ScalingSource): ScalingInput {
  const { shard, context } = source;
  const { warm_share, idle_release_s } = context.settings.operator;
  const fleet = summarizeFleet(source);
  return {
    unplaced: describeUnplaced(source),
    machines: fleet.machines,
    types: context.types(),
    isBackedOff: source.isBackedOff,
    freeingCpus: fleet.freeingCpus,
    idleReleaseMs: idle_release_s * 1000,
    areAllMachinesConfirmed: shard.areAllMachinesConfirmed,
    warmCpus: fleet.totalCpus * warm_share,
    freeCpus: fleet.freeCpus,
  };
}

/** The machines that are not being drained, and totals over those that are up. */
interface Fleet {
  readonly machines: FleetMachine[];
  totalCpus: number;
  freeCpus: number;
  /** CPUs that running tasks will free before a new machine could be up. */
  freeingCpus: number;
}

/** Describes the fleet in one pass over all machines and their attempts. */
function summarizeFleet({ shard, context }: ScalingSource): Fleet {
  const now = context.clock.now();
  const { rent_patience } = context.settings.operator;
  const fleet: Fleet = { machines: [], totalCpus: 0, freeCpus: 0, freeingCpus: 0 };
  for (const machine of shard.machines.values()) {
    if (machine.drainReason !== undefined || machine.isReleaseRequested) continue;
    const isSchedulable = shard.isSchedulable(machine, now);
    fleet.machines.push(describeMachine(machine, isSchedulable, now));
    if (!machine.isUp) continue;
    fleet.totalCpus += machine.type.cpus;
    if (isSchedulable) fleet.freeCpus += Math.max(0, machine.freeCpus);
    const patienceMs = machine.type.bootS * 1000 * rent_patience;
    for (const attempt of machine.attempts.values()) {
      const job = jobOccupyingResources(shard, attempt);
      if (!job) continue;
      const remainingMs = remainingRunS(shard, attempt, job, now) * 1000;
      if (remainingMs < patienceMs) fleet.freeingCpus += attempt.resources.cpus;
    }
  }
  return fleet;
}

function describeMachine(machine: Machine, isSchedulable: boolean, now: number): FleetMachine {
  const isIdle = machine.isUp && machine.attempts.size === 0 && isSchedulable;
  return {
    id: machine.id,
    type: machine.type,
    zone: machine.record.zone,
    spot: machine.record.spot,
    isBooting: !machine.isUp,
    ageMs: now - machine.rentedSince,
    idleMs: isIdle ? now - machine.idleSince : 0,
  };
}

function describeUnplaced({ shard, context, unplaced }: ScalingSource): UnplacedWork[] {
  const maxBootMs = Math.max(0, ...context.types().map((type) => type.bootS)) * 1000;
  const work: UnplacedWork[] = [];
  for (const [id, count] of unplaced) {
    const table = shard.tables.get(id);
    if (!table) continue;
    work.push({
      job: table.job,
      count: Math.min(count, table.unassigned),
      isUrgent: isUrgent(shard, table, maxBootMs),
      slackMs: shard.slackMs(table),
      tasksPerZone: shard.usage.zonesOf(id),
    });
  }
  return work;
}

/** Whether the job can't wait until running tasks free resources: it has at least high priority, or must start soon. */
function isUrgent(shard: Shard, table: DispatchTable, maxBootMs: number): boolean {
  if (PRIORITY_RANK[table.job.priority] <= PRIORITY_RANK.high) return true;
  const startSlackMs = shard.startSlackMs(table);
  return startSlackMs !== undefined && startSlackMs < maxBootMs * URGENT_SLACK_BOOT_TIMES;
}
