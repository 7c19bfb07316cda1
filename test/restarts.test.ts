import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/simulated-cluster';

test('a controller back within a fraction of a second goes on, also while others elect', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 4, reckonS: 40 }, 40);
  await world.until('4 tasks run', () => world.running.length >= 4);
  const before = world.running.map((piece) => `${piece} ${world.where(piece)}`);
  for (let round = 0; round < 4; round += 1) {
    const owner = await world.untilOwned();
    world.kill(owner);
    await world.clock.advance(200);
    world.restart(owner);
    // The next in line dies as well, while the first is being missed.
    const next = (owner + 1) % 3;
    await world.clock.advance(700);
    world.kill(next);
    await world.clock.advance(300);
    world.restart(next);
    await world.clock.advance(100);
    await world.untilOwned();
  }
  assert.deepEqual(
    world.running.map((piece) => `${piece} ${world.where(piece)}`),
    before,
    'no lease of a worker ran out',
  );
  await world.untilStanding('req-1', 'done');
  world.noRuleBroken();
});

test('late copies of what a controller asked before its death change nothing', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 4, reckonS: 30 }, 30);
  await world.until('4 tasks run', () => world.running.length >= 4);
  const old = world.owner;
  const name = `node-${old}`;
  const heal = world.network.rule(({ from, method }) =>
    from === name && method !== 'GET' ? 'copy' : undefined,
  );
  // Leases, rentals, completions, starts, an acceptance and a cancellation: a copy of each comes again.
  await world.submit('req-2', { pieces: 3 }, 3, old);
  await world.submit('req-3', { pieces: 1 }, 60, old);
  await world.untilStanding('req-2', 'done', 60, old);
  assert.equal(await world.cancel('req-3', old), 'withdrawn');
  await world.clock.advance(3000);
  world.kill(old);
  heal();
  await world.clock.advance(300);
  world.restart(old);
  await world.clock.advance(700);
  assert.ok(world.network.release() > 20);
  await world.clock.advance(15_000);
  const reader = await world.untilOwned();
  assert.equal(await world.standing('req-2', reader), 'done');
  assert.equal(await world.standing('req-3', reader), 'withdrawn');
  assert.ok(!world.running.some((p) => p.startsWith('req-2/') || p.startsWith('req-3/')));
  await world.untilStanding('req-1', 'done', 120, reader);
  world.noRuleBroken();
});

test('a machine that hangs and resumes within a second keeps its tasks', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 3 }, 20);
  await world.until('3 tasks run', () => world.running.length >= 3);
  const worker = world.worker(world.where('req-1/0') ?? '');
  const shift = worker.shift;
  for (let round = 0; round < 5; round += 1) {
    worker.hanging = true;
    await world.clock.advance(600);
    worker.hanging = false;
    await world.clock.advance(1500);
  }
  assert.equal(worker.shift, shift);
  await world.untilStanding('req-1', 'done');
  assert.equal([...world.workers.values()].flatMap((w) => w.startOrders).length, 3);
  world.noRuleBroken();
});
