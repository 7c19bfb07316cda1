import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FakeWorker } from './fakes/worker';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { dropReleaseRequests } from './failover-steps';

/** Drops all responses and commands to a machine from now on, while its heartbeats arrive. */
function dropDeliveriesTo(
  cluster: SimulatedCluster,
  worker: FakeWorker,
  startCommands: string[],
): () => void {
  return cluster.network.rule(({ from, to, path, body }) => {
    if (to === worker.address) {
      if (path === '/do' && JSON.stringify(body).includes('"run"')) startCommands.push(JSON.stringify(body));
      return 'lose';
    }
    return from === worker.id ? 'lose answer' : undefined;
  });
}

test('a machine that sends heartbeats but receives nothing gets no start commands, and its tasks run elsewhere', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 4, reckonS: 60 }, 60);
  await cluster.until('4 tasks run', () => cluster.runningTasks.length >= 4);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const spareMachines = [cluster.addWorker('b'), cluster.addWorker('b')];
  await cluster.clock.advance(13_000);
  const startCommands: string[] = [];
  dropDeliveriesTo(cluster, worker, startCommands);
  const droppedSince = cluster.clock.now();
  // More tasks than fit on the other machines, so that this one gets start commands, too.
  await cluster.submit('req-2', { pieces: 12, reckonS: 10 }, 10);
  await cluster.until(
    'its tasks run elsewhere',
    () => spareMachines.includes(cluster.machineOf('req-1/0') ?? ''),
    60,
  );
  assert.ok(cluster.clock.now() - droppedSince < 30_000, `${cluster.clock.now() - droppedSince} ms`);
  await cluster.untilJobState('req-2', 'done');
  assert.ok(startCommands.length <= 1, `${startCommands.length} start commands were sent to it`);
  cluster.assertInvariants();
});

test('a machine that receives nothing is detected by its new incarnation, before any task is started there', async () => {
  const cluster = new SimulatedCluster();
  // The machine can't be released: release requests to the cloud are lost.
  dropReleaseRequests(cluster);
  await cluster.submit('req-1', { pieces: 1 }, 2);
  await cluster.untilJobState('req-1', 'done');
  const worker = [...cluster.workers.values()][0];
  assert.ok(worker);
  cluster.capacity = 0;
  const startCommands: string[] = [];
  dropDeliveriesTo(cluster, worker, startCommands);
  await cluster.until('its incarnation increases', () => worker.incarnation > 1, 30);
  await cluster.clock.advance(2000);
  await cluster.submit('req-2', { pieces: 2 }, 5);
  await cluster.clock.advance(10_000);
  assert.deepEqual(startCommands, []);
  cluster.capacity = 1;
  await cluster.untilJobState('req-2', 'done');
  assert.deepEqual(startCommands, []);
  cluster.assertInvariants();
});

test('a machine that receives nothing during a failover delays the other machines no longer than its lease', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 2, reckonS: 60 }, 60);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length >= 2);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const spareMachines = [cluster.addWorker('b'), cluster.addWorker('b')];
  await cluster.clock.advance(13_000);
  dropReleaseRequests(cluster);
  dropDeliveriesTo(cluster, worker, []);
  cluster.kill(cluster.owner);
  await cluster.clock.advance(100);
  await cluster.untilOwned();
  const failoverAt = cluster.clock.now();
  // It keeps sending heartbeats to the new owner. If each counted as answered, its lease would never expire.
  while (
    !spareMachines.includes(cluster.machineOf('req-1/0') ?? '') &&
    cluster.clock.now() < failoverAt + 60_000
  ) {
    if (worker.incarnation === 1)
      void cluster.request(cluster.owner, 'POST', '/hello', worker.nextHeartbeat());
    await cluster.clock.advance(800);
  }
  assert.ok(cluster.clock.now() - failoverAt < 20_000, `${cluster.clock.now() - failoverAt} ms`);
  cluster.assertInvariants();
});

test('delayed heartbeats of a machine that the cloud has terminated bring back none of its attempts', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 2, reckonS: 60 }, 60);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length >= 2);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  cluster.capacity = 0;
  // The delayed heartbeats are newer than all that arrived, and the machine's record can't be deleted yet.
  cluster.network.rule(({ from, path, body }) => {
    if (from === worker.id && path === '/hello') return 'hold';
    return path === '/txn' && JSON.stringify(body).includes('"delete":"live/machine/') ? 'lose' : undefined;
  });
  const owner = cluster.controllers[cluster.owner]?.controller.owners.get(0);
  await cluster.until('it is terminated', () => worker.isTerminated, 30);
  await cluster.clock.advance(1000);
  assert.ok(cluster.network.releaseHeld() > 0);
  await cluster.clock.advance(500);
  assert.equal(owner?.machines.get(worker.id)?.attempts.size, 0);
  cluster.assertInvariants();
});

