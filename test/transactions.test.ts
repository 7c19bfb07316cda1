import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoResponseError } from '../src/transport/http-client';
import type { DeliveryMode, Request } from './fakes/network';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { checkTransactions, TRANSACTION_KINDS, type WireChange } from './transaction-rules';

const LATE_MS = 12_000;

function newDeployment(kind: string): { cluster: SimulatedCluster; violations: string[] } {
  const cluster = new SimulatedCluster();
  const violations = checkTransactions(cluster);
  cluster.capacity = 4;
  if (kind.includes('relay')) {
    // Leases are relayed and their expiry is checked only if the release of a silent machine is not confirmed.
    const removeRule = cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
    cluster.clock.after(70_000, removeRule);
  }
  return { cluster, violations };
}

/** Chooses the delivery mode of the first transactions of a kind; returns a function that counts them. */
function interceptTransactions(
  cluster: SimulatedCluster,
  kind: string,
  times: number,
  chooseMode: (request: Request) => DeliveryMode,
): () => number {
  let count = 0;
  cluster.network.rule((request) => {
    if (request.path !== '/txn' || count >= times) return undefined;
    const { apply = [], guards = [] } = request.body as { apply?: WireChange[]; guards?: { path: string }[] };
    if (TRANSACTION_KINDS[kind]?.(apply, guards) !== true) return undefined;
    count += 1;
    return chooseMode(request);
  });
  return () => count;
}

/** Requests the jobs' states from all controllers in turn. A final state, once reported, must not change. */
async function checkJobStates(
  cluster: SimulatedCluster,
  ids: string[],
  finalStates: Map<string, string>,
): Promise<void> {
  for (const id of ids) {
    for (const index of [0, 1, 2]) {
      if (cluster.controllers[index]?.alive !== true) continue;
      const state = await cluster.jobState(id, index);
      if (typeof state === 'number') {
        assert.notEqual(state, 404, `${id} at controller ${index}`);
        continue;
      }
      const final = finalStates.get(id);
      if (final !== undefined) assert.equal(state, final, `${id} at controller ${index}`);
      else if (state === 'done' || state === 'withdrawn') finalStates.set(id, state);
    }
  }
}

/** Retries a request without a response at another controller, as users do. */
async function retryElsewhere<T>(
  cluster: SimulatedCluster,
  send: (index: number) => Promise<T>,
  firstIndex: number,
): Promise<T> {
  for (let attempt = 0; ; attempt += 1) {
    const index = (firstIndex + attempt) % 3;
    try {
      if (cluster.controllers[index]?.alive === true) return await send(index);
    } catch (error) {
      if (!(error instanceof NoResponseError) || attempt > 12) throw error;
    }
  }
}

/** Loses the machine's heartbeats to the owner, and the owner's commands to it. Returns the end of the fault. */
function separateFromOwner(cluster: SimulatedCluster, machine: string): () => void {
  const owner = cluster.controllers[cluster.owner];
  const { address } = cluster.worker(machine);
  return cluster.network.rule(({ from, to }) =>
    (from === machine && to === owner?.address) || (from === owner?.name && to === address)
      ? 'lose'
      : undefined,
  );
}

/** A short scenario that causes every kind of transaction. */
async function runScenario(cluster: SimulatedCluster): Promise<void> {
  const finalStates = new Map<string, string>();
  const ids = ['req-1', 'req-2', 'req-3'];
  const submit = (
    id: string,
    fields: Record<string, unknown>,
    runS: number,
    firstIndex: number,
  ): Promise<void> => retryElsewhere(cluster, (index) => cluster.submit(id, fields, runS, index), firstIndex);
  await submit('req-1', {}, 5, 0);
  await submit('req-2', { pieces: 14 }, 6, 1);
  await submit('req-3', { pieces: 60 }, 4, 2);
  await cluster.until('req-3 runs', () => cluster.runningTasks.some((p) => p.startsWith('req-3/')), 60);
  // A lost response leaves a start unconfirmed; then peer messages are lost, and a machine can't reach the owner, so
  // another controller relays its lease.
  let lostResponses = 0;
  const removeRule = cluster.network.rule(({ path }) => {
    if (path !== '/do' || lostResponses > 0) return undefined;
    lostResponses += 1;
    return 'lose answer';
  });
  // A machine is unresponsive for longer than its lease.
  const unresponsive = cluster.worker(cluster.machineOf(cluster.runningTasks[0] ?? '') ?? '');
  unresponsive.isHanging = true;
  cluster.clock.after(45_000, () => {
    unresponsive.isHanging = false;
  });
  cluster.dropsPeerMessages = true;
  const reconnect = separateFromOwner(cluster, cluster.machineOf(cluster.runningTasks.at(-1) ?? '') ?? '');
  await cluster.clock.advance(8_000);
  reconnect();
  finalStates.set('req-3', await retryElsewhere(cluster, (index) => cluster.cancel('req-3', index), 1));
  await checkJobStates(cluster, ids, finalStates);
  cluster.dropsPeerMessages = false;
  await cluster.clock.advance(4_000);
  await checkJobStates(cluster, ids, finalStates);
  removeRule();
  const { owner } = cluster;
  if (owner >= 0) {
    cluster.kill(owner);
    await cluster.clock.advance(6_000);
    if (cluster.controllers[owner]?.alive === false) cluster.restart(owner);
  }
  await submit('req-4', { pieces: 3 }, 4, 1);
  ids.push('req-4');
  for (let second = 0; second < 60 && finalStates.size < 4; second += 2) {
    await checkJobStates(cluster, ids, finalStates);
    await cluster.clock.advance(2_000);
  }
  // Idle machines are released, and delayed messages arrive.
  await cluster.clock.advance(50_000);
  await checkJobStates(cluster, ids, finalStates);
  assert.deepEqual(Object.fromEntries(finalStates), {
    'req-1': 'done',
    'req-2': 'done',
    'req-3': 'withdrawn',
    'req-4': 'done',
  });
  cluster.assertInvariants();
}

