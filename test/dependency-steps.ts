/** @file Shared steps of the tests of job dependencies. */
import assert from 'node:assert/strict';
import { submission } from './fakes/submission';
import { CANCEL_S, SimulatedCluster } from './fakes/simulated-cluster';

const CONTROLLER_INDICES = [0, 1, 2];

/** Time within which every controller has received the format records of all others. */
const FORMAT_GATE_PROPAGATION_MS = 1_500;

/** Advances the time until every controller accepts submissions with dependencies. */
export async function untilDependenciesAccepted(cluster: SimulatedCluster): Promise<void> {
  await cluster.untilOwned();
  const hasFormatRecord = (index: number): boolean => cluster.store.data.has(`live/format/node-${index}`);
  await cluster.until('all format records are written', () => CONTROLLER_INDICES.every(hasFormatRecord));
  await cluster.clock.advance(FORMAT_GATE_PROPAGATION_MS);
}

/** Submits a job with dependencies. */
export async function submitDependent(
  cluster: SimulatedCluster,
  dependencies: readonly string[],
  id: string,
  fields: Record<string, unknown> = {},
  runS = 5,
  index = 0,
): Promise<void> {
  await cluster.submit(id, { ...fields, awaits: dependencies }, runS, index);
}

/** Submits a chain of jobs, each of which depends on the previous one, to the controllers in rotation; returns the ids. */
export async function submitChain(
  cluster: SimulatedCluster,
  length: number,
  fields: Record<string, unknown> = {},
  runS = 5,
): Promise<string[]> {
  const ids: string[] = [];
  for (let number = 1; number <= length; number += 1) {
    const id = `req-${number}`;
    await submitDependent(cluster, ids.slice(-1), id, fields, runS, number % CONTROLLER_INDICES.length);
    ids.push(id);
  }
  return ids;
}

/** Submits many jobs, in batches within the store's rate limit, and retries until all are accepted. */
export async function submitMany(
  cluster: SimulatedCluster,
  ids: readonly string[],
  fields: Record<string, unknown>,
  runS: number,
): Promise<void> {
  const missing = new Set(ids);
  for (const id of ids) cluster.setRunTime(id, runS);
  const user = cluster.network.caller('user');
  for (let attempt = 0; attempt < 200 && missing.size > 0; attempt += 1) {
    for (const [position, id] of [...missing].slice(0, 30).entries()) {
      const { address } = cluster.controllers[position % CONTROLLER_INDICES.length] ?? { address: '' };
      user.call(address, 'POST', '/work', submission(id, fields), 5000).then(
        ({ status }) => {
          if (status === 200 || status === 201) missing.delete(id);
        },
        () => undefined,
      );
    }
    await cluster.clock.advance(1000);
  }
  assert.equal(missing.size, 0, `${missing.size} jobs were not accepted`);
}

/** The state, or else HTTP status, that each running controller returns for a job, in the order of their indices. */
export async function jobStates(cluster: SimulatedCluster, id: string): Promise<(string | number)[]> {
  const states: (string | number)[] = [];
  for (const index of CONTROLLER_INDICES) {
    if (cluster.controllers[index]?.alive) states.push(await cluster.jobState(id, index));
  }
  return states;
}

/** Asserts that every running controller returns this state for each of the jobs. */
export async function assertStateEverywhere(
  cluster: SimulatedCluster,
  ids: readonly string[],
  state: string,
): Promise<void> {
  for (const id of ids) {
    for (const answer of await jobStates(cluster, id)) assert.equal(answer, state, id);
  }
}

/** Waits for the time limit for cancellations; then asserts that all jobs are cancelled and never started a task. */
export async function assertCancelledInTime(
  cluster: SimulatedCluster,
  ids: readonly string[],
): Promise<void> {
  await cluster.clock.advance(CANCEL_S * 1000);
  await assertStateEverywhere(cluster, ids, 'withdrawn');
  const remaining = cluster.runningTasks.filter((task) => ids.includes(task.split('/')[0] ?? ''));
  assert.deepEqual(remaining, []);
  assert.deepEqual(startCommandsOf(cluster, ids), []);
}

/** All start commands for tasks of these jobs that workers executed. */
export function startCommandsOf(cluster: SimulatedCluster, ids: readonly string[]): string[] {
  const starts = [...cluster.workers.values()].flatMap((worker) => worker.startCommands);
  return starts.filter((start) => ids.includes(start.split('/')[0] ?? ''));
}

/** Records every task that starts before the store contains the final state 'done' of all its job's dependencies. */
export function recordEarlyStarts(cluster: SimulatedCluster): string[] {
  const early: string[] = [];
  cluster.onTaskStarted = (task) => {
    const { awaits } = cluster.invariants.submissionOf(task.split('/')[0] ?? '') ?? {};
    for (const id of awaits ?? []) {
      const final = cluster.store.data.get(`final/${id}`)?.data as { state?: string } | undefined;
      if (final?.state !== 'done') early.push(`${task} before ${id}`);
    }
  };
  return early;
}

/** Submits a chain of jobs and waits until the first one runs. `rest` has the ids of the others. */
export async function startPipeline(
  length = 5,
  runS = 300,
): Promise<{ cluster: SimulatedCluster; ids: string[]; rest: string[] }> {
  const cluster = new SimulatedCluster();
  await untilDependenciesAccepted(cluster);
  cluster.setRunTime('req-1', runS);
  const ids = await submitChain(cluster, length, {}, runS);
  await cluster.until('the first job runs', () => cluster.machineOf('req-1/0') !== undefined);
  return { cluster, ids, rest: ids.slice(1) };
}

/** Polls every job at every controller beyond the time limit for cancellations; the invariants check the responses. */
export async function pollDuringCancellation(
  cluster: SimulatedCluster,
  ids: readonly string[],
): Promise<void> {
  const end = cluster.clock.now() + CANCEL_S * 1000 + 5_000;
  while (cluster.clock.now() < end) {
    for (const id of ids) {
      for (const index of CONTROLLER_INDICES) {
        const address = cluster.controllers[index]?.address ?? '';
        cluster.network
          .caller('user')
          .call(address, 'GET', `/work/${id}`, undefined, 2000)
          .catch(() => undefined);
      }
    }
    await cluster.clock.advance(5_000);
  }
  cluster.assertInvariants();
}

/** Creates a deployment, and waits until all controllers accept submissions with dependencies. */
export async function clusterAcceptingDependencies(
  options: ConstructorParameters<typeof SimulatedCluster>[0] = {},
): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster(options);
  await untilDependenciesAccepted(cluster);
  return cluster;
}
