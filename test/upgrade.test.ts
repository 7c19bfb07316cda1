import assert from 'node:assert/strict';
import { test } from 'node:test';
import { read } from '../src/bookkeeping/records';
import type { Version } from './fakes/versions';
import { SimulatedCluster } from './fakes/simulated-cluster';
import {
  OLD,
  NEW,
  ALL_OLD,
  RESTART_MS,
  ROLL_STEPS_MS,
  writesRecord,
  versionOf,
  leaderIndex,
  controllersWithFormatRecord,
  isFormatGateOpen,
  upgrade,
  startsOf,
  assertStartedOnce,
  forceHandover,
  runTasks,
  clusterOwnedByFirst,
} from './upgrade-steps';

for (const order of [
  [0, 1, 2],
  [2, 1, 0],
  [1, 0, 2],
]) {
  for (const stepMs of ROLL_STEPS_MS) {
    test(`rolling upgrade in the order ${order.join()} every ${stepMs} ms: every task runs once`, async () => {
      const cluster = new SimulatedCluster({ versions: ALL_OLD });
      await runTasks(cluster, 'req-1', 16, 70);
      for (const [step, index] of order.entries()) {
        assert.equal(isFormatGateOpen(cluster), false);
        await upgrade(cluster, index);
        await cluster.submit(`req-${step + 2}`, { pieces: 6, reckonS: 8 }, 8, index);
        await cluster.clock.advance(stepMs);
      }
      assert.ok(isFormatGateOpen(cluster));
      await cluster.assertJobsFinish();
      for (const id of ['req-1', 'req-2', 'req-3', 'req-4']) assert.equal(await cluster.jobState(id), 'done');
      assertStartedOnce(cluster, 'req-1', 16);
      cluster.assertInvariants();
    });
  }
}

for (const [first, others] of [
  [OLD, NEW],
  [NEW, OLD],
] as const) {
  test(`the leader runs ${first}, the shard owner ${others}: jobs are accepted, completed and cancelled`, async () => {
    const cluster = await clusterOwnedByFirst([first, others, others]);
    await runTasks(cluster, 'req-1', 16, 60);
    assert.equal(await forceHandover(cluster), 1);
    assert.equal(versionOf(cluster, leaderIndex(cluster)), first);
    assert.equal(versionOf(cluster, cluster.owner), others);
    await cluster.submit('req-2', { pieces: 4 }, 5, 0);
    await runTasks(cluster, 'req-3', 4, 200);
    assert.equal(await cluster.cancel('req-3', 0), 'withdrawn');
    await cluster.clock.advance(4_000);
    assert.ok(!cluster.runningTasks.some((task) => task.startsWith('req-3/')));
    for (const index of [0, 1, 2]) assert.equal(await cluster.jobState('req-3', index), 'withdrawn');
    // The leader adopts a machine without a record, and the owner starts tasks on it.
    cluster.capacity = 0;
    const machineWithoutRecord = cluster.addWorker('b');
    await cluster.submit('req-4', { pieces: 30, reckonS: 10 }, 10, 2);
    await cluster.until(
      'a task starts on the adopted machine',
      () => cluster.worker(machineWithoutRecord).startCommands.length > 0,
    );
    for (const id of ['req-1', 'req-2', 'req-4']) await cluster.untilJobState(id, 'done');
    assertStartedOnce(cluster, 'req-1', 16);
    assert.equal(leaderIndex(cluster), 0);
    cluster.assertInvariants();
  });

  test(`the owner runs ${first}, its peers ${others}: they extend its lease through a long outage of the store`, async () => {
    const cluster = await clusterOwnedByFirst([first, others, others]);
    await runTasks(cluster, 'req-1', 3, 60);
    cluster.store.outage(true);
    for (let second = 0; second < 25; second += 1) {
      await cluster.clock.advance(1_000);
      assert.equal(cluster.runningTasks.length, 3, `after ${second} s`);
    }
    cluster.store.outage(false);
    await cluster.untilJobState('req-1', 'done');
    assertStartedOnce(cluster, 'req-1', 3);
    cluster.assertInvariants();
  });

  test(`the owner runs ${first}, its peers ${others}: in an outage it learns from them of an earlier cancellation`, async () => {
    const cluster = await clusterOwnedByFirst([first, others, others]);
    await runTasks(cluster, 'req-1', 3, 200);
    cluster.store.refused.add('node-0');
    cluster.dropsPeerMessages = true;
    assert.equal(await cluster.cancel('req-1', 1), 'withdrawn');
    cluster.store.outage(true);
    cluster.dropsPeerMessages = false;
    await cluster.clock.advance(25_000);
    assert.deepEqual(cluster.runningTasks, []);
    cluster.assertInvariants();
  });
}

