/** @file Controllers restart, or are suspended for longer than their leases. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/simulated-cluster';

test('a controller that comes back soon frees what it held before', async () => {
  const world = new World();
  await world.untilOwned();
  const old = world.owner;
  world.kill(old);
  await world.clock.advance(1000);
  const restartedAt = world.clock.now();
  world.restart(old);
  await world.clock.advance(10);
  await world.untilOwned();
  assert.ok(world.clock.now() - restartedAt < 3000, 'no lease had to run out');
});

test('all controllers die at once and come back: what was accepted is done', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 6 }, 8);
  await world.submit('req-2', { pieces: 3 }, 8, 1);
  await world.until('a task runs', () => world.running.length > 0);
  for (const index of [0, 1, 2]) world.kill(index);
  await world.clock.advance(6000);
  for (const index of [2, 0, 1]) world.restart(index);
  await world.untilStanding('req-1', 'done');
  await world.untilStanding('req-2', 'done');
  world.noRuleBroken();
});

test('a leader suspended for longer than all leases finds that out before it acts', async () => {
  const world = new World({ limitCpus: 12 });
  await world.submit('req-1', { pieces: 4, crew: 'red' }, 60);
  await world.submit('req-2', { pieces: 6 }, 4);
  await world.until('4 tasks run', () => world.running.filter((p) => p.startsWith('req-1/')).length >= 4);
  const before = world.running.filter((p) => p.startsWith('req-1/')).map((p) => `${p} ${world.where(p)}`);
  const old = world.owner;
  const thaw = world.freeze(old);
  const reader = (old + 1) % 3;
  // It was about to issue these, and never hears that one of them is cancelled.
  await world.submit('req-3', { pieces: 20, crew: 'red' }, 15, reader);
  await world.submit('req-4', { pieces: 3 }, 90, reader);
  await world.clock.advance(8_000);
  assert.equal(await world.cancel('req-4', reader), 'withdrawn');
  await world.clock.advance(24_000);
  const owner = world.controllers.findIndex(
    (c, i) => i !== old && c.controller.owners.get(0)?.entitled === true,
  );
  assert.ok(owner >= 0, 'another controller has taken the shard');
  thaw();
  await world.clock.advance(50);
  assert.equal(world.controllers[old]?.controller.owners.get(0)?.entitled ?? false, false);
  for (const entry of before)
    assert.ok(
      world.running.some((p) => `${p} ${world.where(p)}` === entry),
      entry,
    );
  await world.untilStanding('req-3', 'done', 120, reader);
  await world.untilStanding('req-1', 'done', 120, old);
  assert.equal(await world.standing('req-4', old), 'withdrawn');
  world.noRuleBroken();
});

test('a controller that was suspended takes no shard from the others', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 4 }, 60);
  await world.until('4 tasks run', () => world.running.length >= 4);
  const owner = world.owner;
  const other = (owner + 1) % 3;
  const before = world.running.map((p) => `${p} ${world.where(p)}`);
  const thaw = world.freeze(other);
  await world.clock.advance(20_000);
  thaw();
  await world.clock.advance(10_000);
  assert.equal(world.owner, owner);
  assert.deepEqual(
    world.running.map((p) => `${p} ${world.where(p)}`),
    before,
  );
  await world.untilStanding('req-1', 'done', 120, other);
  world.noRuleBroken();
});

test('when all die, the previous owner takes its shard as soon as it restarts; any other waits first', async () => {
  const world = new World();
  const firstAt = world.clock.now();
  const old = await world.untilOwned();
  assert.ok(world.clock.now() - firstAt < 1_000, 'nobody can have been promised a shard that was never held');
  await world.submit('req-1', { pieces: 4 }, 60);
  await world.until('4 tasks run', () => world.running.length >= 4);
  const killAll = (): void => {
    for (const index of [0, 1, 2]) world.kill(index);
  };
  killAll();
  await world.clock.advance(4_000);
  let backAt = world.clock.now();
  for (const index of [0, 1, 2]) world.restart(index);
  assert.equal(await world.untilOwned(), old);
  assert.ok(world.clock.now() - backAt < 1_500, `${world.clock.now() - backAt} ms`);
  killAll();
  await world.clock.advance(4_000);
  backAt = world.clock.now();
  for (const index of [0, 1, 2]) if (index !== old) world.restart(index);
  assert.notEqual(await world.untilOwned(), old);
  assert.ok(world.clock.now() - backAt >= 2_500, `${world.clock.now() - backAt} ms`);
  world.noRuleBroken();
});
