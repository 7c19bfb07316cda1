/** @file A leader fails: its successor continues its jobs, and their running tasks continue. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { replaceOwner } from './failover-steps';

test('a leader dies: another controller takes over, and the tasks continue on their machines', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 4 }, 40);
  await cluster.until('4 tasks run', () => cluster.runningTasks.length >= 4);
  const before = cluster.runningTasks.map((task) => `${task} ${cluster.machineOf(task)}`);
  const old = cluster.owner;
  cluster.kill(old);
  await cluster.clock.advance(100);
  const owner = await cluster.untilOwned();
  assert.notEqual(owner, old);
  await cluster.clock.advance(2000);
  assert.deepEqual(
    cluster.runningTasks.map((task) => `${task} ${cluster.machineOf(task)}`),
    before,
  );
  await cluster.untilJobState('req-1', 'done', 90, owner);
  const starts = [...cluster.workers.values()].flatMap((w) => w.startCommands);
  assert.equal(starts.length, 4);
  cluster.assertInvariants();
});

test('a leader is partitioned from the state service only: no task runs both under it and under its successor', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 60);
  await cluster.until('3 tasks run', () => cluster.runningTasks.length >= 3);
  const old = cluster.owner;
  const name = `node-${old}`;
  // The leader still reaches its workers, and uses them until its lease expires.
  cluster.store.refused.add(name);
  await cluster.clock.advance(2000);
  const reader = (old + 1) % 3;
  await cluster.submit('req-2', { pieces: 3 }, 20, reader);
  await cluster.clock.advance(25_000);
  assert.notEqual(cluster.owner, old);
  assert.ok(cluster.owner >= 0);
  await cluster.untilJobState('req-2', 'done', 90, reader);
  cluster.store.refused.delete(name);
  await cluster.untilJobState('req-1', 'done', 120, reader);
  cluster.assertInvariants();
});

test('a job is cancelled during a failover: its tasks stop within the time limit for cancellations', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 200);
  await cluster.until('3 tasks run', () => cluster.runningTasks.length >= 3);
  const old = cluster.owner;
  const name = `node-${old}`;
  // The owner reaches its workers but can't receive the cancellation.
  cluster.network.rule(({ from, to }) =>
    from === name && (to.endsWith(':2379') || to.endsWith(':8443')) ? 'lose' : undefined,
  );
  assert.equal(await cluster.cancel('req-1', (old + 1) % 3), 'withdrawn');
  await cluster.clock.advance(30_000);
  assert.deepEqual(cluster.runningTasks, []);
  await cluster.clock.advance(30_000);
  assert.deepEqual(cluster.runningTasks, []);
  cluster.assertInvariants();
});

test('a heartbeat delayed beyond a failover does not replace the attempt that runs by now', async () => {
  const cluster = new SimulatedCluster();
  cluster.capacity = 1;
  await cluster.submit('req-1', { cpus: 4, bookmarkS: 5, stashS: 1, reckonS: 100 }, 100);
  await cluster.until('req-1/0 runs', () => cluster.machineOf('req-1/0') !== undefined);
  const firstMachine = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const delayedHeartbeat = firstMachine.nextHeartbeat();
  // An urgent job preempts the task, which continues on another machine.
  await cluster.submit('req-2', { cpus: 4, urgency: 'urgent', reckonS: 100 }, 100);
  await cluster.until('req-2/0 runs', () => cluster.machineOf('req-2/0') === firstMachine.id);
  cluster.capacity = 2;
  await cluster.until('req-1/0 runs again', () => cluster.machineOf('req-1/0') !== undefined);
  const secondMachine = cluster.machineOf('req-1/0') ?? '';
  assert.notEqual(secondMachine, firstMachine.id);
  const endPartition = cluster.network.rule(({ from, to }) =>
    from.startsWith('host-') || to.startsWith('10.1.') ? 'lose' : undefined,
  );
  const owner = await replaceOwner(cluster);
  void cluster.network
    .caller('late')
    .call(cluster.controllers[owner]?.address ?? '', 'POST', '/hello', delayedHeartbeat, 4000);
  await cluster.clock.advance(200);
  const stops: string[] = [];
  endPartition();
  cluster.network.rule(({ path, body }) => {
    if (path === '/do' && JSON.stringify(body).includes('req-1/0')) stops.push(JSON.stringify(body));
    return undefined;
  });
  for (let step = 0; step < 100; step += 1) {
    await cluster.clock.advance(100);
    assert.equal(cluster.machineOf('req-1/0'), secondMachine, stops.join());
  }
  cluster.assertInvariants();
});
