/** @file When a relay answers a worker that reaches it and not the owner. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ControllerContext } from '../src/coordination/controller-context';
import { LeaseRelay } from '../src/coordination/ownership/lease-relay';
import type { ChangeEvent, CompareAndSwapResult, Condition, Entry } from '../src/protocol/key-value-store';
import { parseHeartbeat } from '../src/protocol/workers';
import { FixedTimeoutDetector } from '../src/suspicion/peer-liveness';
import { PeerReachability } from '../src/suspicion/peer-reachability';
import { SimulatedCluster } from './fakes/simulated-cluster';

const RESPONSE = { fencingToken: 7, commands: [] };

/** A relay of a shard whose owner it doesn't hear, and the heartbeat of a worker with a task. */
async function silentOwner() {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1 }, 300);
  await cluster.until('the task runs', () => cluster.runningTasks.length === 1);
  const heartbeat = parseHeartbeat(cluster.worker(cluster.machineOf('req-1/0') ?? '').nextHeartbeat());
  assert.ok(heartbeat);
  const lease = { key: 'live/lease/0', value: { owner: 'node-1', token: 7 }, version: 1 };
  const session = { isValid: true, lease: 3, isValidByOwnLease: true };
  const records = new Map<string, Entry>();
  const writes: ((result: CompareAndSwapResult) => void)[] = [];
  const conditionsOfWrites: Condition[][] = [];
  const context = {
    controllerId: 'node-0',
    clock: cluster.clock,
    settings: cluster.controllers[0]?.controller.settings,
    cache: {
      isLoaded: true,
      get: (key: string) => (key === lease.key || key === 'live/job/req-1' ? lease : records.get(key)),
      applyNotification: ({ key, value, version }: ChangeEvent) => records.set(key, { key, value, version }),
    },
    session,
    store: {
      compareAndSwap: (conditions: Condition[]) => {
        conditionsOfWrites.push(conditions);
        return new Promise((resolve) => writes.push(resolve));
      },
    },
    log: { info: () => undefined },
  };
  const relay = new LeaseRelay(
    context as unknown as ControllerContext,
    new PeerReachability(cluster.clock, new FixedTimeoutDetector(cluster.clock)),
  );
  await cluster.clock.advance(5_000);
  return { relay, heartbeat, session, writes, conditionsOfWrites };
}

// Fails if a worker gets a response before the record that lists its machine is acknowledged.
test('a relay answers a worker once the store has acknowledged the record that lists its machine', async () => {
  const { relay, heartbeat, writes } = await silentOwner();
  let isAnswered = false;
  const response = Promise.resolve(relay.respond(heartbeat, 0)).then((answer) => {
    isAnswered = true;
    return answer;
  });
  const step = relay.step();
  await Promise.resolve();
  assert.equal(isAnswered, false);
  writes[0]?.({ ok: true, revision: 2 });
  await step;
  assert.deepEqual(await response, RESPONSE);
  assert.deepEqual(relay.respond(heartbeat, 0), RESPONSE, 'the next response needs no write');
});

test('a relay answers no worker if the store refuses the record', async () => {
  const { relay, heartbeat, writes } = await silentOwner();
  const response = relay.respond(heartbeat, 0);
  const step = relay.step();
  writes[0]?.({ ok: false, failed: [], revision: 2 });
  await step;
  assert.equal(await response, undefined);
});

for (const isValidByOwnLease of [true, false]) {
  test(`a relay whose session is ${isValidByOwnLease ? 'valid by its own lease' : 'valid only under a lease extension'} ${isValidByOwnLease ? 'responds' : "doesn't respond"}`, async () => {
    const { relay, heartbeat, session, writes } = await silentOwner();
    session.isValidByOwnLease = isValidByOwnLease;
    const first = relay.respond(heartbeat, 0);
    const step = relay.step();
    writes[0]?.({ ok: true, revision: 2 });
    await step;
    const expected = isValidByOwnLease ? RESPONSE : undefined;
    assert.deepEqual(await first, expected);
    assert.deepEqual(relay.respond(heartbeat, 0), expected);
  });
}

// Fails if the session is looked at only before the record is written.
test('a relay whose session ends while its record is written answers no worker', async () => {
  const { relay, heartbeat, session, writes } = await silentOwner();
  const response = relay.respond(heartbeat, 0);
  const step = relay.step();
  session.isValidByOwnLease = false;
  writes[0]?.({ ok: true, revision: 2 });
  await step;
  assert.equal(await response, undefined);
  assert.equal(relay.respond(heartbeat, 0), undefined);
});

test('a relay without a session answers those that wait for its record', async () => {
  const { relay, heartbeat, session } = await silentOwner();
  const response = relay.respond(heartbeat, 0);
  session.isValid = false;
  await relay.step();
  assert.equal(await response, undefined);
});

// Fails if a write that is executed late can replace a newer list: the relay would answer workers that no record lists.
test('a relay writes its record on the condition that it has not changed since', async () => {
  const { relay, heartbeat, writes, conditionsOfWrites } = await silentOwner();
  for (const [machine, version] of [
    ['host-000001', 2],
    ['host-000002', 3],
  ] as const) {
    void relay.respond({ ...heartbeat, machine }, 0);
    const step = relay.step();
    writes.at(-1)?.({ ok: true, revision: version });
    await step;
  }
  const key = 'live/keep/0/node-0';
  assert.deepEqual(conditionsOfWrites, [[{ key, version: 0 }], [{ key, version: 2 }]]);
});
