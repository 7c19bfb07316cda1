import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planFleet, type FleetInput } from '../src/coordination/fleet';
import type { Job } from '../src/protocol/model';
import type { FakeWorker } from './fakes/worker';
import { CANCEL_S, World } from './fakes/world';

/**
 * Every controller has seen each job end whose tasks may still be anywhere, and there are empty machines. The cloud
 * can't be asked to end one: of those that can't be reached only their leases are left.
 */
async function longWatched(world: World): Promise<void> {
  await world.clock.advance(50_000);
  for (let n = 0; n < 4; n += 1) world.addWorker('b');
  await world.clock.advance(13_000);
  world.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
}

function tasksOf(world: World, job: string): string[] {
  return world.running.filter((piece) => piece.startsWith(`${job}/`));
}

function places(world: World): string[] {
  return world.running.map((piece) => `${piece} ${world.where(piece)}`).sort();
}

function zoneOf(world: World, machine: string): unknown {
  return world.worker(machine).report().yard;
}

function starts(world: World): number {
  return [...world.workers.values()].flatMap((w) => w.startOrders).length;
}

/** The next controller takes over; the one that led is back a while later. */
async function change(world: World, backMs = 3_000): Promise<number> {
  const old = await world.untilOwned();
  world.kill(old);
  await world.clock.advance(100);
  const owner = await world.untilOwned();
  world.clock.after(backMs, () => {
    world.restart(old);
  });
  return owner;
}

for (const [what, trouble] of [
  ['under one owner', 'none'],
  ['for a new owner', 'takeover'],
  ['for an owner that came after the cancellation', 'nobody'],
  ['for controllers that all began after the cancellation', 'restarts'],
] as const) {
  test(`at a full limit, cancelled tasks on a machine that hangs keep it full, ${what}`, async () => {
    const world = new World({ limitCpus: 4 });
    await longWatched(world);
    await world.submit('req-1', { crew: 'red', pieces: 4 }, 200);
    await world.until('4 tasks run', () => world.running.length === 4);
    const held = [...new Set(world.running.map((p) => world.where(p) ?? ''))];
    for (const id of held) world.worker(id).hanging = true;
    const hangsAt = world.clock.now();
    await world.clock.advance(200);
    const old = world.owner;
    const asker = (old + 1) % 3;
    if (trouble === 'nobody') {
      world.kill(old);
      await world.clock.advance(500);
    }
    assert.equal(await world.cancel('req-1', asker), 'withdrawn');
    if (trouble === 'nobody') assert.equal(world.owner, -1);
    if (trouble === 'takeover') await change(world, 20_000);
    if (trouble === 'restarts') {
      for (const index of [0, 1, 2]) world.kill(index);
      await world.clock.advance(500);
      for (const index of [0, 1, 2]) world.restart(index);
    }
    const reader = await world.untilOwned();
    // Long enough for the machine to be taken for silent: what is started goes elsewhere.
    if (trouble === 'none') await world.clock.advance(3000);
    await world.submit('req-2', { crew: 'red', pieces: 4 }, 200, reader);
    // Within their leases the machines go on with what they hold.
    while (tasksOf(world, 'req-1').length > 0) {
      assert.deepEqual(tasksOf(world, 'req-2'), [], `${world.clock.now() - hangsAt} ms`);
      await world.clock.advance(100);
    }
    assert.ok(world.clock.now() - hangsAt > 8_000, 'the machines held them to the end of their leases');
    for (const id of held) world.worker(id).hanging = false;
    await world.until('req-2 runs', () => tasksOf(world, 'req-2').length === 4, 60);
    world.noRuleBroken();
  });
}