test('a shard is handed over between old and new owners: its record keeps all fields, and no task is lost', async () => {
  const cluster = await clusterOwnedByFirst([OLD, NEW, OLD]);
  await runTasks(cluster, 'req-1', 16, 120);
  const record = (): unknown => cluster.store.data.get('live/block/0')?.data;
  const before = record();
  for (const expected of [NEW, OLD, OLD, NEW]) {
    const newOwner = await forceHandover(cluster);
    assert.equal(versionOf(cluster, newOwner), expected);
    const name = `node-${newOwner}`;
    assert.deepEqual(record(), { ...(before as object), owner: name, holder: name });
    assert.equal(cluster.runningTasks.length, 16);
  }
  await cluster.untilJobState('req-1', 'done');
  assertStartedOnce(cluster, 'req-1', 16);
  cluster.assertInvariants();
});

test('the last old controller, owner and leader, is killed: the new owner keeps its tasks running', async () => {
  const cluster = await clusterOwnedByFirst([OLD, NEW, NEW]);
  await runTasks(cluster, 'req-1', 16, 60);
  const placements = (): string[] => cluster.runningTasks.map((task) => `${task} ${cluster.machineOf(task)}`);
  const before = placements();
  cluster.kill(0);
  await cluster.clock.advance(100);
  assert.equal(versionOf(cluster, await cluster.untilOwned()), NEW);
  await cluster.clock.advance(2_000);
  assert.deepEqual(placements(), before);
  assert.deepEqual(controllersWithFormatRecord(cluster), ['node-1', 'node-2']);
  cluster.restart(0, NEW);
  await cluster.clock.advance(1_000);
  assert.ok(isFormatGateOpen(cluster));
  await cluster.untilJobState('req-1', 'done');
  assertStartedOnce(cluster, 'req-1', 16);
  cluster.assertInvariants();
});

test('an old controller crashes during a rolling upgrade and restarts with the old version: all jobs finish', async () => {
  const cluster = new SimulatedCluster({ versions: ALL_OLD });
  await runTasks(cluster, 'req-1', 16, 90);
  await upgrade(cluster, 0);
  await cluster.clock.advance(6_000);
  cluster.kill(1);
  await cluster.clock.advance(RESTART_MS);
  cluster.restart(1);
  assert.equal(versionOf(cluster, 1), OLD);
  await cluster.clock.advance(6_000);
  await upgrade(cluster, 2);
  await cluster.submit('req-2', { pieces: 6 }, 6, 2);
  await cluster.clock.advance(12_000);
  assert.deepEqual(controllersWithFormatRecord(cluster), ['node-0', 'node-2']);
  await upgrade(cluster, 1);
  await cluster.clock.advance(1_000);
  assert.ok(isFormatGateOpen(cluster));
  await cluster.assertJobsFinish();
  assertStartedOnce(cluster, 'req-1', 16);
  cluster.assertInvariants();
});

test('a new owner takes over a job of which the old owner wrote some completions without getting a response', async () => {
  const cluster = await clusterOwnedByFirst([OLD, NEW, NEW]);
  const completed = new Set<string>();
  cluster.onTaskCompleted = (task) => completed.add(task);
  await cluster.submit('req-1', { pieces: 60, cpus: 2, reckonS: 4 }, 4);
  const isWritten = (): boolean => cluster.store.data.has('live/done/req-1/0');
  await cluster.until('completions are recorded', isWritten);
  cluster.store.rule((request) =>
    request.from === 'node-0' && writesRecord(request, 'live/done/') ? 'lose answer' : undefined,
  );
  const version = cluster.store.data.get('live/done/req-1/0')?.stamp;
  const isWrittenAgain = (): boolean => cluster.store.data.get('live/done/req-1/0')?.stamp !== version;
  await cluster.until('more completions are recorded', isWrittenAgain);
  cluster.kill(0);
  const bits = read.done(cluster.store.data.get('live/done/req-1/0')?.data)?.bits ?? '';
  const recorded = [...Buffer.from(bits, 'base64')].flatMap((byte, n) =>
    [0, 1, 2, 3, 4, 5, 6, 7].filter((bit) => (byte >> bit) & 1).map((bit) => `req-1/${n * 8 + bit}`),
  );
  assert.ok(recorded.length >= 16 && recorded.every((task) => completed.has(task)));
  const before = startsOf(cluster, 'req-1');
  await cluster.clock.advance(100);
  assert.equal(versionOf(cluster, await cluster.untilOwned()), NEW);
  await cluster.untilJobState('req-1', 'done', 120, 1);
  const after = startsOf(cluster, 'req-1');
  for (const task of recorded) assert.equal(after.get(task), before.get(task), `${task} started again`);
  assert.equal(completed.size, 60);
  assert.deepEqual(cluster.store.data.get('final/req-1')?.data, { state: 'done', done: 60 });
  await cluster.clock.advance(5_000);
  assert.equal(isWritten(), false);
  cluster.assertInvariants();
});

