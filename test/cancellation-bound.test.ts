import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeSettings, LEASE_EXTENSION_MS } from '../src/base/settings';
import { MAX_CLOCK_DRIFT } from '../src/bookkeeping/session';
import type { ChangeEvent } from '../src/protocol/key-value-store';
import { ScriptedWatch } from './fakes/scripted-watch';
import { CANCEL_S, SimulatedCluster } from './fakes/simulated-cluster';
import { dropReleaseRequests } from './failover-steps';

/** Starts a job to be cancelled and another, both long-running. Returns the owner and the two other controllers. */
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

const runningTasksOf = (cluster: SimulatedCluster, job: string): string[] =>
  cluster.runningTasks.filter((p) => p.startsWith(`${job}/`));
const controllerName = (cluster: SimulatedCluster, index: number): string =>
  cluster.controllers[index]?.name ?? '';

for (const confirmer of [
  'the controller that wrote it',
  'a controller that only read it',
  'a controller whose write got no response',
] as const) {
  test(`a cancellation confirmed by ${confirmer} completes in time although the store refuses the owner and peers extend its lease`, async () => {
    const { cluster, owner, second, third } = await busyCluster();
    // The cancellation reaches watch caches only through each controller's own responses. Open watches end in a second.
    cluster.lostPeerMessages.add('change notification');
    const restoreWatches = cluster.network.rule(({ from, path }) =>
      path.startsWith('/changes') && from !== controllerName(cluster, owner) ? 'lose' : undefined,
    );
    await cluster.clock.advance(1_100);
    cluster.store.refused.add(controllerName(cluster, owner));
    if (confirmer !== 'the controller that wrote it') {
      const removeRule = cluster.network.rule(({ path, body }) =>
        path === '/txn' && JSON.stringify(body).includes('cancelled') ? 'lose answer' : undefined,
      );
      const { status } = await cluster.request(second, 'POST', '/work/req-1/withdraw');
      assert.equal(status, 503);
      removeRule();
    }
    const confirmerIndex = confirmer === 'a controller that only read it' ? third : second;
    assert.equal(await cluster.cancel('req-1', confirmerIndex), 'withdrawn');
    const confirmedAt = cluster.clock.now();
    cluster.store.outage(true);
    restoreWatches();
    await cluster.clock.advance(8_000);
    // The owner remains, because its peers extend its lease.
    assert.equal(cluster.owner, owner);
    await cluster.clock.advance(confirmedAt + CANCEL_S * 1000 - cluster.clock.now());
    assert.deepEqual(runningTasksOf(cluster, 'req-1'), []);
    assert.equal(runningTasksOf(cluster, 'req-2').length, 4);
    await cluster.clock.advance(15_000);
    assert.equal(runningTasksOf(cluster, 'req-2').length, 4);
    cluster.store.outage(false);
    cluster.store.refused.clear();
    await cluster.clock.advance(20_000);
    for (const index of [0, 1, 2]) assert.equal(await cluster.jobState('req-1', index), 'withdrawn');
    cluster.assertInvariants();
  });
}

test('a delayed start command of a cancelled job has no effect, although the fencing token cannot be raised', async () => {
  const { cluster, owner, second } = await busyCluster();
  dropReleaseRequests(cluster);
  cluster.addWorker();
  await cluster.clock.advance(13_000);
  const heldAddresses: string[] = [];
  const removeRule = cluster.network.rule(({ path, body, to }) => {
    if (path !== '/do' || !JSON.stringify(body).includes('req-3/0')) return undefined;
    heldAddresses.push(to);
    return 'hold';
  });
  await cluster.submit('req-3', { pieces: 1 }, 300, second);
  await cluster.until('its start command is in flight', () => heldAddresses.length > 0, 5);
  cluster.store.refused.add(controllerName(cluster, owner));
  assert.equal(await cluster.cancel('req-3', second), 'withdrawn');
  const confirmedAt = cluster.clock.now();
  cluster.store.outage(true);
  removeRule();
  const worker = [...cluster.workers.values()].find((w) => w.address === heldAddresses[0]);
  assert.ok(worker);
  const { incarnation } = worker;
  await cluster.clock.advance(confirmedAt + CANCEL_S * 1000 - 500 - cluster.clock.now());
  assert.equal(cluster.owner, owner, 'the lease of the owner was extended throughout');
  assert.ok(
    worker.incarnation > incarnation,
    'the lease of the worker with the unconfirmed start has expired',
  );
  cluster.network.releaseHeld();
  await cluster.clock.advance(5_000);
  assert.deepEqual(runningTasksOf(cluster, 'req-3'), []);
  cluster.assertInvariants();
});

