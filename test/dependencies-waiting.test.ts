import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startsOf, submitAfter, untilDependenciesAccepted } from './dependency-steps';
import { World } from './fakes/simulated-cluster';

async function openWorld(options: ConstructorParameters<typeof World>[0], capacity: number): Promise<World> {
  const world = new World(options);
  world.capacity = capacity;
  await untilDependenciesAccepted(world);
  return world;
}

const jobOf = (piece: string): string => piece.split('/')[0] ?? '';

function runningOf(world: World, id: string): number {
  return world.running.filter((piece) => jobOf(piece) === id).length;
}

/** The jobs in the order of their first starts from now on. */
function orderOfStarts(world: World): string[] {
  const order: string[] = [];
  world.onStarted = (piece) => {
    if (!order.includes(jobOf(piece))) order.push(jobOf(piece));
  };
  return order;
}

test("a waiting job takes no part of its team's limit", async () => {
  const world = await openWorld({ limitCpus: 4 }, 4);
  await world.submit('req-1', { crew: 'red', reckonS: 60 }, 60);
  await submitAfter(world, ['req-1'], 'req-2', { crew: 'red', pieces: 4, urgency: 'prod' });
  await world.submit('req-3', { crew: 'red', pieces: 3, urgency: 'best_effort', reckonS: 60 }, 60);
  await world.until('all else runs', () => runningOf(world, 'req-1') + runningOf(world, 'req-3') === 4, 40);
  await world.untilStanding('req-2', 'done', 180);
  world.noRuleBroken();
});

test("a waiting job takes no part of its team's guarantee: nobody makes room for it", async () => {
  const world = await openWorld({}, 4);
  await world.submit('req-1', { crew: 'blue', pieces: 16, urgency: 'best_effort', reckonS: 300 }, 300);
  await world.until('all machines are full', () => runningOf(world, 'req-1') === 16, 60);
  await world.submit('req-2', { crew: 'blue', urgency: 'best_effort', reckonS: 300 }, 300);
  await submitAfter(world, ['req-2'], 'req-3', { crew: 'red', pieces: 8, urgency: 'best_effort' });
  const end = world.clock.now() + 40_000;
  while (world.clock.now() < end) {
    assert.equal(runningOf(world, 'req-1') + runningOf(world, 'req-2'), 16);
    await world.clock.advance(500);
  }
  world.noRuleBroken();
});

test('a job gets its guarantee as soon as all that it needs is done', async () => {
  const world = await openWorld({}, 4);
  await world.submit('req-2', { crew: 'blue', reckonS: 50 }, 50);
  await submitAfter(world, ['req-2'], 'req-3', { crew: 'red', pieces: 8, reckonS: 30 }, 30);
  await world.submit('req-1', { crew: 'blue', pieces: 15, urgency: 'best_effort', reckonS: 300 }, 300);
  await world.until('all machines are full', () => world.running.length === 16, 45);
  assert.deepEqual(startsOf(world, ['req-3']), []);
  await world.until('its team has its guarantee', () => runningOf(world, 'req-3') === 8, 60);
  world.noRuleBroken();
});

test('no machines are rented for a job while it waits', async () => {
  const world = await openWorld({}, 12);
  await world.submit('req-1', { reckonS: 100 }, 100);
  await world.until('the first runs', () => world.running.length === 1);
  const before = world.workers.size;
  await submitAfter(world, ['req-1'], 'req-2', { pieces: 40, reckonS: 100, urgency: 'prod' }, 60);
  await world.clock.advance(30_000);
  assert.equal(world.workers.size, before);
  await world.until('machines are rented when it may start', () => world.workers.size > before, 100);
  world.noRuleBroken();
});

for (const through of [false, true]) {
  const how = through ? ' through another' : '';
  test(`what an important job needs${how} goes before other work of its own priority`, async () => {
    const world = await openWorld({}, 1);
    const low = { pieces: 4, urgency: 'best_effort', reckonS: 20 };
    await world.submit('req-1', low, 20);
    await world.until('the machine is full', () => runningOf(world, 'req-1') === 4, 40);
    const order = orderOfStarts(world);
    for (const id of ['req-2', 'req-3', 'req-4']) await world.submit(id, low, 20);
    await world.submit('req-5', low, 20);
    if (through) {
      await submitAfter(world, ['req-5'], 'req-6', low, 20);
      await submitAfter(world, ['req-6'], 'req-7', { ...low, urgency: 'prod' }, 20);
    } else {
      await submitAfter(world, ['req-5'], 'req-7', { ...low, urgency: 'prod' }, 20);
    }
    await world.untilStanding('req-7', 'done', 300);
    const chain = through ? ['req-5', 'req-6', 'req-7'] : ['req-5', 'req-7'];
    assert.deepEqual(order.filter((id) => id !== 'req-1').slice(0, chain.length), chain);
    world.noRuleBroken();
  });
}

test('what a job with a near deadline needs goes before other work', async () => {
  const world = await openWorld({}, 1);
  const fields = { pieces: 4, reckonS: 15 };
  await world.submit('req-1', fields, 15);
  await world.until('the machine is full', () => runningOf(world, 'req-1') === 4, 40);
  const order = orderOfStarts(world);
  for (const id of ['req-2', 'req-3', 'req-4']) await world.submit(id, { ...fields, dueS: 3000 }, 15);
  await world.submit('req-5', fields, 15);
  await submitAfter(world, ['req-5'], 'req-6', { ...fields, dueS: 60 }, 15);
  await world.untilStanding('req-6', 'done', 300);
  assert.equal(
    order.find((id) => id !== 'req-1'),
    'req-5',
  );
  world.noRuleBroken();
});

test('a job that waited for long is treated like one that has just come', async () => {
  const world = await openWorld({}, 2);
  await world.submit('req-1', { reckonS: 200 }, 200);
  await submitAfter(world, ['req-1'], 'req-2', { pieces: 4 });
  await world.untilStanding('req-1', 'done', 300);
  await world.noJobWaits();
  await world.untilStanding('req-2', 'done', 60);
  world.noRuleBroken();
});