test('a cancelled task found after a takeover fills the limit until it is proved gone, though its job is unknown', async () => {
  const world = new World({ limitCpus: 4 });
  await longWatched(world);
  await world.submit('req-1', { crew: 'red', cpus: 4 }, 200);
  await world.until('it runs', () => world.running.length === 1);
  const worker = world.worker(world.where('req-1/0') ?? '');
  const { baton } = worker;
  // The answer to its first report gives it the new owner's token; the next one arrives when its job is over, and the
  // stop in its answer is lost.
  let isOver = false;
  world.network.rule(({ to, from }) => {
    if (to === worker.address) return 'lose';
    if (from !== worker.id || worker.baton === baton) return undefined;
    return isOver ? 'lose answer' : 'lose';
  });
  world.kill(world.owner);
  await world.clock.advance(100);
  const owner = await world.untilOwned();
  await world.until('it has the token', () => worker.baton > baton, 5);
  assert.equal(await world.cancel('req-1', owner), 'withdrawn');
  isOver = true;
  const machines = world.controllers[owner]?.node.owners.get(0)?.machines;
  await world.until('it is settled', () => machines?.get(worker.id)?.settled === true, 8);
  assert.equal(world.where('req-1/0'), worker.id);
  await world.submit('req-2', { crew: 'red', cpus: 4 }, 200, owner);
  await world.until(
    'it is gone',
    () => {
      assert.ok(world.where('req-1/0') === undefined || world.where('req-2/0') === undefined);
      return world.where('req-1/0') === undefined;
    },
    15,
  );
  await world.until('req-2 runs', () => world.where('req-2/0') !== undefined, 60);
  world.noRuleBroken();
});

test('at a full limit, a cancellation falls into the spell in which a new owner can not ask a machine', async () => {
  const world = new World({ limitCpus: 4 });
  await longWatched(world);
  await world.submit('req-1', { crew: 'red', pieces: 2, cpus: 2 }, 200);
  await world.until('both run', () => world.running.length === 2);
  const heals = [...new Set(world.running.map((p) => world.where(p) ?? ''))].map((id) => world.cutOff(id));
  const cutAt = world.clock.now();
  const first = await change(world, 30_000);
  assert.equal(await world.cancel('req-1', first), 'withdrawn');
  // And once more: this owner has neither the job nor the machines.
  const second = await change(world, 30_000);
  await world.submit('req-2', { crew: 'red', cpus: 2 }, 200, second);
  while (tasksOf(world, 'req-1').length > 0) {
    assert.equal(world.where('req-2/0'), undefined, `${world.clock.now() - cutAt} ms`);
    await world.clock.advance(100);
  }
  assert.ok(world.clock.now() - cutAt > 8_000, 'the machines held them to the end of their leases');
  for (const heal of heals) heal();
  await world.until('req-2 runs', () => world.where('req-2/0') !== undefined, 60);
  world.noRuleBroken();
});

test('jobs cancelled at any moment of a handing over to the node that hears the workers are gone in time', async () => {
  const world = new World();
  for (const job of ['req-1', 'req-2', 'req-3', 'req-4', 'req-5', 'req-6'])
    await world.submit(job, { pieces: 4, reckonS: 100 }, 100);
  await world.until('24 tasks run', () => world.running.length >= 24);
  const old = world.owner;
  const address = world.controllers[old]?.address ?? '';
  world.network.rule(({ from, to }) =>
    (from.startsWith('host-') && to === address) || (from === `node-${old}` && to.startsWith('10.1.'))
      ? 'lose'
      : undefined,
  );
  const cancelled: { job: string; at: number }[] = [];
  const cancel = async (job: string, index: number): Promise<void> => {
    assert.equal(await world.cancel(job, index), 'withdrawn');
    cancelled.push({ job, at: world.clock.now() });
  };
  const late = (): string[] =>
    cancelled
      .filter(({ at }) => world.clock.now() > at + CANCEL_S * 1000)
      .flatMap(({ job }) => tasksOf(world, job));
  await world.clock.advance(3000);
  await cancel('req-1', old);
  await world.until('the owner gives it up', () => world.owner !== old, 30);
  await cancel('req-2', old);
  const heir = await world.untilOwned();
  assert.notEqual(heir, old);
  await cancel('req-3', (old + 1) % 3);
  await world.clock.advance(100);
  await cancel('req-4', (old + 2) % 3);
  await world.clock.advance(400);
  await cancel('req-5', old);
  for (let second = 0; second < 40; second += 1) {
    await world.clock.advance(1000);
    assert.deepEqual(late(), []);
  }
  assert.deepEqual(
    world.running.filter((p) => !p.startsWith('req-6/')),
    [],
  );
  assert.equal(tasksOf(world, 'req-6').length, 4);
  assert.equal(starts(world), 24, 'nothing was lost');
  world.noRuleBroken();
});

