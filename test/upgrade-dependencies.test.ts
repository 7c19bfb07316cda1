import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Version } from './fakes/versions';
import { submission } from './fakes/submission';
import { World } from './fakes/simulated-cluster';

const OLD: Version = 'production';
const NEW: Version = 'present';
const RESTART_MS = 1_500;

async function upgrade(world: World, index: number): Promise<void> {
  world.kill(index);
  await world.clock.advance(RESTART_MS);
  world.restart(index, NEW);
}

function submitAfter(world: World, index: number, id: string, awaits: string[]) {
  return world.ask(index, 'POST', '/work', submission(id, { awaits }));
}

function finalRecord(world: World, id: string): Record<string, unknown> {
  return world.state.data.get(`final/${id}`)?.data as Record<string, unknown>;
}

test('while an old controller serves, a submission with dependencies gets 503 and leaves no record', async () => {
  const world = new World({ versions: [NEW, NEW, OLD] });
  await world.untilOwned();
  await world.submit('req-1', {}, 5, 0);
  for (const index of [0, 1]) {
    assert.equal((await submitAfter(world, index, 'req-2', ['req-1'])).status, 503);
    // Nothing of the kind is needed: such a job is an ordinary one.
    assert.equal((await submitAfter(world, index, `req-1${index}`, [])).status, 201);
    // An accepted job stays accepted, whatever a repeated submission names.
    assert.equal((await submitAfter(world, index, 'req-1', ['req-9'])).status, 200);
  }
  assert.equal(world.state.data.get('live/job/req-2'), undefined);
  await world.untilStanding('req-1', 'done');
  assert.deepEqual(Object.keys(finalRecord(world, 'req-1')).sort(), ['done', 'state']);
  world.noRuleBroken();
});

test('dependencies are taken right after the last restart, also where the copy lacks a mark', async () => {
  const world = new World({ versions: [OLD, OLD, OLD] });
  await world.untilOwned();
  await world.submit('req-1', { pieces: 4, reckonS: 40 }, 40);
  for (const index of [0, 1, 2]) await upgrade(world, index);
  await world.until('the last mark is written', () => world.state.data.has('live/format/node-2'), 10);
  await world.submit('req-2', { awaits: ['req-1'], reckonS: 2 }, 2, 1);
  await world.submit('req-3', { awaits: ['req-2'], reckonS: 2 }, 2, 0);
  assert.equal(await world.standing('req-3', 2), 'pending');
  await world.untilStanding('req-3', 'done', 200);
  assert.deepEqual(Object.keys(finalRecord(world, 'req-3')).sort(), ['done', 'endedAt', 'state']);
  world.noRuleBroken();
});

test('a job that the old version accepted and ended may be named after the upgrade', async () => {
  const world = new World({ versions: [OLD, OLD, OLD] });
  await world.untilOwned();
  await world.submit('req-1');
  await world.submit('req-2', {}, 60);
  await world.untilStanding('req-1', 'done');
  assert.equal(await world.cancel('req-2'), 'withdrawn');
  for (const index of [0, 1, 2]) await upgrade(world, index);
  await world.untilOwned();
  await world.submit('req-3', { awaits: ['req-1'] }, 2, 1);
  await world.submit('req-4', { awaits: ['req-1', 'req-2'] }, 2, 2);
  await world.untilStanding('req-3', 'done');
  assert.equal(await world.standing('req-4', 0), 'withdrawn');
  world.noRuleBroken();
});

test('controllers killed in the middle of the roll come back in two versions, and dependencies wait for the last', async () => {
  const world = new World({ versions: [OLD, OLD, OLD] });
  await world.untilOwned();
  await world.submit('req-1', { pieces: 3 }, 20);
  await upgrade(world, 0);
  await world.clock.advance(4_000);
  for (const index of [0, 1, 2]) world.kill(index);
  await world.clock.advance(RESTART_MS);
  for (const index of [0, 1, 2]) world.restart(index);
  await world.untilOwned();
  assert.equal((await submitAfter(world, 0, 'req-2', ['req-1'])).status, 503);
  for (const index of [1, 2]) await upgrade(world, index);
  await world.submit('req-2', { awaits: ['req-1'] }, 2, 2);
  await world.untilStanding('req-2', 'done', 200);
  world.noRuleBroken();
});

test('an open gate stays open while a controller is away', async () => {
  const world = new World();
  await world.untilOwned();
  await world.submit('req-1', {}, 30);
  await world.clock.advance(2_000);
  world.kill(2);
  await world.submit('req-2', { awaits: ['req-1'] }, 2, 0);
  world.kill(0);
  world.restart(0);
  await world.submit('req-3', { awaits: ['req-2'] }, 2, 0);
  await world.untilStanding('req-3', 'done', 200);
  world.noRuleBroken();
});
