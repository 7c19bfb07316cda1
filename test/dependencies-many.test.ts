import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  assertStateEverywhere,
  clusterAcceptingDependencies,
  submitDependent,
  submitChain,
  submitMany,
} from './dependency-steps';

const NODES = [0, 1, 2];
/** How long users wait for the answer to a poll. */
const POLL_TIMEOUT_MS = 2_000;
/** A poll or two may fail. */
const SOON_MS = 5_000;

test('a chain of 60 jobs runs from its first to its last', async () => {
  const cluster = await clusterAcceptingDependencies();
  const ids = await submitChain(cluster, 60, { cpus: 0.5 }, 1);
  await cluster.untilJobState('req-60', 'done', 600);
  await assertStateEverywhere(cluster, ids, 'done');
  cluster.assertInvariants();
});

test('several hundred jobs may need the same one', async () => {
  const cluster = await clusterAcceptingDependencies();
  await cluster.submit('req-1', {}, 20);
  const dependents = Array.from({ length: 400 }, (_, number) => `req-${number + 1000}`);
  const fields = { awaits: ['req-1'], cpus: 0.05, memGb: 0.01, reckonS: 1 };
  await submitMany(cluster, dependents, fields, 1);
  await cluster.untilJobState('req-1', 'done');
  for (const id of dependents) await cluster.untilJobState(id, 'done', 180);
  assert.ok(cluster.store.largestValue <= 16 * 1024);
  assert.ok(cluster.store.largestTransaction <= 32);
  cluster.assertInvariants();
});

test('a job with 1,500 dependencies is accepted, and starts only when all are done', async () => {
  const cluster = await clusterAcceptingDependencies();
  cluster.capacity = 16;
  await cluster.submit('req-1', {}, 150);
  const others = Array.from({ length: 1_499 }, (_, number) => `req-${number + 1_000_000_000}`);
  await submitMany(cluster, others, { cpus: 0.05, memGb: 0.01, reckonS: 1 }, 1);
  await submitDependent(cluster, [...others, 'req-1'], 'req-2');
  assert.equal(await cluster.jobState('req-2', 0), 'pending');
  assert.ok(cluster.store.largestValue <= 16 * 1024, `${cluster.store.largestValue}`);
  assert.ok(cluster.store.largestTransaction <= 32);
  await cluster.untilJobState('req-1', 'done', 300);
  await cluster.untilJobState('req-2', 'done', 60);
  cluster.assertInvariants();
});

test('every node soon answers polls for a job with 1,500 dependencies, most of them done', async () => {
  const cluster = await clusterAcceptingDependencies();
  cluster.capacity = 16;
  await cluster.submit('req-1', {}, 300);
  const others = Array.from({ length: 1_499 }, (_, number) => `req-${number + 1_000_000_000}`);
  await submitMany(cluster, others, { cpus: 0.05, memGb: 0.01, reckonS: 1 }, 1);
  await cluster.clock.advance(30_000);
  await submitDependent(cluster, [...others, 'req-1'], 'req-2');
  const acceptedAt = cluster.clock.now();
  const answeredAfterMs = new Map<number, number>();
  while (answeredAfterMs.size < NODES.length && cluster.clock.now() < acceptedAt + 30_000) {
    for (const index of NODES) {
      const address = cluster.controllers[index]?.address ?? '';
      const poll = cluster.network
        .caller('user')
        .call(address, 'GET', '/work/req-2', undefined, POLL_TIMEOUT_MS);
      poll.then(
        ({ status }) => {
          if (status !== 200 || answeredAfterMs.has(index)) return;
          answeredAfterMs.set(index, cluster.clock.now() - acceptedAt);
        },
        () => undefined,
      );
    }
    await cluster.clock.advance(POLL_TIMEOUT_MS);
  }
  const slowest = Math.max(...NODES.map((index) => answeredAfterMs.get(index) ?? Infinity));
  assert.ok(slowest <= SOON_MS, `after ${slowest} ms`);
  cluster.assertInvariants();
});
