import assert from 'node:assert/strict';
import { test } from 'node:test';
import { read } from '../src/bookkeeping/records';
import type { Version } from './fakes/versions';
import { World } from './fakes/simulated-cluster';
import {
  OLD,
  NEW,
  ALL_OLD,
  RESTART_MS,
  ROLL_STEPS_MS,
  writes,
  versionOf,
  leader,
  marked,
  isGateOpen,
  upgrade,
  startsOf,
  assertStartedOnce,
  handOver,
  runTasks,
  ownedByFirst,
} from './upgrade-steps';

for (const order of [
  [0, 1, 2],
  [2, 1, 0],
  [1, 0, 2],
]) {
  for (const stepMs of ROLL_STEPS_MS) {
    test(`rolling restart in the order ${order.join()} every ${stepMs} ms: every task runs once`, async () => {
      const world = new World({ versions: ALL_OLD });
      await runTasks(world, 'req-1', 16, 70);
      for (const [step, index] of order.entries()) {
        assert.equal(isGateOpen(world), false);
        await upgrade(world, index);
        await world.submit(`req-${step + 2}`, { pieces: 6, reckonS: 8 }, 8, index);
        await world.clock.advance(stepMs);
      }
      assert.ok(isGateOpen(world));
      await world.noJobWaits();
      for (const id of ['req-1', 'req-2', 'req-3', 'req-4']) assert.equal(await world.standing(id), 'done');
      assertStartedOnce(world, 'req-1', 16);
      world.noRuleBroken();
    });
  }
}

for (const [first, others] of [
  [OLD, NEW],
  [NEW, OLD],
] as const) {
  test(`the leader runs ${first}, the owner ${others}: jobs are accepted, done and cancelled`, async () => {
    const world = await ownedByFirst([first, others, others]);
    await runTasks(world, 'req-1', 16, 60);
    assert.equal(await handOver(world), 1);
    assert.equal(versionOf(world, leader(world)), first);
    assert.equal(versionOf(world, world.owner), others);
    await world.submit('req-2', { pieces: 4 }, 5, 0);
    await runTasks(world, 'req-3', 4, 200);
    assert.equal(await world.cancel('req-3', 0), 'withdrawn');
    await world.clock.advance(4_000);
    assert.ok(!world.running.some((task) => task.startsWith('req-3/')));
    for (const index of [0, 1, 2]) assert.equal(await world.standing('req-3', index), 'withdrawn');
    // A machine that no record names is taken in by the leader, and used by the owner.
    world.capacity = 0;
    const stray = world.addWorker('b');
    await world.submit('req-4', { pieces: 30, reckonS: 10 }, 10, 2);
    await world.until('the stray machine is used', () => world.worker(stray).startOrders.length > 0);
    for (const id of ['req-1', 'req-2', 'req-4']) await world.untilStanding(id, 'done');
    assertStartedOnce(world, 'req-1', 16);
    assert.equal(leader(world), 0);
    world.noRuleBroken();
  });

  test(`the owner runs ${first}, the others ${others}: in a long outage they vouch for it`, async () => {
    const world = await ownedByFirst([first, others, others]);
    await runTasks(world, 'req-1', 3, 60);
    world.state.outage(true);
    for (let second = 0; second < 25; second += 1) {
      await world.clock.advance(1_000);
      assert.equal(world.running.length, 3, `after ${second} s`);
    }
    world.state.outage(false);
    await world.untilStanding('req-1', 'done');
    assertStartedOnce(world, 'req-1', 3);
    world.noRuleBroken();
  });

  test(`the owner runs ${first}, the others ${others}: it hears from them of a cancellation before an outage`, async () => {
    const world = await ownedByFirst([first, others, others]);
    await runTasks(world, 'req-1', 3, 200);
    world.state.refused.add('node-0');
    world.silencePeers = true;
    assert.equal(await world.cancel('req-1', 1), 'withdrawn');
    world.state.outage(true);
    world.silencePeers = false;
    await world.clock.advance(25_000);
    assert.deepEqual(world.running, []);
    world.noRuleBroken();
  });
}

