/** @file Placement: the order of jobs and the choice of machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { orderQueue } from '../src/coordination/scheduling/job-queue';
import { placeTasks } from '../src/coordination/scheduling/placement';
import { MAX_TASKS_PER_MACHINE } from '../src/protocol/workers';
import { job, teamLimits, machineWithFreeCpus, waitingJob } from './scheduling-inputs';

test('tasks are placed by priority, then by unmet guarantees, then by slack', () => {
  const teams = new Map([
    ['red', teamLimits(2)],
    ['blue', teamLimits(0)],
  ]);
  const late = waitingJob(job('late', 'blue', 'normal'), 50);
  const soon = waitingJob(job('soon', 'blue', 'normal'), 10);
  const guaranteed = waitingJob(job('guaranteed', 'red', 'normal'), 90);
  const high = waitingJob(job('high', 'blue', 'high'), 99);
  const queue = orderQueue([late, soon, guaranteed, high], teams);
  const result = placeTasks(
    {
      queue,
      machines: [machineWithFreeCpus('m', 7)],
      quotas: teams,
      usage: new Map(),
      boostedCpusLeft: 0,
      hasBoostedTasks: false,
      maxPlacements: Infinity,
      cursor: 0,
    },
    () => false,
  );
  const count = (id: string): number => result.placements.filter((p) => p.job === id).length;
  assert.deepEqual([count('high'), count('guaranteed'), count('soon'), count('late')], [4, 2, 1, 0]);
  assert.equal(result.unplaced.get('guaranteed'), 2);
});

test('jobs that can no longer be in time are placed after those that can, the smallest first', () => {
  const jobs = [
    waitingJob(job('late big', 'blue', 'normal'), -90, 50),
    waitingJob(job('late small', 'blue', 'normal'), -10, 5),
    waitingJob(job('in time', 'blue', 'normal'), 70, 100),
  ];
  const queue = orderQueue(jobs, new Map([['blue', teamLimits(0)]]));
  assert.deepEqual(
    queue.map((t) => t.waiting.job.id),
    ['in time', 'late small', 'late big'],
  );
});

test('a placement round that exceeds its time budget continues where it stopped', () => {
  const teams = new Map([['blue', teamLimits(0)]]);
  const queue = orderQueue(
    [waitingJob(job('one', 'blue', 'normal'), 1), waitingJob(job('two', 'blue', 'normal'), 2)],
    teams,
  );
  const machines = [machineWithFreeCpus('m', 8)];
  const first = placeTasks(
    {
      queue,
      machines,
      quotas: teams,
      usage: new Map(),
      boostedCpusLeft: 0,
      hasBoostedTasks: false,
      maxPlacements: Infinity,
      cursor: 0,
    },
    () => true,
  );
  assert.equal(first.cursor, 1);
  assert.ok(first.placements.every((p) => p.job === 'one'));
  const second = placeTasks(
    {
      queue,
      machines,
      quotas: teams,
      usage: new Map(),
      boostedCpusLeft: 0,
      hasBoostedTasks: false,
      maxPlacements: Infinity,
      cursor: 1,
    },
    () => true,
  );
  assert.equal(second.cursor, undefined);
  assert.ok(second.placements.every((p) => p.job === 'two'));
});

test('with 1,000 machines, at most 10 machines are examined per placed task on average', () => {
  const teams = new Map([['blue', teamLimits(0)]]);
  const jobs = Array.from({ length: 40 }, (_, n) =>
    waitingJob(job(`job-${n}`, 'blue', 'normal', { tasks: 100, image: `img-${n % 7}` }), n),
  );
  const machines = Array.from({ length: 1000 }, (_, n) => machineWithFreeCpus(`m-${n}`, 4));
  const input = { queue: orderQueue(jobs, teams), machines, quotas: teams, usage: new Map<string, never>() };
  const result = placeTasks(
    { ...input, boostedCpusLeft: 0, hasBoostedTasks: false, maxPlacements: Infinity, cursor: 0 },
    () => false,
  );
  assert.equal(result.placements.length, 4000);
  assert.ok(result.machinesExamined / 4000 <= 10, `${result.machinesExamined / 4000} a task`);
  // A full fleet is examined once, not again for every job.
  const full = machines.map((m) => ({ ...m, free: { cpus: 0.5, gpus: 0, memoryGb: 16 } }));
  const none = placeTasks(
    {
      ...input,
      machines: full,
      boostedCpusLeft: 0,
      hasBoostedTasks: false,
      maxPlacements: Infinity,
      cursor: 0,
    },
    () => false,
  );
  assert.deepEqual([none.placements.length, none.machinesExamined, none.unplaced.size], [0, 1000, 40]);
});

test('jobs that waited too long are placed with a priority boost, and a machine is reserved for a task that fits nowhere yet', () => {
  const teams = new Map([['blue', teamLimits(0)]]);
  const old = { ...waitingJob(job('old', 'blue', 'low', { cpus: 4, tasks: 2 }), -90, 99), isBoosted: true };
  const urgent = waitingJob(job('urgent', 'blue', 'high', { tasks: 6 }), 50);
  const queue = orderQueue([urgent, old], teams);
  const input = {
    queue,
    quotas: teams,
    usage: new Map<string, never>(),
    boostedCpusLeft: 4,
    hasBoostedTasks: false,
    maxPlacements: Infinity,
    cursor: 0,
  };
  const two = placeTasks(
    { ...input, machines: [machineWithFreeCpus('m', 4), machineWithFreeCpus('n', 4)] },
    () => false,
  );
  const placedCount = (id: string): number => two.placements.filter((p) => p.job === id).length;
  assert.deepEqual([placedCount('old'), placedCount('urgent')], [1, 4]);
  const busy = { ...machineWithFreeCpus('m', 3), busyForS: 20 };
  const soon = { ...machineWithFreeCpus('n', 3), busyForS: 5 };
  const none = placeTasks({ ...input, machines: [busy, soon] }, () => false);
  assert.ok(
    none.placements.every((p) => p.machine === 'm' && p.job === 'urgent'),
    'n is reserved',
  );
});

test('of the jobs that waited too long, one that has not started is placed before an older one that has', () => {
  const teams = new Map([['blue', { ...teamLimits(0), cpus_max: 4 }]]);
  const boosted = { isBoosted: true, slackMs: -90 };
  const older = {
    ...waitingJob(job('older', 'blue', 'normal')),
    ...boosted,
    hasStarted: true,
    submittedAt: 1,
  };
  const newer = { ...waitingJob(job('newer', 'blue', 'normal', { tasks: 1 })), ...boosted, submittedAt: 2 };
  const input = { queue: orderQueue([older, newer], teams), quotas: teams, usage: new Map<string, never>() };
  const { placements } = placeTasks(
    {
      ...input,
      machines: [machineWithFreeCpus('m', 4)],
      boostedCpusLeft: 2,
      hasBoostedTasks: false,
      maxPlacements: Infinity,
      cursor: 0,
    },
    () => false,
  );
  assert.equal(placements[0]?.job, 'newer');
});

// Guards against reports longer than 64 KiB, which every controller refuses (review/2), and against as many attempts.
test('a machine gets no more tasks than its report has room for, however small they are', () => {
  const teams = new Map([['blue', teamLimits(0)]]);
  const small = waitingJob(job('small', 'blue', 'normal', { tasks: 100_000, cpus: 1e-9, memoryGb: 0 }));
  const input = {
    queue: orderQueue([small], teams),
    machines: [machineWithFreeCpus('m1', 4), { ...machineWithFreeCpus('m2', 4), freeTasks: 3 }],
    quotas: teams,
    usage: new Map(),
    boostedCpusLeft: 0,
    hasBoostedTasks: false,
    cursor: 0,
  };
  const place = (maxPlacements: number): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const { machine } of placeTasks({ ...input, maxPlacements }, () => false).placements) {
      counts.set(machine, (counts.get(machine) ?? 0) + 1);
    }
    return counts;
  };
  assert.deepEqual(
    place(Infinity),
    new Map([
      ['m1', MAX_TASKS_PER_MACHINE],
      ['m2', 3],
    ]),
  );
  assert.equal(
    [...place(10).values()].reduce((sum, count) => sum + count),
    10,
  );
  const result = placeTasks({ ...input, maxPlacements: 0 }, () => false);
  assert.deepEqual([...result.unplaced], [], 'no machine is rented for tasks that wait for memory');
});

test('a report of as many tasks as a machine may have, with the longest fields, fits 64 KiB', () => {
  const piece = {
    piece: `req-${'9'.repeat(32)}/99999`,
    try: '18446744073709551615',
    standing: 'ended',
    cause: 'unknown',
    stored: false,
  };
  const name = 'x'.repeat(200);
  const counts = { shift: piece.try, tally: piece.try, baton: piece.try, warningS: 1 / 3 };
  const machine = {
    hearth: name,
    endpoint: '100.100.100.100:65535',
    frame: name,
    yard: name,
    loaners: false,
  };
  const pieces = Array.from({ length: MAX_TASKS_PER_MACHINE }, () => piece);
  const bytes = JSON.stringify({ ...machine, ...counts, pieces }).length;
  assert.ok(bytes <= 64 * 1024, `${bytes} bytes`);
});
