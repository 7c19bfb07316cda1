import assert from 'node:assert/strict';
import { test } from 'node:test';
import { throttlingFor } from '../src/base/throttling';
import { read } from '../src/bookkeeping/records';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { submission } from './fakes/submission';

test('from an eighth of a core on nothing changes with the quota; below, budgets and shards make up for it', () => {
  const usual = { shards: 1, roundBudgetMs: 40, roundPauseMs: 200, watchPaceMs: 100 };
  for (const cpu of [0.125, 0.136, 0.306, 0.34, 0.391, 1, 8]) assert.deepEqual(throttlingFor(cpu, 3), usual);
  const small = throttlingFor(0.05, 3);
  // As much computing in a round as on an eighth of a core.
  assert.equal(small.roundBudgetMs * 0.05, usual.roundBudgetMs * 0.125);
  assert.equal(small.shards, 3);
  assert.equal(throttlingFor(0.01, 3).shards, 3, 'never more shards than controllers');
  assert.equal(throttlingFor(0.05, 1).shards, 1);
});

test('a number of shards that followed from an earlier quota stays, and every team lies in one shard only', async () => {
  const cluster = new SimulatedCluster({ coreShare: 0.1 });
  const shardsOf = (): Map<string, string[]> => {
    const entries = [...cluster.store.data].filter(([key]) => key.startsWith('live/block/'));
    return new Map(entries.map(([key, { data }]) => [key, read.shard(data)?.teams ?? []]));
  };
  await cluster.untilOwned();
  await cluster.until('two shards are held', () => shardsOf().size === 2);
  const before = shardsOf();
  assert.deepEqual([...before.values()].flat().sort(), ['blue', 'red']);
  await cluster.submit('req-1', { crew: 'red' });
  await cluster.submit('req-2', { crew: 'blue' });
  // Larger machines for the controllers, one after the other: by their own quota they would see one shard.
  cluster.coreShare = 1;
  for (const index of [0, 1, 2]) {
    cluster.kill(index);
    await cluster.clock.advance(500);
    cluster.restart(index);
    await cluster.clock.advance(8000);
  }
  assert.deepEqual(shardsOf(), before);
  await cluster.untilJobState('req-1', 'done');
  await cluster.untilJobState('req-2', 'done');
  cluster.assertInvariants();
});

test('a process that falls behind sheds load in order, and workers, leases and the health probe last', async () => {
  const cluster = new SimulatedCluster();
  const owner = await cluster.untilOwned();
  const controller = cluster.controllers[owner];
  assert.ok(controller);
  await cluster.submit('req-1', { pieces: 4 }, 60);
  await cluster.until('its tasks run', () => cluster.runningTasks.length === 4);
  const { eventLoopDelay: delay } = controller.controller;
  const givesWay = (): boolean[] => [delay.allowsOptimization, delay.allowsScaleOut, delay.allowsSubmissions];
  assert.deepEqual(givesWay(), [true, true, true]);
  const standStill = async (ms: number): Promise<void> => {
    const thaw = cluster.freeze(owner);
    await cluster.clock.advance(ms);
    thaw();
    await cluster.clock.advance(0);
  };
  await standStill(600);
  assert.deepEqual(givesWay(), [false, true, true]);
  await standStill(1400);
  assert.deepEqual(givesWay(), [false, false, true]);
  await standStill(2600);
  assert.deepEqual(givesWay(), [false, false, false]);
  // New work is told at once when to come back; what is known is told, workers and the probe are answered.
  const asked = cluster.clock.now();
  assert.equal((await cluster.request(owner, 'POST', '/work', submission('req-2'))).status, 503);
  assert.ok(cluster.clock.now() - asked < 100);
  assert.equal((await cluster.request(owner, 'GET', '/up')).status, 200);
  const worker = [...cluster.workers.values()][0];
  assert.ok(worker);
  assert.equal((await cluster.request(owner, 'POST', '/hello', worker.nextHeartbeat())).status, 200);
  assert.ok(controller.controller.owners.get(0)?.entitled, 'its lease is renewed all the while');
  await cluster.clock.advance(3000);
  assert.deepEqual(givesWay(), [true, true, true]);
  assert.equal((await cluster.request(owner, 'POST', '/work', submission('req-2'))).status, 201);
  cluster.assertInvariants();
});