test('a shard goes from old to new and back to old: its record stays whole, and no task is lost', async () => {
  const world = await ownedByFirst([OLD, NEW, OLD]);
  await runTasks(world, 'req-1', 16, 120);
  const record = (): unknown => world.state.data.get('live/block/0')?.data;
  const before = record();
  for (const expected of [NEW, OLD, OLD, NEW]) {
    const heir = await handOver(world);
    assert.equal(versionOf(world, heir), expected);
    const name = `node-${heir}`;
    assert.deepEqual(record(), { ...(before as object), owner: name, holder: name });
    assert.equal(world.running.length, 16);
  }
  await world.untilStanding('req-1', 'done');
  assertStartedOnce(world, 'req-1', 16);
  world.noRuleBroken();
});

test('the last old process, which owns and leads, ends: the new ones go on with its tasks', async () => {
  const world = await ownedByFirst([OLD, NEW, NEW]);
  await runTasks(world, 'req-1', 16, 60);
  const places = (): string[] => world.running.map((task) => `${task} ${world.where(task)}`);
  const before = places();
  world.kill(0);
  await world.clock.advance(100);
  assert.equal(versionOf(world, await world.untilOwned()), NEW);
  await world.clock.advance(2_000);
  assert.deepEqual(places(), before);
  assert.deepEqual(marked(world), ['node-1', 'node-2']);
  world.restart(0, NEW);
  await world.clock.advance(1_000);
  assert.ok(isGateOpen(world));
  await world.untilStanding('req-1', 'done');
  assertStartedOnce(world, 'req-1', 16);
  world.noRuleBroken();
});

test('an old process dies and comes back old while the roll goes on', async () => {
  const world = new World({ versions: ALL_OLD });
  await runTasks(world, 'req-1', 16, 90);
  await upgrade(world, 0);
  await world.clock.advance(6_000);
  world.kill(1);
  await world.clock.advance(RESTART_MS);
  world.restart(1);
  assert.equal(versionOf(world, 1), OLD);
  await world.clock.advance(6_000);
  await upgrade(world, 2);
  await world.submit('req-2', { pieces: 6 }, 6, 2);
  await world.clock.advance(12_000);
  assert.deepEqual(marked(world), ['node-0', 'node-2']);
  await upgrade(world, 1);
  await world.clock.advance(1_000);
  assert.ok(isGateOpen(world));
  await world.noJobWaits();
  assertStartedOnce(world, 'req-1', 16);
  world.noRuleBroken();
});

test('the new version takes over a job whose completions the old one wrote in part, without an answer', async () => {
  const world = await ownedByFirst([OLD, NEW, NEW]);
  const completed = new Set<string>();
  world.onCompleted = (task) => completed.add(task);
  await world.submit('req-1', { pieces: 60, cpus: 2, reckonS: 4 }, 4);
  const isWritten = (): boolean => world.state.data.has('live/done/req-1/0');
  await world.until('completions are recorded', isWritten);
  world.state.rule((request) =>
    request.from === 'node-0' && writes(request, 'live/done/') ? 'lose answer' : undefined,
  );
  const version = world.state.data.get('live/done/req-1/0')?.stamp;
  const isWrittenAgain = (): boolean => world.state.data.get('live/done/req-1/0')?.stamp !== version;
  await world.until('more completions are recorded', isWrittenAgain);
  world.kill(0);
  const bits = read.done(world.state.data.get('live/done/req-1/0')?.data)?.bits ?? '';
  const recorded = [...Buffer.from(bits, 'base64')].flatMap((byte, n) =>
    [0, 1, 2, 3, 4, 5, 6, 7].filter((bit) => (byte >> bit) & 1).map((bit) => `req-1/${n * 8 + bit}`),
  );
  assert.ok(recorded.length >= 16 && recorded.every((task) => completed.has(task)));
  const before = startsOf(world, 'req-1');
  await world.clock.advance(100);
  assert.equal(versionOf(world, await world.untilOwned()), NEW);
  await world.untilStanding('req-1', 'done', 120, 1);
  const after = startsOf(world, 'req-1');
  for (const task of recorded) assert.equal(after.get(task), before.get(task), `${task} started again`);
  assert.equal(completed.size, 60);
  assert.deepEqual(world.state.data.get('final/req-1')?.data, { state: 'done', done: 60 });
  await world.clock.advance(5_000);
  assert.equal(isWritten(), false);
  world.noRuleBroken();
});

