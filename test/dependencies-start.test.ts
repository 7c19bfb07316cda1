import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  recordEarlyStarts,
  startCommandsOf,
  submitDependent,
  untilDependenciesAccepted,
} from './dependency-steps';
import type { StoreFault } from './fakes/key-value-store';
import { SimulatedCluster } from './fakes/simulated-cluster';

const CONTROLLER_INDICES = [0, 1, 2];
/** The reported state of a job may lag behind by at most this much. */
const MAX_STATE_LAG_MS = 3_000;

interface DependencyScenario {
  cluster: SimulatedCluster;
  /** Tasks that started before a dependency was recorded as done. */
  earlyStarts: string[];
  owner: number;
}

/** Starts a job of two tasks and submits a dependent of it. */
async function startWithDependent(
  runS: number,
  options: ConstructorParameters<typeof SimulatedCluster>[0] = {},
): Promise<DependencyScenario> {
  const cluster = new SimulatedCluster(options);
  await untilDependenciesAccepted(cluster);
  const earlyStarts = recordEarlyStarts(cluster);
  await cluster.submit('req-1', { pieces: 2, reckonS: runS }, runS);
  await submitDependent(cluster, ['req-1'], 'req-2', { pieces: 3 });
  await cluster.until('the dependency runs', () => cluster.runningTasks.length === 2);
  return { cluster, earlyStarts, owner: cluster.owner };
}

/** Waits until the dependent is done, and asserts that no task started early. */
async function assertDependentCompletes(
  { cluster, earlyStarts }: DependencyScenario,
  limitS = 120,
): Promise<void> {
  await cluster.untilJobState('req-2', 'done', limitS, 1);
  for (const index of CONTROLLER_INDICES) {
    if (cluster.controllers[index]?.alive) assert.equal(await cluster.jobState('req-2', index), 'done');
  }
  assert.deepEqual(earlyStarts, []);
  cluster.assertInvariants();
}

function killAndRestart(cluster: SimulatedCluster, index: number, afterMs: number): void {
  cluster.kill(index);
  cluster.clock.after(afterMs, () => {
    cluster.restart(index);
  });
}

test('a job starts within 5 s after all its dependencies are done, and not before', async () => {
  const cluster = new SimulatedCluster();
  await untilDependenciesAccepted(cluster);
  const earlyStarts = recordEarlyStarts(cluster);
  for (const [number, runS] of [12, 30, 5].entries()) {
    await cluster.submit(`req-${number + 1}`, { pieces: 2, reckonS: runS }, runS, number);
  }
  await submitDependent(cluster, ['req-1', 'req-2', 'req-3'], 'req-4', { pieces: 2 });
  await cluster.until(
    'the longest dependency has ended',
    () => cluster.invariants.areDependenciesDone('req-4'),
    60,
  );
  assert.deepEqual(startCommandsOf(cluster, ['req-4']), []);
  await cluster.until('the dependent starts', () => cluster.machineOf('req-4/0') !== undefined, 5);
  await cluster.untilJobState('req-4', 'done');
  assert.deepEqual(earlyStarts, []);
  cluster.assertInvariants();
});

test('a dependent is pending at every controller while its dependency runs', async () => {
  const { cluster } = await startWithDependent(40);
  const end = cluster.clock.now() + 30_000;
  while (cluster.clock.now() < end) {
    for (const index of CONTROLLER_INDICES) assert.equal(await cluster.jobState('req-2', index), 'pending');
    await cluster.clock.advance(3_000);
  }
  assert.deepEqual(startCommandsOf(cluster, ['req-2']), []);
  cluster.assertInvariants();
});

test('a dependent waits until a dependency that failed on a faulty machine is done', async () => {
  const scenario = await startWithDependent(10);
  const { cluster } = scenario;
  cluster.worker(cluster.machineOf('req-1/0') ?? '').failsTasks = true;
  await assertDependentCompletes(scenario, 240);
});

for (const afterMs of [1_000, 7_500, 9_800, 10_300, 10_800, 11_500, 14_000]) {
  test(`a dependent completes although the owner dies ${afterMs} ms after its dependency started, which runs for 10 s`, async () => {
    const scenario = await startWithDependent(10);
    const { cluster, owner } = scenario;
    await cluster.clock.advance(afterMs);
    killAndRestart(cluster, owner, 6_000);
    await assertDependentCompletes(scenario);
  });
}

test('a dependent completes although all controllers die while it is pending and again when its dependency ends', async () => {
  const scenario = await startWithDependent(40);
  const { cluster } = scenario;
  for (let round = 0; round < 2; round += 1) {
    for (const index of CONTROLLER_INDICES) killAndRestart(cluster, index, 4_000);
    await cluster.clock.advance(5_000);
    await cluster.untilOwned();
    if (round === 0)
      await cluster.until(
        'the dependency has ended',
        () => cluster.invariants.areDependenciesDone('req-2'),
        90,
      );
  }
  await assertDependentCompletes(scenario);
});

