/** @file The memory of accepted work is stated, counted and bounded: what was accepted always fits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Bitmap } from '../src/bookkeeping/bitmap';
import { KEY } from '../src/bookkeeping/records';
import { ImageCache } from '../src/coordination/shard/image-cache';
import { JobFailures } from '../src/coordination/shard/job-failures';
import { RunTimeEstimates } from '../src/coordination/shard/run-time-estimates';
import type { Job } from '../src/protocol/model';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { submission } from './fakes/submission';
import { RecordsInMemory, usedBytes } from './memory/records-in-memory';
import { job } from './scheduling-inputs';

const TASKS = 100_000;
const TASKS_PER_CHUNK = 65_536;
const JOBS = 300;
/** Memory of the measurement itself. */
const MEASUREMENT_BYTES = 50_000;

const idOf = (index: number): string => `req-${String(index).padStart(6, '0')}`;
const longName = (index: number): string => `${'x'.repeat(180)}${index}`;

/** The records of one job, in the order in which they arrive. */
type PutJob = (records: RecordsInMemory, index: number) => void;

function putOrdinary(fieldsOf: (index: number) => Partial<Job>, isInParts = false): PutJob {
  return (records, index) => {
    records.putJob(job(idOf(index), 'blue', 'normal', fieldsOf(index)), isInParts);
  };
}

/** An array whose tasks are all done but the last one. */
function putFinishedArray(records: RecordsInMemory, index: number): void {
  const id = idOf(index);
  records.putJob(job(id, 'blue', 'normal', { tasks: TASKS }));
  const done = new Bitmap(TASKS);
  for (let task = 0; task < TASKS - 1; task += 1) done.set(task);
  for (const first of [0, TASKS_PER_CHUNK]) {
    const bits = done.encode(first, Math.min(TASKS, first + TASKS_PER_CHUNK));
    const key = KEY.done(id, first / TASKS_PER_CHUNK);
    records.put(key, { bits });
    records.tables.get(id)?.mergeRecorded(key, { job: id, first, bits }, 1);
  }
}

const differentNames = (index: number): Partial<Job> => ({
  dependencies: Array.from({ length: 500 }, (_, n) => idOf(10_000 + ((index * 7 + n) % 2_000))),
});

const SHAPES: readonly [string, PutJob, number][] = [
  ['small jobs', putOrdinary(() => ({})), JOBS],
  [
    'jobs whose names are all long and different',
    putOrdinary((index) => ({ jobClass: longName(index), image: longName(index), zone: longName(index) })),
    JOBS,
  ],
  [
    'jobs that name many machine types',
    putOrdinary((index) => ({ types: Array.from({ length: 500 }, (_, n) => `m${n + index}`) })),
    JOBS,
  ],
  ['jobs that await others', putOrdinary(differentNames), JOBS],
  ['jobs that await others, in parts', putOrdinary(differentNames, true), JOBS],
  ['arrays that wait', putOrdinary(() => ({ tasks: TASKS })), JOBS],
  ['arrays that are nearly done', putFinishedArray, 30],
];

for (const [name, put, count] of SHAPES) {
  // Guards against accepted work that takes memory which nothing counts (review/4, review/5).
  test(`the stated cost covers the memory of ${name}`, () => {
    const records = new RecordsInMemory();
    put(records, count);
    const [usedBefore, statedBefore] = [usedBytes(), records.memory.usedBytes];
    for (let index = 0; index < count; index += 1) put(records, index);
    const used = usedBytes() - usedBefore;
    const stated = records.memory.usedBytes - statedBefore;
    assert.ok(used < stated + MEASUREMENT_BYTES, `${used / count} bytes a job, ${stated / count} stated`);
    for (const prefix of ['live/job/', 'live/done/', 'live/dependencies/']) {
      for (const entry of [...records.cache.under(prefix)]) records.delete(entry.key);
    }
    assert.equal(records.memory.usedBytes, 0, 'ended jobs give all of their memory back');
  });
}

// Guards against memory that grows with the jobs that ended: names of classes and images, and machines that failed.
test('what a controller learns from ended jobs has a bound of its own', () => {
  const images = new ImageCache(10);
  const estimates = new RunTimeEstimates();
  const failures = new JobFailures();
  for (let index = 0; index < 1_000; index += 1) {
    images.touch(`img-${index}`, 0);
    estimates.learn(job(idOf(index), 'blue', 'normal', { jobClass: longName(index) }), 20);
    failures.add(`host-${index}`, index);
  }
  assert.ok(images.sizesGb.size <= 100 && images.sizesGb.has('img-999'));
  assert.ok(estimates.classes <= 500);
  const learned = job('req-1', 'blue', 'normal', { jobClass: longName(999) });
  assert.ok(estimates.runTimeS(learned) > learned.estimateS, 'the latest class is kept');
  assert.ok(failures.machinesToAvoid(1_000).size <= 200 && failures.machinesToAvoid(1_000).has('host-999'));
});

/** Submits jobs to one controller after the other until one is deferred; returns the accepted ones, and its answer. */
async function submitUntilDeferred(
  cluster: SimulatedCluster,
  first: number,
  controllers: readonly number[],
): Promise<{ accepted: string[]; body: unknown }> {
  const accepted: string[] = [];
  for (let index = first; index < first + 100; index += 1) {
    const id = idOf(index);
    cluster.setRunTime(id, 5);
    const controller = controllers[index % controllers.length] ?? 0;
    const { status, body } = await cluster.request(controller, 'POST', '/work', submission(id, { cpus: 4 }));
    if (status === 503) return { accepted, body };
    assert.equal(status, 201);
    accepted.push(id);
  }
  assert.fail('no submission was deferred');
}

test('a job that would not fit gets 503 with a delay, an accepted one 200; all accepted ones are done', async () => {
  const cluster = new SimulatedCluster({ heapLimitBytes: 120_000 });
  await cluster.untilOwned();
  const { accepted, body } = await submitUntilDeferred(cluster, 0, [0, 1, 2]);
  assert.ok(accepted.length > 5, `${accepted.length} jobs accepted`);
  assert.deepEqual(body, { error: 'deferred', retryAfterS: 5 });
  const [firstJob = ''] = accepted;
  for (const index of [0, 1, 2]) {
    const again = await cluster.request(index, 'POST', '/work', submission(firstJob, { cpus: 4 }));
    assert.equal(again.status, 200, 'an accepted job is known, however much memory is in use');
  }
  // The next owner has the same records, so it must hold them as well.
  cluster.kill(cluster.owner);
  await cluster.untilOwned();
  await cluster.assertJobsFinish(200);
  for (const id of accepted) await cluster.untilJobState(id, 'done', 10, cluster.owner);
  const next = await submitUntilDeferred(cluster, 100, [cluster.owner]);
  assert.ok(next.accepted.length > 5, 'ended jobs make room for others');
});
