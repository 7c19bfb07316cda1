/** @file Cancellations while a shard or the leadership moves to another controller. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CANCEL_S, SimulatedCluster } from './fakes/simulated-cluster';
import { startCount, tasksOf } from './fault-steps';

test('jobs cancelled at any step of a handover to the controller that the workers reach are stopped in time', async () => {
  const cluster = new SimulatedCluster();
  for (const job of ['req-1', 'req-2', 'req-3', 'req-4', 'req-5', 'req-6'])
    await cluster.submit(job, { pieces: 4, reckonS: 100 }, 100);
  await cluster.until('24 tasks run', () => cluster.runningTasks.length >= 24);
  const old = cluster.owner;
  const address = cluster.controllers[old]?.address ?? '';
  cluster.network.rule(({ from, to }) =>
    (from.startsWith('host-') && to === address) || (from === `node-${old}` && to.startsWith('10.1.'))
      ? 'lose'
      : undefined,
  );
  const cancelled: { job: string; at: number }[] = [];
  const cancel = async (job: string, index: number): Promise<void> => {
    assert.equal(await cluster.cancel(job, index), 'withdrawn');
    cancelled.push({ job, at: cluster.clock.now() });
  };
  const lateTasks = (): string[] =>
    cancelled
      .filter(({ at }) => cluster.clock.now() > at + CANCEL_S * 1000)
      .flatMap(({ job }) => tasksOf(cluster, job));
  await cluster.clock.advance(3000);
  await cancel('req-1', old);
  await cluster.until('the owner releases the shard', () => cluster.owner !== old, 30);
  await cancel('req-2', old);
  const successor = await cluster.untilOwned();
  assert.notEqual(successor, old);
  await cancel('req-3', (old + 1) % 3);
  await cluster.clock.advance(100);
  await cancel('req-4', (old + 2) % 3);
  await cluster.clock.advance(400);
  await cancel('req-5', old);
  for (let second = 0; second < 40; second += 1) {
    await cluster.clock.advance(1000);
    assert.deepEqual(lateTasks(), []);
  }
  assert.deepEqual(
    cluster.runningTasks.filter((p) => !p.startsWith('req-6/')),
    [],
  );
  assert.equal(tasksOf(cluster, 'req-6').length, 4);
  assert.equal(startCount(cluster), 24, 'no task was lost');
  cluster.assertInvariants();
});

test('jobs cancelled while the leader moves a shard to another controller are stopped in time', async () => {
  const cluster = new SimulatedCluster({ operator: { blocks: 2 } });
  const jobs = ['req-1', 'req-2', 'req-3', 'req-4'];
  for (const [index, job] of jobs.entries())
    await cluster.submit(job, { pieces: 4, crew: index % 2 ? 'red' : 'blue', reckonS: 100 }, 100);
  await cluster.until('16 tasks run', () => cluster.runningTasks.length >= 16);
  const owners = (): number[] =>
    [0, 1].map((shard) =>
      cluster.controllers.findIndex((c) => c.alive && c.controller.owners.get(shard)?.entitled === true),
    );
  // Two controllers die, so the third owns both shards until they restart.
  const [first, second] = owners();
  assert.notEqual(first, second);
  const idle = [0, 1, 2].find((i) => i !== first && i !== second) ?? 0;
  cluster.kill(idle);
  cluster.kill(first ?? 0);
  await cluster.until('one controller owns both shards', () => owners().every((o) => o === second), 30);
  await cluster.clock.advance(3000);
  cluster.restart(idle);
  cluster.restart(first ?? 0);
  await cluster.until('a shard is being handed over', () => owners().some((o) => o !== second), 30);
  const cancelledAt = cluster.clock.now();
  assert.equal(await cluster.cancel('req-1', idle), 'withdrawn');
  assert.equal(await cluster.cancel('req-2', second), 'withdrawn');
  await cluster.until('both shards are owned', () => owners().every((o) => o >= 0), 30);
  assert.deepEqual(new Set(owners()).size, 2, 'the shards are spread again');
  await cluster.until(
    'the cancelled tasks have stopped',
    () => tasksOf(cluster, 'req-1').length + tasksOf(cluster, 'req-2').length === 0,
    CANCEL_S,
  );
  assert.ok(cluster.clock.now() - cancelledAt < 10_000, `${cluster.clock.now() - cancelledAt} ms`);
  await cluster.clock.advance(40_000);
  assert.deepEqual([...tasksOf(cluster, 'req-1'), ...tasksOf(cluster, 'req-2')], []);
  assert.equal(tasksOf(cluster, 'req-3').length + tasksOf(cluster, 'req-4').length, 8);
  assert.equal(startCount(cluster), 16);
  cluster.assertInvariants();
});

test('when a leader is partitioned from the store and its peers, but not from workers and users, jobs are cancelled through its successor', async () => {
  const cluster = new SimulatedCluster();
  const jobs = ['req-1', 'req-2', 'req-3', 'req-4'];
  for (const job of jobs) await cluster.submit(job, { pieces: 4, reckonS: 90 }, 90);
  await cluster.until('16 tasks run', () => cluster.runningTasks.length === 16);
  const old = cluster.owner;
  const name = `node-${old}`;
  const other = (old + 1) % 3;
  cluster.store.refused.add(name);
  cluster.isolatedControllers.add(name);
  await cluster.clock.advance(300);
  assert.equal(await cluster.cancel('req-1', other), 'withdrawn');
  await cluster.clock.advance(2500);
  assert.equal(await cluster.cancel('req-2', other), 'withdrawn');
  await cluster.until(
    'another controller has taken over',
    () => cluster.owner >= 0 && cluster.owner !== old,
    20,
  );
  assert.equal(await cluster.cancel('req-3', other), 'withdrawn');
  // Users poll the old leader meanwhile. The invariants check that it reports no outdated state.
  for (let step = 0; step < 120; step += 1) {
    for (const job of jobs) await cluster.request(old, 'GET', `/work/${job}`);
    await cluster.clock.advance(300);
  }
  assert.deepEqual(
    cluster.runningTasks.filter((task) => !task.startsWith('req-4/')),
    [],
  );
  assert.equal(tasksOf(cluster, 'req-4').length, 4);
  assert.equal(startCount(cluster), 16, 'no task was lost');
  cluster.store.refused.delete(name);
  cluster.isolatedControllers.clear();
  await cluster.assertJobsFinish(120);
  assert.deepEqual(cluster.invariants.unfinishedJobs, []);
  cluster.assertInvariants();
});
