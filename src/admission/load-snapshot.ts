/** @file Reads from a controller's copy of the records how much work was accepted and how large the fleet is. */
import { PREFIX, read } from '../bookkeeping/records';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { Job, MachineType } from '../protocol/model';
import type { Epoch, FlowLoad } from './epoch';
import { flowRecordKey, readAdmitted } from './epoch-records';
import { flowKey, flowOf } from './flow';
import type { Load } from './overload';

/** How many tasks of a job run and are done. */
export interface TaskProgress {
  readonly running: number;
  readonly done: number;
}

/** Of a running task this part is assumed to remain. */
const RUNNING_TASK_REMAINDER = 0.5;

/** What the facts are read from. */
export interface LoadContext {
  readonly cache: WatchCache;
  types(): readonly MachineType[];
  /** How many tasks of a live job run and are done, as far as is known. */
  progressOf(id: string): TaskProgress | undefined;
  /** Whether the job waits for its dependencies rather than for capacity. */
  waitsForDependencies(id: string): boolean;
  /** The upper limit of a team in CPUs; 0 for none. */
  teamLimitCpus(team: string): number;
}

/** Load and flows at one moment. */
export interface LoadSnapshot {
  readonly load: Load;
  readonly flows: readonly FlowLoad[];
}

/** How many machines the records name. */
export function countMachines(cache: WatchCache): number {
  return [...cache.under(PREFIX.machine)].length;
}

/** Sums up accepted work by flow, and the fleet. `horizonS` bounds what a team's own limit lets it wait for. */
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

/** Work that a team's limit keeps from running is no overload of the fleet: no other team waits because of it. */
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