for (const fault of ['lose answer', 'refuse', { lateMs: 2_000 }] as const) {
  test(`a new owner takes over a job whose final write by the old owner met the fault ${JSON.stringify(fault)}`, async () => {
    const cluster = await clusterOwnedByFirst([OLD, NEW, NEW]);
    let finalWrites = 0;
    cluster.store.rule((request) => {
      if (request.from !== 'node-0' || !writesRecord(request, 'final/')) return undefined;
      finalWrites += 1;
      return fault;
    });
    await runTasks(cluster, 'req-1', 3, 5);
    await cluster.until('the final state is sent', () => finalWrites > 0);
    await cluster.clock.advance(20);
    cluster.kill(0);
    assert.equal(cluster.store.data.has('final/req-1'), fault === 'lose answer');
    await cluster.clock.advance(100);
    assert.equal(versionOf(cluster, await cluster.untilOwned()), NEW);
    for (const index of [1, 2]) await cluster.untilJobState('req-1', 'done', 60, index);
    assert.deepEqual(cluster.store.data.get('final/req-1')?.data, { state: 'done', done: 3 });
    assertStartedOnce(cluster, 'req-1', 3);
    cluster.assertInvariants();
  });
}

test('a new owner takes over machines that the old owner rented and that are still booting', async () => {
  const cluster = await clusterOwnedByFirst([OLD, NEW, NEW]);
  cluster.bootMs = 9_000;
  await cluster.submit('req-1', { pieces: 8, reckonS: 20 }, 20);
  const machines = (): { up?: boolean }[] =>
    [...cluster.store.data]
      .filter(([key]) => key.startsWith('live/machine/'))
      .map(([, { data }]) => data as { up?: boolean });
  await cluster.until('rentals are recorded', () => machines().length >= 2);
  assert.ok(machines().every(({ up }) => up === false));
  const rented = cluster.workers.size;
  cluster.kill(0);
  await cluster.clock.advance(100);
  assert.equal(versionOf(cluster, await cluster.untilOwned()), NEW);
  await cluster.until('the tasks run', () => cluster.runningTasks.length === 8, 40);
  assert.equal(cluster.workers.size, rented, 'no further machine was rented');
  assert.ok(machines().every(({ up }) => up === true));
  await cluster.untilJobState('req-1', 'done', 120, 1);
  assertStartedOnce(cluster, 'req-1', 8);
  cluster.assertInvariants();
});

for (const versions of [
  [NEW, OLD, NEW],
  [NEW, OLD, OLD],
  [OLD, OLD, NEW],
] as Version[][]) {
  test(`all controllers are killed during a rolling upgrade and restart as ${versions.join()}: all jobs finish`, async () => {
    const cluster = new SimulatedCluster({ versions: ALL_OLD });
    await runTasks(cluster, 'req-1', 16, 30);
    await cluster.submit('req-2', { pieces: 20, reckonS: 4 }, 4, 1);
    await upgrade(cluster, 0);
    await cluster.clock.advance(5_000);
    for (const index of [0, 1, 2]) cluster.kill(index);
    await cluster.clock.advance(5_000);
    for (const index of [2, 0, 1]) cluster.restart(index, versions[index]);
    await cluster.submit('req-3', { pieces: 3 }, 3, 2);
    await cluster.clock.advance(10_000);
    for (const [index, version] of versions.entries()) if (version === OLD) await upgrade(cluster, index);
    await cluster.clock.advance(1_000);
    assert.ok(isFormatGateOpen(cluster));
    for (const id of ['req-1', 'req-2', 'req-3']) await cluster.untilJobState(id, 'done');
    await cluster.assertJobsFinish();
  });
}
