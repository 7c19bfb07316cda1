import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseConsolidation } from '../src/coordination/consolidation';
import { eagerCandidates } from '../src/coordination/eager';
import { Machine } from '../src/coordination/machine';
import { planFleet, type FleetInput } from '../src/coordination/fleet';
import { order, place, type WaitingJob } from '../src/coordination/placement';
import { choosePreemptions, stopCost } from '../src/coordination/preemption';
import type { Job, MachineType, Priority, Report } from '../src/protocol/model';

const type: MachineType = {
  ...{ name: 'm4', cpus: 4, gpus: 0, memoryGb: 16, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 1, spotPrice: 0.3, bootS: 10, zones: ['a', 'b'] },
};

function job(id: string, team: string, priority: Priority, fields: Partial<Job> = {}): Job {
  return {
    ...{
      id,
      jobClass: 'batch',
      team,
      priority,
      tasks: 4,
      cpus: 1,
      gpus: 0,
      memoryGb: 1,
      types: null,
      zone: null,
    },
    ...{ oneZone: false, spread: false, spot: true, image: 'img', imageGb: 1, estimateS: 10, checkpointS: 0 },
    ...{ saveS: 0, deadlineS: null },
    ...fields,
  };
}

function waiting(j: Job, slackMs = 0, work = 1): WaitingJob {
  return {
    ...{ job: j, waiting: j.tasks, zones: new Map(), slackMs, work, avoid: new Set(), runS: 10 },
    ...{ aged: false, begun: false, submittedAt: 0 },
  };
}

const limits = (cpus: number): { cpus: number; cpus_max: number; gpus: number; gpus_max: number } => ({
  ...{ cpus, cpus_max: 0, gpus: 0, gpus_max: 0 },
});
const roomy = (id: string, cpus: number) => ({
  ...{
    id,
    type,
    zone: 'a',
    spot: true,
    free: { cpus, gpus: 0, memoryGb: 16 },
    images: new Map(),
    busyForS: 0,
  },
});

test('room goes by priority, then by what guarantees owe, then by slack', () => {
  const teams = new Map([
    ['red', limits(2)],
    ['blue', limits(0)],
  ]);
  const late = waiting(job('late', 'blue', 'normal'), 50);
  const soon = waiting(job('soon', 'blue', 'normal'), 10);
  const owed = waiting(job('owed', 'red', 'normal'), 90);
  const high = waiting(job('high', 'blue', 'high'), 99);
  const turns = order([late, soon, owed, high], teams);
  const result = place(
    { turns, machines: [roomy('m', 7)], teams, use: new Map(), agedCpus: 0, agedRuns: false, from: 0 },
    () => false,
  );
  const count = (id: string): number => result.placements.filter((p) => p.job === id).length;
  assert.deepEqual([count('high'), count('owed'), count('soon'), count('late')], [4, 2, 1, 0]);
  assert.equal(result.unplaced.get('owed'), 2);
});

test('what is late already comes after what can still be in time, the smallest first', () => {
  const jobs = [
    waiting(job('late big', 'blue', 'normal'), -90, 50),
    waiting(job('late small', 'blue', 'normal'), -10, 5),
    waiting(job('in time', 'blue', 'normal'), 70, 100),
  ];
  const turns = order(jobs, new Map([['blue', limits(0)]]));
  assert.deepEqual(
    turns.map((t) => t.waiting.job.id),
    ['in time', 'late small', 'late big'],
  );
});

test('a round that runs out of time goes on where it stopped', () => {
  const teams = new Map([['blue', limits(0)]]);
  const turns = order(
    [waiting(job('one', 'blue', 'normal'), 1), waiting(job('two', 'blue', 'normal'), 2)],
    teams,
  );
  const machines = [roomy('m', 8)];
  const first = place(
    { turns, machines, teams, use: new Map(), agedCpus: 0, agedRuns: false, from: 0 },
    () => true,
  );
  assert.equal(first.cursor, 1);
  assert.ok(first.placements.every((p) => p.job === 'one'));
  const second = place(
    { turns, machines, teams, use: new Map(), agedCpus: 0, agedRuns: false, from: 1 },
    () => true,
  );
  assert.equal(second.cursor, undefined);
  assert.ok(second.placements.every((p) => p.job === 'two'));
});

