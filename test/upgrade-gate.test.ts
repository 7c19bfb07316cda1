import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/simulated-cluster';
import {
  OLD,
  NEW,
  ALL_OLD,
  CONTROLLERS,
  RESTART_MS,
  writes,
  leader,
  marked,
  isGateOpen,
  upgrade,
} from './upgrade-steps';

test('the gate is closed for as long as one controller has never run the new version', async () => {
  const world = new World({ versions: [NEW, NEW, OLD] });
  await world.clock.advance(30_000);
  assert.deepEqual(marked(world), ['node-0', 'node-1']);
  // Neither its absence nor its return opens the gate.
  world.kill(2);
  await world.clock.advance(30_000);
  assert.deepEqual(marked(world), ['node-0', 'node-1']);
  world.restart(2);
  await world.clock.advance(30_000);
  assert.deepEqual(marked(world), ['node-0', 'node-1']);
  world.noRuleBroken();
});

test('the gate opens right after the last restart, though the other controllers are away by then', async () => {
  const world = new World({ versions: ALL_OLD });
  await world.untilOwned();
  for (const index of [0, 1]) {
    await upgrade(world, index);
    await world.clock.advance(10_000);
  }
  for (const index of [0, 1, 2]) world.kill(index);
  await world.clock.advance(RESTART_MS);
  world.restart(2, NEW);
  await world.clock.advance(500);
  assert.ok(isGateOpen(world));
});

test('the gate opens though no controller leads', async () => {
  const world = new World({ versions: ALL_OLD });
  await world.untilOwned();
  for (const index of [0, 1]) {
    await upgrade(world, index);
    await world.clock.advance(10_000);
  }
  world.state.rule((request) => (writes(request, 'live/leader') ? 'refuse' : undefined));
  world.kill(leader(world));
  await world.until('nobody leads', () => leader(world) < 0);
  for (const [index, { alive, version }] of world.controllers.entries()) {
    if (alive && version === OLD) world.kill(index);
  }
  await world.clock.advance(RESTART_MS);
  world.restart(2, NEW);
  await world.clock.advance(500);
  assert.equal(leader(world), -1);
  assert.ok(isGateOpen(world));
});

test('an open gate stays open after all have restarted, and no mark is written again', async () => {
  const world = new World();
  await world.untilOwned();
  assert.ok(isGateOpen(world));
  const marks = (): unknown[] => CONTROLLERS.map((name) => world.state.data.get(`live/format/${name}`));
  const before = marks();
  assert.ok(before.every((mark) => (mark as { hold?: number }).hold === undefined));
  for (const index of [0, 1, 2]) world.kill(index);
  await world.clock.advance(60_000);
  assert.ok(isGateOpen(world));
  for (const index of [0, 1, 2]) world.restart(index);
  await world.clock.advance(20_000);
  for (const index of [0, 1, 2]) {
    world.kill(index);
    await world.clock.advance(3_000);
    world.restart(index);
    await world.clock.advance(10_000);
    assert.ok(isGateOpen(world));
  }
  assert.deepEqual(marks(), before);
  world.noRuleBroken();
});

for (const fate of [
  'refuse',
  'lose answer',
  { slowMs: 1_200 },
  { slowMs: 4_000 },
  { lateMs: 4_000 },
] as const) {
  test(`a controller leaves its mark though its first requests end with ${JSON.stringify(fate)}`, async () => {
    const world = new World({ versions: [NEW, NEW, OLD] });
    await world.untilOwned();
    const heal = world.state.rule(({ from }) => (from === 'node-2' ? fate : undefined));
    await upgrade(world, 2);
    await world.clock.advance(8_000);
    heal();
    await world.clock.advance(2_500);
    assert.ok(isGateOpen(world));
    await world.submit('req-1', { pieces: 3 }, 3, 2);
    await world.untilStanding('req-1', 'done', 60, 2);
    world.noRuleBroken();
  });
}

test('in an outage no mark is there, and the gate opens when it is over', async () => {
  const world = new World({ versions: [NEW, NEW, OLD] });
  await world.untilOwned();
  world.state.outage(true);
  await upgrade(world, 2);
  await world.clock.advance(10_000);
  assert.equal(isGateOpen(world), false);
  world.state.outage(false);
  await world.clock.advance(2_500);
  assert.ok(isGateOpen(world));
  world.noRuleBroken();
});
