/** @file Repeated leader changes, alone and with other faults. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CANCEL_S, SimulatedCluster } from './fakes/simulated-cluster';
import { changeLeader, startCount, tasksOf } from './fault-steps';

test('jobs whose tasks end 20 s apart, with a failover before each end: no task is lost or runs twice', async () => {
  const cluster = new SimulatedCluster();
  cluster.capacity = 2;
  // Each of the two machines runs one task at a time, so the tasks of each job end 20 s apart.
  for (const job of ['req-1', 'req-2']) await cluster.submit(job, { pieces: 3, cpus: 4, reckonS: 20 }, 20);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length === 2);
  let completed = 0;
  const isCompletion = (path: string, body: unknown): boolean =>
    path === '/txn' && JSON.stringify(body).includes('"set":"live/done/');
  for (let round = 0; round < 3; round += 1) {
    // The controller that sees the end of the task is not the one that started it.
    await cluster.clock.advance(5_000);
    await changeLeader(cluster, 1000);
    // It can't record the end, or the response is lost; its successor has to see the end again.
    const endLoss = cluster.network.rule(({ path, body }) => {
      if (!isCompletion(path, body)) return undefined;
      completed += 1;
      return round === 1 ? 'lose answer' : 'lose';
    });
    await cluster.until('tasks have ended', () => cluster.runningTasks.length === 0, 30);
    await cluster.clock.advance(3000);
    const old = await cluster.untilOwned();
    cluster.kill(old);
    endLoss();
    await cluster.untilOwned();
    cluster.restart(old);
    for (const job of ['req-1', 'req-2']) for (const index of [0, 1, 2]) await cluster.jobState(job, index);
    if (round < 2) await cluster.until('the next tasks run', () => cluster.runningTasks.length === 2, 30);
  }
  assert.ok(completed > 0);
  await cluster.assertJobsFinish(120);
  assert.deepEqual(cluster.invariants.unfinishedJobs, []);
  assert.equal(startCount(cluster), 6);
  cluster.assertInvariants();
});

for (const [downMs, lostTasks] of [
  [900, 0],
  [12_000, 12],
] as const) {
  test(`after two failovers all controllers are down for ${downMs} ms, then one restarts before the others: only lost tasks are started again`, async () => {
    const cluster = new SimulatedCluster();
    await cluster.submit('req-1', { pieces: 12, reckonS: 120 }, 120);
    await cluster.until('12 tasks run', () => cluster.runningTasks.length === 12);
    const first = await cluster.untilOwned();
    cluster.kill(first);
    await cluster.clock.advance(300);
    cluster.restart(first);
    await cluster.untilOwned();
    await cluster.clock.advance(3000);
    const second = await changeLeader(cluster, 500);
    await cluster.clock.advance(4000);
    for (const index of [0, 1, 2]) cluster.kill(index);
    await cluster.clock.advance(downMs);
    cluster.restart(second);
    await cluster.clock.advance(4000);
    for (const index of [0, 1, 2]) if (index !== second) cluster.restart(index);
    await cluster.clock.advance(10_000);
    assert.equal(tasksOf(cluster, 'req-1').length, 12);
    assert.equal(startCount(cluster), 12 + lostTasks);
    assert.equal(await cluster.cancel('req-1', second), 'withdrawn');
    await cluster.clock.advance((CANCEL_S + 5) * 1000);
    cluster.assertInvariants();
  });
}

test('fault combination: ten leaders in two minutes, two of them during outages of the state service', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 8 });
  await cluster.submit('req-1', { pieces: 12, reckonS: 150 }, 150);
  await cluster.submit('req-2', { pieces: 8, crew: 'red', reckonS: 40 }, 40);
  await cluster.submit('req-3', { pieces: 4, crew: 'red', reckonS: 40 }, 40);
  await cluster.until('20 tasks run', () => cluster.runningTasks.length >= 20);
  const busy = [...new Set(cluster.runningTasks.map((task) => cluster.machineOf(task) ?? ''))];
  // Free capacity to start every task once more.
  for (let n = 0; n < 6; n += 1) cluster.addWorker('b');
  await cluster.clock.advance(13_000);
  const startedAt = cluster.clock.now();
  const leaders: number[] = [];
  for (let round = 0; round < 10; round += 1) {
    const old = await cluster.untilOwned();
    leaders.push(old);
    const isOutage = round % 4 === 3;
    if (isOutage) cluster.store.outage(true);
    if (isOutage) await cluster.clock.advance(1000);
    cluster.kill(old);
    // In each round the next leader can't reach one of the machines at first.
    const endIsolation = cluster.isolateWorker(busy[round % busy.length] ?? '');
    if (isOutage) await cluster.clock.advance(4000);
    if (isOutage) cluster.store.outage(false);
    if (round === 5) assert.equal(await cluster.cancel('req-3', (old + 1) % 3), 'withdrawn');
    await cluster.untilOwned();
    await cluster.clock.advance(1500);
    endIsolation();
    cluster.restart(old);
    await cluster.clock.advance(2500);
  }
  assert.ok(cluster.clock.now() - startedAt < 130_000, `${cluster.clock.now() - startedAt} ms`);
  assert.equal(leaders.filter((l, i) => i === 0 || l !== leaders[i - 1]).length, 10);
  await cluster.assertJobsFinish(250);
  assert.deepEqual(cluster.invariants.unfinishedJobs, []);
  cluster.assertInvariants();
});

/** Delays all messages to and from workers by this time from now on, and restarts the controllers to apply it. */
async function addWorkerLatency(cluster: SimulatedCluster, ms: number): Promise<void> {
  const attach = cluster.network.attach.bind(cluster.network);
  cluster.network.attach = (address, host) => {
    attach(address, async (request) => {
      const isWorkerTraffic = request.from.startsWith('host-') || address.startsWith('10.1.');
      if (isWorkerTraffic) await cluster.clock.sleep(ms);
      const response = await host(request);
      if (isWorkerTraffic) await cluster.clock.sleep(ms);
      return response;
    });
  };
  for (const index of [0, 1, 2]) cluster.kill(index);
  for (const index of [0, 1, 2]) cluster.restart(index);
  await cluster.untilOwned();
}

