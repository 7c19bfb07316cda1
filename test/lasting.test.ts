import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/simulated-cluster';

/** Keeps the fleet full of small jobs for a while; returns how many were submitted. */
async function surplus(world: World, seconds: number, each: () => void): Promise<number> {
  let count = 0;
  for (let second = 0; second < seconds; second += 2) {
    count += 1;
    await world.submit(`req-${1000 + count}`, { pieces: 3, urgency: 'urgent', reckonS: 6, dueS: 60 }, 6);
    await world.clock.advance(2000);
    each();
  }
  return count;
}

test('the largest job begins within four minutes, and is served, though smaller and more urgent ones never stop', async () => {
  const world = new World();
  world.capacity = 2;
  await world.submit('req-1', { pieces: 1, urgency: 'urgent', reckonS: 2 }, 2);
  await world.clock.advance(20_000);
  await world.submit('req-2', { pieces: 2, cpus: 4, urgency: 'best_effort', reckonS: 20, dueS: 50 }, 20);
  const submittedAt = world.clock.now();
  let begunAt = Infinity;
  await surplus(world, 300, () => {
    if (world.running.some((p) => p.startsWith('req-2/'))) begunAt = Math.min(begunAt, world.clock.now());
  });
  assert.ok(begunAt - submittedAt < 240_000, `began after ${(begunAt - submittedAt) / 1000} s`);
  assert.equal(await world.standing('req-2'), 'done');
  world.noRuleBroken();
});

test('the smaller ones are served meanwhile: what waited longest gets a share, not all', async () => {
  const world = new World();
  world.capacity = 2;
  await world.submit('req-1', { pieces: 40, cpus: 1, urgency: 'normal', reckonS: 10, dueS: 20 }, 10);
  const count = await surplus(world, 200, () => undefined);
  let served = 0;
  for (let n = 1; n <= count - 15; n += 1) {
    if ((await world.standing(`req-${1000 + n}`)) === 'done') served += 1;
  }
  assert.ok(served > (count - 15) / 2, `${served} of ${count - 15}`);
  world.noRuleBroken();
});

test('whatever happened, once it is over every accepted job is known at every node within seconds', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 3 }, 200);
  await world.submit('req-2', { pieces: 3, crew: 'red' }, 5, 1);
  world.state.outage(true);
  await world.clock.advance(4000);
  for (const index of [0, 1, 2]) world.kill(index);
  await world.clock.advance(6000);
  for (const index of [1, 0, 2]) world.restart(index);
  await world.clock.advance(9000);
  world.state.outage(false);
  world.state.refused.add('node-1');
  await world.clock.advance(20_000);
  world.kill(2);
  await world.clock.advance(300);
  world.restart(2);
  world.state.refused.delete('node-1');
  const overAt = world.clock.now();
  for (const index of [0, 1, 2]) {
    for (const id of ['req-1', 'req-2']) {
      while (typeof (await world.standing(id, index)) !== 'string') await world.clock.advance(1000);
    }
  }
  assert.ok(world.clock.now() - overAt < 20_000, `${world.clock.now() - overAt} ms`);
  await world.untilStanding('req-2', 'done');
  await world.untilStanding('req-1', 'done', 400);
  world.noRuleBroken();
});
