import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StarvationDetector } from './fakes/starvation-detector';
import { submission } from './fakes/submission';
import { InvariantsHarness } from './fakes/invariants-harness';

const CANCEL_MS = 30_000;

/** Three jobs, each of which depends on the previous one. */
function submitPipeline(): InvariantsHarness {
  const harness = new InvariantsHarness();
  harness.submit({}, 'req-1');
  harness.submit({ awaits: ['req-1'] }, 'req-2');
  harness.submit({ awaits: ['req-2'] }, 'req-3');
  return harness;
}

function poll(harness: InvariantsHarness, id: string): (status: number, state?: string) => void {
  return harness.request('GET', `/work/${id}`);
}

function cancel(harness: InvariantsHarness, id: string, state = 'withdrawn'): void {
  harness.request('POST', `/work/${id}/withdraw`)(200, state);
}

function runTask(harness: InvariantsHarness, task: string, machine = 'm1'): void {
  harness.invariants.onTaskStarted(task, machine);
  harness.invariants.onTaskLeft(task, machine);
  harness.invariants.onTaskCompleted(task);
}

test('the invariants detect a start before all tasks of all dependencies completed', () => {
  const early = submitPipeline();
  early.invariants.onTaskStarted('req-1/0', 'm1');
  early.invariants.onTaskStarted('req-2/0', 'm1');
  early.assertViolations('too_early');

  const inOrder = submitPipeline();
  for (const id of ['req-1', 'req-2', 'req-3']) runTask(inOrder, `${id}/0`);
  inOrder.assertViolations();

  const halfDone = new InvariantsHarness();
  halfDone.submit({ pieces: 2 }, 'req-1');
  halfDone.submit({}, 'req-2');
  halfDone.submit({ awaits: ['req-2', 'req-1', 'req-2'] }, 'req-3');
  runTask(halfDone, 'req-1/0');
  runTask(halfDone, 'req-2/0');
  halfDone.invariants.onTaskStarted('req-3/0', 'm1');
  halfDone.assertViolations('too_early');
});

test('the invariants detect a job that is reported as running before its dependency is done', () => {
  const harness = submitPipeline();
  poll(harness, 'req-2')(200, 'pending');
  harness.assertViolations();
  poll(harness, 'req-2')(200, 'running');
  harness.assertViolations('too_early');
});

test('the invariants detect a start after a dependency was cancelled, even if all its tasks completed', () => {
  const after = submitPipeline();
  runTask(after, 'req-1/0');
  cancel(after, 'req-1');
  after.invariants.onTaskStarted('req-2/0', 'm1');
  after.assertViolations('too_early');

  const before = submitPipeline();
  runTask(before, 'req-1/0');
  before.invariants.onTaskStarted('req-2/0', 'm1');
  before.assertViolations();
  cancel(before, 'req-1');
  before.assertViolations('too_early');
});

test('the invariants detect a task of a dependent that still runs or starts after the time limit for cancellations', async () => {
  const harness = submitPipeline();
  runTask(harness, 'req-1/0');
  harness.invariants.onTaskStarted('req-2/0', 'm1');
  cancel(harness, 'req-1');
  await harness.clock.advance(CANCEL_MS + 1);
  harness.assertViolations('too_early', 'ran_cancelled');
  harness.invariants.onTaskStarted('req-3/0', 'm1');
  harness.assertViolations('too_early', 'ran_cancelled', 'ran_cancelled', 'too_early');
});

test('the invariants detect a job that is reported as pending too long after a dependency was cancelled', async () => {
  for (const [waitMs, kinds] of [
    [CANCEL_MS, []],
    [CANCEL_MS + 1, ['orphaned', 'orphaned']],
  ] as const) {
    const harness = submitPipeline();
    const respondToEarlierPoll = poll(harness, 'req-3');
    cancel(harness, 'req-1');
    await harness.clock.advance(waitMs);
    poll(harness, 'req-2')(200, 'pending');
    harness.request('POST', '/work', submission('req-3', { awaits: ['req-2'] }))(200, 'pending');
    respondToEarlierPoll(200, 'pending');
    harness.assertViolations(...kinds);
    poll(harness, 'req-3')(200, 'withdrawn');
    harness.assertViolations(...kinds);
  }
});

