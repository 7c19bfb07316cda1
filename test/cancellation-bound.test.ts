import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeSettings, LEASE_EXTENSION_MS } from '../src/base/settings';
import { MAX_CLOCK_DRIFT } from '../src/bookkeeping/session';
import type { ControllerContext } from '../src/coordination/controller-context';
import { LeaseRelay } from '../src/coordination/ownership/lease-relay';
import { FixedTimeoutDetector } from '../src/suspicion/peer-liveness';
import { PeerReachability } from '../src/suspicion/peer-reachability';
import type { ChangeEvent } from '../src/protocol/key-value-store';
import { parseHeartbeat } from '../src/protocol/workers';
import { ScriptedWatch } from './fakes/scripted-watch';
import { CANCEL_S, SimulatedCluster } from './fakes/simulated-cluster';

/** A job that is to be cancelled and one that isn't, both with long to go; who owns them, and the two others. */
async function busyCluster(
  tasks = 4,
): Promise<{ cluster: SimulatedCluster; owner: number; second: number; third: number }> {
  const cluster = new SimulatedCluster();
  const owner = await cluster.untilOwned();
  await cluster.submit('req-1', { pieces: tasks }, 300);
  await cluster.submit('req-2', { pieces: tasks }, 300);
  await cluster.until('all run', () => cluster.runningTasks.length >= 2 * tasks);
  await cluster.clock.advance(5_000);
  return { cluster, owner, second: (owner + 1) % 3, third: (owner + 2) % 3 };
}

const of = (cluster: SimulatedCluster, job: string): string[] =>
  cluster.runningTasks.filter((p) => p.startsWith(`${job}/`));
const nameOf = (cluster: SimulatedCluster, index: number): string => cluster.controllers[index]?.name ?? '';

for (const way of [
  'the node that wrote it',
  'one that only read it',
  'one whose write got no answer',
] as const) {
  test(`the gap: a cancellation confirmed by ${way} ends in time, though its owner's lease is extended by peers`, async () => {
    const { cluster, owner, second, third } = await busyCluster();
    // Nobody's view hears of it but through what nodes know of their own answers; watches that are open end in a second.
    cluster.lostPeerMessages.add('change notification');
    const watches = cluster.network.rule(({ from, path }) =>
      path.startsWith('/changes') && from !== nameOf(cluster, owner) ? 'lose' : undefined,
    );
    await cluster.clock.advance(1_100);
    cluster.store.refused.add(nameOf(cluster, owner));
    if (way !== 'the node that wrote it') {
      const rule = cluster.network.rule(({ path, body }) =>
        path === '/txn' && JSON.stringify(body).includes('cancelled') ? 'lose answer' : undefined,
      );
      const { status } = await cluster.request(second, 'POST', '/work/req-1/withdraw');
      assert.equal(status, 503);
      rule();
    }
    const teller = way === 'one that only read it' ? third : second;
    assert.equal(await cluster.cancel('req-1', teller), 'withdrawn');
    const toldAt = cluster.clock.now();
    cluster.store.outage(true);
    watches();
    await cluster.clock.advance(8_000);
    // The old owner goes on, for all its peers extend its lease.
    assert.equal(cluster.owner, owner);
    await cluster.clock.advance(toldAt + CANCEL_S * 1000 - cluster.clock.now());
    assert.deepEqual(of(cluster, 'req-1'), []);
    assert.equal(of(cluster, 'req-2').length, 4);
    await cluster.clock.advance(15_000);
    assert.equal(of(cluster, 'req-2').length, 4);
    cluster.store.outage(false);
    cluster.store.refused.clear();
    await cluster.clock.advance(20_000);
    for (const index of [0, 1, 2]) assert.equal(await cluster.jobState('req-1', index), 'withdrawn');
    cluster.assertInvariants();
  });
}