test('unresponsive machines with cancelled tasks are released in time, although so many look like a network partition', async () => {
  const { cluster, second } = await busyCluster(8);
  const released: string[] = [];
  cluster.network.rule(({ path, body }) => {
    if (path === '/hosts/release') released.push(...(body as { hearths: string[] }).hearths);
    return undefined;
  });
  for (const task of cluster.runningTasks) cluster.worker(cluster.machineOf(task) ?? '').isHanging = true;
  const deadlines: { at: number; machineIds: Set<string> }[] = [];
  for (const job of ['req-1', 'req-2']) {
    const machineIds = new Set(runningTasksOf(cluster, job).map((p) => cluster.machineOf(p) ?? ''));
    assert.ok(machineIds.size >= 2);
    assert.equal(await cluster.cancel(job, second), 'withdrawn');
    deadlines.push({ at: cluster.clock.now() + CANCEL_S * 1000, machineIds });
    await cluster.clock.advance(3_000);
  }
  // Machine records can't be deleted in an outage. Those of the first released machines must not delay other releases.
  cluster.store.outage(true);
  for (const { at, machineIds } of deadlines) {
    await cluster.clock.advance(at - cluster.clock.now());
    for (const id of machineIds) assert.ok(released.includes(id), `${id} of ${[...machineIds].join()}`);
  }
  cluster.assertInvariants();
});

test('after a failover, the response that renews a worker lease also stops tasks that were cancelled before', async () => {
  const { cluster, owner, second } = await busyCluster();
  const machine = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  // No command of the new owner reaches the machine, and only one of its heartbeats arrives.
  cluster.network.rule(({ from, to }) =>
    from === machine.id || to === machine.address ? 'lose' : undefined,
  );
  const heartbeat = machine.nextHeartbeat();
  cluster.lostPeerMessages.add('change notification');
  assert.equal(await cluster.cancel('req-1', second), 'withdrawn');
  cluster.kill(owner);
  await cluster.clock.advance(100);
  const successor = await cluster.untilOwned();
  const answer = await cluster.request(successor, 'POST', '/hello', heartbeat);
  assert.equal(answer.status, 200);
  const { orders } = answer.body as { orders: { verb: string; piece: string; leewayS: number }[] };
  const stopped = orders.filter((o) => o.verb === 'halt' && o.leewayS === 0).map((o) => o.piece);
  const assigned = [...machine.attempts.values()]
    .filter((p) => p.job === 'req-1')
    .map((p) => `req-1/${p.task}`);
  assert.deepEqual(stopped, assigned);
  cluster.assertInvariants();
});

function platformSettings(lease_s: number, cancel_s: number): unknown {
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

const jobDeletion = (n: number, version: number): ChangeEvent => ({
  key: `live/job/req-${n}`,
  version,
  deleted: true,
});

test('a cancellation confirmed before the watch cache was loaded is included in lease extensions', async () => {
  const scriptedWatch = new ScriptedWatch();
  scriptedWatch.cache.applyNotification(jobDeletion(7, 3));
  await scriptedWatch.step();
  assert.deepEqual(scriptedWatch.cache.deletedSince('live/job/', 0), [{ key: 'live/job/req-7', version: 3 }]);
});

test('the number of remembered deletions is limited, and deletions ahead of the watch are kept', async () => {
  const scriptedWatch = new ScriptedWatch();
  await scriptedWatch.step();
  scriptedWatch.cache.applyNotification(jobDeletion(0, 9_000));
  scriptedWatch.events = Array.from({ length: 5_000 }, (_, n) => jobDeletion(n + 1, n + 1));
  scriptedWatch.revision = 5_000;
  await scriptedWatch.step();
  assert.equal(scriptedWatch.cache.deletedSince('live/job/', 0), undefined, 'not all of them are remembered');
  const remembered = scriptedWatch.cache.deletedSince('live/job/', 4_500) ?? [];
  assert.ok(remembered.length < 2_000);
  assert.equal(remembered.filter((e) => e.version <= 5_000).length, 500);
  assert.ok(remembered.some((e) => e.version === 9_000));
});

test('the longest possible cancellation takes less than cancel_s in all known settings', () => {
  for (const [lease, cancel] of [
    [10, 30],
    [15.25, 35.25],
    [26, 51],
    [5, 11.5],
    [5, 11],
  ] as const) {
    const { shardLeaseMs, cancellationUncertaintyMs } = makeSettings(platformSettings(lease, cancel), {});
    const leaseMs = lease * 1000 * (1 + 2 * MAX_CLOCK_DRIFT);
    assert.ok(cancellationUncertaintyMs >= 2_500);
    // Until an owner learns of a cancellation, it acts under its shard lease or a lease extension.
    const ownerDelayMs = Math.max(shardLeaseMs, LEASE_EXTENSION_MS);
    assert.ok(ownerDelayMs + cancellationUncertaintyMs + leaseMs < cancel * 1000, `${lease} and ${cancel}`);
  }
  assert.throws(() => makeSettings(platformSettings(5, 10.9), {}), /deployment\.workers\.cancel_s/);
});