test('a guarantee never stops work of a higher priority, so that two jobs do not stop each other for ever', () => {
  const teams = new Map([
    ['red', limits(4)],
    ['blue', limits(0)],
  ]);
  const running = job('running', 'blue', 'high');
  const machine = {
    ...roomy('m', 0),
    tasks: [0, 1, 2, 3].map((n) => ({ key: `running/${n}`, job: running, lossS: 1, stopping: false })),
  };
  const use = new Map([['blue', { cpus: 4, gpus: 0 }]]);
  const ask = (priority: Priority): string[] =>
    choosePreemptions({
      unplaced: [{ waiting: waiting(job('owed', 'red', priority)), count: 1 }],
      ...{ machines: [machine], teams, use },
    }).victims.map(({ key }) => key);
  assert.deepEqual(ask('normal'), []);
  assert.equal(ask('high').length, 1);
});

test('a task that saved a moment ago is stopped at once, any other that can save is given time to', () => {
  const saver = job('saver', 'blue', 'normal', { checkpointS: 20, saveS: 6 });
  assert.deepEqual(stopCost(saver, 43), { graceS: 0, lossS: 3 });
  assert.deepEqual(stopCost(saver, 55), { graceS: 6, lossS: 6 });
  assert.deepEqual(stopCost(job('never', 'blue', 'normal'), 30), { graceS: 0, lossS: 30 });
});

test('one silent machine is given up; a whole silent zone is taken for a cut', () => {
  const fleet = Array.from({ length: 10 }, (_, n) => ({
    ...{ id: `m${n}`, zone: n < 5 ? 'a' : 'b', heardAt: 100_000, busy: true, holdsUp: false },
  }));
  const ask = (silent: (id: string) => boolean, heardAt = 90_000, holdsUp = false) =>
    eagerCandidates({
      machines: fleet.map((m) => (silent(m.id) ? { ...m, heardAt, holdsUp } : m)),
      ...{ now: 100_000, missedMs: 2_000, releaseMs: 12_000, heldUpMs: 5_000 },
    });
  assert.deepEqual(
    ask((id) => id === 'm3'),
    { candidates: ['m3'], release: [] },
  );
  assert.deepEqual(ask((id) => id === 'm3', 80_000).release, ['m3']);
  // One that holds up a block that was taken over is given up sooner.
  assert.deepEqual(ask((id) => id === 'm3', 94_000, true).release, ['m3']);
  assert.deepEqual(ask((id) => id < 'm5', 80_000).release, []);
});

test('machines are rented for the backlog only, the cheapest first, and kept for what they have cost', () => {
  const input: FleetInput = {
    unplaced: [{ job: job('big', 'blue', 'normal', { tasks: 10 }), count: 10, urgent: false, slackMs: 0 }],
    machines: [
      { id: 'booting', type, zone: 'a', spot: true, booting: true, ageMs: 1000, idleMs: 0 },
      { id: 'young', type, zone: 'a', spot: true, booting: false, ageMs: 30_000, idleMs: 25_000 },
      { id: 'dear', type, zone: 'a', spot: false, booting: false, ageMs: 90_000, idleMs: 25_000 },
      { id: 'cheap', type, zone: 'a', spot: true, booting: false, ageMs: 90_000, idleMs: 25_000 },
    ],
    types: [type],
    refused: () => false,
    ...{ freeingCpus: 2, idleReleaseMs: 20_000, allMayStart: true, warmCpus: 8, freeCpus: 12 },
  };
  const plan = planFleet(input);
  assert.deepEqual(
    plan.rent.map((r) => [r.spot, r.count]),
    [[true, 1]],
  );
  assert.deepEqual(plan.release, ['dear']);
  const noSpot = planFleet({ ...input, refused: (option) => option.spot });
  assert.deepEqual(
    noSpot.rent.map((r) => [r.spot, r.count]),
    [[false, 1]],
  );
  const patient = input.unplaced.map((work) => ({ ...work, slackMs: 90_000 }));
  assert.deepEqual(planFleet({ ...input, unplaced: patient, refused: (option) => option.spot }).rent, []);
});