test('jobs cancelled in the seconds in which the leader gives a block to another are gone in time', async () => {
  const world = new World({ operator: { blocks: 2 } });
  const jobs = ['req-1', 'req-2', 'req-3', 'req-4'];
  for (const [index, job] of jobs.entries())
    await world.submit(job, { pieces: 4, crew: index % 2 ? 'red' : 'blue', reckonS: 100 }, 100);
  await world.until('16 tasks run', () => world.running.length >= 16);
  const owners = (): number[] =>
    [0, 1].map((block) =>
      world.controllers.findIndex((c) => c.alive && c.node.owners.get(block)?.entitled === true),
    );
  // One dies, and another has both blocks until a third one comes back.
  const [first, second] = owners();
  assert.notEqual(first, second);
  const idle = [0, 1, 2].find((i) => i !== first && i !== second) ?? 0;
  world.kill(idle);
  world.kill(first ?? 0);
  await world.until('one has both', () => owners().every((o) => o === second), 30);
  await world.clock.advance(3000);
  world.restart(idle);
  world.restart(first ?? 0);
  await world.until('a block is on its way', () => owners().some((o) => o !== second), 30);
  const cancelledAt = world.clock.now();
  assert.equal(await world.cancel('req-1', idle), 'withdrawn');
  assert.equal(await world.cancel('req-2', second), 'withdrawn');
  await world.until('both are owned', () => owners().every((o) => o >= 0), 30);
  assert.deepEqual(new Set(owners()).size, 2, 'the blocks are spread again');
  await world.until(
    'what was cancelled is gone',
    () => tasksOf(world, 'req-1').length + tasksOf(world, 'req-2').length === 0,
    CANCEL_S,
  );
  assert.ok(world.clock.now() - cancelledAt < 10_000, `${world.clock.now() - cancelledAt} ms`);
  await world.clock.advance(40_000);
  assert.deepEqual([...tasksOf(world, 'req-1'), ...tasksOf(world, 'req-2')], []);
  assert.equal(tasksOf(world, 'req-3').length + tasksOf(world, 'req-4').length, 8);
  assert.equal(starts(world), 16);
  world.noRuleBroken();
});

/** Drops every transaction that would record a machine as up, or only its answer. */
function upRecords(world: World, fate: 'lose' | 'lose answer' | 'hold', seen: () => void): () => void {
  return world.network.rule(({ path, body }) => {
    if (path !== '/txn' || !JSON.stringify(body).includes('"up":true')) return undefined;
    seen();
    return fate;
  });
}

for (const [what, fate] of [
  ['never carried out', 'lose'],
  ['carried out, and only the answer is lost', 'lose answer'],
  ['carried out after the leader ended', 'hold'],
] as const) {
  test(`new machines up at once, their records ${what}, and the leader ends: no task runs twice`, async () => {
    const world = new World();
    world.bootMs = 200;
    let written = 0;
    const heal = upRecords(world, fate, () => {
      written += 1;
    });
    await world.submit('req-1', { pieces: 8, reckonS: 60 }, 60);
    await world.until('a machine came up', () => written > 0, 20);
    await world.clock.advance(3000);
    const old = world.owner;
    // It holds on to its workers, which can't reach the next one yet.
    const kept = [...world.workers.values()];
    const far = world.network.rule(({ from, to }) => {
      const down = kept.some((w) => w.address === to) && from !== `node-${old}`;
      const up = kept.some((w) => w.id === from) && to !== world.controllers[old]?.address;
      return down || up ? 'lose' : undefined;
    });
    world.kill(old);
    heal();
    world.network.release();
    await world.clock.advance(100);
    const owner = await world.untilOwned();
    const view = world.controllers[owner]?.node.owners.get(0)?.machines;
    for (const worker of kept) {
      const known = view?.get(worker.id);
      if (worker.pieces.size > 0) assert.ok(known?.up, `${worker.id} holds tasks`);
      // Whatever became of the record: who was never answered has been given nothing.
      if (!known?.up) assert.equal(worker.baton, 0);
    }
    for (let n = 0; n < 4; n += 1) world.addWorker('b');
    await world.clock.advance(6000);
    far();
    await world.untilStanding('req-1', 'done', 150, owner);
    world.noRuleBroken();
  });
}

