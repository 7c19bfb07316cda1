/** @file Jobs bound to zones: lost machines, renting and waiting. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planScaling, type ScalingInput } from '../src/coordination/autoscaling/scaling-plan';
import type { Job } from '../src/protocol/model';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { changeLeader, tasksOf, zoneOf } from './fault-steps';

for (const [what, fields] of [
  ['bound to one zone', { yard: 'a' }],
  ['with all tasks in one zone', { together: true }],
  ['spread over zones', { apart: true }],
  [
    'of another team, bound to one zone, with all tasks in one zone',
    { yard: 'b', together: true, crew: 'red' },
  ],
] as const) {
  for (const all of [false, true]) {
    test(`a job ${what} loses ${all ? 'every' : 'one'} machine of a zone and the leader dies: the job completes in an allowed zone`, async () => {
      const cluster = new SimulatedCluster();
      cluster.capacity = 12;
      await cluster.submit('req-1', { pieces: 12, reckonS: 60, ...fields }, 60);
      // Another job fills the remaining capacity.
      await cluster.submit('req-2', { pieces: 6, reckonS: 60 }, 60);
      await cluster.until('18 tasks run', () => cluster.runningTasks.length === 18);
      await cluster.clock.advance(2000);
      const used = [...new Set(tasksOf(cluster, 'req-1').map((task) => cluster.machineOf(task) ?? ''))];
      assert.ok(used.length > 1);
      const zone = zoneOf(cluster, used[0] ?? '');
      for (const id of all ? used.filter((id) => zoneOf(cluster, id) === zone) : used.slice(0, 1))
        cluster.worker(id).terminate();
      const owner = await changeLeader(cluster);
      await cluster.untilJobState('req-1', 'done', 200, owner);
      await cluster.assertJobsFinish(150);
      assert.deepEqual(cluster.invariants.unfinishedJobs, []);
      cluster.assertInvariants();
    });
  }
}

test('machines for a job with all tasks in one zone, or spread over zones, are rented where its tasks may run', () => {
  const type = {
    name: 'm4',
    cpus: 4,
    gpus: 0,
    memoryGb: 16,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.3,
    bootS: 10,
    zones: ['a', 'b'],
  };
  const array: Job = {
    id: 'req-1',
    jobClass: 'batch',
    team: 'blue',
    priority: 'normal',
    tasks: 16,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    image: 'img',
    imageGb: 1,
    estimateS: 10,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
  };
  const busy = { type, spot: true, isBooting: false, ageMs: 90_000, idleMs: 0 };
  const input: ScalingInput = {
    unplaced: [],
    // Zone a has more machines, so the next one would be rented in zone b, where one is booting.
    machines: [
      ...Array.from({ length: 6 }, (_, n) => ({ ...busy, id: `host-${n}`, zone: 'a' })),
      { ...busy, id: 'host-9', zone: 'b', isBooting: true },
    ],
    types: [type],
    isBackedOff: () => false,
    freeingCpus: 0,
    idleReleaseMs: 20_000,
    areAllMachinesConfirmed: true,
    warmCpus: 0,
    freeCpus: 0,
  };
  const rented = (fields: Partial<Job>, count: number, zones: [string, number][]): unknown[] =>
    planScaling({
      ...input,
      unplaced: [
        { job: { ...array, ...fields }, count, isUrgent: true, slackMs: 0, tasksPerZone: new Map(zones) },
      ],
    }).scaleOut.map((r) => `${r.zone} ${r.count}`);
  assert.deepEqual(rented({}, 8, [['a', 8]]), ['b 1']);
  assert.deepEqual(rented({ oneZone: true }, 8, [['a', 8]]), ['a 2']);
  // A job that has not started is placed in one zone as a whole.
  assert.deepEqual(rented({ oneZone: true }, 16, []), ['b 3']);
  assert.deepEqual(rented({ spread: true }, 8, [['b', 8]]), ['a 2']);
  assert.deepEqual(rented({ spread: true }, 16, []), ['b 1', 'a 2']);
});

test('a job bound to a zone without machines does not wait for resources that become free in another zone', async () => {
  const cluster = new SimulatedCluster();
  for (let n = 0; n < 4; n += 1) cluster.addWorker('b');
  await cluster.clock.advance(13_000);
  // Short jobs fit in zone b, so some of its resources are always about to become free.
  let next = 10;
  const submitShortJob = async (): Promise<void> => {
    next += 1;
    await cluster.submit(`req-${next}`, { pieces: 3, yard: 'b', reckonS: 8 }, 8);
    await cluster.clock.advance(2000);
  };
  for (let n = 0; n < 6; n += 1) await submitShortJob();
  await cluster.submit('req-1', { pieces: 2, yard: 'a', reckonS: 8 }, 8);
  for (let n = 0; n < 15 && tasksOf(cluster, 'req-1').length === 0; n += 1) await submitShortJob();
  assert.equal(tasksOf(cluster, 'req-1').length, 2);
  await cluster.assertJobsFinish(200);
  assert.deepEqual(cluster.invariants.unfinishedJobs, []);
  cluster.assertInvariants();
});

test('lost tasks of a job with all tasks in one zone get a machine in that zone, although it has the most machines', async () => {
  const cluster = new SimulatedCluster();
  cluster.capacity = 30;
  await cluster.submit('req-2', { pieces: 24, yard: 'a', reckonS: 400 }, 400);
  await cluster.until('24 tasks run', () => cluster.runningTasks.length === 24);
  for (let n = 0; n < 4; n += 1) cluster.addWorker('a');
  await cluster.clock.advance(10_000);
  await cluster.submit('req-1', { pieces: 12, together: true, reckonS: 400 }, 400);
  await cluster.until('36 tasks run', () => cluster.runningTasks.length === 36);
  for (const worker of cluster.workers.values()) if (worker.attempts.size === 0) worker.terminate();
  const before = cluster.workers.size;
  cluster.worker(cluster.machineOf('req-1/0') ?? '').terminate();
  await cluster.until('all run again', () => cluster.runningTasks.length === 36, 20);
  const rented = [...cluster.workers.values()].slice(before).map((worker) => zoneOf(cluster, worker.id));
  assert.deepEqual(rented, ['a']);
  cluster.assertInvariants();
});

test('a job with all tasks in one zone runs in one zone, and a spread job has at most half of its tasks in a zone', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 6, together: true }, 6);
  await cluster.submit('req-2', { pieces: 6, apart: true }, 6);
  let most = 0;
  const zoneOfTask = (task: string): string =>
    cluster.machineOf(task) === undefined ? '' : (zoneOfMachine.get(cluster.machineOf(task) ?? '') ?? '');
  const zoneOfMachine = new Map<string, string>();
  for (let step = 0; step < 300; step += 1) {
    await cluster.clock.advance(200);
    for (const worker of cluster.workers.values())
      zoneOfMachine.set(worker.id, worker.nextHeartbeat().yard as string);
    const together = new Set(cluster.runningTasks.filter((p) => p.startsWith('req-1/')).map(zoneOfTask));
    assert.ok(together.size <= 1, 'req-1 is in two zones');
    for (const zone of ['a', 'b']) {
      most = Math.max(
        most,
        cluster.runningTasks.filter((p) => p.startsWith('req-2/') && zoneOfTask(p) === zone).length,
      );
    }
  }
  assert.ok(most > 0 && most <= 3, `${most} of req-2 in one zone`);
  await cluster.untilJobState('req-1', 'done');
  await cluster.untilJobState('req-2', 'done');
});