test('a start that is held up comes too late for a cancelled job, though no token can be raised', async () => {
  const { cluster, owner, second } = await busyCluster();
  cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
  cluster.addWorker();
  await cluster.clock.advance(13_000);
  const held: string[] = [];
  const rule = cluster.network.rule(({ path, body, to }) => {
    if (path !== '/do' || !JSON.stringify(body).includes('req-3/0')) return undefined;
    held.push(to);
    return 'hold';
  });
  await cluster.submit('req-3', { pieces: 1 }, 300, second);
  await cluster.until('its start is on its way', () => held.length > 0, 5);
  cluster.store.refused.add(nameOf(cluster, owner));
  assert.equal(await cluster.cancel('req-3', second), 'withdrawn');
  const toldAt = cluster.clock.now();
  cluster.store.outage(true);
  rule();
  const worker = [...cluster.workers.values()].find((w) => w.address === held[0]);
  assert.ok(worker);
  const { incarnation } = worker;
  await cluster.clock.advance(toldAt + CANCEL_S * 1000 - 500 - cluster.clock.now());
  assert.equal(cluster.owner, owner, 'the owner has its lease extended all the while');
  assert.ok(worker.incarnation > incarnation, 'the worker that may still start it was left to its lease');
  cluster.network.releaseHeld();
  await cluster.clock.advance(5_000);
  assert.deepEqual(of(cluster, 'req-3'), []);
  cluster.assertInvariants();
});

test('machines that hang with cancelled tasks are returned in time, though so many look like a cut', async () => {
  const { cluster, second } = await busyCluster(8);
  const returned: string[] = [];
  cluster.network.rule(({ path, body }) => {
    if (path === '/hosts/release') returned.push(...(body as { hearths: string[] }).hearths);
    return undefined;
  });
  for (const task of cluster.runningTasks) cluster.worker(cluster.machineOf(task) ?? '').isHanging = true;
  const due: { at: number; holders: Set<string> }[] = [];
  for (const job of ['req-1', 'req-2']) {
    const holders = new Set(of(cluster, job).map((p) => cluster.machineOf(p) ?? ''));
    assert.ok(holders.size >= 2);
    assert.equal(await cluster.cancel(job, second), 'withdrawn');
    due.push({ at: cluster.clock.now() + CANCEL_S * 1000, holders });
    await cluster.clock.advance(3_000);
  }
  // Records of machines can't be deleted in an outage: those of the first ones returned must not hold up the others.
  cluster.store.outage(true);
  for (const { at, holders } of due) {
    await cluster.clock.advance(at - cluster.clock.now());
    for (const id of holders) assert.ok(returned.includes(id), `${id} of ${[...holders].join()}`);
  }
  cluster.assertInvariants();
});

test('the answer that renews a lease after a takeover also stops what was cancelled before it', async () => {
  const { cluster, owner, second } = await busyCluster();
  const machine = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  // The new owner reaches it by no command, and of its reports only one arrives.
  cluster.network.rule(({ from, to }) =>
    from === machine.id || to === machine.address ? 'lose' : undefined,
  );
  const report = machine.nextHeartbeat();
  cluster.lostPeerMessages.add('change notification');
  assert.equal(await cluster.cancel('req-1', second), 'withdrawn');
  cluster.kill(owner);
  await cluster.clock.advance(100);
  const heir = await cluster.untilOwned();
  const answer = await cluster.request(heir, 'POST', '/hello', report);
  assert.equal(answer.status, 200);
  const { orders } = answer.body as { orders: { verb: string; piece: string; leewayS: number }[] };
  const halted = orders.filter((o) => o.verb === 'halt' && o.leewayS === 0).map((o) => o.piece);
  const held = [...machine.attempts.values()].filter((p) => p.job === 'req-1').map((p) => `req-1/${p.task}`);
  assert.deepEqual(halted, held);
  cluster.assertInvariants();
});

