/** @file Team limits while cancelled tasks may still run on unreachable machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { changeLeader, tasksOf, addMachinesAndDropReleases } from './fault-steps';

for (const [what, trouble] of [
  ['with one owner', 'none'],
  ['after a takeover', 'takeover'],
  ['with an owner that started after the cancellation', 'nobody'],
  ['with all controllers started after the cancellation', 'restarts'],
] as const) {
  test(`at a full team limit, cancelled tasks on an unresponsive machine count until its lease ends, ${what}`, async () => {
    const cluster = new SimulatedCluster({ limitCpus: 4 });
    await addMachinesAndDropReleases(cluster);
    await cluster.submit('req-1', { crew: 'red', pieces: 4 }, 200);
    await cluster.until('4 tasks run', () => cluster.runningTasks.length === 4);
    const held = [...new Set(cluster.runningTasks.map((p) => cluster.machineOf(p) ?? ''))];
    for (const id of held) cluster.worker(id).isHanging = true;
    const hangsAt = cluster.clock.now();
    await cluster.clock.advance(200);
    const old = cluster.owner;
    const asker = (old + 1) % 3;
    if (trouble === 'nobody') {
      cluster.kill(old);
      await cluster.clock.advance(500);
    }
    assert.equal(await cluster.cancel('req-1', asker), 'withdrawn');
    if (trouble === 'nobody') assert.equal(cluster.owner, -1);
    if (trouble === 'takeover') await changeLeader(cluster, 20_000);
    if (trouble === 'restarts') {
      for (const index of [0, 1, 2]) cluster.kill(index);
      await cluster.clock.advance(500);
      for (const index of [0, 1, 2]) cluster.restart(index);
    }
    const reader = await cluster.untilOwned();
    // Long enough for the machine to be taken for silent: what is started goes elsewhere.
    if (trouble === 'none') await cluster.clock.advance(3000);
    await cluster.submit('req-2', { crew: 'red', pieces: 4 }, 200, reader);
    // Within their leases the machines go on with what they hold.
    while (tasksOf(cluster, 'req-1').length > 0) {
      assert.deepEqual(tasksOf(cluster, 'req-2'), [], `${cluster.clock.now() - hangsAt} ms`);
      await cluster.clock.advance(100);
    }
    assert.ok(cluster.clock.now() - hangsAt > 8_000, 'the machines held them to the end of their leases');
    for (const id of held) cluster.worker(id).isHanging = false;
    await cluster.until('req-2 runs', () => tasksOf(cluster, 'req-2').length === 4, 60);
    cluster.assertInvariants();
  });
}

test('a cancelled task found after a takeover counts against the team limit until proved gone, though its job is unknown', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 4 });
  await addMachinesAndDropReleases(cluster);
  await cluster.submit('req-1', { crew: 'red', cpus: 4 }, 200);
  await cluster.until('it runs', () => cluster.runningTasks.length === 1);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const { fencingToken } = worker;
  // The answer to its first report gives it the new owner's token; the next one arrives when its job is over, and the
  // stop in its answer is lost.
  let isOver = false;
  cluster.network.rule(({ to, from }) => {
    if (to === worker.address) return 'lose';
    if (from !== worker.id || worker.fencingToken === fencingToken) return undefined;
    return isOver ? 'lose answer' : 'lose';
  });
  cluster.kill(cluster.owner);
  await cluster.clock.advance(100);
  const owner = await cluster.untilOwned();
  await cluster.until('it has the token', () => worker.fencingToken > fencingToken, 5);
  assert.equal(await cluster.cancel('req-1', owner), 'withdrawn');
  isOver = true;
  const machines = cluster.controllers[owner]?.controller.owners.get(0)?.machines;
  await cluster.until('it is settled', () => machines?.get(worker.id)?.isConfirmed === true, 8);
  assert.equal(cluster.machineOf('req-1/0'), worker.id);
  await cluster.submit('req-2', { crew: 'red', cpus: 4 }, 200, owner);
  await cluster.until(
    'it is gone',
    () => {
      assert.ok(cluster.machineOf('req-1/0') === undefined || cluster.machineOf('req-2/0') === undefined);
      return cluster.machineOf('req-1/0') === undefined;
    },
    15,
  );
  await cluster.until('req-2 runs', () => cluster.machineOf('req-2/0') !== undefined, 60);
  cluster.assertInvariants();
});

test('at a full team limit, a job is cancelled while its machines are unreachable for two new owners in a row', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 4 });
  await addMachinesAndDropReleases(cluster);
  await cluster.submit('req-1', { crew: 'red', pieces: 2, cpus: 2 }, 200);
  await cluster.until('both run', () => cluster.runningTasks.length === 2);
  const heals = [...new Set(cluster.runningTasks.map((p) => cluster.machineOf(p) ?? ''))].map((id) =>
    cluster.isolateWorker(id),
  );
  const cutAt = cluster.clock.now();
  const first = await changeLeader(cluster, 30_000);
  assert.equal(await cluster.cancel('req-1', first), 'withdrawn');
  // And once more: this owner has neither the job nor the machines.
  const second = await changeLeader(cluster, 30_000);
  await cluster.submit('req-2', { crew: 'red', cpus: 2 }, 200, second);
  while (tasksOf(cluster, 'req-1').length > 0) {
    assert.equal(cluster.machineOf('req-2/0'), undefined, `${cluster.clock.now() - cutAt} ms`);
    await cluster.clock.advance(100);
  }
  assert.ok(cluster.clock.now() - cutAt > 8_000, 'the machines held them to the end of their leases');
  for (const heal of heals) heal();
  await cluster.until('req-2 runs', () => cluster.machineOf('req-2/0') !== undefined, 60);
  cluster.assertInvariants();
});

test('a job whose end a node learned before its beginning counts against the team limit when that node takes over', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 4 });
  await addMachinesAndDropReleases(cluster);
  const old = await cluster.untilOwned();
  // The others' watches are slow, and nobody tells them of the acceptance.
  const slow = cluster.store.rule(({ from, path }) =>
    from !== `node-${old}` && path.startsWith('/changes') ? { slowMs: 1500 } : undefined,
  );
  await cluster.clock.advance(2000);
  cluster.dropsPeerMessages = true;
  await cluster.submit('req-1', { crew: 'red', cpus: 4 }, 200, old);
  await cluster.until('it runs', () => cluster.runningTasks.length === 1, 1);
  const id = cluster.machineOf('req-1/0') ?? '';
  const heal = cluster.isolateWorker(id);
  cluster.dropsPeerMessages = false;
  assert.equal(await cluster.cancel('req-1', old), 'withdrawn');
  slow();
  cluster.kill(old);
  await cluster.clock.advance(100);
  const owner = await cluster.untilOwned();
  await cluster.submit('req-2', { crew: 'red', cpus: 4 }, 200, owner);
  while (cluster.machineOf('req-1/0') !== undefined) await cluster.clock.advance(100);
  heal();
  await cluster.until('req-2 runs', () => cluster.machineOf('req-2/0') !== undefined, 60);
  cluster.assertInvariants();
});
