/** @file Reports and commands that arrive late or repeatedly, around a takeover. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FakeWorker } from './fakes/worker';
import { World } from './fakes/simulated-cluster';
import { changeLeader, placements, replayReports, startCount, tasksOf } from './fault-steps';

test('replayed reports reach every controller as a new leader takes over, and repeatedly after that: no task moves', async () => {
  const world = new World();
  for (let n = 0; n < 2; n += 1) world.addWorker('b');
  await world.clock.advance(12_000);
  const copies: Record<string, unknown>[] = [];
  const end = world.network.rule(({ path, body, from }) => {
    if (path === '/hello' && from.startsWith('host-')) copies.push(body as Record<string, unknown>);
    return undefined;
  });
  // An attempt that is stopped for an urgent one and goes on elsewhere, and sessions that end.
  await world.submit('req-1', { pieces: 8, bookmarkS: 5, stashS: 1, reckonS: 90 }, 90);
  await world.until('8 tasks run', () => world.running.length === 8);
  await world.clock.advance(2000);
  const moved = world.worker(world.where('req-1/0') ?? '');
  const heal = world.cutOff(moved.id);
  const keepIt = world.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
  await world.until('its session ends', () => moved.shift === 2, 20);
  heal();
  keepIt();
  await world.until('8 tasks run again', () => world.running.length === 8, 60);
  await world.clock.advance(3000);
  end();
  const before = placements(world);
  const began = startCount(world);
  world.kill(world.owner);
  // The last one first, each on its own, so that rounds come between; all of them arrive more than once.
  copies.reverse();
  for (let step = 0; step < 1000; step += 1) {
    const copy = copies[step % copies.length];
    if (copy) replayReports(world, [copy]);
    await world.clock.advance(20);
    assert.deepEqual(placements(world), before);
  }
  const owner = await world.untilOwned();
  assert.equal(startCount(world), began);
  await world.untilStanding('req-1', 'done', 120, owner);
  world.noRuleBroken();
});

/** A machine with a task, and room for everything elsewhere, and once more. */
async function oneBusyMachine(world: World): Promise<FakeWorker> {
  await world.submit('req-1', { pieces: 1, reckonS: 60 }, 60);
  await world.until('it runs', () => world.running.length === 1);
  for (let n = 0; n < 5; n += 1) world.addWorker('b');
  await world.clock.advance(13_000);
  return world.worker(world.where('req-1/0') ?? '');
}

for (const takeover of [false, true]) {
  test(`start commands queue at an unresponsive machine${takeover ? ' during a takeover' : ''} and are carried out when it resumes`, async () => {
    const world = new World();
    const worker = await oneBusyMachine(world);
    let queued = 0;
    world.network.rule(({ to, path, body }) => {
      if (to === worker.address && path === '/do' && JSON.stringify(body).includes('"run"')) queued += 1;
      return path === '/hosts/release' ? 'lose' : undefined;
    });
    worker.hanging = true;
    await world.submit('req-2', { pieces: 10, reckonS: 30 }, 30);
    await world.until('starts left for it', () => queued > 0, 5);
    if (takeover) await changeLeader(world);
    await world.clock.advance(4000);
    const heal = world.cutOff(worker.id);
    worker.hanging = false;
    await world.clock.advance(1000);
    assert.ok(worker.startOrders.length > 1, 'what was queued is carried out');
    heal();
    await world.noJobWaits(120);
    assert.deepEqual(world.rules.unfinished, []);
    world.noRuleBroken();
  });
}

test('a start command is delayed beyond the death of its leader and arrives before the next one can ask', async () => {
  const world = new World();
  const worker = await oneBusyMachine(world);
  let held = 0;
  const hold = world.network.rule(({ to, path, body }) => {
    if (to !== worker.address || path !== '/do' || !JSON.stringify(body).includes('"run"')) return undefined;
    held += 1;
    return 'hold';
  });
  await world.submit('req-2', { pieces: 10, reckonS: 30 }, 30);
  await world.until('starts are on their way', () => held > 0, 5);
  await world.clock.advance(200);
  const old = await world.untilOwned();
  const heal = world.network.rule(({ from, to }) =>
    (to === worker.address && from !== `node-${old}`) || from === worker.id ? 'lose' : undefined,
  );
  world.kill(old);
  hold();
  await world.clock.advance(2000);
  assert.ok(world.network.release() > 0);
  await world.clock.advance(100);
  assert.ok(worker.startOrders.length > 1, 'it starts them');
  await world.untilOwned();
  await world.clock.advance(1500);
  heal();
  await world.noJobWaits(150);
  assert.deepEqual(world.rules.unfinished, []);
  world.noRuleBroken();
});

test('all commands are delayed during a takeover and arrive when the next leader has acted', async () => {
  const world = new World({ limitCpus: 8 });
  world.capacity = 3;
  await world.submit('req-1', { pieces: 6, crew: 'red', bookmarkS: 5, stashS: 1, reckonS: 60 }, 60);
  await world.submit('req-2', { pieces: 6, reckonS: 60 }, 60);
  await world.until('12 tasks run', () => world.running.length === 12);
  await world.clock.advance(2000);
  // Orders in the answers to reports are lost meanwhile.
  const hold = world.network.rule(({ path, from }) => {
    if (path === '/hello' && from !== 'late') return 'lose answer';
    return path === '/do' ? 'hold' : undefined;
  });
  // Stops for what is urgent, for what is cancelled, and starts.
  await world.submit('req-3', { pieces: 4, urgency: 'urgent', reckonS: 20 }, 20);
  assert.equal(await world.cancel('req-2'), 'withdrawn');
  await world.submit('req-4', { pieces: 4, crew: 'red', reckonS: 20 }, 20);
  await world.clock.advance(500);
  await changeLeader(world);
  hold();
  await world.clock.advance(1500);
  assert.ok(world.network.release() > 0);
  await world.clock.advance(1500);
  assert.deepEqual(tasksOf(world, 'req-2'), []);
  await world.noJobWaits(200);
  assert.deepEqual(world.rules.unfinished, []);
  world.noRuleBroken();
});

test('a report delayed until a new leader has declared the worker dead brings back no attempts', async () => {
  const world = new World();
  world.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
  await world.submit('req-1', { pieces: 2, reckonS: 60 }, 60);
  await world.until('2 tasks run', () => world.running.length === 2);
  const worker = world.worker(world.where('req-1/0') ?? '');
  const held = [worker.report(), worker.report()];
  world.cutOff(worker.id);
  world.capacity = 0;
  world.kill(world.owner);
  await world.clock.advance(100);
  const owner = await world.untilOwned();
  const machine = world.controllers[owner]?.controller.owners.get(0)?.machines.get(worker.id);
  await world.until('it is taken for dead', () => machine?.isConfirmed === true, 30);
  replayReports(world, held);
  await world.clock.advance(500);
  assert.equal(machine?.attempts.size, 0);
  // There is room elsewhere, and nothing holds it up.
  world.addWorker('b');
  world.capacity = 2;
  for (let step = 0; step < 25; step += 1) {
    replayReports(world, held);
    await world.clock.advance(800);
  }
  assert.equal(tasksOf(world, 'req-1').length, 2);
  await world.untilStanding('req-1', 'done', 120, owner);
  world.noRuleBroken();
});
