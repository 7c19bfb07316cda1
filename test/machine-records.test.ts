/** @file Records of new machines while the key-value store loses or delays writes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ControllerContext } from '../src/coordination/controller-context';
import { Machine } from '../src/coordination/shard/machine';
import { MachineRegistration } from '../src/coordination/shard/machine-registration';
import type { Shard } from '../src/coordination/shard/shard';
import { type } from './scheduling-inputs';
import { FakeClock } from './fakes/clock';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { startCount } from './fault-steps';

/** Loses or delays every transaction that would record a machine as up, or loses only its response. */
function disruptUpRecords(
  cluster: SimulatedCluster,
  delivery: 'lose' | 'lose answer' | 'hold',
  onMatch: () => void,
): () => void {
  return cluster.network.rule(({ path, body }) => {
    if (path !== '/txn' || !JSON.stringify(body).includes('"up":true')) return undefined;
    onMatch();
    return delivery;
  });
}

for (const [what, delivery] of [
  ['never written', 'lose'],
  ['written with the responses lost', 'lose answer'],
  ['written after the leader died', 'hold'],
] as const) {
  test(`fault combination: new machines are up at once, their records are ${what}, and the leader dies: no task runs twice`, async () => {
    const cluster = new SimulatedCluster();
    cluster.bootMs = 200;
    let writeCount = 0;
    const removeRule = disruptUpRecords(cluster, delivery, () => {
      writeCount += 1;
    });
    await cluster.submit('req-1', { pieces: 8, reckonS: 60 }, 60);
    await cluster.until('a machine came up', () => writeCount > 0, 20);
    await cluster.clock.advance(3000);
    const old = cluster.owner;
    // Until the partition ends, the workers reach only the old leader and not its successor.
    const oldWorkers = [...cluster.workers.values()];
    const endPartition = cluster.network.rule(({ from, to }) => {
      const down = oldWorkers.some((w) => w.address === to) && from !== `node-${old}`;
      const up = oldWorkers.some((w) => w.id === from) && to !== cluster.controllers[old]?.address;
      return down || up ? 'lose' : undefined;
    });
    cluster.kill(old);
    removeRule();
    cluster.network.releaseHeld();
    await cluster.clock.advance(100);
    const owner = await cluster.untilOwned();
    const machines = cluster.controllers[owner]?.controller.owners.get(0)?.machines;
    for (const worker of oldWorkers) {
      const machine = machines?.get(worker.id);
      if (worker.attempts.size > 0) assert.ok(machine?.isUp, `${worker.id} has tasks`);
      // A worker whose machine is not recorded as up never got a response, and so got no tasks.
      if (!machine?.isUp) assert.equal(worker.fencingToken, 0);
    }
    for (let n = 0; n < 4; n += 1) cluster.addWorker('b');
    await cluster.clock.advance(6000);
    endPartition();
    await cluster.untilJobState('req-1', 'done', 150, owner);
    cluster.assertInvariants();
  });
}

test('machines that send heartbeats while the write of their rental is delayed get tasks only once it is recorded', async () => {
  const cluster = new SimulatedCluster();
  cluster.bootMs = 100;
  // A rental may be recorded as booting, or as up after the first heartbeat. Both writes are lost.
  const isRental = (path: string, body: unknown): boolean =>
    path === '/txn' && JSON.stringify(body).includes('"set":"live/machine/');
  const removeRule = cluster.network.rule(({ path, body }) => (isRental(path, body) ? 'lose' : undefined));
  await cluster.submit('req-1', { pieces: 6, reckonS: 40 }, 40);
  await cluster.until('a machine is rented', () => cluster.workers.size > 0, 20);
  await cluster.clock.advance(4000);
  for (const worker of cluster.workers.values())
    assert.equal(worker.fencingToken, 0, 'the worker has got no response');
  assert.equal(startCount(cluster), 0);
  // The leader that rented them dies before it recorded them, so only the cloud's list contains them.
  cluster.kill(cluster.owner);
  removeRule();
  await cluster.clock.advance(100);
  const owner = await cluster.untilOwned();
  await cluster.until('6 tasks run', () => cluster.runningTasks.length === 6, 60);
  await cluster.untilJobState('req-1', 'done', 90, owner);
  assert.equal(startCount(cluster), 6);
  cluster.assertInvariants();
});

