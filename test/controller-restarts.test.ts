/** @file Controllers that restart, or are suspended for longer than their leases. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';

test('a controller that restarts quickly releases the lease of its earlier session', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  const old = cluster.owner;
  cluster.kill(old);
  await cluster.clock.advance(1000);
  const restartedAt = cluster.clock.now();
  cluster.restart(old);
  await cluster.clock.advance(10);
  await cluster.untilOwned();
  assert.ok(
    cluster.clock.now() - restartedAt < 3000,
    'the shard was acquired without waiting for a lease to expire',
  );
});

test('all controllers die at once and restart: every accepted job completes', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 6 }, 8);
  await cluster.submit('req-2', { pieces: 3 }, 8, 1);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  for (const index of [0, 1, 2]) cluster.kill(index);
  await cluster.clock.advance(6000);
  for (const index of [2, 0, 1]) cluster.restart(index);
  await cluster.untilJobState('req-1', 'done');
  await cluster.untilJobState('req-2', 'done');
  cluster.assertInvariants();
});

test('a leader suspended for longer than all leases notices that its lease has expired before it acts', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 12 });
  await cluster.submit('req-1', { pieces: 4, crew: 'red' }, 60);
  await cluster.submit('req-2', { pieces: 6 }, 4);
  await cluster.until(
    '4 tasks run',
    () => cluster.runningTasks.filter((p) => p.startsWith('req-1/')).length >= 4,
  );
  const placementsBefore = cluster.runningTasks
    .filter((p) => p.startsWith('req-1/'))
    .map((p) => `${p} ${cluster.machineOf(p)}`);
  const old = cluster.owner;
  const resume = cluster.freeze(old);
  const reader = (old + 1) % 3;
  // The suspended leader would start these jobs, and does not learn that one of them is cancelled.
  await cluster.submit('req-3', { pieces: 20, crew: 'red' }, 15, reader);
  await cluster.submit('req-4', { pieces: 3 }, 90, reader);
  await cluster.clock.advance(8_000);
  assert.equal(await cluster.cancel('req-4', reader), 'withdrawn');
  await cluster.clock.advance(24_000);
  const owner = cluster.controllers.findIndex(
    (c, i) => i !== old && c.controller.owners.get(0)?.entitled === true,
  );
  assert.ok(owner >= 0, 'another controller has taken the shard');
  resume();
  await cluster.clock.advance(50);
  assert.equal(cluster.controllers[old]?.controller.owners.get(0)?.entitled ?? false, false);
  for (const entry of placementsBefore)
    assert.ok(
      cluster.runningTasks.some((p) => `${p} ${cluster.machineOf(p)}` === entry),
      entry,
    );
  await cluster.untilJobState('req-3', 'done', 120, reader);
  await cluster.untilJobState('req-1', 'done', 120, old);
  assert.equal(await cluster.jobState('req-4', old), 'withdrawn');
  cluster.assertInvariants();
});

test('a controller that resumes after a suspension takes no shard from the others', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 4 }, 60);
  await cluster.until('4 tasks run', () => cluster.runningTasks.length >= 4);
  const owner = cluster.owner;
  const other = (owner + 1) % 3;
  const placementsBefore = cluster.runningTasks.map((p) => `${p} ${cluster.machineOf(p)}`);
  const resume = cluster.freeze(other);
  await cluster.clock.advance(20_000);
  resume();
  await cluster.clock.advance(10_000);
  assert.equal(cluster.owner, owner);
  assert.deepEqual(
    cluster.runningTasks.map((p) => `${p} ${cluster.machineOf(p)}`),
    placementsBefore,
  );
  await cluster.untilJobState('req-1', 'done', 120, other);
  cluster.assertInvariants();
});

test('after all controllers die, the previous owner acquires its shard at its restart; any other one waits first', async () => {
  const cluster = new SimulatedCluster();
  const firstAt = cluster.clock.now();
  const old = await cluster.untilOwned();
  assert.ok(
    cluster.clock.now() - firstAt < 1_000,
    'a shard without an earlier owner is acquired at once, because nobody can hold a lease of it',
  );
  await cluster.submit('req-1', { pieces: 4 }, 60);
  await cluster.until('4 tasks run', () => cluster.runningTasks.length >= 4);
  const killAll = (): void => {
    for (const index of [0, 1, 2]) cluster.kill(index);
  };
  killAll();
  await cluster.clock.advance(4_000);
  let restartedAt = cluster.clock.now();
  for (const index of [0, 1, 2]) cluster.restart(index);
  assert.equal(await cluster.untilOwned(), old);
  assert.ok(cluster.clock.now() - restartedAt < 1_500, `${cluster.clock.now() - restartedAt} ms`);
  killAll();
  await cluster.clock.advance(4_000);
  restartedAt = cluster.clock.now();
  for (const index of [0, 1, 2]) if (index !== old) cluster.restart(index);
  assert.notEqual(await cluster.untilOwned(), old);
  assert.ok(cluster.clock.now() - restartedAt >= 2_500, `${cluster.clock.now() - restartedAt} ms`);
  cluster.assertInvariants();
});
