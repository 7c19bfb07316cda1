import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';

/** Keeps the fleet full of small jobs for a while; returns how many were submitted. */
async function submitSmallJobs(
  cluster: SimulatedCluster,
  seconds: number,
  afterEach: () => void,
): Promise<number> {
  let count = 0;
  for (let second = 0; second < seconds; second += 2) {
    count += 1;
    await cluster.submit(`req-${1000 + count}`, { pieces: 3, urgency: 'urgent', reckonS: 6, dueS: 60 }, 6);
    await cluster.clock.advance(2000);
    afterEach();
  }
  return count;
}

test('the largest job starts within four minutes and completes, although smaller and more urgent jobs keep arriving', async () => {
  const cluster = new SimulatedCluster();
  cluster.capacity = 2;
  await cluster.submit('req-1', { pieces: 1, urgency: 'urgent', reckonS: 2 }, 2);
  await cluster.clock.advance(20_000);
  await cluster.submit('req-2', { pieces: 2, cpus: 4, urgency: 'best_effort', reckonS: 20, dueS: 50 }, 20);
  const submittedAt = cluster.clock.now();
  let startedAt = Infinity;
  await submitSmallJobs(cluster, 300, () => {
    if (cluster.runningTasks.some((p) => p.startsWith('req-2/')))
      startedAt = Math.min(startedAt, cluster.clock.now());
  });
  assert.ok(startedAt - submittedAt < 240_000, `started after ${(startedAt - submittedAt) / 1000} s`);
  assert.equal(await cluster.jobState('req-2'), 'done');
  cluster.assertInvariants();
});

test('smaller jobs complete meanwhile: the job that waited longest gets a share of the capacity, not all of it', async () => {
  const cluster = new SimulatedCluster();
  cluster.capacity = 2;
  await cluster.submit('req-1', { pieces: 40, cpus: 1, urgency: 'normal', reckonS: 10, dueS: 20 }, 10);
  const count = await submitSmallJobs(cluster, 200, () => undefined);
  let served = 0;
  for (let n = 1; n <= count - 15; n += 1) {
    if ((await cluster.jobState(`req-${1000 + n}`)) === 'done') served += 1;
  }
  assert.ok(served > (count - 15) / 2, `${served} of ${count - 15}`);
  cluster.assertInvariants();
});
