import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Bitmap } from '../src/bookkeeping/bitmap';
import { TASKS_PER_CHUNK } from '../src/bookkeeping/completion-records';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { submission } from './fakes/submission';

test('a job completes, and every controller reports it as done', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 6 });
  await cluster.untilJobState('req-1', 'done');
  for (const index of [0, 1, 2]) assert.equal(await cluster.jobState('req-1', index), 'done');
  cluster.assertInvariants();
});

test('a submission repeated at any controller, at any time, creates one job', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 });
  const again = await cluster.request(1, 'POST', '/work', submission('req-1', { pieces: 3 }));
  assert.equal(again.status, 200);
  await cluster.untilJobState('req-1', 'done');
  const late = await cluster.request(2, 'POST', '/work', submission('req-1', { pieces: 3 }));
  assert.equal(late.status, 200);
  assert.equal((late.body as { standing: string }).standing, 'done');
  const starts = [...cluster.workers.values()].flatMap((w) => w.startCommands);
  assert.equal(starts.length, 3);
});

test('if the response to the write of a job is lost, the retry finds the job accepted', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  const removeRule = cluster.network.rule(({ path, body }) =>
    path === '/txn' && JSON.stringify(body).includes('live/job/req-1') ? 'lose answer' : undefined,
  );
  const first = await cluster.request(0, 'POST', '/work', submission('req-1'));
  // The controller reads the record back, so the first response is already correct.
  assert.equal(first.status, 200);
  removeRule();
  assert.equal((await cluster.request(1, 'POST', '/work', submission('req-1'))).status, 200);
});

test('requests for a job that was never submitted get 404', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  assert.equal(await cluster.jobState('req-9'), 404);
  assert.equal((await cluster.request(1, 'POST', '/work/req-9/withdraw')).status, 404);
  assert.equal(await cluster.jobState('nonsense'), 404);
  assert.equal((await cluster.request(0, 'GET', '/nowhere')).status, 404);
});

test('malformed submissions get 400, and jobs that can never run get 422', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 2 });
  await cluster.untilOwned();
  const malformed: unknown[] = [
    undefined,
    'text',
    [1],
    {},
    submission('wrong-id'),
    submission('req-1', { pieces: 0 }),
    submission('req-1', { pieces: 100_001 }),
    submission('req-1', { pieces: 1.5 }),
    submission('req-1', { cpus: '4' }),
    submission('req-1', { cpus: -1 }),
    submission('req-1', { urgency: 'now' }),
    submission('req-1', { shape: 'gang' }),
    submission('req-1', { reckonS: Infinity }),
    submission('req-1', { frames: 'm4' }),
    submission('req-1', { loaners: null }),
  ];
  for (const body of malformed) {
    const { status } = await cluster.request(0, 'POST', '/work', body);
    assert.equal(status, 400, JSON.stringify(body));
  }
  const infeasible = [
    { crew: 'green' },
    { cpus: 5 },
    { memGb: 17 },
    { cards: 1 },
    { frames: ['g8'] },
    { yard: 'c' },
    { crew: 'red', cpus: 3 },
  ];
  for (const fields of infeasible) {
    const { status } = await cluster.request(0, 'POST', '/work', submission('req-2', fields));
    assert.equal(status, 422, JSON.stringify(fields));
  }
  assert.equal(await cluster.jobState('req-1'), 404);
  assert.equal(await cluster.jobState('req-2'), 404);
});

test('when a running job is cancelled, its tasks stop and it stays cancelled', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 4 }, 60);
  await cluster.untilJobState('req-1', 'running');
  assert.equal(await cluster.cancel('req-1', 1), 'withdrawn');
  await cluster.clock.advance(3000);
  assert.deepEqual(cluster.runningTasks, []);
  await cluster.clock.advance(30_000);
  for (const index of [0, 1, 2]) assert.equal(await cluster.jobState('req-1', index), 'withdrawn');
  assert.deepEqual(cluster.runningTasks, []);
  cluster.assertInvariants();
});

test('when completion and cancellation race, the first reported outcome is final', async () => {
  for (const delayMs of [4900, 5200, 5600, 6000, 6400]) {
    const cluster = new SimulatedCluster();
    await cluster.submit('req-1', {}, 5);
    await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
    await cluster.clock.advance(delayMs);
    const answer = await cluster.cancel('req-1', 2);
    for (let poll = 0; poll < 6; poll += 1) {
      await cluster.clock.advance(1000);
      assert.equal(await cluster.jobState('req-1', poll % 3), answer, `after ${delayMs} ms`);
    }
    cluster.assertInvariants();
  }
});

test('the bitmap of 100,000 tasks fits the value limit and survives a round trip', () => {
  const bitmap = new Bitmap(100_000);
  for (let task = 0; task < 100_000; task += 1) if (task % 3 !== 0) bitmap.set(task);
  assert.equal(bitmap.set(1), false);
  const copy = new Bitmap(100_000);
  for (let first = 0; first < 100_000; first += TASKS_PER_CHUNK) {
    const text = bitmap.encode(first, first + TASKS_PER_CHUNK);
    assert.ok(JSON.stringify({ bits: text }).length <= 16 * 1024);
    copy.merge(first, text);
  }
  assert.equal(copy.count, bitmap.count);
  for (const task of [0, 1, 65_535, 65_536, 65_537, 99_999]) assert.equal(copy.has(task), task % 3 !== 0);
});

test('the records of a job with 100,000 tasks stay within the limits of the key-value store', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 100_000, cpus: 0.05, memGb: 0.01 }, 1);
  await cluster.untilJobState('req-1', 'running');
  await cluster.clock.advance(10_000);
  const { done } = (await cluster.request(0, 'GET', '/work/req-1')).body as { done: number };
  assert.ok(done > 100, `${done} done`);
  assert.ok(cluster.store.largestValue <= 16 * 1024);
  assert.ok(cluster.store.largestTransaction <= 32);
  assert.equal(await cluster.cancel('req-1'), 'withdrawn');
});

test('after several faults have ended, every controller knows every accepted job within 20 s', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 200);
  await cluster.submit('req-2', { pieces: 3, crew: 'red' }, 5, 1);
  cluster.store.outage(true);
  await cluster.clock.advance(4000);
  for (const index of [0, 1, 2]) cluster.kill(index);
  await cluster.clock.advance(6000);
  for (const index of [1, 0, 2]) cluster.restart(index);
  await cluster.clock.advance(9000);
  cluster.store.outage(false);
  cluster.store.refused.add('node-1');
  await cluster.clock.advance(20_000);
  cluster.kill(2);
  await cluster.clock.advance(300);
  cluster.restart(2);
  cluster.store.refused.delete('node-1');
  const faultsEndedAt = cluster.clock.now();
  for (const index of [0, 1, 2]) {
    for (const id of ['req-1', 'req-2']) {
      while (typeof (await cluster.jobState(id, index)) !== 'string') await cluster.clock.advance(1000);
    }
  }
  assert.ok(cluster.clock.now() - faultsEndedAt < 20_000, `${cluster.clock.now() - faultsEndedAt} ms`);
  await cluster.untilJobState('req-2', 'done');
  await cluster.untilJobState('req-1', 'done', 400);
  cluster.assertInvariants();
});
