/** @file Real controllers accept work of every shape until no more fits; they hold it, and so do those that take over. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AcceptedWork, idOf, type SubmissionOf } from './memory/accepted-work';

const MACHINES = 20;
const FIRST_JOBS = 1_000;
const MAX_JOBS = 20_000;
const MAX_DEFERRED = 60;
const SUBMIT_MS = 45_000;
const SETTLE_MS = 12_000;
const SAMPLE = 50;
const NAMES = 700;

const longName = (index: number): string => `${'x'.repeat(180)}${index}`;

/** Jobs that run for longer than the test, so that all of them stay live. */
const SHAPES: readonly SubmissionOf[] = [
  () => ({}),
  () => ({ pieces: 100_000, cpus: 0.001, memGb: 0 }),
  () => ({ pieces: 100_000, cpus: 5 }),
  (index) => ({ docket: longName(index), build: longName(index) }),
  (index) => ({ frames: ['m16', ...Array.from({ length: NAMES }, (_, n) => `m${n + index}`)] }),
  (index, accepted) => ({
    awaits: Array.from({ length: NAMES }, (_, n) => accepted[(index * 7 + n) % FIRST_JOBS]),
  }),
];

const smallJob: SubmissionOf = (index) => ({ nameId: idOf(index), reckonS: 600 });

const jobOfAnyShape: SubmissionOf = (index, accepted) => ({
  ...smallJob(index, accepted),
  ...SHAPES[index % SHAPES.length]?.(index, accepted),
});

// Guards against accepted work that ends every controller, and each next one that reads it (review/4, review/5).
test('whatever was accepted fits every controller, also all of them when they start again', async (t) => {
  const work = new AcceptedWork('target/test/accepted-work', MACHINES);
  await work.start();
  await work.submit(FIRST_JOBS, smallJob, { maxDeferred: 1, ms: SUBMIT_MS });
  await work.submit(MAX_JOBS, jobOfAnyShape, { maxDeferred: MAX_DEFERRED, ms: SUBMIT_MS });
  await work.wait(SETTLE_MS);
  await work.restart();
  await work.wait(SETTLE_MS);
  const result = await work.finish(SAMPLE);
  t.diagnostic(JSON.stringify({ ...result, ended: result.ended.length }));
  assert.deepEqual(result.ended, []);
  assert.deepEqual(result.forgotten, []);
  assert.deepEqual(result.otherAnswers, {});
  assert.ok(result.accepted > FIRST_JOBS, `${result.accepted} jobs accepted`);
  assert.ok(result.deferred >= MAX_DEFERRED, 'the limit was reached');
});