/** Checks that no record is left that nothing would ever delete. */
function assertNothingLeft(cluster: SimulatedCluster): void {
  const live = [...cluster.store.data.keys()].filter((key) => key.startsWith('live/'));
  const left = live.filter((key) => /^live\/(job|done|keep)\//.test(key));
  assert.deepEqual(left, []);
  for (const key of live) {
    const machine = /^live\/machine\/(.*)$/.exec(key)?.[1];
    if (machine !== undefined)
      assert.equal(cluster.worker(machine).isTerminated, false, `${key} is still recorded`);
  }
  const lease = cluster.store.data.get('live/lease/0')?.data as { owner: string } | undefined;
  assert.equal(lease?.owner, `node-${cluster.owner}`);
}

/** Runs the scenario to its end, and for `lateMs` longer: a delayed transaction may be executed last. */
async function assertScenarioPasses(
  cluster: SimulatedCluster,
  intercepted: () => number,
  violations: readonly string[],
  lateMs = 0,
): Promise<void> {
  await runScenario(cluster);
  assert.ok(intercepted() > 0, 'no transaction of this kind was sent');
  await cluster.clock.advance(lateMs);
  assertNothingLeft(cluster);
  assert.deepEqual(violations, []);
}

for (const kind of Object.keys(TRANSACTION_KINDS)) {
  test(`${kind}: executed, but the response is lost`, async () => {
    const { cluster, violations } = newDeployment(kind);
    const intercepted = interceptTransactions(cluster, kind, 2, () => 'lose answer');
    await assertScenarioPasses(cluster, intercepted, violations);
  });

  test(`${kind}: executed 12 s late, after newer transactions`, async () => {
    const { cluster, violations } = newDeployment(kind);
    const intercepted = interceptTransactions(cluster, kind, 2, () => {
      cluster.clock.after(LATE_MS, () => cluster.network.releaseHeld());
      return 'hold';
    });
    await assertScenarioPasses(cluster, intercepted, violations, 20_000);
  });

  test(`${kind}: executed after its sender has crashed and restarted`, async () => {
    const { cluster, violations } = newDeployment(kind);
    const intercepted = interceptTransactions(cluster, kind, 1, ({ from }) => {
      const index = Number(from.slice('node-'.length));
      cluster.clock.after(5, () => {
        if (cluster.controllers[index]?.alive === true) cluster.kill(index);
      });
      cluster.clock.after(2_000, () => {
        if (cluster.controllers[index]?.alive === false) cluster.restart(index);
      });
      cluster.clock.after(LATE_MS, () => cluster.network.releaseHeld());
      return 'hold';
    });
    await assertScenarioPasses(cluster, intercepted, violations, 20_000);
  });
}

test('a shard acquired without a response, and meanwhile assigned to another controller, is released', async () => {
  const cluster = new SimulatedCluster();
  let acquirer: string | undefined;
  cluster.network.rule((request) => {
    if (request.path !== '/txn' || acquirer !== undefined) return undefined;
    const { apply = [] } = request.body as { apply?: WireChange[] };
    if (TRANSACTION_KINDS['acquisition of a shard']?.(apply, []) !== true) return undefined;
    acquirer = request.from;
    // The leader assigns the shard to another controller before the watch reports the acquisition to the acquirer.
    cluster.clock.after(20, () => {
      const record = cluster.store.data.get('live/block/0')?.data as Record<string, unknown>;
      const newOwner = [0, 1, 2].map((index) => `node-${index}`).find((node) => node !== acquirer);
      const body = { guards: [], apply: [{ set: 'live/block/0', data: { ...record, owner: newOwner } }] };
      void cluster.network.caller('test').call('10.2.0.1:2379', 'POST', '/txn', body, 1000);
    });
    return 'lose answer';
  });
  await cluster.clock.advance(10_000);
  assert.ok(acquirer !== undefined);
  assert.ok(cluster.owner >= 0, 'the shard has no owner');
  const record = cluster.store.data.get('live/block/0')?.data as { owner: string };
  assert.equal(record.owner, `node-${cluster.owner}`);
});

test('a former leader assigns no shard after another controller has become leader', async () => {
  const cluster = new SimulatedCluster({ operator: { blocks: 3 } });
  let formerLeader: string | undefined;
  let isReplaced = false;
  const lateAssignments: string[] = [];
  cluster.store.rule((request) => {
    if (request.path !== '/txn') return undefined;
    const { apply = [], guards = [] } = request.body as { apply?: WireChange[]; guards?: { path: string }[] };
    if (TRANSACTION_KINDS['assignment of a shard']?.(apply, guards) !== true) return undefined;
    if (isReplaced && request.from === formerLeader) lateAssignments.push(String(apply[0]?.set));
    if (formerLeader !== undefined) return undefined;
    formerLeader = request.from;
    cluster.clock.after(100, () => {
      const node = formerLeader === 'node-0' ? 'node-1' : 'node-0';
      const body = { guards: [], apply: [{ set: 'live/leader', data: { node } }] };
      void cluster.network.caller('test').call('10.2.0.1:2379', 'POST', '/txn', body, 1000);
      isReplaced = true;
    });
    return { slowMs: 1000 };
  });
  await cluster.clock.advance(20_000);
  assert.ok(isReplaced);
  assert.deepEqual(lateAssignments, []);
  for (const shard of [0, 1, 2]) assert.ok(cluster.store.data.has(`live/lease/${shard}`), `shard ${shard}`);
});