test('fault combination: more tasks than free capacity, slow links and leader changes: all jobs complete', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 6 });
  await addWorkerLatency(cluster, 700);
  const endSlowdown = cluster.store.rule(({ path }) => (path === '/txn' ? { slowMs: 400 } : undefined));
  cluster.capacity = 3;
  const runningController = (n: number): number =>
    [n, n + 1].map((i) => i % 3).find((i) => cluster.controllers[i]?.alive === true) ?? 0;
  const urgencies = ['normal', 'urgent', 'best_effort', 'prod'];
  for (let n = 0; n < 16; n += 1) {
    const checkpoints = n % 3 === 0 ? { bookmarkS: 5, stashS: 1 } : {};
    await cluster.submit(
      `req-${n}`,
      {
        pieces: 3,
        urgency: urgencies[n % 4],
        crew: n % 2 ? 'red' : 'blue',
        reckonS: 8,
        ...checkpoints,
        cpus: n % 5 === 0 ? 2 : 1,
        together: n % 7 === 0,
        apart: n % 7 === 1,
      },
      8,
      runningController(n),
    );
    await cluster.clock.advance(1500);
    if (n % 6 === 5)
      assert.equal(await cluster.cancel(`req-${n - 1}`, runningController(n + 1)), 'withdrawn');
    if (n === 7) await changeLeader(cluster);
  }
  endSlowdown();
  await changeLeader(cluster);
  await cluster.assertJobsFinish(300);
  assert.deepEqual(cluster.invariants.unfinishedJobs, []);
  assert.deepEqual(cluster.invariants.startsAfterCancellation, []);
  cluster.assertInvariants();
});