test('machines up and reporting before their rental is written, while writes lag, get work only once they are recorded', async () => {
  const world = new World();
  world.bootMs = 100;
  const isRental = (path: string, body: unknown): boolean =>
    path === '/txn' && JSON.stringify(body).includes('"up":false');
  const lag = world.network.rule(({ path, body }) => (isRental(path, body) ? 'lose' : undefined));
  await world.submit('req-1', { pieces: 6, reckonS: 40 }, 40);
  await world.until('a machine is rented', () => world.workers.size > 0, 20);
  await world.clock.advance(4000);
  for (const worker of world.workers.values()) assert.equal(worker.baton, 0, 'nobody answers for it');
  assert.equal(starts(world), 0);
  // The one who rented them ends before it could write them down: the cloud's list is all that is left.
  world.kill(world.owner);
  lag();
  await world.clock.advance(100);
  const owner = await world.untilOwned();
  await world.until('6 tasks run', () => world.running.length === 6, 60);
  await world.untilStanding('req-1', 'done', 90, owner);
  assert.equal(starts(world), 6);
  world.noRuleBroken();
});

/** Says again what a worker once said, to every controller; nobody waits for the answer. */
function sayAgain(world: World, reports: readonly Record<string, unknown>[]): void {
  for (const { address, alive } of world.controllers) {
    if (!alive) continue;
    for (const report of reports)
      void world.network
        .caller('late')
        .call(address, 'POST', '/hello', report, 4000)
        .catch(() => undefined);
  }
}

