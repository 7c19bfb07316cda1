import assert from 'node:assert/strict';
import { test } from 'node:test';
import { submission } from './fakes/submission';
import { World } from './fakes/simulated-cluster';

test('a short outage of the state service: tasks go on, users are told to come back, nothing is lost', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 3 }, 30);
  await world.until('3 tasks run', () => world.running.length >= 3);
  world.state.outage(true);
  await world.clock.advance(500);
  const refused = await world.ask(0, 'POST', '/work', submission('req-2'));
  assert.equal(refused.status, 503);
  assert.equal(await world.standing('req-1'), 503);
  await world.clock.advance(8000);
  assert.equal(world.running.length, 3);
  world.state.outage(false);
  await world.submit('req-2');
  await world.untilStanding('req-1', 'done');
  await world.untilStanding('req-2', 'done');
  const starts = [...world.workers.values()].flatMap((w) => w.startOrders);
  assert.equal(starts.length, 4);
  world.noRuleBroken();
});

test('an outage longer than all leases: peers extend the lease of the owner, and no task is lost', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 3 }, 60);
  await world.until('3 tasks run', () => world.running.length >= 3);
  world.state.outage(true);
  for (let second = 0; second < 30; second += 1) {
    await world.clock.advance(1000);
    assert.equal(world.running.length, 3, `after ${second} s`);
  }
  world.state.outage(false);
  await world.untilStanding('req-1', 'done');
  assert.equal([...world.workers.values()].flatMap((w) => w.startOrders).length, 3);
  world.noRuleBroken();
});

test('a cancellation just before an outage reaches the owner through the peers that extend its lease', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 3 }, 200);
  await world.until('3 tasks run', () => world.running.length >= 3);
  const owner = `node-${world.owner}`;
  const others = [0, 1, 2].filter((index) => index !== world.owner);
  // The owner hears nothing of it: its watch is cut, and the change notification is lost with the answer to the user's node.
  world.state.refused.add(owner);
  world.silencePeers = true;
  assert.equal(await world.cancel('req-1', others[0]), 'withdrawn');
  world.state.outage(true);
  world.silencePeers = false;
  await world.clock.advance(25_000);
  assert.deepEqual(world.running, []);
  world.noRuleBroken();
});

test('one controller that can reach the state service, or is dead, is enough to stop a cut-off owner', async () => {
  for (const dead of [false, true]) {
    const world = new World();
    await world.submit('req-1', { pieces: 3 }, 100);
    await world.until('3 tasks run', () => world.running.length >= 3);
    const owner = world.owner;
    const [first = 0, second = 0] = [0, 1, 2].filter((index) => index !== owner);
    world.state.refused.add(`node-${owner}`);
    if (dead) world.kill(second);
    world.state.refused.add(`node-${first}`);
    await world.clock.advance(8000);
    assert.equal(world.controllers[owner]?.controller.owners.get(0)?.entitled ?? false, false);
    if (!dead) assert.equal(await world.untilOwned(), second);
    world.noRuleBroken();
  }
});

test('a long outage: when it is over, the service takes up its work again', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 3 }, 10);
  await world.until('3 tasks run', () => world.running.length >= 3);
  world.silencePeers = true;
  world.state.outage(true);
  await world.clock.advance(60_000);
  assert.deepEqual(world.running, []);
  world.state.outage(false);
  await world.untilStanding('req-1', 'done');
  world.noRuleBroken();
});

test('a node that alone is refused by the state service sends its users elsewhere', async () => {
  const world = new World();
  await world.untilOwned();
  world.state.refused.add('node-1');
  await world.clock.advance(12_000);
  assert.equal((await world.ask(1, 'GET', '/up')).status, 503);
  assert.equal((await world.ask(0, 'GET', '/up')).status, 200);
  assert.equal((await world.ask(1, 'POST', '/work', submission('req-1'))).status, 503);
  await world.submit('req-1', {}, 5, 2);
  await world.untilStanding('req-1', 'done', 60, 2);
  world.state.refused.delete('node-1');
  await world.clock.advance(10_000);
  assert.equal((await world.ask(1, 'GET', '/up')).status, 200);
  assert.equal(await world.standing('req-1', 1), 'done');
});

test('in an outage for all, no node sends its users away', async () => {
  const world = new World();
  await world.untilOwned();
  world.state.outage(true);
  for (let step = 0; step < 40; step += 1) {
    await world.clock.advance(400);
    for (const index of [0, 1, 2])
      assert.equal((await world.ask(index, 'GET', '/up')).status, 200, `${step}`);
  }
});

