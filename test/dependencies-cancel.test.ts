import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  assertCancelledInTime,
  assertStateEverywhere,
  startPipeline,
  pollDuringCancellation,
  startCommandsOf,
  submitDependent,
  submitMany,
  untilDependenciesAccepted,
} from './dependency-steps';
import type { StoreFault } from './fakes/key-value-store';
import { SimulatedCluster } from './fakes/simulated-cluster';

const CONTROLLER_INDICES = [0, 1, 2];

test('cancelling the first job of a pipeline cancels all its dependents, at every controller at once', async () => {
  const { cluster, ids, rest } = await startPipeline();
  assert.equal(await cluster.cancel('req-1', 1), 'withdrawn');
  await assertStateEverywhere(cluster, ids, 'withdrawn');
  await assertCancelledInTime(cluster, rest);
  assert.deepEqual(cluster.runningTasks, []);
  const left = [...cluster.store.data.keys()].filter((key) => /^live\/(job|done)\//.test(key));
  assert.deepEqual(left, []);
  cluster.assertInvariants();
});

test('cancelling a job cancels its direct and indirect dependents; jobs that do not depend on it complete', async () => {
  const cluster = new SimulatedCluster();
  await untilDependenciesAccepted(cluster);
  for (const id of ['req-1', 'req-2', 'req-3']) await cluster.submit(id, {}, 20);
  await submitDependent(cluster, ['req-1'], 'req-4');
  await submitDependent(cluster, ['req-1', 'req-2'], 'req-5');
  await submitDependent(cluster, ['req-4', 'req-5'], 'req-6');
  await submitDependent(cluster, ['req-2', 'req-3'], 'req-7');
  await submitDependent(cluster, ['req-6', 'req-7'], 'req-8');
  assert.equal(await cluster.cancel('req-1'), 'withdrawn');
  await assertStateEverywhere(cluster, ['req-4', 'req-5', 'req-6', 'req-8'], 'withdrawn');
  for (const id of ['req-2', 'req-3', 'req-7']) await cluster.untilJobState(id, 'done');
  await assertCancelledInTime(cluster, ['req-4', 'req-5', 'req-6', 'req-8']);
  cluster.assertInvariants();
});

test('cancelling a pending job in the middle of a pipeline does not affect its dependencies', async () => {
  const { cluster, ids } = await startPipeline(5, 20);
  assert.equal(await cluster.cancel('req-3', 2), 'withdrawn');
  await assertStateEverywhere(cluster, ids.slice(2), 'withdrawn');
  for (const id of ids.slice(0, 2)) await cluster.untilJobState(id, 'done');
  await assertCancelledInTime(cluster, ids.slice(2));
  cluster.assertInvariants();
});

test('a cancellation that gets the response "done" does not affect the dependents', async () => {
  const { cluster } = await startPipeline(3, 5);
  await cluster.untilJobState('req-1', 'done');
  for (const index of CONTROLLER_INDICES) assert.equal(await cluster.cancel('req-1', index), 'done');
  await cluster.untilJobState('req-3', 'done');
  cluster.assertInvariants();
});

test('when a cancellation races the completion of the last task, the dependents follow the outcome', async () => {
  const answers = new Set<string>();
  for (const delayMs of [4_700, 4_950, 5_000, 5_050, 5_200, 5_600, 6_400]) {
    const { cluster, rest } = await startPipeline(3, 5);
    await cluster.clock.advance(delayMs);
    const answer = await cluster.cancel('req-1', 2);
    answers.add(answer);
    if (answer === 'done') {
      await cluster.untilJobState('req-3', 'done');
    } else {
      await assertCancelledInTime(cluster, rest);
    }
    cluster.assertInvariants();
  }
  assert.equal(answers.size, 2, 'both outcomes occur');
});

test('a cancellation races the completion of the last task while the key-value store is slow or its responses are lost', async () => {
  for (const fault of [{ slowMs: 900 }, 'lose answer'] as const) {
    for (const delayMs of [4_300, 4_900, 5_100, 5_500, 6_000]) {
      const { cluster, rest } = await startPipeline(3, 5);
      await cluster.clock.advance(delayMs);
      const removeRule = cluster.store.rule(({ path }) => (path === '/txn' ? fault : undefined));
      cluster.clock.after(3_000, removeRule);
      const answer = await cluster.cancel('req-1', 2);
      if (answer === 'done') await cluster.untilJobState('req-3', 'done');
      else await assertCancelledInTime(cluster, rest);
      cluster.assertInvariants();
    }
  }
});

test('several hundred dependents of a cancelled job are cancelled in time while their users poll', async () => {
  const cluster = new SimulatedCluster();
  await untilDependenciesAccepted(cluster);
  await cluster.submit('req-1', {}, 300);
  const dependents = Array.from({ length: 400 }, (_, number) => `req-${number + 1000}`);
  await submitMany(cluster, dependents, { awaits: ['req-1'] }, 5);
  assert.equal(await cluster.cancel('req-1', 1), 'withdrawn');
  await pollDuringCancellation(cluster, dependents);
  await assertStateEverywhere(cluster, dependents, 'withdrawn');
  assert.deepEqual(startCommandsOf(cluster, dependents), []);
  assert.ok(cluster.store.largestTransaction <= 32);
  cluster.assertInvariants();
});

test('cancelling the first job of a chain cancels all 60 jobs', async () => {
  const { cluster, ids } = await startPipeline(60);
  assert.equal(await cluster.cancel('req-1', 1), 'withdrawn');
  await pollDuringCancellation(cluster, ids);
  await assertCancelledInTime(cluster, ids.slice(1));
  assert.ok(cluster.store.largestTransaction <= 32);
  cluster.assertInvariants();
});

const isCancellationWrite = (path: string, body: unknown): boolean =>
  path === '/txn' && JSON.stringify(body).includes('cancelled');

for (const fault of [
  'lose answer',
  { lateMs: 12_000 },
  { slowMs: 1_400 },
  'refuse',
] as const satisfies StoreFault[]) {
  for (const skip of [0, 1, 2]) {
    test(`a cancellation completes in time although two of its writes meet ${JSON.stringify(fault)} after ${skip} others`, async () => {
      const { cluster, ids, rest } = await startPipeline(40);
      let seen = 0;
      cluster.store.rule(({ path, body }) => {
        if (!isCancellationWrite(path, body)) return undefined;
        seen += 1;
        return seen > skip && seen <= skip + 2 ? fault : undefined;
      });
      assert.equal(await cluster.cancel('req-1', 1), 'withdrawn');
      await pollDuringCancellation(cluster, ids);
      await assertCancelledInTime(cluster, rest);
      cluster.assertInvariants();
    });
  }
}

for (const writes of [1, 2, 3]) {
  for (const retries of [true, false]) {
    const user = retries ? 'retries' : 'only polls';
    test(`a cancellation completes in time although its controller dies after ${writes} writes and its user ${user}`, async () => {
      const { cluster, ids, rest } = await startPipeline(40);
      let seen = 0;
      const index = (cluster.owner + 1) % 3;
      const removeRule = cluster.network.rule(({ from, path, body }) => {
        if (from !== `node-${index}` || !isCancellationWrite(path, body)) return undefined;
        seen += 1;
        if (seen === writes)
          cluster.clock.after(1, () => {
            if (cluster.controllers[index]?.alive) cluster.kill(index);
          });
        return seen > writes ? 'lose' : undefined;
      });
      await cluster.request(index, 'POST', '/work/req-1/withdraw').catch(() => undefined);
      removeRule();
      if (!cluster.controllers[index]?.alive) cluster.restart(index);
      if (retries) assert.equal(await cluster.cancel('req-1', cluster.owner), 'withdrawn');
      else await cluster.untilJobState('req-1', 'withdrawn', 10, (index + 1) % 3);
      await pollDuringCancellation(cluster, ids);
      await assertCancelledInTime(cluster, rest);
      cluster.assertInvariants();
    });
  }
}

test('a confirmed cancellation completes in time although all controllers die right after it', async () => {
  const { cluster, ids, rest } = await startPipeline(40);
  assert.equal(await cluster.cancel('req-1', 1), 'withdrawn');
  for (const index of CONTROLLER_INDICES) cluster.kill(index);
  await cluster.clock.advance(3_000);
  for (const index of CONTROLLER_INDICES) cluster.restart(index);
  await pollDuringCancellation(cluster, ids);
  await assertCancelledInTime(cluster, rest);
  cluster.assertInvariants();
});

test('a pipeline is cancelled in time although the store refuses its owner and then has an outage', async () => {
  for (const length of [3, 40]) {
    const { cluster, ids, rest } = await startPipeline(length);
    const { owner } = cluster;
    const ownerName = `node-${owner}`;
    await cluster.clock.advance(5_000);
    cluster.lostPeerMessages.add('change notification');
    const restoreWatches = cluster.network.rule(({ from, path }) =>
      path.startsWith('/changes') && from !== ownerName ? 'lose' : undefined,
    );
    await cluster.clock.advance(1_100);
    cluster.store.refused.add(ownerName);
    assert.equal(await cluster.cancel('req-1', (owner + 1) % 3), 'withdrawn');
    cluster.store.outage(true);
    restoreWatches();
    await cluster.clock.advance(8_000);
    // The owner remains, because its peers extend its lease.
    assert.equal(cluster.owner, owner);
    await pollDuringCancellation(cluster, ids);
    assert.deepEqual(cluster.runningTasks, []);
    cluster.store.outage(false);
    cluster.store.refused.clear();
    cluster.lostPeerMessages.clear();
    await cluster.clock.advance(10_000);
    await assertCancelledInTime(cluster, rest);
    cluster.assertInvariants();
  }
});

test('a dependency is cancelled while the store refuses its owner and its last task completes: no dependent starts', async () => {
  const { cluster, ids, rest } = await startPipeline(4, 20);
  const { owner } = cluster;
  await cluster.clock.advance(12_000);
  cluster.store.refused.add(`node-${owner}`);
  assert.equal(await cluster.cancel('req-1', (owner + 1) % 3), 'withdrawn');
  cluster.store.outage(true);
  await pollDuringCancellation(cluster, ids);
  cluster.store.outage(false);
  cluster.store.refused.clear();
  await cluster.clock.advance(10_000);
  await assertCancelledInTime(cluster, rest);
  cluster.assertInvariants();
});
