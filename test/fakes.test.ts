import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { dropReleaseRequests } from './failover-steps';

test('a machine that resumes checks its lease first, then executes the queued commands', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', {}, 20);
  await cluster.until('it runs', () => cluster.machineOf('req-1/0') !== undefined);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const orders = (task: string): Record<string, unknown> => ({
    baton: worker.fencingToken,
    shift: worker.incarnation,
    orders: [{ verb: 'run', piece: task, try: 7 }],
  });
  const post = (body: unknown): void => {
    cluster.network
      .caller('node')
      .call(worker.address, 'POST', '/do', body, 1000)
      .catch(() => undefined);
  };
  await cluster.submit('req-2', {}, 20, 1);
  // The owner must not release the machine meanwhile.
  dropReleaseRequests(cluster);
  worker.isHanging = true;
  post(orders('req-2/0'));
  await cluster.clock.advance(5_000);
  assert.deepEqual(
    worker.startCommands.filter((o) => o.endsWith('#7')),
    [],
  );
  worker.isHanging = false;
  assert.deepEqual(
    worker.startCommands.filter((o) => o.endsWith('#7')),
    ['req-2/0#7'],
  );
  worker.isHanging = true;
  post(orders('req-1/0'));
  await cluster.clock.advance(12_000);
  worker.isHanging = false;
  assert.deepEqual(
    worker.startCommands.filter((o) => o.endsWith('#7')),
    ['req-2/0#7'],
  );
  assert.deepEqual([...worker.attempts.keys()], []);
});

for (const isHeartbeatInFlight of [false, true]) {
  test(`a machine that hangs ${isHeartbeatInFlight ? 'with a heartbeat in flight' : 'between two heartbeats'} keeps its tasks for a lease, not longer`, async () => {
    const cluster = new SimulatedCluster();
    await cluster.submit('req-1', { reckonS: 300 }, 300);
    await cluster.until('it runs', () => cluster.machineOf('req-1/0') !== undefined);
    const machine = cluster.machineOf('req-1/0') ?? '';
    dropReleaseRequests(cluster);
    await cluster.clock.advance(2_000);
    const hang = (): void => {
      cluster.worker(machine).isHanging = true;
    };
    cluster.network.rule(({ from }) => {
      if (isHeartbeatInFlight && from === machine) hang();
      return undefined;
    });
    await cluster.clock.advance(1_000);
    hang();
    await cluster.clock.advance(8_000);
    assert.equal(cluster.machineOf('req-1/0'), machine);
    await cluster.clock.advance(3_000);
    assert.notEqual(cluster.machineOf('req-1/0'), machine);
    assert.equal(cluster.worker(machine).attempts.size, 0);
  });
}

test('a delayed transaction is checked against the conditions, leases and faults at its execution', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  const { store, clock } = cluster;
  const txn = (body: unknown): Promise<{ status: number }> =>
    store.handle({ from: 'x', to: 's', method: 'POST', path: '/txn', body });
  const endDelay = store.rule(({ from, path }) =>
    from === 'x' && path === '/txn' ? { lateMs: 3000 } : undefined,
  );
  void txn({ guards: [{ path: 'k', stamp: 0 }], apply: [{ set: 'k', data: 1 }] });
  void txn({ guards: [{ path: 'l', stamp: 0 }], apply: [{ set: 'l', data: 1 }] });
  void txn({ guards: [], apply: [{ set: 'm', data: 1, hold: 10 ** 6 }] });
  endDelay();
  await clock.advance(1000);
  assert.equal((await txn({ guards: [], apply: [{ set: 'k', data: 2 }] })).status, 200);
  await clock.advance(3000);
  assert.deepEqual(
    ['k', 'l', 'm'].map((key) => store.data.get(key)?.data),
    [2, 1, undefined],
  );
  const endLoss = store.rule(({ from }) => (from === 'x' ? 'lose answer' : undefined));
  let isAnswered = false;
  void txn({ guards: [], apply: [{ delete: 'k' }] }).then(() => (isAnswered = true));
  await clock.advance(3000);
  endLoss();
  assert.deepEqual([store.data.has('k'), isAnswered], [false, false]);
});