test('a booking without an answer rents once', async () => {
  const world = new World();
  const heal = world.network.rule(({ path }) => (path === '/hosts' ? 'lose answer' : undefined));
  await world.submit('req-1', { pieces: 2 });
  await world.until('a booking', () => world.cloud.bookings.size > 0);
  heal();
  await world.untilStanding('req-1', 'done');
  const rented = [...world.cloud.bookings.values()].flat();
  assert.equal(rented.length, new Set(rented).size);
  assert.ok(rented.length <= 2, `${rented.length} machines`);
});

test('a machine that nobody expected is taken in and used', async () => {
  const world = new World();
  await world.untilOwned();
  world.capacity = 0;
  const stray = world.addWorker('b');
  await world.submit('req-1', { pieces: 2 });
  await world.untilStanding('req-1', 'done');
  assert.ok(world.worker(stray).startOrders.length > 0);
  world.noRuleBroken();
});

test('an old report changes nothing', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 1 }, 30);
  await world.until('a task runs', () => world.running.length > 0);
  const worker = world.worker(world.where('req-1/0') ?? '');
  await world.clock.advance(3000);
  const address = world.controllers[world.owner]?.address ?? '';
  const late = { ...worker.report(), tally: 1, pieces: [] };
  void world.network.caller(worker.id).call(address, 'POST', '/hello', late, 4000);
  await world.clock.advance(5000);
  const starts = [...world.workers.values()].flatMap((w) => w.startOrders);
  assert.equal(starts.length, 1);
});

test('a malformed report gets 400 and touches no table', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 1 }, 30);
  await world.until('a task runs', () => world.running.length > 0);
  const worker = world.worker(world.where('req-1/0') ?? '');
  const bad = { ...worker.report(), tally: worker.tally + 1000, shift: 9, pieces: [{ piece: 5 }] };
  const answer = await world.ask(world.owner, 'POST', '/hello', bad);
  assert.equal(answer.status, 400);
  await world.clock.advance(3000);
  assert.equal(world.running.length, 1);
  assert.equal([...world.workers.values()].flatMap((w) => w.startOrders).length, 1);
});

test('malformed answers of the cloud and of peers count as none', async () => {
  const world = new World();
  await world.untilOwned();
  world.cloud.garbage = true;
  world.controllers[world.owner]?.controller.onPeerFrame(Buffer.from([1, 2, 3, 255]));
  await world.submit('req-1');
  await world.clock.advance(15_000);
  assert.equal(await world.standing('req-1'), 'pending');
  world.cloud.garbage = false;
  await world.untilStanding('req-1', 'done');
});

test('all in one zone, and at most half in a zone', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 6, together: true }, 6);
  await world.submit('req-2', { pieces: 6, apart: true }, 6);
  let most = 0;
  const zoneOf = (piece: string): string =>
    world.where(piece) === undefined ? '' : (zones.get(world.where(piece) ?? '') ?? '');
  const zones = new Map<string, string>();
  for (let step = 0; step < 300; step += 1) {
    await world.clock.advance(200);
    for (const worker of world.workers.values()) zones.set(worker.id, worker.report().yard as string);
    const together = new Set(world.running.filter((p) => p.startsWith('req-1/')).map(zoneOf));
    assert.ok(together.size <= 1, 'req-1 is in two zones');
    for (const zone of ['a', 'b']) {
      most = Math.max(most, world.running.filter((p) => p.startsWith('req-2/') && zoneOf(p) === zone).length);
    }
  }
  assert.ok(most > 0 && most <= 3, `${most} of req-2 in one zone`);
  await world.untilStanding('req-1', 'done');
  await world.untilStanding('req-2', 'done');
});

test('an urgent task stops a lesser one when there is no room', async () => {
  const world = new World();
  world.capacity = 1;
  await world.submit('req-1', { pieces: 4, bookmarkS: 5, stashS: 1, reckonS: 100 }, 100);
  await world.until('4 tasks run', () => world.running.length >= 4);
  await world.submit('req-2', { pieces: 1, urgency: 'urgent' }, 5);
  const askedAt = world.clock.now();
  await world.until('req-2/0 runs', () => !(world.where('req-2/0') === undefined));
  assert.ok(world.clock.now() - askedAt < 5000);
  await world.untilStanding('req-2', 'done');
  await world.clock.advance(2000);
  assert.equal(world.running.length, 4);
  world.noRuleBroken();
});

test('several shards: teams and machines are split, and every job is done', async () => {
  const world = new World({ operator: { blocks: 2 } });
  await world.submit('req-1', { crew: 'red', pieces: 4 }, 4);
  await world.submit('req-2', { crew: 'blue', pieces: 4 }, 4, 1);
  await world.untilStanding('req-1', 'done', 180);
  await world.untilStanding('req-2', 'done', 180);
  const owned = world.controllers.map((c) => c.controller.owners.size);
  assert.deepEqual(owned.sort(), [0, 1, 1]);
  world.noRuleBroken();
});
