/** @file Reports and commands that arrive late or repeatedly, around a takeover. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import type { FakeWorker } from './fakes/worker';
import { changeLeader, placements, replayHeartbeats, startCount, tasksOf } from './fault-steps';

test('replayed reports reach every controller as a new leader takes over, and repeatedly after that: no task moves', async () => {
  const cluster = new SimulatedCluster();
  for (let n = 0; n < 2; n += 1) cluster.addWorker('b');
  await cluster.clock.advance(12_000);
  const copies: Record<string, unknown>[] = [];
  const end = cluster.network.rule(({ path, body, from }) => {
    if (path === '/hello' && from.startsWith('host-')) copies.push(body as Record<string, unknown>);
    return undefined;
  });
  // An attempt that is stopped for an urgent one and goes on elsewhere, and sessions that end.
  await cluster.submit('req-1', { pieces: 8, bookmarkS: 5, stashS: 1, reckonS: 90 }, 90);
  await cluster.until('8 tasks run', () => cluster.runningTasks.length === 8);
  await cluster.clock.advance(2000);
  const moved = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const heal = cluster.isolateWorker(moved.id);
  const keepIt = cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
  await cluster.until('its session ends', () => moved.incarnation === 2, 20);
  heal();
  keepIt();
  await cluster.until('8 tasks run again', () => cluster.runningTasks.length === 8, 60);
  await cluster.clock.advance(3000);
  end();
  const before = placements(cluster);
  const began = startCount(cluster);
  cluster.kill(cluster.owner);
  // The last one first, each on its own, so that rounds come between; all of them arrive more than once.
  copies.reverse();
  for (let step = 0; step < 1000; step += 1) {
    const copy = copies[step % copies.length];
    if (copy) replayHeartbeats(cluster, [copy]);
    await cluster.clock.advance(20);
    assert.deepEqual(placements(cluster), before);
  }
  const owner = await cluster.untilOwned();
  assert.equal(startCount(cluster), began);
  await cluster.untilJobState('req-1', 'done', 120, owner);
  cluster.assertInvariants();
});

/** A machine with a task, and room for everything elsewhere, and once more. */
async function oneBusyMachine(cluster: SimulatedCluster): Promise<FakeWorker> {
  await cluster.submit('req-1', { pieces: 1, reckonS: 60 }, 60);
  await cluster.until('it runs', () => cluster.runningTasks.length === 1);
  for (let n = 0; n < 5; n += 1) cluster.addWorker('b');
  await cluster.clock.advance(13_000);
  return cluster.worker(cluster.machineOf('req-1/0') ?? '');
}

for (const takeover of [false, true]) {
  test(`start commands queue at an unresponsive machine${takeover ? ' during a takeover' : ''} and are carried out when it resumes`, async () => {
    const cluster = new SimulatedCluster();
    const worker = await oneBusyMachine(cluster);
    let queued = 0;
    cluster.network.rule(({ to, path, body }) => {
      if (to === worker.address && path === '/do' && JSON.stringify(body).includes('"run"')) queued += 1;
      return path === '/hosts/release' ? 'lose' : undefined;
    });
    worker.isHanging = true;
    await cluster.submit('req-2', { pieces: 10, reckonS: 30 }, 30);
    await cluster.until('starts left for it', () => queued > 0, 5);
    if (takeover) await changeLeader(cluster);
    await cluster.clock.advance(4000);
    const heal = cluster.isolateWorker(worker.id);
    worker.isHanging = false;
    await cluster.clock.advance(1000);
    assert.ok(worker.startCommands.length > 1, 'what was queued is carried out');
    heal();
    await cluster.assertJobsFinish(120);
    assert.deepEqual(cluster.invariants.unfinishedJobs, []);
    cluster.assertInvariants();
  });
}

