/** @file In which order jobs are placed, and on which machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { orderQueue } from '../src/coordination/scheduling/job-queue';
import { placeTasks } from '../src/coordination/scheduling/placement';
import { job, limits, roomy, waiting } from './decision-inputs';

test('tasks are placed by priority, then by unmet guarantees, then by slack', () => {
  const teams = new Map([
    ['red', limits(2)],
    ['blue', limits(0)],
  ]);
  const late = waiting(job('late', 'blue', 'normal'), 50);
  const soon = waiting(job('soon', 'blue', 'normal'), 10);
  const guaranteed = waiting(job('guaranteed', 'red', 'normal'), 90);
  const high = waiting(job('high', 'blue', 'high'), 99);
  const queue = orderQueue([late, soon, guaranteed, high], teams);
  const result = placeTasks(
    {
      queue,
      machines: [roomy('m', 7)],
      quotas: teams,
      usage: new Map(),
      boostedCpusLeft: 0,
      hasBoostedTasks: false,
      cursor: 0,
    },
    () => false,
  );
  const count = (id: string): number => result.placements.filter((p) => p.job === id).length;
  assert.deepEqual([count('high'), count('guaranteed'), count('soon'), count('late')], [4, 2, 1, 0]);
  assert.equal(result.unplaced.get('guaranteed'), 2);
});

test('jobs that are late already come after those that can still be in time, the smallest first', () => {
  const jobs = [
    waiting(job('late big', 'blue', 'normal'), -90, 50),
    waiting(job('late small', 'blue', 'normal'), -10, 5),
    waiting(job('in time', 'blue', 'normal'), 70, 100),
  ];
  const queue = orderQueue(jobs, new Map([['blue', limits(0)]]));
  assert.deepEqual(
    queue.map((t) => t.waiting.job.id),
    ['in time', 'late small', 'late big'],
  );
});

test('a round that runs out of time continues where it stopped', () => {
  const teams = new Map([['blue', limits(0)]]);
  const queue = orderQueue(
    [waiting(job('one', 'blue', 'normal'), 1), waiting(job('two', 'blue', 'normal'), 2)],
    teams,
  );
  const machines = [roomy('m', 8)];
  const first = placeTasks(
    {
      queue,
      machines,
      quotas: teams,
      usage: new Map(),
      boostedCpusLeft: 0,
      hasBoostedTasks: false,
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
      cursor: 1,
    },
    () => true,
  );
  assert.equal(second.cursor, undefined);
  assert.ok(second.placements.every((p) => p.job === 'two'));
});

test('with a thousand machines, the machines looked at for a placed task stay few', () => {
  const teams = new Map([['blue', limits(0)]]);
  const jobs = Array.from({ length: 40 }, (_, n) =>
    waiting(job(`job-${n}`, 'blue', 'normal', { tasks: 100, image: `img-${n % 7}` }), n),
  );
  const machines = Array.from({ length: 1000 }, (_, n) => roomy(`m-${n}`, 4));
  const input = { queue: orderQueue(jobs, teams), machines, quotas: teams, usage: new Map<string, never>() };
  const result = placeTasks({ ...input, boostedCpusLeft: 0, hasBoostedTasks: false, cursor: 0 }, () => false);
  assert.equal(result.placements.length, 4000);
  assert.ok(result.machinesExamined / 4000 <= 10, `${result.machinesExamined / 4000} a task`);
  // A full fleet is found to be full once, not again for every job.
  const full = machines.map((m) => ({ ...m, free: { cpus: 0.5, gpus: 0, memoryGb: 16 } }));
  const none = placeTasks(
    { ...input, machines: full, boostedCpusLeft: 0, hasBoostedTasks: false, cursor: 0 },
    () => false,
  );
  assert.deepEqual([none.placements.length, none.machinesExamined, none.unplaced.size], [0, 1000, 40]);
});

test('jobs that waited too long get a share out of turn, and a machine is reserved for what fits nowhere yet', () => {
  const teams = new Map([['blue', limits(0)]]);
  const old = { ...waiting(job('old', 'blue', 'low', { cpus: 4, tasks: 2 }), -90, 99), isBoosted: true };
  const urgent = waiting(job('urgent', 'blue', 'high', { tasks: 6 }), 50);
  const queue = orderQueue([urgent, old], teams);
  const input = {
    queue,
    quotas: teams,
    usage: new Map<string, never>(),
    boostedCpusLeft: 4,
    hasBoostedTasks: false,
    cursor: 0,
  };
  const two = placeTasks({ ...input, machines: [roomy('m', 4), roomy('n', 4)] }, () => false);
  const of = (id: string): number => two.placements.filter((p) => p.job === id).length;
  assert.deepEqual([of('old'), of('urgent')], [1, 4]);
  const busy = { ...roomy('m', 3), busyForS: 20 };
  const soon = { ...roomy('n', 3), busyForS: 5 };
  const none = placeTasks({ ...input, machines: [busy, soon] }, () => false);
  assert.ok(
    none.placements.every((p) => p.machine === 'm' && p.job === 'urgent'),
    'n is kept clear',
  );
});

test('of the jobs that waited too long, one that has not begun goes before an older one that has', () => {
  const teams = new Map([['blue', { ...limits(0), cpus_max: 4 }]]);
  const boosted = { isBoosted: true, slackMs: -90 };
  const older = { ...waiting(job('older', 'blue', 'normal')), ...boosted, hasStarted: true, submittedAt: 1 };
  const newer = { ...waiting(job('newer', 'blue', 'normal', { tasks: 1 })), ...boosted, submittedAt: 2 };
  const input = { queue: orderQueue([older, newer], teams), quotas: teams, usage: new Map<string, never>() };
  const { placements } = placeTasks(
    { ...input, machines: [roomy('m', 4)], boostedCpusLeft: 2, hasBoostedTasks: false, cursor: 0 },
    () => false,
  );
  assert.equal(placements[0]?.job, 'newer');
});
