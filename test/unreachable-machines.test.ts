/** @file Machines that are unreachable, one-way or both ways, unresponsive, or that failed a task. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/simulated-cluster';
import { changeLeader } from './fault-steps';

for (const [what, trouble] of [
  ['are one-way unreachable (their reports are lost)', 'mute'],
  ['are one-way unreachable (nothing reaches them)', 'deaf'],
  ['are unreachable', 'cut'],
  ['are unresponsive', 'hang'],
] as const) {
  for (const takeover of [false, true]) {
    test(`all machines ${what} for longer than their leases${takeover ? ', and the leader dies' : ''}: each is used again`, async () => {
      const world = new World();
      world.capacity = 4;
      await world.submit('req-1', { pieces: 12, reckonS: 200 }, 200);
      await world.until('12 tasks run', () => world.running.length === 12);
      await world.clock.advance(2000);
      const begin = (id: string): (() => void) => {
        if (trouble === 'mute') return world.silence(id);
        if (trouble === 'deaf') return world.deafen(id);
        if (trouble === 'cut') return world.cutOff(id);
        world.worker(id).hanging = true;
        return () => {
          world.worker(id).hanging = false;
        };
      };
      const heals = [...world.workers.keys()].map(begin);
      await world.submit('req-2', { pieces: 4, reckonS: 20, yard: 'a' }, 20);
      await world.submit('req-3', { pieces: 4, reckonS: 20, together: true }, 20);
      await world.clock.advance(takeover ? 10_000 : 45_000);
      if (takeover) await changeLeader(world);
      await world.clock.advance(takeover ? 35_000 : 0);
      for (const heal of heals) heal();
      const healedAt = world.clock.now();
      await world.until('12 tasks run again', () => world.running.length >= 12, 90);
      assert.ok(world.clock.now() - healedAt < 40_000, `${world.clock.now() - healedAt} ms`);
      await world.noJobWaits(300);
      assert.deepEqual(world.rules.unfinished, []);
      world.noRuleBroken();
    });
  }
}

test('a machine that failed one task once is tried again when there is no other', async () => {
  const world = new World();
  world.capacity = 1;
  await world.submit('req-1', { pieces: 2, reckonS: 300 }, 300);
  await world.until('2 tasks run', () => world.running.length === 2);
  const worker = world.worker(world.where('req-1/0') ?? '');
  worker.sick = true;
  await world.submit('req-2', { pieces: 1, reckonS: 5 }, 5);
  await world.until('it fails', () => [...worker.pieces.values()].some((p) => p.cause === 'error'), 10);
  worker.sick = false;
  await world.noJobWaits(130);
});