function reportOf(session: number, sequence: number): Report {
  const where = { machine: 'host-1', address: '10.1.0.1:9000', type: 'm4', zone: 'a', spot: true };
  return { ...where, session, sequence, token: 1, noticeS: null, attempts: [] };
}

function machineTakenAt(now: number): Machine {
  const record = {
    block: 0,
    address: '10.1.0.1:9000',
    type: 'm4',
    zone: 'a',
    spot: true,
    up: true,
    rentedAt: 0,
  };
  return new Machine('host-1', record, type, now, now);
}

const unknownJob = (): never => {
  throw new Error('there is nothing on it');
};

test('a worker that answers commands but whose reports got no answer for a lease is given no starts', () => {
  const machine = machineTakenAt(0);
  machine.absorb(reportOf(1, 1), 1000, 10_000, unknownJob);
  machine.settled = true;
  assert.equal(machine.mayStart(1500, 10_000, 2_000), true);
  // It answers commands all the time, but the lease that its reports renew has run out.
  machine.absorb(reportOf(1, 2), 11_900, 10_000, unknownJob);
  assert.equal(machine.mayStart(12_000, 10_000, 2_000), false);
  machine.renewedAt = 12_000;
  assert.equal(machine.mayStart(12_100, 10_000, 2_000), true);
});

test('a session that began without any answer has its full lease from then', () => {
  const machine = machineTakenAt(0);
  machine.absorb(reportOf(1, 1), 100, 10_000, unknownJob);
  // Its lease ran out and the next session began, of which an answer to a command tells.
  machine.absorb(reportOf(2, 1), 9_000, 10_000, unknownJob);
  assert.ok(machine.deadAt(10_000) > 19_000);
});

test('a copy of a report is no sign of life, and one whose session moved on though we answered hears nothing', () => {
  const machine = machineTakenAt(0);
  machine.settled = true;
  machine.absorb(reportOf(1, 5), 1_000, 10_000, unknownJob);
  machine.absorb(reportOf(1, 4), 2_500, 10_000, unknownJob);
  assert.equal(machine.heardAt, 1_000);
  machine.renewedAt = 9_000;
  machine.absorb(reportOf(2, 1), 11_000, 10_000, unknownJob);
  assert.equal(machine.deafSince, 11_000);
  assert.equal(machine.mayStart(11_100, 10_000, 2_000), false);
});

test('a machine holds no more images than its cache takes, the least recently used first to go', () => {
  const machine = machineTakenAt(0);
  for (const image of ['a', 'b', 'c', 'a', 'd']) machine.useImage(image, 20);
  assert.deepEqual([...machine.images.keys()], ['a', 'd']);
});

test('with a thousand machines, the machines looked at for a placed task stay few', () => {
  const teams = new Map([['blue', limits(0)]]);
  const jobs = Array.from({ length: 40 }, (_, n) =>
    waiting(job(`job-${n}`, 'blue', 'normal', { tasks: 100, image: `img-${n % 7}` }), n),
  );
  const machines = Array.from({ length: 1000 }, (_, n) => roomy(`m-${n}`, 4));
  const input = { turns: order(jobs, teams), machines, teams, use: new Map<string, never>() };
  const result = place({ ...input, agedCpus: 0, agedRuns: false, from: 0 }, () => false);
  assert.equal(result.placements.length, 4000);
  assert.ok(result.looks / 4000 <= 10, `${result.looks / 4000} a task`);
  // A full fleet is found to be full once, not again for every job.
  const full = machines.map((m) => ({ ...m, free: { cpus: 0.5, gpus: 0, memoryGb: 16 } }));
  const none = place({ ...input, machines: full, agedCpus: 0, agedRuns: false, from: 0 }, () => false);
  assert.deepEqual([none.placements.length, none.looks, none.unplaced.size], [0, 1000, 40]);
});

