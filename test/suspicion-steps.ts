/** @file Shared steps of the tests of controller faults: a loaded deployment, the faults, and the final checks. */
import assert from 'node:assert/strict';
import { KEY, read } from '../src/bookkeeping/records';
import { STORE_ADDRESS, type ClusterOptions } from './fakes/controller-settings';
import { checkOwnership, type OwnershipHistory } from './fakes/ownership-history';
import { OwnershipRecorder } from './fakes/ownership-recorder';
import { SimulatedCluster } from './fakes/simulated-cluster';

/** Operator settings with suspicion enabled, and the default ones without it. */
export const SUSPICION_ON = { suspicion: { enabled: true } };
export const SUSPICION_OFF = {};

const MACHINES = 6;
const LONG_JOB_TASKS = 6;
const CANCELLED_JOB_TASKS = 2;
/** All jobs must finish within this time after the last fault, in seconds. */
const JOBS_FINISH_WITHIN_S = 150;

/** A deployment with running jobs, and the recorder of its shard ownership. */
export interface FaultScenario {
  readonly cluster: SimulatedCluster;
  readonly history: OwnershipRecorder;
  /** The controller that owned shard 0 before the fault. */
  readonly owner: number;
}

/** Injects a fault; resolves when the fault is over. */
export type Fault = (scenario: FaultScenario) => Promise<void>;

/** Injects a fault into a deployment with running jobs; checks ownership, the invariants, and that all jobs finish. */
export async function runFaultScenario(
  fault: Fault,
  options: ClusterOptions,
): Promise<{ cluster: SimulatedCluster; history: OwnershipHistory }> {
  const cluster = new SimulatedCluster(options);
  cluster.capacity = MACHINES;
  await cluster.untilOwned();
  await cluster.submit('req-1', { pieces: LONG_JOB_TASKS }, 40);
  await cluster.submit('req-2', { pieces: CANCELLED_JOB_TASKS }, 300);
  const tasks = LONG_JOB_TASKS + CANCELLED_JOB_TASKS;
  await cluster.until('all tasks run', () => cluster.runningTasks.length >= tasks);
  // Peers must receive heartbeats from each other for a while before they can detect missing ones.
  await cluster.clock.advance(6_000);
  const recorder = new OwnershipRecorder(cluster);
  await fault({ cluster, history: recorder, owner: cluster.owner });
  if (!cluster.invariants.isCancellationRequested('req-2'))
    await cluster.cancel('req-2', await cluster.untilOwned());
  await cluster.assertJobsFinish(JOBS_FINISH_WITHIN_S);
  cluster.assertInvariants();
  const history = recorder.finish();
  assert.deepEqual(checkOwnership(history), []);
  assert.ok(!cluster.runningTasks.some((task) => task.startsWith('req-2/')), 'the cancelled job still runs');
  return { cluster, history };
}

/** Freezes a controller's process for a while, and records its jobs as orphaned. */
export function freezeFor({ cluster, history }: FaultScenario, index: number, ms: number): void {
  history.recordControllerFailure(index);
  const resume = cluster.freeze(index);
  cluster.clock.after(ms, resume);
}

/** Kills a controller's process, records its jobs as orphaned, and restarts it after a while. */
export function killFor({ cluster, history }: FaultScenario, index: number, ms: number): void {
  history.recordControllerFailure(index);
  cluster.kill(index);
  cluster.clock.after(ms, () => {
    cluster.restart(index);
  });
}

/** What a controller can be partitioned from. */
export type Connection = 'peers' | 'workers' | 'state';

/** Partitions a controller from its peers, workers or the store. Returns a function that ends the partition. */
export function partitionFrom(
  cluster: SimulatedCluster,
  index: number,
  targets: readonly Connection[],
): () => void {
  const name = `node-${index}`;
  const address = cluster.controllers[index]?.address ?? '';
  const endPartitions: (() => void)[] = [];
  if (targets.includes('peers')) endPartitions.push(cluster.isolateFromPeers(index));
  const isWorker = (host: string): boolean =>
    [...cluster.workers.values()].some((worker) => worker.id === host || worker.address === host);
  endPartitions.push(
    cluster.network.rule(({ from, to }) => {
      if (targets.includes('state') && from === name && to === STORE_ADDRESS) return 'lose';
      const involvesWorker = (from === name && isWorker(to)) || (to === address && isWorker(from));
      return targets.includes('workers') && involvesWorker ? 'lose' : undefined;
    }),
  );
  return () => {
    for (const endPartition of endPartitions) endPartition();
  };
}

/** Partitions two groups of controllers from each other. Returns a function that ends the partition. */
export function partitionGroups(
  cluster: SimulatedCluster,
  left: readonly number[],
  right: readonly number[],
): () => void {
  const pairs = left.flatMap((a) => right.map((b) => `node-${a}|node-${b}`));
  for (const pair of pairs) cluster.partitionedPairs.add(pair);
  return () => {
    for (const pair of pairs) cluster.partitionedPairs.delete(pair);
  };
}

/** Submits a job and cancels another through a controller during a fault. */
export async function submitAndCancelDuring(cluster: SimulatedCluster, index: number): Promise<void> {
  await cluster.submit('req-3', { pieces: 2 }, 5, index);
  assert.equal(await cluster.cancel('req-2', index), 'withdrawn');
}

/** The indices of the other controllers. */
export function otherControllers(cluster: SimulatedCluster, index: number): number[] {
  return cluster.controllers.map((_, other) => other).filter((other) => other !== index);
}

/** The index of the leader; -1 while there is none. */
export function leaderIndex(cluster: SimulatedCluster): number {
  const leader = read.leader(cluster.store.data.get(KEY.leader)?.data)?.node;
  return cluster.controllers.findIndex(({ name }) => name === leader);
}
