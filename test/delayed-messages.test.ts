/** @file Heartbeats and commands that arrive late or repeatedly, around a failover. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import type { FakeWorker } from './fakes/worker';
import { changeLeader, placements, replayHeartbeats, startCount, tasksOf } from './fault-steps';
import { dropReleaseRequests } from './failover-steps';

test('heartbeats are replayed to every controller during a failover and after it: no task moves', async () => {
  const cluster = new SimulatedCluster();
  for (let n = 0; n < 2; n += 1) cluster.addWorker('b');
  await cluster.clock.advance(12_000);
  const recordedHeartbeats: Record<string, unknown>[] = [];
  const endRecording = cluster.network.rule(({ path, body, from }) => {
    if (path === '/hello' && from.startsWith('host-'))
      recordedHeartbeats.push(body as Record<string, unknown>);
    return undefined;
  });
  // The recorded heartbeats include a machine whose incarnation ends, and tasks that move to another machine.
  await cluster.submit('req-1', { pieces: 8, bookmarkS: 5, stashS: 1, reckonS: 90 }, 90);
  await cluster.until('8 tasks run', () => cluster.runningTasks.length === 8);
  await cluster.clock.advance(2000);
  const isolatedMachine = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const endIsolation = cluster.isolateWorker(isolatedMachine.id);
  const endReleaseLoss = cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
  await cluster.until('its incarnation ends', () => isolatedMachine.incarnation === 2, 20);
  endIsolation();
  endReleaseLoss();
  await cluster.until('8 tasks run again', () => cluster.runningTasks.length === 8, 60);
  await cluster.clock.advance(3000);
  endRecording();
  const placementsBefore = placements(cluster);
  const startsBefore = startCount(cluster);
  cluster.kill(cluster.owner);
  // Newest first and one at a time, so that scheduling rounds come between them; each arrives more than once.
  recordedHeartbeats.reverse();
  for (let step = 0; step < 1000; step += 1) {
    const heartbeat = recordedHeartbeats[step % recordedHeartbeats.length];
    if (heartbeat) replayHeartbeats(cluster, [heartbeat]);
    await cluster.clock.advance(20);
    assert.deepEqual(placements(cluster), placementsBefore);
  }
  const owner = await cluster.untilOwned();
  assert.equal(startCount(cluster), startsBefore);
  await cluster.untilJobState('req-1', 'done', 120, owner);
  cluster.assertInvariants();
});

/** A machine with a running task; the other machines could run every task twice. */
async function startBusyMachine(cluster: SimulatedCluster): Promise<FakeWorker> {
  await cluster.submit('req-1', { pieces: 1, reckonS: 60 }, 60);
  await cluster.until('it runs', () => cluster.runningTasks.length === 1);
  for (let n = 0; n < 5; n += 1) cluster.addWorker('b');
  await cluster.clock.advance(13_000);
  return cluster.worker(cluster.machineOf('req-1/0') ?? '');
}

for (const withFailover of [false, true]) {
  test(`start commands queue at an unresponsive machine${withFailover ? ' during a failover' : ''} and are executed when it resumes`, async () => {
    const cluster = new SimulatedCluster();
    const worker = await startBusyMachine(cluster);
    let queued = 0;
    cluster.network.rule(({ to, path, body }) => {
      if (to === worker.address && path === '/do' && JSON.stringify(body).includes('"run"')) queued += 1;
      return path === '/hosts/release' ? 'lose' : undefined;
    });
    worker.isHanging = true;
    await cluster.submit('req-2', { pieces: 10, reckonS: 30 }, 30);
    await cluster.until('start commands were sent to it', () => queued > 0, 5);
    if (withFailover) await changeLeader(cluster);
    await cluster.clock.advance(4000);
    const endIsolation = cluster.isolateWorker(worker.id);
    worker.isHanging = false;
    await cluster.clock.advance(1000);
    assert.ok(worker.startCommands.length > 1, 'the queued start commands are executed');
    endIsolation();
    await cluster.assertJobsFinish(120);
    assert.deepEqual(cluster.invariants.unfinishedJobs, []);
    cluster.assertInvariants();
  });
}