test('a job whose dependency ends during an outage of the store starts only after the outage', async () => {
  const scenario = await startWithDependent(10);
  const { cluster } = scenario;
  await cluster.clock.advance(5_000);
  cluster.store.outage(true);
  await cluster.until('the dependency has ended', () => cluster.invariants.areDependenciesDone('req-2'), 30);
  await cluster.clock.advance(12_000);
  assert.deepEqual(startCommandsOf(cluster, ['req-2']), []);
  cluster.store.outage(false);
  await assertDependentCompletes(scenario);
});

test('a job whose dependency ends during an outage in which its owner dies starts only after the outage', async () => {
  const scenario = await startWithDependent(10);
  const { cluster, owner } = scenario;
  await cluster.clock.advance(5_000);
  cluster.store.outage(true);
  await cluster.clock.advance(7_000);
  killAndRestart(cluster, owner, 1_000);
  await cluster.clock.advance(8_000);
  assert.deepEqual(startCommandsOf(cluster, ['req-2']), []);
  cluster.store.outage(false);
  await assertDependentCompletes(scenario);
});

const isDependencyEndWrite = (path: string, body: unknown): boolean =>
  path === '/txn' && JSON.stringify(body).includes('final/req-1');

for (const [what, fault] of [
  ['gets no response', 'lose answer'],
  ['is executed 12 s late', { lateMs: 12_000 }],
  ['gets its response 1.4 s late', { slowMs: 1_400 }],
  ['is refused', 'refuse'],
] as const satisfies readonly (readonly [string, StoreFault])[]) {
  for (const ownerDies of [false, true]) {
    test(`a dependent completes although the write of its dependency's end ${what}${ownerDies ? ' and the owner dies' : ''}`, async () => {
      const scenario = await startWithDependent(8);
      const { cluster, owner } = scenario;
      let faultCount = 0;
      cluster.store.rule(({ path, body }) => {
        if (faultCount >= 2 || !isDependencyEndWrite(path, body)) return undefined;
        faultCount += 1;
        return fault;
      });
      await cluster.until('the end of the dependency is being recorded', () => faultCount > 0, 30);
      if (ownerDies) killAndRestart(cluster, owner, 3_000);
      await assertDependentCompletes(scenario);
      await cluster.clock.advance(14_000);
      await assertDependentCompletes(scenario);
    });
  }
}

test('heartbeats to an earlier owner that reach the new one, before and after the dependency is done, start no dependent early', async () => {
  const scenario = await startWithDependent(20);
  const { cluster, owner } = scenario;
  const captured = cluster.captureHeartbeats();
  await cluster.clock.advance(4_000);
  killAndRestart(cluster, owner, 10_000);
  await cluster.clock.advance(100);
  const successor = await cluster.untilOwned();
  captured.replay(successor);
  await cluster.clock.advance(1_000);
  assert.deepEqual(startCommandsOf(cluster, ['req-2']), []);
  await cluster.until('the dependency has ended', () => cluster.invariants.areDependenciesDone('req-2'), 60);
  captured.replay(successor);
  captured.stop();
  await assertDependentCompletes(scenario);
});

test('an owner that only the store refuses starts no dependent early when its dependency ends meanwhile', async () => {
  const scenario = await startWithDependent(10);
  const { cluster, owner } = scenario;
  cluster.store.refused.add(`node-${owner}`);
  await cluster.clock.advance(25_000);
  cluster.store.refused.delete(`node-${owner}`);
  await assertDependentCompletes(scenario);
});

test('a job with a dependency in another shard completes although the owner of each shard dies', async () => {
  for (const team of ['red', 'blue']) {
    const cluster = new SimulatedCluster({ operator: { blocks: 3 } });
    await cluster.clock.advance(15_000);
    await untilDependenciesAccepted(cluster);
    const earlyStarts = recordEarlyStarts(cluster);
    await cluster.submit('req-1', { crew: team, reckonS: 20 }, 20);
    await submitDependent(cluster, ['req-1'], 'req-2', { crew: team === 'red' ? 'blue' : 'red' });
    await cluster.until('the dependency runs', () => cluster.machineOf('req-1/0') !== undefined);
    for (const index of CONTROLLER_INDICES) {
      killAndRestart(cluster, index, 2_000);
      await cluster.clock.advance(7_000);
    }
    await assertDependentCompletes({ cluster, earlyStarts, owner: -1 });
  }
});

test('every controller reports a dependency as done within 3 s of its end', async () => {
  const { cluster } = await startWithDependent(10);
  await cluster.until('the dependency has ended', () => cluster.invariants.areDependenciesDone('req-2'), 30);
  await cluster.clock.advance(MAX_STATE_LAG_MS);
  for (const index of CONTROLLER_INDICES) assert.equal(await cluster.jobState('req-1', index), 'done');
  cluster.assertInvariants();
});
