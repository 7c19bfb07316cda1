/** @file Team limits while cancelled tasks may still run on unreachable machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { changeLeader, tasksOf, addMachinesAndDropReleases } from './fault-steps';

for (const [what, fault] of [
  ['with one owner', 'none'],
  ['after a failover', 'failover'],
  ['with an owner that acquired the shard after the cancellation', 'no owner'],
  ['with all controllers restarted after the cancellation', 'restarts'],
] as const) {
  test(`at a full team limit, cancelled tasks on an unresponsive machine count until its lease expires, ${what}`, async () => {
    const cluster = new SimulatedCluster({ limitCpus: 4 });
    await addMachinesAndDropReleases(cluster);
    await cluster.submit('req-1', { crew: 'red', pieces: 4 }, 200);
    await cluster.until('4 tasks run', () => cluster.runningTasks.length === 4);
    const machineIds = [...new Set(cluster.runningTasks.map((p) => cluster.machineOf(p) ?? ''))];
    for (const id of machineIds) cluster.worker(id).isHanging = true;
    const unresponsiveSince = cluster.clock.now();
    await cluster.clock.advance(200);
    const old = cluster.owner;
    const other = (old + 1) % 3;
    if (fault === 'no owner') {
      cluster.kill(old);
      await cluster.clock.advance(500);
    }
    assert.equal(await cluster.cancel('req-1', other), 'withdrawn');
    if (fault === 'no owner') assert.equal(cluster.owner, -1);
    if (fault === 'failover') await changeLeader(cluster, 20_000);
    if (fault === 'restarts') {
      for (const index of [0, 1, 2]) cluster.kill(index);
      await cluster.clock.advance(500);
      for (const index of [0, 1, 2]) cluster.restart(index);
    }
    const owner = await cluster.untilOwned();
    // Long enough for the machine to count as unresponsive, so that new tasks are placed elsewhere.
    if (fault === 'none') await cluster.clock.advance(3000);
    await cluster.submit('req-2', { crew: 'red', pieces: 4 }, 200, owner);
    // Until their leases expire, the machines continue to run their tasks.
    while (tasksOf(cluster, 'req-1').length > 0) {
      assert.deepEqual(tasksOf(cluster, 'req-2'), [], `${cluster.clock.now() - unresponsiveSince} ms`);
      await cluster.clock.advance(100);
    }
    assert.ok(
      cluster.clock.now() - unresponsiveSince > 8_000,
      'the machines ran the tasks until their leases expired',
    );
    for (const id of machineIds) cluster.worker(id).isHanging = false;
    await cluster.until('req-2 runs', () => tasksOf(cluster, 'req-2').length === 4, 60);
    cluster.assertInvariants();
  });
}

test('a cancelled task found after a failover counts against the team limit until it has stopped, although its job is unknown', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 4 });
  await addMachinesAndDropReleases(cluster);
  await cluster.submit('req-1', { crew: 'red', cpus: 4 }, 200);
  await cluster.until('the task runs', () => cluster.runningTasks.length === 1);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const { fencingToken } = worker;
  // The response to its first heartbeat gives it the new owner's token. Its next heartbeat arrives after its job has
  // ended, and the response with the stop command is lost.
  let hasJobEnded = false;
  cluster.network.rule(({ to, from }) => {
    if (to === worker.address) return 'lose';
    if (from !== worker.id || worker.fencingToken === fencingToken) return undefined;
    return hasJobEnded ? 'lose answer' : 'lose';
  });
  cluster.kill(cluster.owner);
  await cluster.clock.advance(100);
  const owner = await cluster.untilOwned();
  await cluster.until('the worker has the new token', () => worker.fencingToken > fencingToken, 5);
  assert.equal(await cluster.cancel('req-1', owner), 'withdrawn');
  hasJobEnded = true;
  const machines = cluster.controllers[owner]?.controller.owners.get(0)?.machines;
  await cluster.until('the machine is confirmed', () => machines?.get(worker.id)?.isConfirmed === true, 8);
  assert.equal(cluster.machineOf('req-1/0'), worker.id);
  await cluster.submit('req-2', { crew: 'red', cpus: 4 }, 200, owner);
  await cluster.until(
    'the cancelled task has stopped',
    () => {
      assert.ok(cluster.machineOf('req-1/0') === undefined || cluster.machineOf('req-2/0') === undefined);
      return cluster.machineOf('req-1/0') === undefined;
    },
    15,
  );
  await cluster.until('req-2 runs', () => cluster.machineOf('req-2/0') !== undefined, 60);
  cluster.assertInvariants();
});

test('at a full team limit, cancelled tasks on machines that two successive owners cannot reach count until the leases expire', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 4 });
  await addMachinesAndDropReleases(cluster);
  await cluster.submit('req-1', { crew: 'red', pieces: 2, cpus: 2 }, 200);
  await cluster.until('both tasks run', () => cluster.runningTasks.length === 2);
  const removeRules = [...new Set(cluster.runningTasks.map((p) => cluster.machineOf(p) ?? ''))].map((id) =>
    cluster.isolateWorker(id),
  );
  const partitionedAt = cluster.clock.now();
  const first = await changeLeader(cluster, 30_000);
  assert.equal(await cluster.cancel('req-1', first), 'withdrawn');
  // After a second failover, the owner neither finds the job nor reaches the machines.
  const second = await changeLeader(cluster, 30_000);
  await cluster.submit('req-2', { crew: 'red', cpus: 2 }, 200, second);
  while (tasksOf(cluster, 'req-1').length > 0) {
    assert.equal(cluster.machineOf('req-2/0'), undefined, `${cluster.clock.now() - partitionedAt} ms`);
    await cluster.clock.advance(100);
  }
  assert.ok(
    cluster.clock.now() - partitionedAt > 8_000,
    'the machines ran the tasks until their leases expired',
  );
  for (const removeRule of removeRules) removeRule();
  await cluster.until('req-2 runs', () => cluster.machineOf('req-2/0') !== undefined, 60);
  cluster.assertInvariants();
});

test('a job counts against the team limit after a failover to a controller that received its end before its acceptance', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 4 });
  await addMachinesAndDropReleases(cluster);
  const old = await cluster.untilOwned();
  // The watches of the other controllers are slow, and no change notification of the acceptance reaches them.
  const removeDelay = cluster.store.rule(({ from, path }) =>
    from !== `node-${old}` && path.startsWith('/changes') ? { slowMs: 1500 } : undefined,
  );
  await cluster.clock.advance(2000);
  cluster.dropsPeerMessages = true;
  await cluster.submit('req-1', { crew: 'red', cpus: 4 }, 200, old);
  await cluster.until('the task runs', () => cluster.runningTasks.length === 1, 1);
  const id = cluster.machineOf('req-1/0') ?? '';
  const endPartition = cluster.isolateWorker(id);
  cluster.dropsPeerMessages = false;
  assert.equal(await cluster.cancel('req-1', old), 'withdrawn');
  removeDelay();
  cluster.kill(old);
  await cluster.clock.advance(100);
  const owner = await cluster.untilOwned();
  await cluster.submit('req-2', { crew: 'red', cpus: 4 }, 200, owner);
  while (cluster.machineOf('req-1/0') !== undefined) await cluster.clock.advance(100);
  endPartition();
  await cluster.until('req-2 runs', () => cluster.machineOf('req-2/0') !== undefined, 60);
  cluster.assertInvariants();
});