test('a start command is delayed beyond the death of its leader and arrives before its successor can query the machine', async () => {
  const cluster = new SimulatedCluster();
  const worker = await startBusyMachine(cluster);
  let delayedCommands = 0;
  const endDelay = cluster.network.rule(({ to, path, body }) => {
    if (to !== worker.address || path !== '/do' || !JSON.stringify(body).includes('"run"')) return undefined;
    delayedCommands += 1;
    return 'hold';
  });
  await cluster.submit('req-2', { pieces: 10, reckonS: 30 }, 30);
  await cluster.until('start commands are in flight', () => delayedCommands > 0, 5);
  await cluster.clock.advance(200);
  const old = await cluster.untilOwned();
  const endIsolation = cluster.network.rule(({ from, to }) =>
    (to === worker.address && from !== `node-${old}`) || from === worker.id ? 'lose' : undefined,
  );
  cluster.kill(old);
  endDelay();
  await cluster.clock.advance(2000);
  assert.ok(cluster.network.releaseHeld() > 0);
  await cluster.clock.advance(100);
  assert.ok(worker.startCommands.length > 1, 'the delayed commands start their tasks');
  await cluster.untilOwned();
  await cluster.clock.advance(1500);
  endIsolation();
  await cluster.assertJobsFinish(150);
  assert.deepEqual(cluster.invariants.unfinishedJobs, []);
  cluster.assertInvariants();
});

test('all commands are delayed during a failover and arrive after the next leader has sent its own', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 8 });
  cluster.capacity = 3;
  await cluster.submit('req-1', { pieces: 6, crew: 'red', bookmarkS: 5, stashS: 1, reckonS: 60 }, 60);
  await cluster.submit('req-2', { pieces: 6, reckonS: 60 }, 60);
  await cluster.until('12 tasks run', () => cluster.runningTasks.length === 12);
  await cluster.clock.advance(2000);
  // Meanwhile the commands in the responses to heartbeats are lost.
  const endDelay = cluster.network.rule(({ path, from }) => {
    if (path === '/hello' && from !== 'late') return 'lose answer';
    return path === '/do' ? 'hold' : undefined;
  });
  // These cause stop commands for a preemption and a cancellation, and start commands.
  await cluster.submit('req-3', { pieces: 4, urgency: 'urgent', reckonS: 20 }, 20);
  assert.equal(await cluster.cancel('req-2'), 'withdrawn');
  await cluster.submit('req-4', { pieces: 4, crew: 'red', reckonS: 20 }, 20);
  await cluster.clock.advance(500);
  await changeLeader(cluster);
  endDelay();
  await cluster.clock.advance(1500);
  assert.ok(cluster.network.releaseHeld() > 0);
  await cluster.clock.advance(1500);
  assert.deepEqual(tasksOf(cluster, 'req-2'), []);
  await cluster.assertJobsFinish(200);
  assert.deepEqual(cluster.invariants.unfinishedJobs, []);
  cluster.assertInvariants();
});

test('a heartbeat delayed until the new leader has declared the worker dead brings back no attempts', async () => {
  const cluster = new SimulatedCluster();
  dropReleaseRequests(cluster);
  await cluster.submit('req-1', { pieces: 2, reckonS: 60 }, 60);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length === 2);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const delayedHeartbeats = [worker.nextHeartbeat(), worker.nextHeartbeat()];
  cluster.isolateWorker(worker.id);
  cluster.capacity = 0;
  cluster.kill(cluster.owner);
  await cluster.clock.advance(100);
  const owner = await cluster.untilOwned();
  const machine = cluster.controllers[owner]?.controller.owners.get(0)?.machines.get(worker.id);
  await cluster.until('it is declared dead', () => machine?.isConfirmed === true, 30);
  replayHeartbeats(cluster, delayedHeartbeats);
  await cluster.clock.advance(500);
  assert.equal(machine?.attempts.size, 0);
  // Other machines have free capacity, so the tasks run there in spite of the replayed heartbeats.
  cluster.addWorker('b');
  cluster.capacity = 2;
  for (let step = 0; step < 25; step += 1) {
    replayHeartbeats(cluster, delayedHeartbeats);
    await cluster.clock.advance(800);
  }
  assert.equal(tasksOf(cluster, 'req-1').length, 2);
  await cluster.untilJobState('req-1', 'done', 120, owner);
  cluster.assertInvariants();
});

test('a heartbeat older than the last one changes nothing', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1 }, 30);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  await cluster.clock.advance(3000);
  const address = cluster.controllers[cluster.owner]?.address ?? '';
  const delayedHeartbeat = { ...worker.nextHeartbeat(), tally: 1, pieces: [] };
  void cluster.network.caller(worker.id).call(address, 'POST', '/hello', delayedHeartbeat, 4000);
  await cluster.clock.advance(5000);
  const starts = [...cluster.workers.values()].flatMap((w) => w.startCommands);
  assert.equal(starts.length, 1);
});
