import assert from 'node:assert/strict';
import { test } from 'node:test';
import { submission } from './fakes/submission';
import { SimulatedCluster } from './fakes/simulated-cluster';

test('a short outage of the state service: tasks go on, users are told to come back, nothing is lost', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 30);
  await cluster.until('3 tasks run', () => cluster.runningTasks.length >= 3);
  cluster.store.outage(true);
  await cluster.clock.advance(500);
  const refused = await cluster.request(0, 'POST', '/work', submission('req-2'));
  assert.equal(refused.status, 503);
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
  // The owner hears nothing of it: its watch is cut, and the change notification is lost with the answer to the user's node.
  cluster.store.refused.add(owner);
  cluster.dropsPeerMessages = true;
  assert.equal(await cluster.cancel('req-1', others[0]), 'withdrawn');
  cluster.store.outage(true);
  cluster.dropsPeerMessages = false;
  await cluster.clock.advance(25_000);
  assert.deepEqual(cluster.runningTasks, []);
  cluster.assertInvariants();
});

test('one controller that can reach the state service, or is dead, is enough to stop a cut-off owner', async () => {
  for (const dead of [false, true]) {
    const cluster = new SimulatedCluster();
    await cluster.submit('req-1', { pieces: 3 }, 100);
    await cluster.until('3 tasks run', () => cluster.runningTasks.length >= 3);
    const owner = cluster.owner;
    const [first = 0, second = 0] = [0, 1, 2].filter((index) => index !== owner);
    cluster.store.refused.add(`node-${owner}`);
    if (dead) cluster.kill(second);
    cluster.store.refused.add(`node-${first}`);
    await cluster.clock.advance(8000);
    assert.equal(cluster.controllers[owner]?.controller.owners.get(0)?.entitled ?? false, false);
    if (!dead) assert.equal(await cluster.untilOwned(), second);
    cluster.assertInvariants();
  }
});

test('a long outage: when it is over, the service takes up its work again', async () => {
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

test('a node that alone is refused by the state service sends its users elsewhere', async () => {
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

test('in an outage for all, no node sends its users away', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  cluster.store.outage(true);
  for (let step = 0; step < 40; step += 1) {
    await cluster.clock.advance(400);
    for (const index of [0, 1, 2])
      assert.equal((await cluster.request(index, 'GET', '/up')).status, 200, `${step}`);
  }
});

test('a booking without an answer rents once', async () => {
  const cluster = new SimulatedCluster();
  const heal = cluster.network.rule(({ path }) => (path === '/hosts' ? 'lose answer' : undefined));
  await cluster.submit('req-1', { pieces: 2 });
  await cluster.until('a booking', () => cluster.cloud.bookings.size > 0);
  heal();
  await cluster.untilJobState('req-1', 'done');
  const rented = [...cluster.cloud.bookings.values()].flat();
  assert.equal(rented.length, new Set(rented).size);
  assert.ok(rented.length <= 2, `${rented.length} machines`);
});

test('a machine that nobody expected is taken in and used', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  cluster.capacity = 0;
  const stray = cluster.addWorker('b');
  await cluster.submit('req-1', { pieces: 2 });
  await cluster.untilJobState('req-1', 'done');
  assert.ok(cluster.worker(stray).startCommands.length > 0);
  cluster.assertInvariants();
});

test('an old report changes nothing', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1 }, 30);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  await cluster.clock.advance(3000);
  const address = cluster.controllers[cluster.owner]?.address ?? '';
  const late = { ...worker.report(), tally: 1, pieces: [] };
  void cluster.network.caller(worker.id).call(address, 'POST', '/hello', late, 4000);
  await cluster.clock.advance(5000);
  const starts = [...cluster.workers.values()].flatMap((w) => w.startCommands);
  assert.equal(starts.length, 1);
});

test('a malformed report gets 400 and touches no table', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1 }, 30);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const bad = { ...worker.report(), tally: worker.sequence + 1000, shift: 9, pieces: [{ piece: 5 }] };
  const answer = await cluster.request(cluster.owner, 'POST', '/hello', bad);
  assert.equal(answer.status, 400);
  await cluster.clock.advance(3000);
  assert.equal(cluster.runningTasks.length, 1);
  assert.equal([...cluster.workers.values()].flatMap((w) => w.startCommands).length, 1);
});

test('malformed answers of the cloud and of peers count as none', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  cluster.cloud.isMalformed = true;
  cluster.controllers[cluster.owner]?.controller.onPeerFrame(Buffer.from([1, 2, 3, 255]));
  await cluster.submit('req-1');
  await cluster.clock.advance(15_000);
  assert.equal(await cluster.jobState('req-1'), 'pending');
  cluster.cloud.isMalformed = false;
  await cluster.untilJobState('req-1', 'done');
});

test('all in one zone, and at most half in a zone', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 6, together: true }, 6);
  await cluster.submit('req-2', { pieces: 6, apart: true }, 6);
  let most = 0;
  const zoneOf = (piece: string): string =>
    cluster.machineOf(piece) === undefined ? '' : (zones.get(cluster.machineOf(piece) ?? '') ?? '');
  const zones = new Map<string, string>();
  for (let step = 0; step < 300; step += 1) {
    await cluster.clock.advance(200);
    for (const worker of cluster.workers.values()) zones.set(worker.id, worker.report().yard as string);
    const together = new Set(cluster.runningTasks.filter((p) => p.startsWith('req-1/')).map(zoneOf));
    assert.ok(together.size <= 1, 'req-1 is in two zones');
    for (const zone of ['a', 'b']) {
      most = Math.max(
        most,
        cluster.runningTasks.filter((p) => p.startsWith('req-2/') && zoneOf(p) === zone).length,
      );
    }
  }
  assert.ok(most > 0 && most <= 3, `${most} of req-2 in one zone`);
  await cluster.untilJobState('req-1', 'done');
  await cluster.untilJobState('req-2', 'done');
});

test('an urgent task stops a lesser one when there is no room', async () => {
  const cluster = new SimulatedCluster();
  cluster.capacity = 1;
  await cluster.submit('req-1', { pieces: 4, bookmarkS: 5, stashS: 1, reckonS: 100 }, 100);
  await cluster.until('4 tasks run', () => cluster.runningTasks.length >= 4);
  await cluster.submit('req-2', { pieces: 1, urgency: 'urgent' }, 5);
  const askedAt = cluster.clock.now();
  await cluster.until('req-2/0 runs', () => !(cluster.machineOf('req-2/0') === undefined));
  assert.ok(cluster.clock.now() - askedAt < 5000);
  await cluster.untilJobState('req-2', 'done');
  await cluster.clock.advance(2000);
  assert.equal(cluster.runningTasks.length, 4);
  cluster.assertInvariants();
});

test('several shards: teams and machines are split, and every job is done', async () => {
  const cluster = new SimulatedCluster({ operator: { blocks: 2 } });
  await cluster.submit('req-1', { crew: 'red', pieces: 4 }, 4);
  await cluster.submit('req-2', { crew: 'blue', pieces: 4 }, 4, 1);
  await cluster.untilJobState('req-1', 'done', 180);
  await cluster.untilJobState('req-2', 'done', 180);
  const owned = cluster.controllers.map((c) => c.controller.owners.size);
  assert.deepEqual(owned.sort(), [0, 1, 1]);
  cluster.assertInvariants();
});