test('the invariants detect a job reported as cancelled although no user cancelled it or one of its dependencies', () => {
  const cancellationUnanswered = submitPipeline();
  cancellationUnanswered.request('POST', '/work/req-1/withdraw')(503);
  poll(cancellationUnanswered, 'req-3')(200, 'withdrawn');
  cancellationUnanswered.assertViolations();

  const dependentCancelled = submitPipeline();
  cancel(dependentCancelled, 'req-2');
  poll(dependentCancelled, 'req-1')(200, 'withdrawn');
  dependentCancelled.assertViolations('went_back');

  const wasDone = submitPipeline();
  runTask(wasDone, 'req-1/0');
  cancel(wasDone, 'req-1', 'done');
  poll(wasDone, 'req-2')(200, 'withdrawn');
  wasDone.assertViolations('went_back');

  const completedLater = submitPipeline();
  completedLater.request('POST', '/work/req-1/withdraw')(503);
  poll(completedLater, 'req-2')(200, 'withdrawn');
  completedLater.assertViolations();
  runTask(completedLater, 'req-1/0');
  poll(completedLater, 'req-1')(200, 'done');
  completedLater.assertViolations('went_back');
});

test('the invariants detect an accepted submission whose dependencies are not a list of submitted jobs', () => {
  for (const [awaits, isValid] of [
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
    const harness = new InvariantsHarness();
    harness.submit({}, 'req-1');
    harness.submit({ awaits }, 'req-2');
    // No user has sent a submission of this job that may be accepted.
    harness.assertViolations(...(isValid ? [] : ['bad_accepted', 'invented']));
  }
});

test('the invariants detect a rejection of an accepted job, and of a job whose dependencies are all accepted', () => {
  for (const awaits of ['nonsense', ['req-99'], ['req-1']]) {
    const harness = submitPipeline();
    harness.request('POST', '/work', submission('req-1', { awaits }))(422);
    harness.assertViolations('forgotten');
  }
  const named = submitPipeline();
  named.request('POST', '/work', submission('req-4', { awaits: ['req-1', 'req-3'] }))(422);
  named.assertViolations('forgotten');
  const unknown = submitPipeline();
  unknown.request('POST', '/work', submission('req-4', { awaits: ['req-1', 'req-9'] }))(422);
  unknown.assertViolations();
});

test('a job is unfinished until it or one of its dependencies is cancelled, or until it is done', () => {
  const harness = submitPipeline();
  assert.deepEqual(harness.invariants.unfinishedJobs, ['req-1', 'req-2', 'req-3']);
  const respondToCancellation = harness.request('POST', '/work/req-1/withdraw');
  assert.deepEqual(harness.invariants.unfinishedJobs, []);
  runTask(harness, 'req-1/0');
  respondToCancellation(200, 'done');
  assert.deepEqual(harness.invariants.unfinishedJobs, ['req-2', 'req-3']);
  cancel(harness, 'req-2');
  assert.deepEqual(harness.invariants.unfinishedJobs, []);
});

test('the starvation detector measures the waiting time of a job from when its last dependency was done', async () => {
  const harness = new InvariantsHarness();
  harness.submit({}, 'req-1');
  harness.submit({ awaits: ['req-1'] }, 'req-2');
  harness.invariants.onTaskStarted('req-1/0', 'm1');
  const machineState = { hasFreeCapacity: () => true, isStarting: () => false };
  const detector = new StarvationDetector(harness.invariants, harness.clock, machineState);
  const checkFor = async (seconds: number): Promise<void> => {
    for (let second = 0; second < seconds; second += 1) {
      detector.check();
      await harness.clock.advance(1000);
    }
  };
  await checkFor(200);
  harness.invariants.onTaskLeft('req-1/0', 'm1');
  harness.invariants.onTaskCompleted('req-1/0');
  await checkFor(90);
  harness.assertViolations();
  await checkFor(3);
  harness.assertViolations('waits');
});