test('a start command is delayed beyond the death of its leader and arrives before the next one can ask', async () => {
  const cluster = new SimulatedCluster();
  const worker = await oneBusyMachine(cluster);
  let held = 0;
  const hold = cluster.network.rule(({ to, path, body }) => {
    if (to !== worker.address || path !== '/do' || !JSON.stringify(body).includes('"run"')) return undefined;
    held += 1;
    return 'hold';
  });
  await cluster.submit('req-2', { pieces: 10, reckonS: 30 }, 30);
  await cluster.until('starts are on their way', () => held > 0, 5);
  await cluster.clock.advance(200);
  const old = await cluster.untilOwned();
  const heal = cluster.network.rule(({ from, to }) =>
    (to === worker.address && from !== `node-${old}`) || from === worker.id ? 'lose' : undefined,
  );
  cluster.kill(old);
  hold();
  await cluster.clock.advance(2000);
  assert.ok(cluster.network.releaseHeld() > 0);
  await cluster.clock.advance(100);
  assert.ok(worker.startCommands.length > 1, 'it starts them');
  await cluster.untilOwned();
  await cluster.clock.advance(1500);
  heal();
  await cluster.assertJobsFinish(150);
  assert.deepEqual(cluster.invariants.unfinishedJobs, []);
  cluster.assertInvariants();
});

test('all commands are delayed during a takeover and arrive when the next leader has acted', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 8 });
  cluster.capacity = 3;
  await cluster.submit('req-1', { pieces: 6, crew: 'red', bookmarkS: 5, stashS: 1, reckonS: 60 }, 60);
  await cluster.submit('req-2', { pieces: 6, reckonS: 60 }, 60);
  await cluster.until('12 tasks run', () => cluster.runningTasks.length === 12);
  await cluster.clock.advance(2000);
  // Orders in the answers to reports are lost meanwhile.
  const hold = cluster.network.rule(({ path, from }) => {
    if (path === '/hello' && from !== 'late') return 'lose answer';
    return path === '/do' ? 'hold' : undefined;
  });
  // Stops for what is urgent, for what is cancelled, and starts.
  await cluster.submit('req-3', { pieces: 4, urgency: 'urgent', reckonS: 20 }, 20);
  assert.equal(await cluster.cancel('req-2'), 'withdrawn');
  await cluster.submit('req-4', { pieces: 4, crew: 'red', reckonS: 20 }, 20);
  await cluster.clock.advance(500);
  await changeLeader(cluster);
  hold();
  await cluster.clock.advance(1500);
  assert.ok(cluster.network.releaseHeld() > 0);
  await cluster.clock.advance(1500);
  assert.deepEqual(tasksOf(cluster, 'req-2'), []);
  await cluster.assertJobsFinish(200);
  assert.deepEqual(cluster.invariants.unfinishedJobs, []);
  cluster.assertInvariants();
});

test('a report delayed until a new leader has declared the worker dead brings back no attempts', async () => {
  const cluster = new SimulatedCluster();
  cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
  await cluster.submit('req-1', { pieces: 2, reckonS: 60 }, 60);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length === 2);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const held = [worker.nextHeartbeat(), worker.nextHeartbeat()];
  cluster.isolateWorker(worker.id);
  cluster.capacity = 0;
  cluster.kill(cluster.owner);
  await cluster.clock.advance(100);
  const owner = await cluster.untilOwned();
  const machine = cluster.controllers[owner]?.controller.owners.get(0)?.machines.get(worker.id);
  await cluster.until('it is taken for dead', () => machine?.isConfirmed === true, 30);
  replayHeartbeats(cluster, held);
  await cluster.clock.advance(500);
  assert.equal(machine?.attempts.size, 0);
  // There is room elsewhere, and nothing holds it up.
  cluster.addWorker('b');
  cluster.capacity = 2;
  for (let step = 0; step < 25; step += 1) {
    replayHeartbeats(cluster, held);
    await cluster.clock.advance(800);
  }
  assert.equal(tasksOf(cluster, 'req-1').length, 2);
  await cluster.untilJobState('req-1', 'done', 120, owner);
  cluster.assertInvariants();
});

test('an old report changes nothing', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1 }, 30);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  await cluster.clock.advance(3000);
  const address = cluster.controllers[cluster.owner]?.address ?? '';
  const late = { ...worker.nextHeartbeat(), tally: 1, pieces: [] };
  void cluster.network.caller(worker.id).call(address, 'POST', '/hello', late, 4000);
  await cluster.clock.advance(5000);
  const starts = [...cluster.workers.values()].flatMap((w) => w.startCommands);
  assert.equal(starts.length, 1);
});
