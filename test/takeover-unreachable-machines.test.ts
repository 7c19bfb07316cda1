/** @file Machines that are unreachable during a takeover, and what may start before they are heard. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/simulated-cluster';
import { loseReleases, replaceOwner } from './takeover-steps';

test('after a takeover no task that an unreachable worker may run is started before its lease has ended', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 2 }, 60);
  await world.until('2 tasks run', () => world.running.length >= 2);
  const machine = world.where('req-1/0');
  assert.ok(machine);
  const worker = world.worker(machine);
  const starts = (): number => [...world.workers.values()].flatMap((w) => w.startOrders).length;
  // The cloud can't be asked to end the machine either: only its lease is left.
  loseReleases(world);
  const heal = world.network.rule(({ from, to }) =>
    from === machine || to === worker.address ? 'lose' : undefined,
  );
  const owner = await replaceOwner(world);
  const takenAt = world.clock.now();
  const before = starts();
  await world.clock.advance(8000);
  assert.equal(starts(), before, 'started too early');
  await world.until('something starts', () => starts() !== before);
  assert.ok(world.clock.now() - takenAt > 9000);
  heal();
  await world.untilStanding('req-1', 'done', 120, owner);
  world.noRuleBroken();
});

test('a job accepted after the takeover need not wait for unreachable workers', async () => {
  const world = new World();
  world.addWorker('b');
  world.addWorker('b');
  await world.clock.advance(12_000);
  await world.submit('req-1', { pieces: 1 }, 60);
  await world.until('1 tasks run', () => world.running.length >= 1);
  const machine = world.where('req-1/0') ?? '';
  const worker = world.worker(machine);
  loseReleases(world);
  world.network.rule(({ from, to }) => (from === machine || to === worker.address ? 'lose' : undefined));
  const owner = await replaceOwner(world);
  const takenAt = world.clock.now();
  await world.submit('req-2', { pieces: 1 }, 5, owner);
  await world.until('req-2/0 runs', () => !(world.where('req-2/0') === undefined));
  assert.ok(world.clock.now() - takenAt < 8000);
  world.noRuleBroken();
});

test('after a takeover a machine that is gone holds up its shard only until it is released', async () => {
  for (const hasPower of [true, false]) {
    const world = new World();
    await world.submit('req-1', { pieces: 2 }, 60);
    await world.until('2 tasks run', () => world.running.length >= 2);
    const machine = world.worker(world.where('req-1/0') ?? '');
    const spare = [world.addWorker('b'), world.addWorker('b')];
    await world.clock.advance(13_000);
    // It takes connections and says nothing, or there is nobody to connect to.
    machine.hanging = true;
    if (!hasPower) world.network.rule(({ to }) => (to === machine.address ? 'unreachable' : undefined));
    await replaceOwner(world);
    const takenAt = world.clock.now();
    await world.until('its tasks run elsewhere', () => spare.includes(world.where('req-1/0') ?? ''));
    assert.ok(world.clock.now() - takenAt < 8000, `${world.clock.now() - takenAt} ms`);
    world.noRuleBroken();
  }
});

test('a new job of a team with a limit starts during a takeover if the limit holds whatever unseen machines run', async () => {
  for (const [limitCpus, startsEarly] of [
    [8, true],
    [4, false],
  ] as const) {
    const world = new World({ limitCpus });
    world.addWorker('b');
    world.addWorker('b');
    await world.clock.advance(12_000);
    await world.submit('req-1', { crew: 'red', pieces: 1 }, 60);
    await world.until('1 tasks run', () => world.running.length >= 1);
    const machine = world.where('req-1/0') ?? '';
    const { address } = world.worker(machine);
    loseReleases(world);
    world.network.rule(({ from, to }) => (from === machine || to === address ? 'lose' : undefined));
    const owner = await replaceOwner(world);
    await world.submit('req-2', { crew: 'red', pieces: 1 }, 5, owner);
    await world.clock.advance(7000);
    assert.equal(
      world.where('req-2/0') !== undefined || (await world.standing('req-2', owner)) === 'done',
      startsEarly,
    );
    world.noRuleBroken();
  }
});

test('unreachable machines count against a limit only with what the team can run there', async () => {
  for (const [cpus, cancelled, startsEarly] of [
    [1, false, true],
    [4, false, false],
    [4, true, false],
  ] as const) {
    const world = new World({ limitCpus: 4 });
    world.addWorker('b');
    world.addWorker('b');
    // Long enough for every controller to have seen each job end whose tasks may still be anywhere.
    await world.clock.advance(50_000);
    await world.submit('req-1', { crew: 'red', pieces: 1, cpus }, 60);
    await world.until('1 tasks run', () => world.running.length >= 1);
    const machine = world.where('req-1/0') ?? '';
    const { address } = world.worker(machine);
    loseReleases(world);
    world.network.rule(({ from, to }) => (from === machine || to === address ? 'lose' : undefined));
    if (cancelled) assert.equal(await world.cancel('req-1'), 'withdrawn');
    const owner = await replaceOwner(world);
    await world.submit('req-2', { crew: 'red', pieces: 1 }, 5, owner);
    await world.clock.advance(7000);
    const began = world.where('req-2/0') !== undefined || (await world.standing('req-2', owner)) === 'done';
    assert.equal(began, startsEarly, `${cpus} CPUs, cancelled: ${cancelled}`);
    world.noRuleBroken();
  }
});

test('after a takeover the workers of a large fleet report by themselves; only those that do not are asked', async () => {
  const world = new World();
  world.capacity = 110;
  await world.submit('req-1', { pieces: 420, reckonS: 200 }, 200);
  await world.until('420 tasks run', () => world.running.length >= 420);
  world.addWorker('b');
  await world.clock.advance(13_000);
  const silent = world.worker(world.where('req-1/0') ?? '');
  const asked: string[] = [];
  world.network.rule(({ from, to, path, body }) => {
    if (path === '/do' && (body as { orders: unknown[] }).orders.length === 0) asked.push(to);
    return path === '/hosts/release' || from === silent.id || to === silent.address ? 'lose' : undefined;
  });
  const owner = await replaceOwner(world);
  await world.submit('req-2', { pieces: 1 }, 30, owner);
  await world.until('the new job runs', () => world.where('req-2/0') !== undefined, 5);
  // The last ones are: when few are missing, questions are quicker.
  assert.ok(new Set(asked).size <= 64, `${new Set(asked).size} machines were asked`);
  await world.until('the silent one is asked', () => asked.includes(silent.address), 5);
  const lost = 420 - world.running.filter((p) => p.startsWith('req-1/')).length;
  assert.ok(lost <= 4, `${lost} tasks of machines within reach are gone`);
  world.noRuleBroken();
});
