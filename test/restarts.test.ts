import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';

test('a controller that restarts within a second continues its tasks, even during an election of the others', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 4, reckonS: 40 }, 40);
  await cluster.until('4 tasks run', () => cluster.runningTasks.length >= 4);
  const placementsBefore = cluster.runningTasks.map((task) => `${task} ${cluster.machineOf(task)}`);
  for (let round = 0; round < 4; round += 1) {
    const owner = await cluster.untilOwned();
    cluster.kill(owner);
    await cluster.clock.advance(200);
    cluster.restart(owner);
    // Another controller dies as well, while the failure of the first is being detected.
    const nextController = (owner + 1) % 3;
    await cluster.clock.advance(700);
    cluster.kill(nextController);
    await cluster.clock.advance(300);
    cluster.restart(nextController);
    await cluster.clock.advance(100);
    await cluster.untilOwned();
  }
  assert.deepEqual(
    cluster.runningTasks.map((task) => `${task} ${cluster.machineOf(task)}`),
    placementsBefore,
    'no lease of a worker expired',
  );
  await cluster.untilJobState('req-1', 'done');
  cluster.assertInvariants();
});

test('delayed duplicates of requests that a controller sent before its death change nothing', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 4, reckonS: 30 }, 30);
  await cluster.until('4 tasks run', () => cluster.runningTasks.length >= 4);
  const old = cluster.owner;
  const name = `node-${old}`;
  const endDuplication = cluster.network.rule(({ from, method }) =>
    from === name && method !== 'GET' ? 'copy' : undefined,
  );
  // Duplicates of requests for leases, rentals, completions, starts, an acceptance and a cancellation arrive later.
  await cluster.submit('req-2', { pieces: 3 }, 3, old);
  await cluster.submit('req-3', { pieces: 1 }, 60, old);
  await cluster.untilJobState('req-2', 'done', 60, old);
  assert.equal(await cluster.cancel('req-3', old), 'withdrawn');
  await cluster.clock.advance(3000);
  cluster.kill(old);
  endDuplication();
  await cluster.clock.advance(300);
  cluster.restart(old);
  await cluster.clock.advance(700);
  assert.ok(cluster.network.releaseHeld() > 20);
  await cluster.clock.advance(15_000);
  const reader = await cluster.untilOwned();
  assert.equal(await cluster.jobState('req-2', reader), 'done');
  assert.equal(await cluster.jobState('req-3', reader), 'withdrawn');
  assert.ok(!cluster.runningTasks.some((p) => p.startsWith('req-2/') || p.startsWith('req-3/')));
  await cluster.untilJobState('req-1', 'done', 120, reader);
  cluster.assertInvariants();
});

test('a machine that stalls and resumes within a second keeps its tasks', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 20);
  await cluster.until('3 tasks run', () => cluster.runningTasks.length >= 3);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const incarnation = worker.incarnation;
  for (let round = 0; round < 5; round += 1) {
    worker.isHanging = true;
    await cluster.clock.advance(600);
    worker.isHanging = false;
    await cluster.clock.advance(1500);
  }
  assert.equal(worker.incarnation, incarnation);
  await cluster.untilJobState('req-1', 'done');
  assert.equal([...cluster.workers.values()].flatMap((w) => w.startCommands).length, 3);
  cluster.assertInvariants();
});
