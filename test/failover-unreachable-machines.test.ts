/** @file Machines that are unreachable during a takeover, and what may start before they are heard. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { dropReleaseRequests, replaceOwner } from './failover-steps';

test('after a takeover no task that an unreachable worker may run is started before its lease has ended', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 2 }, 60);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length >= 2);
  const machine = cluster.machineOf('req-1/0');
  assert.ok(machine);
  const worker = cluster.worker(machine);
  const starts = (): number => [...cluster.workers.values()].flatMap((w) => w.startCommands).length;
  // The cloud can't be asked to end the machine either: only its lease is left.
  dropReleaseRequests(cluster);
  const heal = cluster.network.rule(({ from, to }) =>
    from === machine || to === worker.address ? 'lose' : undefined,
  );
  const owner = await replaceOwner(cluster);
  const takenAt = cluster.clock.now();
  const before = starts();
  await cluster.clock.advance(8000);
  assert.equal(starts(), before, 'started too early');
  await cluster.until('something starts', () => starts() !== before);
  assert.ok(cluster.clock.now() - takenAt > 9000);
  heal();
  await cluster.untilJobState('req-1', 'done', 120, owner);
  cluster.assertInvariants();
});

test('a job accepted after the takeover need not wait for unreachable workers', async () => {
  const cluster = new SimulatedCluster();
  cluster.addWorker('b');
  cluster.addWorker('b');
  await cluster.clock.advance(12_000);
  await cluster.submit('req-1', { pieces: 1 }, 60);
  await cluster.until('1 tasks run', () => cluster.runningTasks.length >= 1);
  const machine = cluster.machineOf('req-1/0') ?? '';
  const worker = cluster.worker(machine);
  dropReleaseRequests(cluster);
  cluster.network.rule(({ from, to }) => (from === machine || to === worker.address ? 'lose' : undefined));
  const owner = await replaceOwner(cluster);
  const takenAt = cluster.clock.now();
  await cluster.submit('req-2', { pieces: 1 }, 5, owner);
  await cluster.until('req-2/0 runs', () => !(cluster.machineOf('req-2/0') === undefined));
  assert.ok(cluster.clock.now() - takenAt < 8000);
  cluster.assertInvariants();
});

test('after a takeover a machine that is gone holds up its shard only until it is released', async () => {
  for (const hasPower of [true, false]) {
    const cluster = new SimulatedCluster();
    await cluster.submit('req-1', { pieces: 2 }, 60);
    await cluster.until('2 tasks run', () => cluster.runningTasks.length >= 2);
    const machine = cluster.worker(cluster.machineOf('req-1/0') ?? '');
    const spare = [cluster.addWorker('b'), cluster.addWorker('b')];
    await cluster.clock.advance(13_000);
    // It takes connections and says nothing, or there is nobody to connect to.
    machine.isHanging = true;
    if (!hasPower) cluster.network.rule(({ to }) => (to === machine.address ? 'unreachable' : undefined));
    await replaceOwner(cluster);
    const takenAt = cluster.clock.now();
    await cluster.until('its tasks run elsewhere', () => spare.includes(cluster.machineOf('req-1/0') ?? ''));
    assert.ok(cluster.clock.now() - takenAt < 8000, `${cluster.clock.now() - takenAt} ms`);
    cluster.assertInvariants();
  }
});

test('a new job of a team with a limit starts during a takeover if the limit holds whatever unseen machines run', async () => {
  for (const [limitCpus, startsEarly] of [
    [8, true],
    [4, false],
  ] as const) {
    const cluster = new SimulatedCluster({ limitCpus });
    cluster.addWorker('b');
    cluster.addWorker('b');
    await cluster.clock.advance(12_000);
    await cluster.submit('req-1', { crew: 'red', pieces: 1 }, 60);
    await cluster.until('1 tasks run', () => cluster.runningTasks.length >= 1);
    const machine = cluster.machineOf('req-1/0') ?? '';
    const { address } = cluster.worker(machine);
    dropReleaseRequests(cluster);
    cluster.network.rule(({ from, to }) => (from === machine || to === address ? 'lose' : undefined));
    const owner = await replaceOwner(cluster);
    await cluster.submit('req-2', { crew: 'red', pieces: 1 }, 5, owner);
    await cluster.clock.advance(7000);
    assert.equal(
      cluster.machineOf('req-2/0') !== undefined || (await cluster.jobState('req-2', owner)) === 'done',
      startsEarly,
    );
    cluster.assertInvariants();
  }
});

test('unreachable machines count against a limit only with what the team can run there', async () => {
  for (const [cpus, cancelled, startsEarly] of [
    [1, false, true],
    [4, false, false],
    [4, true, false],
  ] as const) {
    const cluster = new SimulatedCluster({ limitCpus: 4 });
    cluster.addWorker('b');
    cluster.addWorker('b');
    // Long enough for every controller to have seen each job end whose tasks may still be anywhere.
    await cluster.clock.advance(50_000);
    await cluster.submit('req-1', { crew: 'red', pieces: 1, cpus }, 60);
    await cluster.until('1 tasks run', () => cluster.runningTasks.length >= 1);
    const machine = cluster.machineOf('req-1/0') ?? '';
    const { address } = cluster.worker(machine);
    dropReleaseRequests(cluster);
    cluster.network.rule(({ from, to }) => (from === machine || to === address ? 'lose' : undefined));
    if (cancelled) assert.equal(await cluster.cancel('req-1'), 'withdrawn');
    const owner = await replaceOwner(cluster);
    await cluster.submit('req-2', { crew: 'red', pieces: 1 }, 5, owner);
    await cluster.clock.advance(7000);
    const began =
      cluster.machineOf('req-2/0') !== undefined || (await cluster.jobState('req-2', owner)) === 'done';
    assert.equal(began, startsEarly, `${cpus} CPUs, cancelled: ${cancelled}`);
    cluster.assertInvariants();
  }
});

test('after a takeover the workers of a large fleet report by themselves; only those that do not are asked', async () => {
  const cluster = new SimulatedCluster();
  cluster.capacity = 110;
  await cluster.submit('req-1', { pieces: 420, reckonS: 200 }, 200);
  await cluster.until('420 tasks run', () => cluster.runningTasks.length >= 420);
  cluster.addWorker('b');
  await cluster.clock.advance(13_000);
  const silent = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const asked: string[] = [];
  cluster.network.rule(({ from, to, path, body }) => {
    if (path === '/do' && (body as { orders: unknown[] }).orders.length === 0) asked.push(to);
    return path === '/hosts/release' || from === silent.id || to === silent.address ? 'lose' : undefined;
  });
  const owner = await replaceOwner(cluster);
  await cluster.submit('req-2', { pieces: 1 }, 30, owner);
  await cluster.until('the new job runs', () => cluster.machineOf('req-2/0') !== undefined, 5);
  // The last ones are: when few are missing, questions are quicker.
  assert.ok(new Set(asked).size <= 64, `${new Set(asked).size} machines were asked`);
  await cluster.until('the silent one is asked', () => asked.includes(silent.address), 5);
  const lost = 420 - cluster.runningTasks.filter((p) => p.startsWith('req-1/')).length;
  assert.ok(lost <= 4, `${lost} tasks of machines within reach are gone`);
  cluster.assertInvariants();
});