test('a relay answers by its own lease, never by a lease extension', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1 }, 300);
  await cluster.until('it runs', () => cluster.runningTasks.length === 1);
  const report = parseHeartbeat(cluster.worker(cluster.machineOf('req-1/0') ?? '').nextHeartbeat());
  assert.ok(report);
  const lease = { key: 'live/lease/0', value: { owner: 'node-1', token: 7 }, version: 1 };
  for (const ownLease of [true, false]) {
    const context = {
      controllerId: 'node-0',
      clock: cluster.clock,
      settings: cluster.controllers[0]?.controller.settings,
      cache: {
        isLoaded: true,
        get: (key: string) => (key === lease.key || key === 'live/job/req-1' ? lease : undefined),
        version: () => 0,
      },
      session: { isValid: true, lease: 3, isValidByOwnLease: ownLease },
      store: { compareAndSwap: () => Promise.resolve({ ok: true, revision: 2 }) },
    };
    const relay = new LeaseRelay(
      context as unknown as ControllerContext,
      new PeerReachability(cluster.clock, new FixedTimeoutDetector(cluster.clock)),
    );
    await cluster.clock.advance(5_000);
    await relay.step();
    assert.deepEqual(relay.respond(report, 0), ownLease ? { fencingToken: 7, commands: [] } : undefined);
  }
});

function platform(lease_s: number, cancel_s: number): unknown {
  return {
    node: 'node-0',
    area: 'a',
    bind: '10.0.0.1:8080',
    back: '10.0.0.1:8081',
    external: { cloud: '10.2.0.2:8443', state: '10.2.0.1:2379' },
    deployment: {
      teams: [{ name: 'red' }],
      workers: { report_s: 0.8, lease_s, cancel_s },
      state: { rps: 200, write_rps: 100, value_kb: 16, txn_ops: 32 },
      cloud: { rps: 5, list_lag_s: 2 },
      quota: {},
    },
  };
}

const ended = (n: number, version: number): ChangeEvent => ({
  key: `live/job/req-${n}`,
  version,
  deleted: true,
});

test('what a node confirmed before its copy was loaded is named in its promises', async () => {
  const state = new ScriptedWatch();
  state.cache.applyNotification(ended(7, 3));
  await state.step();
  assert.deepEqual(state.cache.deletedSince('live/job/', 0), [{ key: 'live/job/req-7', version: 3 }]);
});

test('remembered ends are bounded, and those ahead of the watch are never forgotten', async () => {
  const state = new ScriptedWatch();
  await state.step();
  state.cache.applyNotification(ended(0, 9_000));
  state.events = Array.from({ length: 5_000 }, (_, n) => ended(n + 1, n + 1));
  state.revision = 5_000;
  await state.step();
  assert.equal(state.cache.deletedSince('live/job/', 0), undefined, 'not all of them are remembered');
  const kept = state.cache.deletedSince('live/job/', 4_500) ?? [];
  assert.ok(kept.length < 2_000);
  assert.equal(kept.filter((e) => e.version <= 5_000).length, 500);
  assert.ok(kept.some((e) => e.version === 9_000));
});

test('the times that a cancellation may take add up to less than its bound, in all settings known', () => {
  for (const [lease, cancel] of [
    [10, 30],
    [15.25, 35.25],
    [26, 51],
    [5, 11.5],
    [5, 11],
  ] as const) {
    const { shardLeaseMs, cancellationUncertaintyMs } = makeSettings(platform(lease, cancel), {});
    const leaseMs = lease * 1000 * (1 + 2 * MAX_CLOCK_DRIFT);
    assert.ok(cancellationUncertaintyMs >= 2_500);
    // Until it has heard, an owner acts by its lease or by a promise.
    const hearingMs = Math.max(shardLeaseMs, LEASE_EXTENSION_MS);
    assert.ok(hearingMs + cancellationUncertaintyMs + leaseMs < cancel * 1000, `${lease} and ${cancel}`);
  }
  assert.throws(() => makeSettings(platform(5, 10.9), {}), /deployment\.workers\.cancel_s/);
});
