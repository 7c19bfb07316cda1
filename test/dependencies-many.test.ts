import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  assertStateEverywhere,
  clusterAcceptingDependencies,
  submitDependent,
  submitChain,
  submitMany,
} from './dependency-steps';

const CONTROLLER_INDICES = [0, 1, 2];
/** How long users wait for the response to a poll. */
const POLL_TIMEOUT_MS = 2_000;
/** Leaves time for one or two failed polls. */
const MAX_RESPONSE_DELAY_MS = 5_000;

test('a chain of 60 jobs completes', async () => {
  const cluster = await clusterAcceptingDependencies();
  const ids = await submitChain(cluster, 60, { cpus: 0.5 }, 1);
  await cluster.untilJobState('req-60', 'done', 600);
  await assertStateEverywhere(cluster, ids, 'done');
  cluster.assertInvariants();
});

test('a job may have several hundred dependents', async () => {
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

test('every controller answers polls for a job with 1,500 dependencies, most of them done, within 5 s', async () => {
  const cluster = await clusterAcceptingDependencies();
  cluster.capacity = 16;
  await cluster.submit('req-1', {}, 300);
  const others = Array.from({ length: 1_499 }, (_, number) => `req-${number + 1_000_000_000}`);
  await submitMany(cluster, others, { cpus: 0.05, memGb: 0.01, reckonS: 1 }, 1);
  await cluster.clock.advance(30_000);
  await submitDependent(cluster, [...others, 'req-1'], 'req-2');
  const acceptedAt = cluster.clock.now();
  const answeredAfterMs = new Map<number, number>();
  while (answeredAfterMs.size < CONTROLLER_INDICES.length && cluster.clock.now() < acceptedAt + 30_000) {
    for (const index of CONTROLLER_INDICES) {
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
  const slowest = Math.max(...CONTROLLER_INDICES.map((index) => answeredAfterMs.get(index) ?? Infinity));
  assert.ok(slowest <= MAX_RESPONSE_DELAY_MS, `after ${slowest} ms`);
  cluster.assertInvariants();
});
