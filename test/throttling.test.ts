import assert from 'node:assert/strict';
import { test } from 'node:test';
import { throttlingFor } from '../src/base/throttling';
import { read } from '../src/bookkeeping/records';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { submission } from './fakes/submission';

test('from an eighth of a core on, the CPU quota changes nothing; below, time budgets and shards increase', () => {
  const unthrottled = { shards: 1, roundBudgetMs: 40, roundPauseMs: 200, watchPaceMs: 100 };
  for (const cpu of [0.125, 0.136, 0.306, 0.34, 0.391, 1, 8])
    assert.deepEqual(throttlingFor(cpu, 3), unthrottled);
  const small = throttlingFor(0.05, 3);
  // A round gets as much CPU time as with an eighth of a core.
  assert.equal(small.roundBudgetMs * 0.05, unthrottled.roundBudgetMs * 0.125);
  assert.equal(small.shards, 3);
  assert.equal(throttlingFor(0.01, 3).shards, 3, 'never more shards than controllers');
  assert.equal(throttlingFor(0.05, 1).shards, 1);
});

test('the number of shards derived from an earlier CPU quota stays, and every team is in exactly one shard', async () => {
  const cluster = new SimulatedCluster({ coreShare: 0.1 });
  const teamsByShard = (): Map<string, string[]> => {
    const entries = [...cluster.store.data].filter(([key]) => key.startsWith('live/block/'));
    return new Map(entries.map(([key, { data }]) => [key, read.shard(data)?.teams ?? []]));
  };
  await cluster.untilOwned();
  await cluster.until('two shards are recorded', () => teamsByShard().size === 2);
  const before = teamsByShard();
  assert.deepEqual([...before.values()].flat().sort(), ['blue', 'red']);
  await cluster.submit('req-1', { crew: 'red' });
  await cluster.submit('req-2', { crew: 'blue' });
  // The controllers move to larger machines one by one; the new quota alone would result in one shard.
  cluster.coreShare = 1;
  for (const index of [0, 1, 2]) {
    cluster.kill(index);
    await cluster.clock.advance(500);
    cluster.restart(index);
    await cluster.clock.advance(8000);
  }
  assert.deepEqual(teamsByShard(), before);
  await cluster.untilJobState('req-1', 'done');
  await cluster.untilJobState('req-2', 'done');
  cluster.assertInvariants();
});

test('a controller with a delayed event loop sheds load in order, but never workers, leases or the health probe', async () => {
  const cluster = new SimulatedCluster();
  const owner = await cluster.untilOwned();
  const controller = cluster.controllers[owner];
  assert.ok(controller);
  await cluster.submit('req-1', { pieces: 4 }, 60);
  await cluster.until('its tasks run', () => cluster.runningTasks.length === 4);
  const { eventLoopDelay: delay } = controller.controller;
  const allowedLoad = (): boolean[] => [
    delay.allowsOptimization,
    delay.allowsScaleOut,
    delay.allowsSubmissions,
  ];
  assert.deepEqual(allowedLoad(), [true, true, true]);
  const stall = async (ms: number): Promise<void> => {
    const resume = cluster.freeze(owner);
    await cluster.clock.advance(ms);
    resume();
    await cluster.clock.advance(0);
  };
  await stall(600);
  assert.deepEqual(allowedLoad(), [false, true, true]);
  await stall(1400);
  assert.deepEqual(allowedLoad(), [false, false, true]);
  await stall(2600);
  assert.deepEqual(allowedLoad(), [false, false, false]);
  // Submissions get 503 at once; the health probe and heartbeats are answered.
  const requestedAt = cluster.clock.now();
  assert.equal((await cluster.request(owner, 'POST', '/work', submission('req-2'))).status, 503);
  assert.ok(cluster.clock.now() - requestedAt < 100);
  assert.equal((await cluster.request(owner, 'GET', '/up')).status, 200);
  const worker = [...cluster.workers.values()][0];
  assert.ok(worker);
  assert.equal((await cluster.request(owner, 'POST', '/hello', worker.nextHeartbeat())).status, 200);
  assert.ok(controller.controller.owners.get(0)?.entitled, 'its lease is still renewed');
  await cluster.clock.advance(3000);
  assert.deepEqual(allowedLoad(), [true, true, true]);
  assert.equal((await cluster.request(owner, 'POST', '/work', submission('req-2'))).status, 201);
  cluster.assertInvariants();
});
