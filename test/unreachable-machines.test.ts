/** @file Machines that are unreachable, one-way or both ways, unresponsive, or that failed a task. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { changeLeader } from './fault-steps';

for (const [what, trouble] of [
  ['are one-way unreachable (their reports are lost)', 'mute'],
  ['are one-way unreachable (nothing reaches them)', 'deaf'],
  ['are unreachable', 'cut'],
  ['are unresponsive', 'hang'],
] as const) {
  for (const takeover of [false, true]) {
    test(`all machines ${what} for longer than their leases${takeover ? ', and the leader dies' : ''}: each is used again`, async () => {
      const cluster = new SimulatedCluster();
      cluster.capacity = 4;
      await cluster.submit('req-1', { pieces: 12, reckonS: 200 }, 200);
      await cluster.until('12 tasks run', () => cluster.runningTasks.length === 12);
      await cluster.clock.advance(2000);
      const begin = (id: string): (() => void) => {
        if (trouble === 'mute') return cluster.dropMessagesFrom(id);
        if (trouble === 'deaf') return cluster.dropMessagesTo(id);
        if (trouble === 'cut') return cluster.isolateWorker(id);
        cluster.worker(id).isHanging = true;
        return () => {
          cluster.worker(id).isHanging = false;
        };
      };
      const heals = [...cluster.workers.keys()].map(begin);
      await cluster.submit('req-2', { pieces: 4, reckonS: 20, yard: 'a' }, 20);
      await cluster.submit('req-3', { pieces: 4, reckonS: 20, together: true }, 20);
      await cluster.clock.advance(takeover ? 10_000 : 45_000);
      if (takeover) await changeLeader(cluster);
      await cluster.clock.advance(takeover ? 35_000 : 0);
      for (const heal of heals) heal();
      const healedAt = cluster.clock.now();
      await cluster.until('12 tasks run again', () => cluster.runningTasks.length >= 12, 90);
      assert.ok(cluster.clock.now() - healedAt < 40_000, `${cluster.clock.now() - healedAt} ms`);
      await cluster.assertJobsFinish(300);
      assert.deepEqual(cluster.invariants.unfinishedJobs, []);
      cluster.assertInvariants();
    });
  }
}

test('a machine that failed one task once is tried again when there is no other', async () => {
  const cluster = new SimulatedCluster();
  cluster.capacity = 1;
  await cluster.submit('req-1', { pieces: 2, reckonS: 300 }, 300);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length === 2);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  worker.failsTasks = true;
  await cluster.submit('req-2', { pieces: 1, reckonS: 5 }, 5);
  await cluster.until('it fails', () => [...worker.attempts.values()].some((p) => p.cause === 'error'), 10);
  worker.failsTasks = false;
  await cluster.assertJobsFinish(130);
});
