import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StarvationDetector } from './fakes/starvation-detector';
import { submission } from './fakes/submission';
import { InvariantsHarness } from './fakes/invariants-harness';

const CANCEL_MS = 30_000;

/** Three jobs, each of which needs the one before. */
function pipeline(): InvariantsHarness {
  const watched = new InvariantsHarness();
  watched.submit({}, 'req-1');
  watched.submit({ awaits: ['req-1'] }, 'req-2');
  watched.submit({ awaits: ['req-2'] }, 'req-3');
  return watched;
}

function asks(watched: InvariantsHarness, id: string): (status: number, state?: string) => void {
  return watched.request('GET', `/work/${id}`);
}

function cancels(watched: InvariantsHarness, id: string, state = 'withdrawn'): void {
  watched.request('POST', `/work/${id}/withdraw`)(200, state);
}

function runs(watched: InvariantsHarness, task: string, machine = 'm1'): void {
  watched.invariants.onTaskStarted(task, machine);
  watched.invariants.onTaskLeft(task, machine);
  watched.invariants.onTaskCompleted(task);
}

test('the invariants detect a start before all tasks of all dependencies completed', () => {
  const early = pipeline();
  early.invariants.onTaskStarted('req-1/0', 'm1');
  early.invariants.onTaskStarted('req-2/0', 'm1');
  early.assertViolations('too_early');

  const right = pipeline();
  for (const id of ['req-1', 'req-2', 'req-3']) runs(right, `${id}/0`);
  right.assertViolations();

  const halfDone = new InvariantsHarness();
  halfDone.submit({ pieces: 2 }, 'req-1');
  halfDone.submit({}, 'req-2');
  halfDone.submit({ awaits: ['req-2', 'req-1', 'req-2'] }, 'req-3');
  runs(halfDone, 'req-1/0');
  runs(halfDone, 'req-2/0');
  halfDone.invariants.onTaskStarted('req-3/0', 'm1');
  halfDone.assertViolations('too_early');
});

test('the invariants detect a job that is called running while it waits', () => {
  const watched = pipeline();
  asks(watched, 'req-2')(200, 'pending');
  watched.assertViolations();
  asks(watched, 'req-2')(200, 'running');
  watched.assertViolations('too_early');
});

test('the invariants detect a start after a dependency was cancelled, even if all its tasks completed', () => {
  const after = pipeline();
  runs(after, 'req-1/0');
  cancels(after, 'req-1');
  after.invariants.onTaskStarted('req-2/0', 'm1');
  after.assertViolations('too_early');

  const before = pipeline();
  runs(before, 'req-1/0');
  before.invariants.onTaskStarted('req-2/0', 'm1');
  before.assertViolations();
  cancels(before, 'req-1');
  before.assertViolations('too_early');
});

test('the invariants detect a task of a dependent that stays or starts after the bound on cancellations', async () => {
  const watched = pipeline();
  runs(watched, 'req-1/0');
  watched.invariants.onTaskStarted('req-2/0', 'm1');
  cancels(watched, 'req-1');
  await watched.clock.advance(CANCEL_MS + 1);
  watched.assertViolations('too_early', 'ran_cancelled');
  watched.invariants.onTaskStarted('req-3/0', 'm1');
  watched.assertViolations('too_early', 'ran_cancelled', 'ran_cancelled', 'too_early');
});

test('the invariants detect a job that is called pending too long after a job before it was cancelled', async () => {
  for (const [waitMs, kinds] of [
    [CANCEL_MS, []],
    [CANCEL_MS + 1, ['orphaned', 'orphaned']],
  ] as const) {
    const watched = pipeline();
    const sentBefore = asks(watched, 'req-3');
    cancels(watched, 'req-1');
    await watched.clock.advance(waitMs);
    asks(watched, 'req-2')(200, 'pending');
    watched.request('POST', '/work', submission('req-3', { awaits: ['req-2'] }))(200, 'pending');
    sentBefore(200, 'pending');
    watched.assertViolations(...kinds);
    asks(watched, 'req-3')(200, 'withdrawn');
    watched.assertViolations(...kinds);
  }
});

