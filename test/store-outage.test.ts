import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { submission } from './fakes/submission';

test('a short outage of the state service: tasks continue, users get 503, no job is lost', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 30);
  await cluster.until('3 tasks run', () => cluster.runningTasks.length >= 3);
  cluster.store.outage(true);
  await cluster.clock.advance(500);
  const response = await cluster.request(0, 'POST', '/work', submission('req-2'));
  assert.equal(response.status, 503);
  assert.equal(await cluster.jobState('req-1'), 503);
  await cluster.clock.advance(8000);
  assert.equal(cluster.runningTasks.length, 3);
  cluster.store.outage(false);
  await cluster.submit('req-2');
  await cluster.untilJobState('req-1', 'done');
  await cluster.untilJobState('req-2', 'done');
  const starts = [...cluster.workers.values()].flatMap((w) => w.startCommands);
  assert.equal(starts.length, 4);
  cluster.assertInvariants();
});

test('an outage longer than all leases: peers extend the lease of the owner, and no task is lost', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 60);
  await cluster.until('3 tasks run', () => cluster.runningTasks.length >= 3);
  cluster.store.outage(true);
  for (let second = 0; second < 30; second += 1) {
    await cluster.clock.advance(1000);
    assert.equal(cluster.runningTasks.length, 3, `after ${second} s`);
  }
  cluster.store.outage(false);
  await cluster.untilJobState('req-1', 'done');
  assert.equal([...cluster.workers.values()].flatMap((w) => w.startCommands).length, 3);
  cluster.assertInvariants();
});

test('a cancellation just before an outage reaches the owner through the peers that extend its lease', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 200);
  await cluster.until('3 tasks run', () => cluster.runningTasks.length >= 3);
  const owner = `node-${cluster.owner}`;
  const others = [0, 1, 2].filter((index) => index !== cluster.owner);
  // The owner does not learn of it: the state service refuses its watch, and the change notification of its peer is lost.
  cluster.store.refused.add(owner);
  cluster.dropsPeerMessages = true;
  assert.equal(await cluster.cancel('req-1', others[0]), 'withdrawn');
  cluster.store.outage(true);
  cluster.dropsPeerMessages = false;
  await cluster.clock.advance(25_000);
  assert.deepEqual(cluster.runningTasks, []);
  cluster.assertInvariants();
});

test('an owner that cannot reach the state service loses its lease if one peer can reach it or is dead', async () => {
  for (const isSecondDead of [false, true]) {
    const cluster = new SimulatedCluster();
    await cluster.submit('req-1', { pieces: 3 }, 100);
    await cluster.until('3 tasks run', () => cluster.runningTasks.length >= 3);
    const owner = cluster.owner;
    const [first = 0, second = 0] = [0, 1, 2].filter((index) => index !== owner);
    cluster.store.refused.add(`node-${owner}`);
    if (isSecondDead) cluster.kill(second);
    cluster.store.refused.add(`node-${first}`);
    await cluster.clock.advance(8000);
    assert.equal(cluster.controllers[owner]?.controller.owners.get(0)?.entitled ?? false, false);
    if (!isSecondDead) assert.equal(await cluster.untilOwned(), second);
    cluster.assertInvariants();
  }
});

test('after a long outage of the state service the tasks are started again and complete', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 10);
  await cluster.until('3 tasks run', () => cluster.runningTasks.length >= 3);
  cluster.dropsPeerMessages = true;
  cluster.store.outage(true);
  await cluster.clock.advance(60_000);
  assert.deepEqual(cluster.runningTasks, []);
  cluster.store.outage(false);
  await cluster.untilJobState('req-1', 'done');
  cluster.assertInvariants();
});

test('a controller that alone is refused by the state service reports itself down until that ends', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  cluster.store.refused.add('node-1');
  await cluster.clock.advance(12_000);
  assert.equal((await cluster.request(1, 'GET', '/up')).status, 503);
  assert.equal((await cluster.request(0, 'GET', '/up')).status, 200);
  assert.equal((await cluster.request(1, 'POST', '/work', submission('req-1'))).status, 503);
  await cluster.submit('req-1', {}, 5, 2);
  await cluster.untilJobState('req-1', 'done', 60, 2);
  cluster.store.refused.delete('node-1');
  await cluster.clock.advance(10_000);
  assert.equal((await cluster.request(1, 'GET', '/up')).status, 200);
  assert.equal(await cluster.jobState('req-1', 1), 'done');
});

test('in an outage of the state service for all, no controller reports itself down', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  cluster.store.outage(true);
  for (let step = 0; step < 40; step += 1) {
    await cluster.clock.advance(400);
    for (const index of [0, 1, 2])
      assert.equal((await cluster.request(index, 'GET', '/up')).status, 200, `${step}`);
  }
});