test('old reports reach every controller just as a new leader begins, and again after each second', async () => {
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
  const before = places(world);
  const began = starts(world);
  world.kill(world.owner);
  // The last one first, each on its own, so that rounds come between; all of them arrive more than once.
  copies.reverse();
  for (let step = 0; step < 1000; step += 1) {
    const copy = copies[step % copies.length];
    if (copy) sayAgain(world, [copy]);
    await world.clock.advance(20);
    assert.deepEqual(places(world), before);
  }
  const owner = await world.untilOwned();
  assert.equal(starts(world), began);
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
  test(`starts wait at a machine that hangs${takeover ? ' while the leader ends' : ''}, and are carried out when it goes on`, async () => {
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
    if (takeover) await change(world);
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

test('a start is held up on its way until its leader has ended, and arrives before the next one can ask', async () => {
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

test('all commands are held up while the leader changes, and arrive when the next one has acted', async () => {
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
  await change(world);
  hold();
  await world.clock.advance(1500);
  assert.ok(world.network.release() > 0);
  await world.clock.advance(1500);
  assert.deepEqual(tasksOf(world, 'req-2'), []);
  await world.noJobWaits(200);
  assert.deepEqual(world.rules.unfinished, []);
  world.noRuleBroken();
});

test('a leader that has its workers and users but neither state service nor peers: jobs cancelled through the new one', async () => {
  const world = new World();
  const jobs = ['req-1', 'req-2', 'req-3', 'req-4'];
  for (const job of jobs) await world.submit(job, { pieces: 4, reckonS: 90 }, 90);
  await world.until('16 tasks run', () => world.running.length === 16);
  const old = world.owner;
  const name = `node-${old}`;
  const other = (old + 1) % 3;
  world.state.refused.add(name);
  world.mutes.add(name);
  await world.clock.advance(300);
  assert.equal(await world.cancel('req-1', other), 'withdrawn');
  await world.clock.advance(2500);
  assert.equal(await world.cancel('req-2', other), 'withdrawn');
  await world.until('another has taken over', () => world.owner >= 0 && world.owner !== old, 20);
  assert.equal(await world.cancel('req-3', other), 'withdrawn');
  // Whatever the old one is asked meanwhile, it tells nobody anything older.
  for (let step = 0; step < 120; step += 1) {
    for (const job of jobs) await world.ask(old, 'GET', `/work/${job}`);
    await world.clock.advance(300);
  }
  assert.deepEqual(
    world.running.filter((piece) => !piece.startsWith('req-4/')),
    [],
  );
  assert.equal(tasksOf(world, 'req-4').length, 4);
  assert.equal(starts(world), 16, 'nothing was lost');
  world.state.refused.delete(name);
  world.mutes.clear();
  await world.noJobWaits(120);
  assert.deepEqual(world.rules.unfinished, []);
  world.noRuleBroken();
});

test('jobs of three tasks that end far apart, with other leaders before each end: none lost, none run twice', async () => {
  const world = new World();
  world.capacity = 2;
  // Both machines run one task at a time: the jobs' tasks end 20 s apart.
  for (const job of ['req-1', 'req-2']) await world.submit(job, { pieces: 3, cpus: 4, reckonS: 20 }, 20);
  await world.until('2 tasks run', () => world.running.length === 2);
  let completed = 0;
  const isCompletion = (path: string, body: unknown): boolean =>
    path === '/txn' && JSON.stringify(body).includes('"set":"live/done/');
  for (let round = 0; round < 3; round += 1) {
    // Who sees the end is not who issued the task.
    await world.clock.advance(5_000);
    await change(world, 1000);
    // And can't record it, or doesn't hear that it has; the next one has to see it again.
    const lose = world.network.rule(({ path, body }) => {
      if (!isCompletion(path, body)) return undefined;
      completed += 1;
      return round === 1 ? 'lose answer' : 'lose';
    });
    await world.until('tasks have ended', () => world.running.length === 0, 30);
    await world.clock.advance(3000);
    const old = await world.untilOwned();
    world.kill(old);
    lose();
    await world.untilOwned();
    world.restart(old);
    for (const job of ['req-1', 'req-2']) for (const index of [0, 1, 2]) await world.standing(job, index);
    if (round < 2) await world.until('the next tasks run', () => world.running.length === 2, 30);
  }
  assert.ok(completed > 0);
  await world.noJobWaits(120);
  assert.deepEqual(world.rules.unfinished, []);
  assert.equal(starts(world), 6);
  world.noRuleBroken();
});

for (const [awayMs, lost] of [
  [900, 0],
  [12_000, 12],
] as const) {
  test(`handed over, back, and then all controllers end for ${awayMs} ms: one returns, then the others`, async () => {
    const world = new World();
    await world.submit('req-1', { pieces: 12, reckonS: 120 }, 120);
    await world.until('12 tasks run', () => world.running.length === 12);
    const first = await world.untilOwned();
    world.kill(first);
    await world.clock.advance(300);
    world.restart(first);
    await world.untilOwned();
    await world.clock.advance(3000);
    const second = await change(world, 500);
    await world.clock.advance(4000);
    for (const index of [0, 1, 2]) world.kill(index);
    await world.clock.advance(awayMs);
    world.restart(second);
    await world.clock.advance(4000);
    for (const index of [0, 1, 2]) if (index !== second) world.restart(index);
    await world.clock.advance(10_000);
    assert.equal(tasksOf(world, 'req-1').length, 12);
    assert.equal(starts(world), 12 + lost);
    assert.equal(await world.cancel('req-1', second), 'withdrawn');
    await world.clock.advance((CANCEL_S + 5) * 1000);
    world.noRuleBroken();
  });
}

test('ten leaders in two minutes, two of them in outages: no rule broken, and the work goes on', async () => {
  const world = new World({ limitCpus: 8 });
  await world.submit('req-1', { pieces: 12, reckonS: 150 }, 150);
  await world.submit('req-2', { pieces: 8, crew: 'red', reckonS: 40 }, 40);
  await world.submit('req-3', { pieces: 4, crew: 'red', reckonS: 40 }, 40);
  await world.until('20 tasks run', () => world.running.length >= 20);
  const busy = [...new Set(world.running.map((piece) => world.where(piece) ?? ''))];
  // Room to start everything once more.
  for (let n = 0; n < 6; n += 1) world.addWorker('b');
  await world.clock.advance(13_000);
  const beganAt = world.clock.now();
  const leaders: number[] = [];
  for (let round = 0; round < 10; round += 1) {
    const old = await world.untilOwned();
    leaders.push(old);
    const out = round % 4 === 3;
    if (out) world.state.outage(true);
    if (out) await world.clock.advance(1000);
    world.kill(old);
    // Each time the next one can't reach some machine yet.
    const heal = world.cutOff(busy[round % busy.length] ?? '');
    if (out) await world.clock.advance(4000);
    if (out) world.state.outage(false);
    if (round === 5) assert.equal(await world.cancel('req-3', (old + 1) % 3), 'withdrawn');
    await world.untilOwned();
    await world.clock.advance(1500);
    heal();
    world.restart(old);
    await world.clock.advance(2500);
  }
  assert.ok(world.clock.now() - beganAt < 130_000, `${world.clock.now() - beganAt} ms`);
  assert.equal(leaders.filter((l, i) => i === 0 || l !== leaders[i - 1]).length, 10);
  await world.noJobWaits(250);
  assert.deepEqual(world.rules.unfinished, []);
  world.noRuleBroken();
});

for (const [what, fields] of [
  ['bound to one zone', { yard: 'a' }],
  ['all together', { together: true }],
  ['apart', { apart: true }],
  ['bound to one zone, in another team, all together', { yard: 'b', together: true, crew: 'red' }],
] as const) {
  for (const all of [false, true]) {
    test(`a job ${what} loses ${all ? 'every' : 'one'} machine of a zone, and its leader: it is done, in its place`, async () => {
      const world = new World();
      world.capacity = 12;
      await world.submit('req-1', { pieces: 12, reckonS: 60, ...fields }, 60);
      // Others fill what it leaves.
      await world.submit('req-2', { pieces: 6, reckonS: 60 }, 60);
      await world.until('18 tasks run', () => world.running.length === 18);
      await world.clock.advance(2000);
      const used = [...new Set(tasksOf(world, 'req-1').map((piece) => world.where(piece) ?? ''))];
      assert.ok(used.length > 1);
      const zone = zoneOf(world, used[0] ?? '');
      for (const id of all ? used.filter((id) => zoneOf(world, id) === zone) : used.slice(0, 1))
        world.worker(id).vanish();
      const owner = await change(world);
      await world.untilStanding('req-1', 'done', 200, owner);
      await world.noJobWaits(150);
      assert.deepEqual(world.rules.unfinished, []);
      world.noRuleBroken();
    });
  }
}

for (const [what, trouble] of [
  ['reach no controller', 'mute'],
  ['hear nothing', 'deaf'],
  ['are cut off', 'cut'],
  ['hang', 'hang'],
] as const) {
  for (const takeover of [false, true]) {
    test(`all machines ${what} for longer than their leases${takeover ? ', and the leader ends' : ''}: then each is used again`, async () => {
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
      if (takeover) await change(world);
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

test('for an array that has to stay together, or apart, machines are rented where its tasks may go', () => {
  const type = {
    ...{ name: 'm4', cpus: 4, gpus: 0, memoryGb: 16, cacheGb: 50, fetchGbPerS: 1, price: 1, spotPrice: 0.3 },
    ...{ bootS: 10, zones: ['a', 'b'] },
  };
  const array: Job = {
    ...{ id: 'req-1', jobClass: 'batch', team: 'blue', priority: 'normal', tasks: 16, cpus: 1, gpus: 0 },
    ...{ memoryGb: 1, types: null, zone: null, oneZone: false, spread: false, spot: true, image: 'img' },
    ...{ imageGb: 1, estimateS: 10, checkpointS: 0, saveS: 0, deadlineS: null },
  };
  const busy = { type, spot: true, booting: false, ageMs: 90_000, idleMs: 0 };
  const input: FleetInput = {
    unplaced: [],
    // Zone a has more machines, so the next one would go to zone b; and one is coming up there.
    machines: [
      ...Array.from({ length: 6 }, (_, n) => ({ ...busy, id: `host-${n}`, zone: 'a' })),
      { ...busy, id: 'host-9', zone: 'b', booting: true },
    ],
    ...{ types: [type], refused: () => false, freeingCpus: 0, idleReleaseMs: 20_000 },
    ...{ allMayStart: true, warmCpus: 0, freeCpus: 0 },
  };
  const rented = (fields: Partial<Job>, count: number, zones: [string, number][]): unknown[] =>
    planFleet({
      ...input,
      unplaced: [{ job: { ...array, ...fields }, count, urgent: true, slackMs: 0, zones: new Map(zones) }],
    }).rent.map((r) => `${r.zone} ${r.count}`);
  assert.deepEqual(rented({}, 8, [['a', 8]]), ['b 1']);
  assert.deepEqual(rented({ oneZone: true }, 8, [['a', 8]]), ['a 2']);
  // One that has not begun goes to one zone whole.
  assert.deepEqual(rented({ oneZone: true }, 16, []), ['b 3']);
  assert.deepEqual(rented({ spread: true }, 8, [['b', 8]]), ['a 2']);
  assert.deepEqual(rented({ spread: true }, 16, []), ['b 1', 'a 2']);
});

/** From now on whatever goes to or from workers takes that much longer each way; controllers start anew for it. */
async function slowLinks(world: World, ms: number): Promise<void> {
  const attach = world.network.attach.bind(world.network);
  world.network.attach = (address, host) => {
    attach(address, async (request) => {
      const isWorkers = request.from.startsWith('host-') || address.startsWith('10.1.');
      if (isWorkers) await world.clock.sleep(ms);
      const answer = await host(request);
      if (isWorkers) await world.clock.sleep(ms);
      return answer;
    });
  };
  for (const index of [0, 1, 2]) world.kill(index);
  for (const index of [0, 1, 2]) world.restart(index);
  await world.untilOwned();
}

test('more work than room, urgent and not, over slow links, while leaders change: all of it is done', async () => {
  const world = new World({ limitCpus: 6 });
  await slowLinks(world, 700);
  const slow = world.state.rule(({ path }) => (path === '/txn' ? { slowMs: 400 } : undefined));
  world.capacity = 3;
  const alive = (n: number): number =>
    [n, n + 1].map((i) => i % 3).find((i) => world.controllers[i]?.alive === true) ?? 0;
  const urgencies = ['normal', 'urgent', 'best_effort', 'prod'];
  for (let n = 0; n < 16; n += 1) {
    const saves = n % 3 === 0 ? { bookmarkS: 5, stashS: 1 } : {};
    await world.submit(
      `req-${n}`,
      {
        ...{ pieces: 3, urgency: urgencies[n % 4], crew: n % 2 ? 'red' : 'blue', reckonS: 8, ...saves },
        ...{ cpus: n % 5 === 0 ? 2 : 1, together: n % 7 === 0, apart: n % 7 === 1 },
      },
      8,
      alive(n),
    );
    await world.clock.advance(1500);
    if (n % 6 === 5) assert.equal(await world.cancel(`req-${n - 1}`, alive(n + 1)), 'withdrawn');
    if (n === 7) await change(world);
  }
  slow();
  await change(world);
  await world.noJobWaits(300);
  assert.deepEqual(world.rules.unfinished, []);
  assert.deepEqual(world.rules.startsAfterCancellation, []);
  world.noRuleBroken();
});

test('a job bound to a zone without machines is not left to wait for room that comes free in another', async () => {
  const world = new World();
  for (let n = 0; n < 4; n += 1) world.addWorker('b');
  await world.clock.advance(13_000);
  // Short work in zone b, for which there is room: some of it is always about to come free.
  let next = 10;
  const goOn = async (): Promise<void> => {
    next += 1;
    await world.submit(`req-${next}`, { pieces: 3, yard: 'b', reckonS: 8 }, 8);
    await world.clock.advance(2000);
  };
  for (let n = 0; n < 6; n += 1) await goOn();
  await world.submit('req-1', { pieces: 2, yard: 'a', reckonS: 8 }, 8);
  for (let n = 0; n < 15 && tasksOf(world, 'req-1').length === 0; n += 1) await goOn();
  assert.equal(tasksOf(world, 'req-1').length, 2);
  await world.noJobWaits(200);
  assert.deepEqual(world.rules.unfinished, []);
  world.noRuleBroken();
});

test('a report held back until a new leader has taken the worker for dead tells it nothing of what is there', async () => {
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
  const machine = world.controllers[owner]?.node.owners.get(0)?.machines.get(worker.id);
  await world.until('it is taken for dead', () => machine?.settled === true, 30);
  sayAgain(world, held);
  await world.clock.advance(500);
  assert.equal(machine?.attempts.size, 0);
  // There is room elsewhere, and nothing holds it up.
  world.addWorker('b');
  world.capacity = 2;
  for (let step = 0; step < 25; step += 1) {
    sayAgain(world, held);
    await world.clock.advance(800);
  }
  assert.equal(tasksOf(world, 'req-1').length, 2);
  await world.untilStanding('req-1', 'done', 120, owner);
  world.noRuleBroken();
});

test('an array that has to stay together gets room for what it lost in its own zone, where most machines are', async () => {
  const world = new World();
  world.capacity = 30;
  await world.submit('req-2', { pieces: 24, yard: 'a', reckonS: 400 }, 400);
  await world.until('24 tasks run', () => world.running.length === 24);
  for (let n = 0; n < 4; n += 1) world.addWorker('a');
  await world.clock.advance(10_000);
  await world.submit('req-1', { pieces: 12, together: true, reckonS: 400 }, 400);
  await world.until('36 tasks run', () => world.running.length === 36);
  for (const worker of world.workers.values()) if (worker.pieces.size === 0) worker.vanish();
  const before = world.workers.size;
  world.worker(world.where('req-1/0') ?? '').vanish();
  await world.until('all run again', () => world.running.length === 36, 20);
  const rented = [...world.workers.values()].slice(before).map((worker) => zoneOf(world, worker.id));
  assert.deepEqual(rented, ['a']);
  world.noRuleBroken();
});

test('a job whose end a node heard of before its beginning still fills its limit for that node, when it takes over', async () => {
  const world = new World({ limitCpus: 4 });
  await longWatched(world);
  const old = await world.untilOwned();
  // The others' watches are slow, and nobody tells them of the acceptance.
  const slow = world.state.rule(({ from, path }) =>
    from !== `node-${old}` && path.startsWith('/changes') ? { slowMs: 1500 } : undefined,
  );
  await world.clock.advance(2000);
  world.silencePeers = true;
  await world.submit('req-1', { crew: 'red', cpus: 4 }, 200, old);
  await world.until('it runs', () => world.running.length === 1, 1);
  const id = world.where('req-1/0') ?? '';
  const heal = world.cutOff(id);
  world.silencePeers = false;
  assert.equal(await world.cancel('req-1', old), 'withdrawn');
  slow();
  world.kill(old);
  await world.clock.advance(100);
  const owner = await world.untilOwned();
  await world.submit('req-2', { crew: 'red', cpus: 4 }, 200, owner);
  while (world.where('req-1/0') !== undefined) await world.clock.advance(100);
  heal();
  await world.until('req-2 runs', () => world.where('req-2/0') !== undefined, 60);
  world.noRuleBroken();
});

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