test('delayed duplicates of heartbeats, up to more than a lease late, move no task and do not extend the lease', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 2, reckonS: 60 }, 60);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length >= 2);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const spareMachines = [cluster.addWorker('b'), cluster.addWorker('b')];
  const recordedHeartbeats: Record<string, unknown>[] = [];
  const endRecording = cluster.network.rule(({ from, path, body }) => {
    if (from === worker.id && path === '/hello') recordedHeartbeats.push(body as Record<string, unknown>);
    return undefined;
  });
  await cluster.clock.advance(13_000);
  endRecording();
  const replay = (heartbeat: Record<string, unknown>): void => {
    void cluster.network
      .caller('late')
      .call(cluster.controllers[cluster.owner]?.address ?? '', 'POST', '/hello', heartbeat, 4000)
      .catch(() => undefined);
  };
  for (const heartbeat of recordedHeartbeats.slice(0, 5)) replay(heartbeat);
  await cluster.clock.advance(3000);
  assert.equal(cluster.machineOf('req-1/0'), worker.id);
  // Now the machine fails, and duplicates of all its heartbeats keep arriving.
  worker.isHanging = true;
  const diedAt = cluster.clock.now();
  for (let step = 0; !spareMachines.includes(cluster.machineOf('req-1/0') ?? '') && step < 200; step += 1) {
    const heartbeat = recordedHeartbeats[step % recordedHeartbeats.length];
    if (heartbeat) replay(heartbeat);
    await cluster.clock.advance(200);
  }
  assert.ok(cluster.clock.now() - diedAt < 12_000, `${cluster.clock.now() - diedAt} ms`);
  // The duplicates do not bring the failed machine back, neither at this owner nor at the next one.
  for (const withFailover of [false, true]) {
    if (withFailover) {
      cluster.kill(cluster.owner);
      await cluster.clock.advance(100);
      await cluster.untilOwned();
    }
    for (const heartbeat of recordedHeartbeats.slice(-5)) replay(heartbeat);
    const before = cluster.machineOf('req-1/0');
    await cluster.clock.advance(15_000);
    assert.equal(cluster.machineOf('req-1/0'), before);
  }
  await cluster.untilJobState('req-1', 'done', 120, cluster.owner);
  cluster.assertInvariants();
});

test('a controller that reaches its workers but neither state service nor peers gives up its shard, and the tasks run on', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 60);
  await cluster.until('3 tasks run', () => cluster.runningTasks.length >= 3);
  const before = cluster.runningTasks.map((task) => `${task} ${cluster.machineOf(task)}`);
  const old = cluster.owner;
  const name = `node-${old}`;
  cluster.store.refused.add(name);
  cluster.dropsPeerMessages = true;
  await cluster.clock.advance(8000);
  const reader = cluster.owner;
  assert.ok(reader >= 0 && reader !== old);
  assert.equal((await cluster.request(old, 'GET', '/work/req-1')).status, 503);
  assert.equal((await cluster.request(old, 'GET', '/up')).status, 503);
  const report = [...cluster.workers.values()][0]?.nextHeartbeat();
  assert.equal((await cluster.request(old, 'POST', '/hello', report)).status, 503);
  await cluster.clock.advance(4000);
  assert.deepEqual(
    cluster.runningTasks.map((task) => `${task} ${cluster.machineOf(task)}`),
    before,
  );
  await cluster.untilJobState('req-1', 'done', 120, reader);
  cluster.assertInvariants();
});

test('an owner that is partitioned from its workers only hands its shard over to a controller that they reach', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 16, reckonS: 60 }, 60);
  await cluster.until('16 tasks run', () => cluster.runningTasks.length >= 16);
  const old = cluster.owner;
  const address = cluster.controllers[old]?.address ?? '';
  // Messages between the owner and its workers are lost; it still reaches the state service and its peers.
  const endPartition = cluster.network.rule(({ from, to }) =>
    (from.startsWith('host-') && to === address) || (from === `node-${old}` && to.startsWith('10.1.'))
      ? 'lose'
      : undefined,
  );
  const partitionedAt = cluster.clock.now();
  await cluster.until(
    'another controller owns the shard',
    () => cluster.owner >= 0 && cluster.owner !== old,
    30,
  );
  assert.ok(cluster.clock.now() - partitionedAt < 9_000, `${cluster.clock.now() - partitionedAt} ms`);
  await cluster.clock.advance(15_000);
  assert.ok(cluster.runningTasks.length >= 16, `${cluster.runningTasks.length} tasks run`);
  endPartition();
  await cluster.untilJobState('req-1', 'done', 120, cluster.owner);
  assert.equal([...cluster.workers.values()].flatMap((w) => w.startCommands).length, 16, 'nothing was lost');
  cluster.assertInvariants();
});

test('workers are not redirected to a partitioned owner, and their leases outlast the failover', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 16, reckonS: 60 }, 60);
  await cluster.until('16 tasks run', () => cluster.runningTasks.length >= 16);
  const old = cluster.owner;
  const name = `node-${old}`;
  const address = cluster.controllers[old]?.address ?? '';
  cluster.network.rule(({ from, to }) => (from === name || to === address ? 'lose' : undefined));
  cluster.isolatedControllers.add(name);
  await cluster.clock.advance(20_000);
  assert.equal(cluster.runningTasks.length, 16);
  await cluster.untilJobState('req-1', 'done', 120, cluster.owner);
  assert.equal([...cluster.workers.values()].flatMap((w) => w.startCommands).length, 16, 'nothing was lost');
  cluster.assertInvariants();
});
