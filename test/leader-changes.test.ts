/** @file Repeated leader changes, alone and with other faults. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CANCEL_S, World } from './fakes/simulated-cluster';
import { changeLeader, startCount, tasksOf } from './fault-steps';

test('jobs of three tasks that end far apart, a takeover before each end: no task is lost or runs twice', async () => {
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
    await changeLeader(world, 1000);
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
  assert.equal(startCount(world), 6);
  world.noRuleBroken();
});

for (const [awayMs, lost] of [
  [900, 0],
  [12_000, 12],
] as const) {
  test(`after two takeovers all controllers are down for ${awayMs} ms: one returns, then the others`, async () => {
    const world = new World();
    await world.submit('req-1', { pieces: 12, reckonS: 120 }, 120);
    await world.until('12 tasks run', () => world.running.length === 12);
    const first = await world.untilOwned();
    world.kill(first);
    await world.clock.advance(300);
    world.restart(first);
    await world.untilOwned();
    await world.clock.advance(3000);
    const second = await changeLeader(world, 500);
    await world.clock.advance(4000);
    for (const index of [0, 1, 2]) world.kill(index);
    await world.clock.advance(awayMs);
    world.restart(second);
    await world.clock.advance(4000);
    for (const index of [0, 1, 2]) if (index !== second) world.restart(index);
    await world.clock.advance(10_000);
    assert.equal(tasksOf(world, 'req-1').length, 12);
    assert.equal(startCount(world), 12 + lost);
    assert.equal(await world.cancel('req-1', second), 'withdrawn');
    await world.clock.advance((CANCEL_S + 5) * 1000);
    world.noRuleBroken();
  });
}

test('fault combination: ten leaders in two minutes, two of them during outages of the state service', async () => {
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

test('fault combination: more work than room, slow links and leader changes: all jobs complete', async () => {
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
    if (n === 7) await changeLeader(world);
  }
  slow();
  await changeLeader(world);
  await world.noJobWaits(300);
  assert.deepEqual(world.rules.unfinished, []);
  assert.deepEqual(world.rules.startsAfterCancellation, []);
  world.noRuleBroken();
});
