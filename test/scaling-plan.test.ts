/** @file Which machines are rented, evicted as unresponsive, consolidated and released. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseConsolidation } from '../src/coordination/scheduling/consolidation';
import { chooseUnresponsiveMachines } from '../src/coordination/scheduling/eager';
import {
  MAX_MACHINES_PER_PLAN,
  planScaling,
  type FleetMachine,
  type ScalingInput,
} from '../src/coordination/autoscaling/scaling-plan';
import { Bitmap } from '../src/bookkeeping/bitmap';
import { DispatchTable } from '../src/coordination/shard/dispatch-table';
import { job, machineWithFreeCpus, type } from './scheduling-inputs';

test('a single unreachable machine is evicted and released; a whole unreachable zone counts as a network partition', () => {
  const fleet = Array.from({ length: 10 }, (_, n) => ({
    id: `m${n}`,
    zone: n < 5 ? 'a' : 'b',
    lastHeartbeatAt: 100_000,
    isBusy: true,
    blocksShard: false,
  }));
  const choose = (isUnresponsive: (id: string) => boolean, seenAt = 90_000, blocksShard = false) =>
    chooseUnresponsiveMachines({
      machines: fleet.map((m) => (isUnresponsive(m.id) ? { ...m, lastHeartbeatAt: seenAt, blocksShard } : m)),
      now: 100_000,
      heartbeatTimeoutMs: 2_000,
      releaseAfterMs: 12_000,
      blockingMachineTimeoutMs: 5_000,
    });
  assert.deepEqual(
    choose((id) => id === 'm3'),
    { toEvictFrom: ['m3'], toRelease: [] },
  );
  assert.deepEqual(choose((id) => id === 'm3', 80_000).toRelease, ['m3']);
  // A machine that blocks a shard after a failover is released sooner.
  assert.deepEqual(choose((id) => id === 'm3', 94_000, true).toRelease, ['m3']);
  assert.deepEqual(choose((id) => id < 'm5', 80_000).toRelease, []);
});

test('machines are rented for the backlog only, the cheapest first, and kept for their minimum billing time', () => {
  const input: ScalingInput = {
    unplaced: [{ job: job('big', 'blue', 'normal', { tasks: 10 }), count: 10, isUrgent: false, slackMs: 0 }],
    machines: [
      { id: 'booting', type, zone: 'a', spot: true, isBooting: true, ageMs: 1000, idleMs: 0 },
      { id: 'young', type, zone: 'a', spot: true, isBooting: false, ageMs: 30_000, idleMs: 25_000 },
      { id: 'dear', type, zone: 'a', spot: false, isBooting: false, ageMs: 90_000, idleMs: 25_000 },
      { id: 'cheap', type, zone: 'a', spot: true, isBooting: false, ageMs: 90_000, idleMs: 25_000 },
    ],
    types: [type],
    isBackedOff: () => false,
    freeingCpus: 2,
    idleReleaseMs: 20_000,
    areAllMachinesConfirmed: true,
    warmCpus: 8,
    freeCpus: 12,
  };
  const plan = planScaling(input);
  assert.deepEqual(
    plan.scaleOut.map((r) => [r.spot, r.count]),
    [[true, 1]],
  );
  assert.deepEqual(plan.scaleIn, ['dear']);
  const noSpot = planScaling({ ...input, isBackedOff: (option) => option.spot });
  assert.deepEqual(
    noSpot.scaleOut.map((r) => [r.spot, r.count]),
    [[false, 1]],
  );
  const withSlack = input.unplaced.map((work) => ({ ...work, slackMs: 90_000 }));
  assert.deepEqual(
    planScaling({ ...input, unplaced: withSlack, isBackedOff: (option) => option.spot }).scaleOut,
    [],
  );
});

test('the tasks of a nearly empty machine move to fuller ones if they can checkpoint and the move saves cost', () => {
  const saver = job('saver', 'blue', 'normal', { checkpointS: 20, saveS: 1 });
  const task = (n: number, fields = {}) => ({
    key: `saver/${n}`,
    job: saver,
    remainingS: 60,
    canCheckpoint: true,
    ...fields,
  });
  const machine = (id: string, tasks: ReturnType<typeof task>[]) => ({
    ...machineWithFreeCpus(id, 4 - tasks.length),
    tasks,
  });
  const fuller = machine('fuller', [task(1), task(2), task(3)]);
  const consolidationOf = (sparse: ReturnType<typeof machine>, warmCpus = 0): unknown =>
    chooseConsolidation({ machines: [fuller, sparse], warmCpus });
  assert.deepEqual(consolidationOf(machine('sparse', [task(4)])), [
    { machine: 'sparse', tasks: ['saver/4'] },
  ]);
  assert.deepEqual(consolidationOf(machine('sparse', [task(4, { canCheckpoint: false })])), []);
  assert.deepEqual(
    consolidationOf(machine('sparse', [task(4, { remainingS: 5 })])),
    [],
    'the task ends soon anyway',
  );
  assert.deepEqual(consolidationOf(machine('sparse', [task(4), task(5)])), [], 'the two tasks do not fit');
  const cannotMove = task(5, { canCheckpoint: false, remainingS: 20 });
  assert.deepEqual(
    consolidationOf(machine('sparse', [task(4), cannotMove])),
    [{ machine: 'sparse', tasks: ['saver/4'] }],
    'the machine is needed for 20 s instead of 60 s',
  );
  assert.deepEqual(consolidationOf(machine('sparse', [task(4)]), 1), [], 'warm capacity is kept free');
});

// Guards against plans that fill the heap: arrays of 100,000 tasks that wait once ended every controller (review/4).
test('a plan holds no more machines than one step can rent, and the next plan goes on from there', () => {
  const waiting = Array.from({ length: 18 }, (_, index) =>
    job(`array-${index}`, 'blue', 'high', { tasks: 100_000, cpus: 1.5 }),
  );
  const input: ScalingInput = {
    unplaced: waiting.map((array) => ({ job: array, count: array.tasks, isUrgent: true, slackMs: 0 })),
    machines: [],
    types: [type],
    isBackedOff: () => false,
    freeingCpus: 0,
    idleReleaseMs: 20_000,
    areAllMachinesConfirmed: true,
    warmCpus: 0,
    freeCpus: 0,
  };
  const plannedMachines = (machines: readonly FleetMachine[]): number =>
    planScaling({ ...input, machines }).scaleOut.reduce((sum, { count }) => sum + count, 0);
  assert.equal(plannedMachines([]), MAX_MACHINES_PER_PLAN);
  assert.ok(MAX_MACHINES_PER_PLAN >= 4_000, 'a fleet of 4,000 machines takes no more than one plan');
  const booting = (count: number): FleetMachine[] =>
    Array.from({ length: count }, (_, n) => {
      const state = { isBooting: true, ageMs: 1_000, idleMs: 0 };
      return { id: `booting-${n}`, type, zone: 'a', spot: true, ...state };
    });
  // Two tasks fit a machine, so that 900,000 machines are needed in all.
  assert.equal(plannedMachines(booting(6_000)), MAX_MACHINES_PER_PLAN);
});

// Guards against memory for tasks that only wait: 1,000 arrays of 100,000 tasks took over 100 MB.
test('an array that waits takes no memory for its tasks', () => {
  const array = job('array', 'blue', 'high', { tasks: 100_000 });
  const before = process.memoryUsage().arrayBuffers;
  const tables = Array.from({ length: 200 }, () => new DispatchTable({ job: array, submittedAt: 0 }, 1));
  const bytesPerTable = (process.memoryUsage().arrayBuffers - before) / tables.length;
  assert.ok(bytesPerTable < 1_000, `${bytesPerTable} bytes of array buffers for each array`);
});

test('a task is unassigned, issued or done, and the numbers of each add up', () => {
  const table = new DispatchTable({ job: job('array', 'blue', 'high', { tasks: 20 }), submittedAt: 0 }, 1);
  table.issue(0, 'm1', 'first');
  table.issue(1, 'm1', 'second');
  assert.ok(table.complete(0));
  assert.ok(table.complete(2), 'an earlier owner started the task');
  assert.ok(!table.complete(0) && !table.complete(20), 'a repeated completion, and one of no task');
  const stored = new Bitmap(20);
  for (const task of [1, 2, 19]) stored.set(task);
  table.mergeRecorded('live/done/array/0', { job: 'array', first: 0, bits: stored.encode(0, 20) }, 1);
  assert.equal(table.done, 4);
  assert.equal(table.unassigned, 16);
  assert.equal(table.issued.size, 0);
  assert.equal(table.nextUnassigned(), 3);
  assert.ok(!table.markLost(1, 'second'), 'its task is done');
  table.issue(3, 'm1', 'third');
  assert.ok(table.markLost(3, 'third'));
  assert.deepEqual([table.nextUnassigned(), table.unassigned], [3, 16]);
  table.markRecorded([0]);
  assert.deepEqual([table.done, table.recorded.count, table.unrecorded.size], [4, 4, 0]);
});
