/** @file Shared steps of the tests of upgrades from the production version. */
import assert from 'node:assert/strict';
import { read, RECORD_FORMAT } from '../src/bookkeeping/records';
import type { Request } from './fakes/network';
import type { Version } from './fakes/versions';
import { SimulatedCluster } from './fakes/simulated-cluster';

export const OLD = 'production';
export const NEW = 'present';
export const ALL_OLD: Version[] = [OLD, OLD, OLD];
export const CONTROLLERS = ['node-0', 'node-1', 'node-2'];
/** How long a restart takes. */
export const RESTART_MS = 1_500;
export const ROLL_STEPS_MS = [10_000, 12_000, 15_000];

export interface Change {
  set?: string;
  delete?: string;
}

/** Whether a request is a transaction that writes a record with this key prefix. */
export function writesRecord({ path, body }: Request, prefix: string): boolean {
  if (path !== '/txn') return false;
  const { apply = [] } = body as { apply?: Change[] };
  return apply.some((change) => change.set?.startsWith(prefix) === true);
}

export function versionOf(cluster: SimulatedCluster, index: number): Version | undefined {
  return cluster.controllers[index]?.version;
}

/** The index of the controller that the leader record names, or -1. */
export function leaderIndex(cluster: SimulatedCluster): number {
  const record = read.leader(cluster.store.data.get('live/leader')?.data);
  return cluster.controllers.findIndex(({ name }) => name === record?.node);
}

/** Controllers whose format record names the present record format or a later one. */
export function controllersWithFormatRecord(cluster: SimulatedCluster): string[] {
  return CONTROLLERS.filter((name) => {
    const record = read.format(cluster.store.data.get(`live/format/${name}`)?.data);
    return record !== undefined && record.format >= RECORD_FORMAT;
  });
}

export function isFormatGateOpen(cluster: SimulatedCluster): boolean {
  return controllersWithFormatRecord(cluster).length === CONTROLLERS.length;
}

/** Restarts a controller with the present version. */
export async function upgrade(cluster: SimulatedCluster, index: number): Promise<void> {
  cluster.kill(index);
  await cluster.clock.advance(RESTART_MS);
  cluster.restart(index, NEW);
}

/** Number of start commands that workers executed, by task of the job. */
export function startsOf(cluster: SimulatedCluster, job: string): Map<string, number> {
  const starts = new Map<string, number>();
  for (const command of [...cluster.workers.values()].flatMap((worker) => worker.startCommands)) {
    const [task = ''] = command.split('#');
    if (task.startsWith(`${job}/`)) starts.set(task, (starts.get(task) ?? 0) + 1);
  }
  return starts;
}

export function assertStartedOnce(cluster: SimulatedCluster, job: string, tasks: number): void {
  const starts = startsOf(cluster, job);
  assert.equal(starts.size, tasks, `${job}: tasks started`);
  assert.deepEqual(
    [...starts].filter(([, times]) => times > 1),
    [],
    `${job}: tasks started again`,
  );
}

/** Partitions the owner from its workers until it hands the shard over to the next controller, which is returned. */
export async function forceHandover(cluster: SimulatedCluster): Promise<number> {
  const owner = cluster.controllers[cluster.owner];
  const newOwner = (cluster.owner + 1) % CONTROLLERS.length;
  const endPartition = cluster.network.rule(({ from, to }) => {
    const isHeartbeat = from.startsWith('host-') && to === owner?.address;
    const isCommand = from === owner?.name && to.startsWith('10.1.');
    return isHeartbeat || isCommand ? 'lose' : undefined;
  });
  await cluster.until(`node-${newOwner} owns the shard`, () => cluster.owner === newOwner, 40);
  endPartition();
  await cluster.clock.advance(12_000);
  return newOwner;
}

export async function runTasks(
  cluster: SimulatedCluster,
  job: string,
  tasks: number,
  runS: number,
): Promise<void> {
  await cluster.submit(job, { pieces: tasks, reckonS: runS }, runS);
  const running = (): number => cluster.runningTasks.filter((task) => task.startsWith(`${job}/`)).length;
  await cluster.until(`${tasks} tasks of ${job} run`, () => running() >= tasks);
}

/** Creates a deployment in which the first controller owns the shard and is the leader. */
export async function clusterOwnedByFirst(versions: Version[]): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({ versions });
  assert.equal(await cluster.untilOwned(), 0);
  assert.equal(leaderIndex(cluster), 0);
  return cluster;
}
