/** @file Jobs bound to zones: lost machines, renting and waiting. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planScaling, type ScalingInput } from '../src/coordination/autoscaling/scaling-plan';
import type { Job } from '../src/protocol/model';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { changeLeader, tasksOf, zoneOf } from './fault-steps';

for (const [what, fields] of [
  ['bound to one zone', { yard: 'a' }],
  ['in one zone as a whole', { together: true }],
  ['spread over zones', { apart: true }],
  ['bound to one zone, in another team, in one zone as a whole', { yard: 'b', together: true, crew: 'red' }],
] as const) {
  for (const all of [false, true]) {
    test(`a job ${what} loses ${all ? 'every' : 'one'} machine of a zone, and its leader dies: it completes where it may run`, async () => {
      const cluster = new SimulatedCluster();
      cluster.capacity = 12;
      await cluster.submit('req-1', { pieces: 12, reckonS: 60, ...fields }, 60);
      // Others fill what it leaves.
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

test('an array that must share a zone, or be spread over zones, gets machines where its tasks may go', () => {
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
    // Zone a has more machines, so the next one would go to zone b; and one is coming up there.
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
  // One that has not begun goes to one zone whole.
  assert.deepEqual(rented({ oneZone: true }, 16, []), ['b 3']);
  assert.deepEqual(rented({ spread: true }, 8, [['b', 8]]), ['a 2']);
  assert.deepEqual(rented({ spread: true }, 16, []), ['b 1', 'a 2']);
});

test('a job bound to a zone without machines does not wait for room that becomes free in another zone', async () => {
  const cluster = new SimulatedCluster();
  for (let n = 0; n < 4; n += 1) cluster.addWorker('b');
  await cluster.clock.advance(13_000);
  // Short work in zone b, for which there is room: some of it is always about to come free.
  let next = 10;
  const goOn = async (): Promise<void> => {
    next += 1;
    await cluster.submit(`req-${next}`, { pieces: 3, yard: 'b', reckonS: 8 }, 8);
    await cluster.clock.advance(2000);
  };
  for (let n = 0; n < 6; n += 1) await goOn();
  await cluster.submit('req-1', { pieces: 2, yard: 'a', reckonS: 8 }, 8);
  for (let n = 0; n < 15 && tasksOf(cluster, 'req-1').length === 0; n += 1) await goOn();
  assert.equal(tasksOf(cluster, 'req-1').length, 2);
  await cluster.assertJobsFinish(200);
  assert.deepEqual(cluster.invariants.unfinishedJobs, []);
  cluster.assertInvariants();
});

test('an array that must share a zone gets room for its lost tasks in its own zone, where most machines are', async () => {
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

test('all in one zone, and at most half in a zone', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 6, together: true }, 6);
  await cluster.submit('req-2', { pieces: 6, apart: true }, 6);
  let most = 0;
  const zoneOf = (task: string): string =>
    cluster.machineOf(task) === undefined ? '' : (zones.get(cluster.machineOf(task) ?? '') ?? '');
  const zones = new Map<string, string>();
  for (let step = 0; step < 300; step += 1) {
    await cluster.clock.advance(200);
    for (const worker of cluster.workers.values())
      zones.set(worker.id, worker.nextHeartbeat().yard as string);
    const together = new Set(cluster.runningTasks.filter((p) => p.startsWith('req-1/')).map(zoneOf));
    assert.ok(together.size <= 1, 'req-1 is in two zones');
    for (const zone of ['a', 'b']) {
      most = Math.max(
        most,
        cluster.runningTasks.filter((p) => p.startsWith('req-2/') && zoneOf(p) === zone).length,
      );
    }
  }
  assert.ok(most > 0 && most <= 3, `${most} of req-2 in one zone`);
  await cluster.untilJobState('req-1', 'done');
  await cluster.untilJobState('req-2', 'done');
});