test('the invariants detect a job called cancelled that neither its user nor that of a job before it cancelled', () => {
  const followed = pipeline();
  followed.request('POST', '/work/req-1/withdraw')(503);
  asks(followed, 'req-3')(200, 'withdrawn');
  followed.assertViolations();

  const upwards = pipeline();
  cancels(upwards, 'req-2');
  asks(upwards, 'req-1')(200, 'withdrawn');
  upwards.assertViolations('went_back');

  const wasDone = pipeline();
  runs(wasDone, 'req-1/0');
  cancels(wasDone, 'req-1', 'done');
  asks(wasDone, 'req-2')(200, 'withdrawn');
  wasDone.assertViolations('went_back');

  const toldLater = pipeline();
  toldLater.request('POST', '/work/req-1/withdraw')(503);
  asks(toldLater, 'req-2')(200, 'withdrawn');
  toldLater.assertViolations();
  runs(toldLater, 'req-1/0');
  asks(toldLater, 'req-1')(200, 'done');
  toldLater.assertViolations('went_back');
});

test('the invariants detect a submission accepted whose dependencies are no list of jobs that were submitted', () => {
  for (const [awaits, isGood] of [
    [undefined, true],
    [null, true],
    [[], true],
    [['req-1'], true],
    [['req-1', 'req-1'], true],
    ['req-1', false],
    [{ 0: 'req-1' }, false],
    [['req-1', 7], false],
    [['job-1'], false],
    [['req-2'], false],
    [['req-1', 'req-3'], false],
  ] as const) {
    const watched = new InvariantsHarness();
    watched.submit({}, 'req-1');
    watched.submit({ awaits }, 'req-2');
    // Nobody has sent a submission of it that may be accepted.
    watched.assertViolations(...(isGood ? [] : ['bad_accepted', 'invented']));
  }
});

test('the invariants detect an accepted job refused for its dependencies, or for those that it names', () => {
  for (const awaits of ['nonsense', ['req-99'], ['req-1']]) {
    const watched = pipeline();
    watched.request('POST', '/work', submission('req-1', { awaits }))(422);
    watched.assertViolations('forgotten');
  }
  const named = pipeline();
  named.request('POST', '/work', submission('req-4', { awaits: ['req-1', 'req-3'] }))(422);
  named.assertViolations('forgotten');
  const unknown = pipeline();
  unknown.request('POST', '/work', submission('req-4', { awaits: ['req-1', 'req-9'] }))(422);
  unknown.assertViolations();
});

test('a job is unfinished until it or a job before it is cancelled, or until it is done', () => {
  const watched = pipeline();
  assert.deepEqual(watched.invariants.unfinishedJobs, ['req-1', 'req-2', 'req-3']);
  const cancellation = watched.request('POST', '/work/req-1/withdraw');
  assert.deepEqual(watched.invariants.unfinishedJobs, []);
  runs(watched, 'req-1/0');
  cancellation(200, 'done');
  assert.deepEqual(watched.invariants.unfinishedJobs, ['req-2', 'req-3']);
  cancels(watched, 'req-2');
  assert.deepEqual(watched.invariants.unfinishedJobs, []);
});

test('a job waits for room only from when its last dependency was done', async () => {
  const watched = new InvariantsHarness();
  watched.submit({}, 'req-1');
  watched.submit({ awaits: ['req-1'] }, 'req-2');
  watched.invariants.onTaskStarted('req-1/0', 'm1');
  const ground = { hasFreeCapacity: () => true, isStarting: () => false };
  const waits = new StarvationDetector(watched.invariants, watched.clock, ground);
  const pass = async (seconds: number): Promise<void> => {
    for (let second = 0; second < seconds; second += 1) {
      waits.check();
      await watched.clock.advance(1000);
    }
  };
  await pass(200);
  watched.invariants.onTaskLeft('req-1/0', 'm1');
  watched.invariants.onTaskCompleted('req-1/0');
  await pass(90);
  watched.assertViolations();
  await pass(3);
  watched.assertViolations('waits');
});
