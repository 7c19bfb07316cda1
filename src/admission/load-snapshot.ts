/** @file Computes the accepted work and the fleet's capacity from the records in a controller's watch cache. */
import { PREFIX, read } from '../bookkeeping/records';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { Job, MachineType } from '../protocol/model';
import type { Epoch, FlowLoad } from './epoch';
import { flowRecordKey, readAdmitted } from './epoch-records';
import { flowKey, flowOf } from './flow';
import type { Load } from './overload';

/** Numbers of a job's running and done tasks. */
export interface TaskProgress {
  readonly running: number;
  readonly done: number;
}

/** The part of a running task's work that is assumed to remain. */
const RUNNING_TASK_REMAINDER = 0.5;

/** The sources of a load snapshot. */
export interface LoadContext {
  readonly cache: WatchCache;
  types(): readonly MachineType[];
  /** The latest known progress of a live job; undefined if none is known. */
  progressOf(id: string): TaskProgress | undefined;
  /** Whether the job waits for its dependencies, not for capacity. */
  waitsForDependencies(id: string): boolean;
  /** Maximum number of CPUs that a team may use; 0 for no limit. */
  teamLimitCpus(team: string): number;
}

/** The load of the fleet and of each flow at one moment. */
export interface LoadSnapshot {
  readonly load: Load;
  readonly flows: readonly FlowLoad[];
}

/** The number of machines that have a record. */
export function countMachines(cache: WatchCache): number {
  return [...cache.under(PREFIX.machine)].length;
}

/** Sums up backlog and capacity. The total backlog is limited to work that teams' CPU limits allow in `horizonS` s. */
export function readLoadSnapshot(context: LoadContext, epoch: Epoch, horizonS: number): LoadSnapshot {
  const flows = new Map<string, { jobClass: string; team: string; backlog: number }>();
  const backlogOfTeam = new Map<string, number>();
  for (const entry of context.cache.under(PREFIX.job)) {
    const job = read.job(entry.value)?.job;
    if (!job) continue;
    const { jobClass, team } = flowOf(job);
    const key = flowKey({ jobClass, team });
    const flow = flows.get(key) ?? { jobClass, team, backlog: 0 };
    flows.set(key, flow);
    if (context.waitsForDependencies(job.id)) continue;
    const work = remainingWork(job, context.progressOf(job.id));
    flow.backlog += work;
    backlogOfTeam.set(team, (backlogOfTeam.get(team) ?? 0) + work);
  }
  for (const { jobClass, team } of epoch.grants) {
    const key = flowKey({ jobClass, team });
    if (!flows.has(key)) flows.set(key, { jobClass, team, backlog: 0 });
  }
  const load = { backlog: servableBacklog(backlogOfTeam, context, horizonS), capacity: fleetCpus(context) };
  const flowLoads = [...flows.values()].map((flow) => {
    const value = context.cache.get(flowRecordKey(flow))?.value;
    return { ...flow, admitted: readAdmitted(value, epoch.overload) };
  });
  return { load, flows: flowLoads };
}

function remainingWork({ tasks, cpus, estimateS }: Job, progress: TaskProgress | undefined): number {
  const { running = 0, done = 0 } = progress ?? {};
  return Math.max(0, tasks - done - running * RUNNING_TASK_REMAINDER) * cpus * estimateS;
}

/** The backlog without work that only its team's CPU limit delays. Such work delays no other team: it is no overload. */
function servableBacklog(
  backlogOfTeam: ReadonlyMap<string, number>,
  context: LoadContext,
  horizonS: number,
): number {
  let backlog = 0;
  for (const [team, work] of backlogOfTeam) {
    const limit = context.teamLimitCpus(team);
    backlog += limit > 0 ? Math.min(work, limit * horizonS) : work;
  }
  return backlog;
}

function fleetCpus({ cache, types }: LoadContext): number {
  const cpusOf = new Map(types().map(({ name, cpus }) => [name, cpus]));
  let cpus = 0;
  for (const entry of cache.under(PREFIX.machine)) {
    cpus += cpusOf.get(read.machine(entry.value)?.type ?? '') ?? 0;
  }
  return cpus;
}
