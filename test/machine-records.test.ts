/** @file Records of new machines while the state service loses or delays writes. */
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

/** Drops every transaction that would record a machine as up, or only its answer. */
function disturbUpRecords(
  cluster: SimulatedCluster,
  fate: 'lose' | 'lose answer' | 'hold',
  seen: () => void,
): () => void {
  return cluster.network.rule(({ path, body }) => {
    if (path !== '/txn' || !JSON.stringify(body).includes('"up":true')) return undefined;
    seen();
    return fate;
  });
}

for (const [what, fate] of [
  ['never carried out', 'lose'],
  ['carried out, and only the answer is lost', 'lose answer'],
  ['carried out after the leader died', 'hold'],
] as const) {
  test(`fault combination: new machines up at once, their records ${what}, and the leader dies: no task runs twice`, async () => {
    const cluster = new SimulatedCluster();
    cluster.bootMs = 200;
    let written = 0;
    const heal = disturbUpRecords(cluster, fate, () => {
      written += 1;
    });
    await cluster.submit('req-1', { pieces: 8, reckonS: 60 }, 60);
    await cluster.until('a machine came up', () => written > 0, 20);
    await cluster.clock.advance(3000);
    const old = cluster.owner;
    // It holds on to its workers, which can't reach the next one yet.
    const kept = [...cluster.workers.values()];
    const far = cluster.network.rule(({ from, to }) => {
      const down = kept.some((w) => w.address === to) && from !== `node-${old}`;
      const up = kept.some((w) => w.id === from) && to !== cluster.controllers[old]?.address;
      return down || up ? 'lose' : undefined;
    });
    cluster.kill(old);
    heal();
    cluster.network.releaseHeld();
    await cluster.clock.advance(100);
    const owner = await cluster.untilOwned();
    const view = cluster.controllers[owner]?.controller.owners.get(0)?.machines;
    for (const worker of kept) {
      const known = view?.get(worker.id);
      if (worker.attempts.size > 0) assert.ok(known?.isUp, `${worker.id} holds tasks`);
      // Whatever became of the record: who was never answered has been given nothing.
      if (!known?.isUp) assert.equal(worker.fencingToken, 0);
    }
    for (let n = 0; n < 4; n += 1) cluster.addWorker('b');
    await cluster.clock.advance(6000);
    far();
    await cluster.untilJobState('req-1', 'done', 150, owner);
    cluster.assertInvariants();
  });
}

test('machines that report before their rental is recorded, while writes are delayed, get work only once recorded', async () => {
  const cluster = new SimulatedCluster();
  cluster.bootMs = 100;
  // A rental may be recorded as booting, or together with the first report as up: neither gets through.
  const isRental = (path: string, body: unknown): boolean =>
    path === '/txn' && JSON.stringify(body).includes('"set":"live/machine/');
  const lag = cluster.network.rule(({ path, body }) => (isRental(path, body) ? 'lose' : undefined));
  await cluster.submit('req-1', { pieces: 6, reckonS: 40 }, 40);
  await cluster.until('a machine is rented', () => cluster.workers.size > 0, 20);
  await cluster.clock.advance(4000);
  for (const worker of cluster.workers.values())
    assert.equal(worker.fencingToken, 0, 'nobody answers for it');
  assert.equal(startCount(cluster), 0);
  // The one who rented them ends before it could write them down: the cloud's list is all that is left.
  cluster.kill(cluster.owner);
  lag();
  await cluster.clock.advance(100);
  const owner = await cluster.untilOwned();
  await cluster.until('6 tasks run', () => cluster.runningTasks.length === 6, 60);
  await cluster.untilJobState('req-1', 'done', 90, owner);
  assert.equal(startCount(cluster), 6);
  cluster.assertInvariants();
});

test('a machine that reports before its rental is recorded is recorded once, as up, and gets work at once', async () => {
  const cluster = new SimulatedCluster();
  cluster.bootMs = 50;
  const writes: string[] = [];
  cluster.network.rule(({ path, body }) => {
    if (path !== '/txn') return undefined;
    const { apply } = body as { apply: { set?: string; data?: { up?: boolean } }[] };
    const machines = apply.filter(({ set }) => set?.startsWith('live/machine/'));
    // The record of a rental as booting is lost for as long as the deployment runs.
    if (machines.some(({ data }) => data?.up === false)) return 'lose';
    writes.push(...machines.map(({ set = '' }) => set));
    return undefined;
  });
  await cluster.submit('req-1', { pieces: 6, reckonS: 40 }, 40);
  await cluster.until('6 tasks run', () => cluster.runningTasks.length === 6, 20);
  assert.equal(new Set(writes).size, writes.length, 'one write a machine');
  await cluster.untilJobState('req-1', 'done', 90);
  assert.equal(startCount(cluster), 6);
  cluster.assertInvariants();
});

test('a machine that reports is not taken for late, however long its record has to wait', async () => {
  const cluster = new SimulatedCluster();
  cluster.bootMs = 1000;
  const isUp = (body: unknown): boolean => JSON.stringify(body).includes('"up":true');
  await cluster.submit('req-1', { pieces: 4, reckonS: 40 }, 40);
  await cluster.until(
    'machines are recorded',
    () => [...cluster.store.data.keys()].some((k) => k.startsWith('live/machine/')),
    20,
  );
  const congested = cluster.network.rule(({ path, body }) =>
    path === '/txn' && isUp(body) ? 'lose' : undefined,
  );
  // Three boot times of the type: a machine that said nothing would be returned by then.
  await cluster.clock.advance(30_000);
  assert.equal([...cluster.workers.values()].filter((w) => w.isTerminated).length, 0);
  congested();
  await cluster.untilJobState('req-1', 'done', 120);
  cluster.assertInvariants();
});

test('a machine whose record is gone is not recorded as up', async () => {
  const clock = new FakeClock();
  const written: string[] = [];
  const store = {
    compareAndSwap: (_: unknown, changes: { put: string }[]) => {
      written.push(...changes.map((c) => c.put));
      return Promise.resolve({ ok: true, revision: 9 });
    },
  };
  const known = { 'live/machine/host-2': 7 } as Record<string, number>;
  const cache = { version: (key: string) => known[key] ?? 0 };
  const settings = { platform: { deployment: { state: { txn_ops: 32, write_rps: 100 } } } };
  const log = { info: () => undefined };
  const context = { cache, store, clock, settings, log } as unknown as ControllerContext;
  const shard = { leaseCondition: () => ({ key: 'live/lease/0', version: 3 }) } as unknown as Shard;
  const upRecords = new MachineRegistration(shard, context);
  const record = { block: 0, address: '', type: 'm4', zone: 'a', spot: true, up: false, rentedAt: 0 };
  const machine = (id: string): Machine =>
    new Machine({ id, record: { ...record }, type, firstSeenAt: 0, rentedSince: 0 });
  // The first was returned, and its record deleted, between its report and its turn to be written.
  const answers = Promise.all(
    ['host-1', 'host-2'].map((id) => upRecords.register(machine(id), '10.1.0.1:1')),
  );
  await clock.advance(100);
  assert.deepEqual(await answers, [false, true]);
  assert.deepEqual(written, ['live/machine/host-2']);
});