test('a machine that sends a heartbeat before its rental is recorded is recorded once, as up, and gets tasks at once', async () => {
  const cluster = new SimulatedCluster();
  cluster.bootMs = 50;
  const writes: string[] = [];
  cluster.network.rule(({ path, body }) => {
    if (path !== '/txn') return undefined;
    const { apply } = body as { apply: { set?: string; data?: { up?: boolean } }[] };
    const machines = apply.filter(({ set }) => set?.startsWith('live/machine/'));
    // Every write that records a rental as booting is lost.
    if (machines.some(({ data }) => data?.up === false)) return 'lose';
    writes.push(...machines.map(({ set = '' }) => set));
    return undefined;
  });
  await cluster.submit('req-1', { pieces: 6, reckonS: 40 }, 40);
  await cluster.until('6 tasks run', () => cluster.runningTasks.length === 6, 20);
  assert.equal(new Set(writes).size, writes.length, 'one write per machine');
  await cluster.untilJobState('req-1', 'done', 90);
  assert.equal(startCount(cluster), 6);
  cluster.assertInvariants();
});

test('a machine that sends heartbeats does not count as a late boot, however long its record is delayed', async () => {
  const cluster = new SimulatedCluster();
  cluster.bootMs = 1000;
  const isUp = (body: unknown): boolean => JSON.stringify(body).includes('"up":true');
  await cluster.submit('req-1', { pieces: 4, reckonS: 40 }, 40);
  await cluster.until(
    'machines are recorded',
    () => [...cluster.store.data.keys()].some((k) => k.startsWith('live/machine/')),
    20,
  );
  const removeRule = cluster.network.rule(({ path, body }) =>
    path === '/txn' && isUp(body) ? 'lose' : undefined,
  );
  // Three boot times of the type: a machine without heartbeats would have been released by then.
  await cluster.clock.advance(30_000);
  assert.equal([...cluster.workers.values()].filter((w) => w.isTerminated).length, 0);
  removeRule();
  await cluster.untilJobState('req-1', 'done', 120);
  cluster.assertInvariants();
});

test('a machine whose record was deleted is not recorded as up', async () => {
  const clock = new FakeClock();
  const written: string[] = [];
  const store = {
    compareAndSwap: (_: unknown, changes: { put: string }[]) => {
      written.push(...changes.map((c) => c.put));
      return Promise.resolve({ ok: true, revision: 9 });
    },
  };
  const versions = { 'live/machine/host-2': 7 } as Record<string, number>;
  const cache = { version: (key: string) => versions[key] ?? 0 };
  const settings = { platform: { deployment: { state: { txn_ops: 32, write_rps: 100 } } } };
  const log = { info: () => undefined };
  const context = { cache, store, clock, settings, log } as unknown as ControllerContext;
  const shard = { leaseCondition: () => ({ key: 'live/lease/0', version: 3 }) } as unknown as Shard;
  const registration = new MachineRegistration(shard, context);
  const record = { block: 0, address: '', type: 'm4', zone: 'a', spot: true, up: false, rentedAt: 0 };
  const machine = (id: string): Machine =>
    new Machine({ id, record: { ...record }, type, firstSeenAt: 0, rentedSince: 0 });
  // The first was released, and its record deleted, after its heartbeat and before the write of its record.
  const outcomes = Promise.all(
    ['host-1', 'host-2'].map((id) => registration.register(machine(id), '10.1.0.1:1')),
  );
  await clock.advance(100);
  assert.deepEqual(await outcomes, [false, true]);
  assert.deepEqual(written, ['live/machine/host-2']);
});