for (const fate of ['lose answer', 'refuse', { lateMs: 2_000 }] as const) {
  test(`the new version takes over when the old one's last write of a job ends with ${JSON.stringify(fate)}`, async () => {
    const world = await ownedByFirst([OLD, NEW, NEW]);
    let struck = 0;
    world.state.rule((request) => {
      if (request.from !== 'node-0' || !writes(request, 'final/')) return undefined;
      struck += 1;
      return fate;
    });
    await runTasks(world, 'req-1', 3, 5);
    await world.until('the end of the job is written', () => struck > 0);
    await world.clock.advance(20);
    world.kill(0);
    assert.equal(world.state.data.has('final/req-1'), fate === 'lose answer');
    await world.clock.advance(100);
    assert.equal(versionOf(world, await world.untilOwned()), NEW);
    for (const index of [1, 2]) await world.untilStanding('req-1', 'done', 60, index);
    assert.deepEqual(world.state.data.get('final/req-1')?.data, { state: 'done', done: 3 });
    assertStartedOnce(world, 'req-1', 3);
    world.noRuleBroken();
  });
}

test('the new version takes over machines that the old one has rented and that are not up', async () => {
  const world = await ownedByFirst([OLD, NEW, NEW]);
  world.bootMs = 9_000;
  await world.submit('req-1', { pieces: 8, reckonS: 20 }, 20);
  const machines = (): { up?: boolean }[] =>
    [...world.state.data]
      .filter(([key]) => key.startsWith('live/machine/'))
      .map(([, { data }]) => data as { up?: boolean });
  await world.until('rentals are recorded', () => machines().length >= 2);
  assert.ok(machines().every(({ up }) => up === false));
  const rented = world.workers.size;
  world.kill(0);
  await world.clock.advance(100);
  assert.equal(versionOf(world, await world.untilOwned()), NEW);
  await world.until('the tasks run', () => world.running.length === 8, 40);
  assert.equal(world.workers.size, rented, 'nothing was rented again');
  assert.ok(machines().every(({ up }) => up === true));
  await world.untilStanding('req-1', 'done', 120, 1);
  assertStartedOnce(world, 'req-1', 8);
  world.noRuleBroken();
});

for (const versions of [
  [NEW, OLD, NEW],
  [NEW, OLD, OLD],
  [OLD, OLD, NEW],
] as Version[][]) {
  test(`all controllers are killed in the middle of the roll and come back as ${versions.join()}`, async () => {
    const world = new World({ versions: ALL_OLD });
    await runTasks(world, 'req-1', 16, 30);
    await world.submit('req-2', { pieces: 20, reckonS: 4 }, 4, 1);
    await upgrade(world, 0);
    await world.clock.advance(5_000);
    for (const index of [0, 1, 2]) world.kill(index);
    await world.clock.advance(5_000);
    for (const index of [2, 0, 1]) world.restart(index, versions[index]);
    await world.submit('req-3', { pieces: 3 }, 3, 2);
    await world.clock.advance(10_000);
    for (const [index, version] of versions.entries()) if (version === OLD) await upgrade(world, index);
    await world.clock.advance(1_000);
    assert.ok(isGateOpen(world));
    for (const id of ['req-1', 'req-2', 'req-3']) await world.untilStanding(id, 'done');
    await world.noJobWaits();
  });
}