test('what to stop on a thousand machines is found in a few passes, not one for every task', () => {
  const teams = new Map([['blue', limits(0)]]);
  const lesser = job('lesser', 'blue', 'low');
  const machines = Array.from({ length: 1000 }, (_, n) => ({
    ...roomy(`m-${n}`, 0),
    tasks: [0, 1, 2, 3].map((k) => ({ key: `lesser/${n}-${k}`, job: lesser, lossS: n, stopping: false })),
  }));
  const unplaced = [{ waiting: waiting(job('urgent', 'blue', 'high', { tasks: 400 })), count: 400 }];
  const { victims, looks } = choosePreemptions({ unplaced, machines, teams, use: new Map() });
  assert.equal(victims.length, 400);
  assert.ok(
    victims.every((v) => Number(v.machine.slice(2)) < 100),
    'the least loss first',
  );
  assert.ok(looks < 3000, `${looks} looks`);
});

test('work that waited too long gets its share out of turn, and a machine is kept clear for what fits nowhere yet', () => {
  const teams = new Map([['blue', limits(0)]]);
  const old = { ...waiting(job('old', 'blue', 'low', { cpus: 4, tasks: 2 }), -90, 99), aged: true };
  const urgent = waiting(job('urgent', 'blue', 'high', { tasks: 6 }), 50);
  const turns = order([urgent, old], teams);
  const input = { turns, teams, use: new Map<string, never>(), agedCpus: 4, agedRuns: false, from: 0 };
  const two = place({ ...input, machines: [roomy('m', 4), roomy('n', 4)] }, () => false);
  const of = (id: string): number => two.placements.filter((p) => p.job === id).length;
  assert.deepEqual([of('old'), of('urgent')], [1, 4]);
  const busy = { ...roomy('m', 3), busyForS: 20 };
  const soon = { ...roomy('n', 3), busyForS: 5 };
  const none = place({ ...input, machines: [busy, soon] }, () => false);
  assert.ok(
    none.placements.every((p) => p.machine === 'm' && p.job === 'urgent'),
    'n is kept clear',
  );
});

test('a nearly empty machine is emptied into fuller ones, if its tasks can save and it pays', () => {
  const saver = job('saver', 'blue', 'normal', { checkpointS: 20, saveS: 1 });
  const task = (n: number, fields = {}) => ({
    ...{ key: `saver/${n}`, job: saver, remainingS: 60, canSave: true },
    ...fields,
  });
  const machine = (id: string, tasks: ReturnType<typeof task>[]) => ({
    ...roomy(id, 4 - tasks.length),
    tasks,
  });
  const fuller = machine('fuller', [task(1), task(2), task(3)]);
  const emptied = (sparse: ReturnType<typeof machine>, warmCpus = 0): unknown =>
    chooseConsolidation({ machines: [fuller, sparse], warmCpus });
  assert.deepEqual(emptied(machine('sparse', [task(4)])), [{ machine: 'sparse', tasks: ['saver/4'] }]);
  assert.deepEqual(emptied(machine('sparse', [task(4, { canSave: false })])), []);
  assert.deepEqual(emptied(machine('sparse', [task(4, { remainingS: 5 })])), [], 'it ends by itself soon');
  assert.deepEqual(emptied(machine('sparse', [task(4), task(5)])), [], 'both do not fit');
  const stays = task(5, { canSave: false, remainingS: 20 });
  assert.deepEqual(
    emptied(machine('sparse', [task(4), stays])),
    [{ machine: 'sparse', tasks: ['saver/4'] }],
    'it is needed for 20 s instead of 60',
  );
  assert.deepEqual(emptied(machine('sparse', [task(4)]), 1), [], 'some room is kept');
});

test('of what waited too long, a job that has not begun goes before an older one that has', () => {
  const teams = new Map([['blue', { ...limits(0), cpus_max: 4 }]]);
  const aged = { aged: true, slackMs: -90 };
  const older = { ...waiting(job('older', 'blue', 'normal')), ...aged, begun: true, submittedAt: 1 };
  const newer = { ...waiting(job('newer', 'blue', 'normal', { tasks: 1 })), ...aged, submittedAt: 2 };
  const input = { turns: order([older, newer], teams), teams, use: new Map<string, never>() };
  const { placements } = place(
    { ...input, machines: [roomy('m', 4)], agedCpus: 2, agedRuns: false, from: 0 },
    () => false,
  );
  assert.equal(placements[0]?.job, 'newer');
});
