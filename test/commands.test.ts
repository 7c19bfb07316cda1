import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';

const isStart = (body: unknown): boolean => JSON.stringify(body ?? null).includes('"run"');

test('a start command whose response is lost is not repeated on another machine', async () => {
  const cluster = new SimulatedCluster();
  const removeRule = cluster.network.rule(({ path, body }) =>
    path === '/do' && isStart(body) ? 'lose answer' : undefined,
  );
  await cluster.submit('req-1', { pieces: 2 }, 20);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length >= 2);
  removeRule();
  await cluster.untilJobState('req-1', 'done');
  const starts = [...cluster.workers.values()].flatMap((w) => [...new Set(w.startCommands)]);
  assert.equal(starts.length, 2);
  cluster.assertInvariants();
});

test('the task of a delayed start command counts as being on its machine; the command is rejected once the fencing token has been raised', async () => {
  const cluster = new SimulatedCluster();
  cluster.addWorker();
  cluster.addWorker();
  await cluster.untilOwned();
  await cluster.clock.advance(8000);
  let heldAddress = '';
  const removeRule = cluster.network.rule(({ path, to, body }) => {
    if (path !== '/do' || !isStart(body)) return undefined;
    heldAddress = heldAddress === '' ? to : heldAddress;
    return to === heldAddress ? 'hold' : undefined;
  });
  await cluster.submit('req-1', { pieces: 1 }, 30);
  await cluster.until('a start command is held', () => heldAddress !== '');
  // The start is unconfirmed, so the task must not be started on another machine yet.
  await cluster.clock.advance(900);
  assert.deepEqual(cluster.runningTasks, []);
  const other = [...cluster.workers.values()].filter((w) => w.address !== heldAddress);
  assert.deepEqual(
    other.flatMap((w) => w.startCommands),
    [],
  );
  removeRule();
  // The worker receives a higher token and rejects the held command from then on, so the task is re-issued.
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  assert.equal(cluster.network.releaseHeld() > 0, true);
  await cluster.untilJobState('req-1', 'done');
  cluster.assertInvariants();
});

test('no attempt is reaped while a delayed duplicate of its start command could start it again', async () => {
  const cluster = new SimulatedCluster();
  const copies: unknown[] = [];
  cluster.network.rule(({ from, path, body }) => {
    if (from !== 'late' && path === '/do' && isStart(body)) copies.push(structuredClone(body));
    return undefined;
  });
  await cluster.submit('req-1', { pieces: 1 }, 5);
  await cluster.untilJobState('req-1', 'done');
  const [worker] = [...cluster.workers.values()].filter((w) => w.startCommands.length > 0);
  assert.ok(worker);
  for (let step = 0; step < 40; step += 1) {
    for (const body of copies) {
      cluster.network
        .caller('late')
        .call(worker.address, 'POST', '/do', body, 100)
        .catch(() => undefined);
    }
    await cluster.clock.advance(500);
    assert.deepEqual(cluster.runningTasks, [], 'a delayed duplicate started the task again');
  }
  assert.equal(worker.reapCommands.length, 1);
});

test('a completion is reaped only once it is recorded', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1 }, 5);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  const removeRule = cluster.network.rule(({ to, path }) =>
    to.endsWith(':2379') && path === '/txn' ? 'lose' : undefined,
  );
  await cluster.clock.advance(12_000);
  const reaped = [...cluster.workers.values()].flatMap((w) => w.reapCommands);
  assert.deepEqual(reaped, []);
  assert.notEqual(await cluster.jobState('req-1'), 'done');
  removeRule();
  await cluster.untilJobState('req-1', 'done');
  cluster.assertInvariants();
});

test('a team limit is not exceeded while tasks are lost and re-issued', async () => {
  const cluster = new SimulatedCluster({ limitCpus: 3 });
  await cluster.submit('req-1', { crew: 'red', pieces: 9 }, 4);
  await cluster.submit('req-2', { crew: 'red', pieces: 3 }, 4);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  const [first] = cluster.runningTasks;
  const machine = cluster.machineOf(first ?? '');
  assert.ok(machine);
  // The machine is unresponsive for a while; the tasks that it runs still count.
  cluster.worker(machine).isHanging = true;
  await cluster.clock.advance(4000);
  cluster.worker(machine).isHanging = false;
  await cluster.untilJobState('req-1', 'done');
  await cluster.untilJobState('req-2', 'done');
  cluster.assertInvariants();
});

test('an unresponsive machine is released, and its tasks are re-issued', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1 }, 30);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  const machine = cluster.machineOf('req-1/0');
  assert.ok(machine);
  cluster.addWorker('b');
  cluster.worker(machine).isHanging = true;
  const unresponsiveSince = cluster.clock.now();
  await cluster.until('the task has left', () => cluster.machineOf('req-1/0') !== machine);
  await cluster.until('req-1/0 runs', () => !(cluster.machineOf('req-1/0') === undefined));
  assert.ok(cluster.clock.now() - unresponsiveSince < 10_000, 'before the lease of the worker expires');
  assert.ok(cluster.worker(machine).isTerminated);
  await cluster.untilJobState('req-1', 'done');
  cluster.assertInvariants();
});

test('after a spot interruption notice, a task that can checkpoint is stopped in time and continues on another machine', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1, reckonS: 60, bookmarkS: 10, stashS: 2 }, 60);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  const machine = cluster.machineOf('req-1/0');
  assert.ok(machine);
  const worker = cluster.worker(machine);
  worker.spotNoticeS = 12;
  const interruptedAt = cluster.clock.now() + 12_000;
  let stored = false;
  while (cluster.clock.now() < interruptedAt) {
    await cluster.clock.advance(200);
    stored ||= [...worker.attempts.values()].some((p) => p.stored === true);
  }
  worker.terminate();
  assert.ok(stored, 'the checkpoint was stored before the interruption');
  await cluster.until('req-1/0 runs', () => !(cluster.machineOf('req-1/0') === undefined));
  assert.notEqual(cluster.machineOf('req-1/0'), machine);
  cluster.assertInvariants();
});

test('a failing machine gets no more tasks and is released; its job completes on other machines', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 4 }, 3);
  await cluster.untilJobState('req-1', 'done');
  const [failing] = [...cluster.workers.values()].filter((w) => !w.isTerminated);
  assert.ok(failing);
  failing.failsTasks = true;
  await cluster.submit('req-2', { pieces: 4 }, 8);
  await cluster.submit('req-3', { pieces: 4 }, 8);
  await cluster.untilJobState('req-2', 'done', 60);
  await cluster.untilJobState('req-3', 'done', 60);
  assert.ok(failing.isTerminated);
  cluster.assertInvariants();
});

test('a job that fails on every machine is retried with increasing delays and causes no further quarantines', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1 }, 3);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  for (const worker of cluster.workers.values()) worker.failsTasks = true;
  const startsAfterAMinute = async (): Promise<number> => {
    for (let step = 0; step < 60; step += 1) {
      await cluster.clock.advance(1000);
      for (const worker of cluster.workers.values()) worker.failsTasks = true;
    }
    return [...cluster.workers.values()].flatMap((w) => w.startCommands).length;
  };
  const first = await startsAfterAMinute();
  const second = (await startsAfterAMinute()) - first;
  assert.ok(first > 2, `${first} starts in the first minute`);
  assert.ok(second < first && second <= 3, `${second} starts in the second minute`);
  assert.equal(await cluster.cancel('req-1'), 'withdrawn');
});
