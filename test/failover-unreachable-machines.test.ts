/** @file Machines that are unreachable during a failover, and which tasks may start before they are confirmed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { dropReleaseRequests, replaceOwner } from './failover-steps';

test('after a failover a task that an unreachable worker may run is not started before the lease of that worker expires', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 2 }, 60);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length >= 2);
  const machine = cluster.machineOf('req-1/0');
  assert.ok(machine);
  const worker = cluster.worker(machine);
  const startCount = (): number => [...cluster.workers.values()].flatMap((w) => w.startCommands).length;
  // Release requests to the cloud are lost, too: the machine stops only when its lease expires.
  dropReleaseRequests(cluster);
  const endPartition = cluster.network.rule(({ from, to }) =>
    from === machine || to === worker.address ? 'lose' : undefined,
  );
  const owner = await replaceOwner(cluster);
  const failoverAt = cluster.clock.now();
  const startsBefore = startCount();
  await cluster.clock.advance(8000);
  assert.equal(startCount(), startsBefore, 'a task started before the lease expired');
  await cluster.until('a task starts', () => startCount() !== startsBefore);
  assert.ok(cluster.clock.now() - failoverAt > 9000);
  endPartition();
  await cluster.untilJobState('req-1', 'done', 120, owner);
  cluster.assertInvariants();
});

test('a job accepted after a failover does not wait for unreachable workers', async () => {
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
  const failoverAt = cluster.clock.now();
  await cluster.submit('req-2', { pieces: 1 }, 5, owner);
  await cluster.until('req-2/0 runs', () => !(cluster.machineOf('req-2/0') === undefined));
  assert.ok(cluster.clock.now() - failoverAt < 8000);
  cluster.assertInvariants();
});

test('after a failover an unresponsive machine delays its shard only until it is released', async () => {
  for (const acceptsConnections of [true, false]) {
    const cluster = new SimulatedCluster();
    await cluster.submit('req-1', { pieces: 2 }, 60);
    await cluster.until('2 tasks run', () => cluster.runningTasks.length >= 2);
    const machine = cluster.worker(cluster.machineOf('req-1/0') ?? '');
    const spareMachines = [cluster.addWorker('b'), cluster.addWorker('b')];
    await cluster.clock.advance(13_000);
    // The machine accepts connections but does not respond, or it can't be connected to.
    machine.isHanging = true;
    if (!acceptsConnections)
      cluster.network.rule(({ to }) => (to === machine.address ? 'unreachable' : undefined));
    await replaceOwner(cluster);
    const failoverAt = cluster.clock.now();
    await cluster.until('its tasks run elsewhere', () =>
      spareMachines.includes(cluster.machineOf('req-1/0') ?? ''),
    );
    assert.ok(cluster.clock.now() - failoverAt < 8000, `${cluster.clock.now() - failoverAt} ms`);
    cluster.assertInvariants();
  }
});

test('a job of a team with a limit starts during a failover if the limit holds whatever unconfirmed machines run', async () => {
  for (const [limitCpus, startsDuringFailover] of [
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
      startsDuringFailover,
    );
    cluster.assertInvariants();
  }
});

test('an unreachable machine counts against the limit of a team only with the CPUs that the team may use there', async () => {
  for (const [cpus, cancelled, startsDuringFailover] of [
    [1, false, true],
    [4, false, false],
    [4, true, false],
  ] as const) {
    const cluster = new SimulatedCluster({ limitCpus: 4 });
    cluster.addWorker('b');
    cluster.addWorker('b');
    // Long enough that every controller has seen the end of each job whose tasks may still run anywhere.
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
    const hasStarted =
      cluster.machineOf('req-2/0') !== undefined || (await cluster.jobState('req-2', owner)) === 'done';
    assert.equal(hasStarted, startsDuringFailover, `${cpus} CPUs, cancelled: ${cancelled}`);
    cluster.assertInvariants();
  }
});

test('after a failover the workers of a large fleet send heartbeats unasked; only the last unconfirmed ones are queried', async () => {
  const cluster = new SimulatedCluster();
  cluster.capacity = 110;
  await cluster.submit('req-1', { pieces: 420, reckonS: 200 }, 200);
  await cluster.until('420 tasks run', () => cluster.runningTasks.length >= 420);
  cluster.addWorker('b');
  await cluster.clock.advance(13_000);
  const unresponsive = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const queriedAddresses: string[] = [];
  cluster.network.rule(({ from, to, path, body }) => {
    if (path === '/do' && (body as { orders: unknown[] }).orders.length === 0) queriedAddresses.push(to);
    return path === '/hosts/release' || from === unresponsive.id || to === unresponsive.address
      ? 'lose'
      : undefined;
  });
  const owner = await replaceOwner(cluster);
  await cluster.submit('req-2', { pieces: 1 }, 30, owner);
  await cluster.until('the new job runs', () => cluster.machineOf('req-2/0') !== undefined, 5);
  // The last workers are queried even so: when few are unconfirmed, status queries are faster than heartbeats.
  assert.ok(new Set(queriedAddresses).size <= 64, `${new Set(queriedAddresses).size} machines were queried`);
  await cluster.until(
    'the unresponsive machine is queried',
    () => queriedAddresses.includes(unresponsive.address),
    5,
  );
  const lostTasks = 420 - cluster.runningTasks.filter((p) => p.startsWith('req-1/')).length;
  assert.ok(lostTasks <= 4, `${lostTasks} tasks of reachable machines are lost`);
  cluster.assertInvariants();
});
