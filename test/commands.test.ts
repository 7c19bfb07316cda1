import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/simulated-cluster';

const isStart = (body: unknown): boolean => JSON.stringify(body ?? null).includes('"run"');

test('a start whose answer is lost is not repeated elsewhere', async () => {
  const world = new World();
  const heal = world.network.rule(({ path, body }) =>
    path === '/do' && isStart(body) ? 'lose answer' : undefined,
  );
  await world.submit('req-1', { pieces: 2 }, 20);
  await world.until('2 tasks run', () => world.running.length >= 2);
  heal();
  await world.untilStanding('req-1', 'done');
  const starts = [...world.workers.values()].flatMap((w) => [...new Set(w.startOrders)]);
  assert.equal(starts.length, 2);
  world.noRuleBroken();
});

test('a start that the network holds counts as on its machine, and is refused once the token has risen', async () => {
  const world = new World();
  world.addWorker();
  world.addWorker();
  await world.untilOwned();
  await world.clock.advance(8000);
  let held = '';
  const heal = world.network.rule(({ path, to, body }) => {
    if (path !== '/do' || !isStart(body)) return undefined;
    held = held === '' ? to : held;
    return to === held ? 'hold' : undefined;
  });
  await world.submit('req-1', { pieces: 1 }, 30);
  await world.until('a start is held', () => held !== '');
  // Nobody knows whether it runs: for now it must not be started anywhere else.
  await world.clock.advance(900);
  assert.deepEqual(world.running, []);
  const other = [...world.workers.values()].filter((w) => w.address !== held);
  assert.deepEqual(
    other.flatMap((w) => w.startOrders),
    [],
  );
  heal();
  // The worker sees a higher token, which settles the doubt, and the task is issued again.
  await world.until('a task runs', () => world.running.length > 0);
  assert.equal(world.network.release() > 0, true);
  await world.untilStanding('req-1', 'done');
  world.noRuleBroken();
});

test('no attempt is reaped while a late copy of its start could begin it anew', async () => {
  const world = new World();
  const copies: unknown[] = [];
  world.network.rule(({ from, path, body }) => {
    if (from !== 'late' && path === '/do' && isStart(body)) copies.push(structuredClone(body));
    return undefined;
  });
  await world.submit('req-1', { pieces: 1 }, 5);
  await world.untilStanding('req-1', 'done');
  const [worker] = [...world.workers.values()].filter((w) => w.startOrders.length > 0);
  assert.ok(worker);
  for (let step = 0; step < 40; step += 1) {
    for (const body of copies) {
      world.network
        .caller('late')
        .call(worker.address, 'POST', '/do', body, 100)
        .catch(() => undefined);
    }
    await world.clock.advance(500);
    assert.deepEqual(world.running, [], 'a late copy began the task anew');
  }
  assert.equal(worker.reapOrders.length, 1);
});

test('a completion is reaped only once it is recorded', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 1 }, 5);
  await world.until('a task runs', () => world.running.length > 0);
  const heal = world.network.rule(({ to, path }) =>
    to.endsWith(':2379') && path === '/txn' ? 'lose' : undefined,
  );
  await world.clock.advance(12_000);
  const reaped = [...world.workers.values()].flatMap((w) => w.reapOrders);
  assert.deepEqual(reaped, []);
  assert.notEqual(await world.standing('req-1'), 'done');
  heal();
  await world.untilStanding('req-1', 'done');
  world.noRuleBroken();
});

test('the limit of a team holds while its tasks are lost and issued again', async () => {
  const world = new World({ limitCpus: 3 });
  await world.submit('req-1', { crew: 'red', pieces: 9 }, 4);
  await world.submit('req-2', { crew: 'red', pieces: 3 }, 4);
  await world.until('a task runs', () => world.running.length > 0);
  const [first] = world.running;
  const machine = world.where(first ?? '');
  assert.ok(machine);
  // It stops answering and comes back; what it runs meanwhile still counts.
  world.worker(machine).hanging = true;
  await world.clock.advance(4000);
  world.worker(machine).hanging = false;
  await world.untilStanding('req-1', 'done');
  await world.untilStanding('req-2', 'done');
  world.noRuleBroken();
});

test('a machine that goes silent is returned, and its tasks are issued again', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 1 }, 30);
  await world.until('a task runs', () => world.running.length > 0);
  const machine = world.where('req-1/0');
  assert.ok(machine);
  world.addWorker('b');
  world.worker(machine).hanging = true;
  const silentAt = world.clock.now();
  await world.until('the task has left', () => world.where('req-1/0') !== machine);
  await world.until('req-1/0 runs', () => !(world.where('req-1/0') === undefined));
  assert.ok(world.clock.now() - silentAt < 10_000, 'sooner than the lease of the worker');
  assert.ok(world.worker(machine).gone);
  await world.untilStanding('req-1', 'done');
  world.noRuleBroken();
});

test('spot notice: a task that can save is stopped in time and goes on elsewhere', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 1, reckonS: 60, bookmarkS: 10, stashS: 2 }, 60);
  await world.until('a task runs', () => world.running.length > 0);
  const machine = world.where('req-1/0');
  assert.ok(machine);
  const worker = world.worker(machine);
  worker.warningS = 12;
  const takenAt = world.clock.now() + 12_000;
  let stored = false;
  while (world.clock.now() < takenAt) {
    await world.clock.advance(200);
    stored ||= [...worker.pieces.values()].some((p) => p.stored === true);
  }
  worker.vanish();
  assert.ok(stored, 'saved before the machine was taken');
  await world.until('req-1/0 runs', () => !(world.where('req-1/0') === undefined));
  assert.notEqual(world.where('req-1/0'), machine);
  world.noRuleBroken();
});

test('a sick machine gets no more tasks and is returned; the job goes on elsewhere', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 4 }, 3);
  await world.untilStanding('req-1', 'done');
  const [sick] = [...world.workers.values()].filter((w) => !w.gone);
  assert.ok(sick);
  sick.sick = true;
  await world.submit('req-2', { pieces: 4 }, 8);
  await world.submit('req-3', { pieces: 4 }, 8);
  await world.untilStanding('req-2', 'done', 60);
  await world.untilStanding('req-3', 'done', 60);
  assert.ok(sick.gone);
  world.noRuleBroken();
});

test('a job that fails everywhere is retried with growing pauses and blames no more machines', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 1 }, 3);
  await world.until('a task runs', () => world.running.length > 0);
  for (const worker of world.workers.values()) worker.sick = true;
  const watch = async (): Promise<number> => {
    for (let step = 0; step < 60; step += 1) {
      await world.clock.advance(1000);
      for (const worker of world.workers.values()) worker.sick = true;
    }
    return [...world.workers.values()].flatMap((w) => w.startOrders).length;
  };
  const first = await watch();
  const second = (await watch()) - first;
  assert.ok(first > 2, `${first} starts in the first minute`);
  assert.ok(second < first && second <= 3, `${second} starts in the second minute`);
  assert.equal(await world.cancel('req-1'), 'withdrawn');
});
