/** @file Machines that are unreachable, one-way or both ways, unresponsive, or that failed a task. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { changeLeader } from './fault-steps';

for (const [title, fault] of [
  ['are one-way unreachable (their heartbeats are lost)', 'mute'],
  ['are one-way unreachable (messages to them are lost)', 'deaf'],
  ['are unreachable', 'cut'],
  ['are unresponsive', 'hang'],
] as const) {
  for (const withFailover of [false, true]) {
    test(`all machines ${title} for longer than their leases${withFailover ? ', and the leader dies' : ''}: each is used again`, async () => {
      const cluster = new SimulatedCluster();
      cluster.capacity = 4;
      await cluster.submit('req-1', { pieces: 12, reckonS: 200 }, 200);
      await cluster.until('12 tasks run', () => cluster.runningTasks.length === 12);
      await cluster.clock.advance(2000);
      const startFault = (id: string): (() => void) => {
        if (fault === 'mute') return cluster.dropMessagesFrom(id);
        if (fault === 'deaf') return cluster.dropMessagesTo(id);
        if (fault === 'cut') return cluster.isolateWorker(id);
        cluster.worker(id).isHanging = true;
        return () => {
          cluster.worker(id).isHanging = false;
        };
      };
      const endFaults = [...cluster.workers.keys()].map(startFault);
      await cluster.submit('req-2', { pieces: 4, reckonS: 20, yard: 'a' }, 20);
      await cluster.submit('req-3', { pieces: 4, reckonS: 20, together: true }, 20);
      await cluster.clock.advance(withFailover ? 10_000 : 45_000);
      if (withFailover) await changeLeader(cluster);
      await cluster.clock.advance(withFailover ? 35_000 : 0);
      for (const endFault of endFaults) endFault();
      const faultsEndedAt = cluster.clock.now();
      await cluster.until('12 tasks run again', () => cluster.runningTasks.length >= 12, 90);
      assert.ok(cluster.clock.now() - faultsEndedAt < 40_000, `${cluster.clock.now() - faultsEndedAt} ms`);
      await cluster.assertJobsFinish(300);
      assert.deepEqual(cluster.invariants.unfinishedJobs, []);
      cluster.assertInvariants();
    });
  }
}

test('a machine that failed one task is used again when there is no other machine', async () => {
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
