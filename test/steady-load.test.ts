/** @file Many short jobs at a steady rate, under the write limit of the key-value store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { submission } from './fakes/submission';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { send } from './user-steps';

const STATE = '10.2.0.1:2379';

test('at four one-task jobs a second, a quarter of them cancelled, and 40 changes a second, all jobs end and leases are renewed in time', async () => {
  const LIMIT = 40;
  const cluster = new SimulatedCluster({ writeRps: LIMIT });
  await cluster.untilOwned();
  // The key-value store limits all controllers together, and allows bursts of as many changes as in a second.
  let tokens = LIMIT;
  let filledAt = cluster.clock.now();
  let rejectedWrites = 0;
  let leaseGrants = 0;
  const renewedAt = new Map<string, number>();
  let longestRenewalGapMs = 0;
  cluster.network.attach(STATE, (request) => {
    const now = cluster.clock.now();
    if (request.path === '/grants') leaseGrants += 1;
    if (request.path.endsWith('/extend')) {
      longestRenewalGapMs = Math.max(longestRenewalGapMs, now - (renewedAt.get(request.from) ?? now));
      renewedAt.set(request.from, now);
    }
    if (request.path === '/txn') {
      const changes = (request.body as { apply: unknown[] }).apply.length;
      tokens = Math.min(LIMIT, tokens + ((now - filledAt) * LIMIT) / 1000);
      filledAt = now;
      if (changes > tokens) {
        rejectedWrites += 1;
        return { status: 429, body: null };
      }
      tokens -= changes;
    }
    return cluster.store.handle(request);
  });
  const waits: number[] = [];
  const finals: string[] = [];
  const user = async (n: number): Promise<void> => {
    const id = `req-${n}`;
    const until = async (method: string, path: string, body: unknown, pauseMs: number): Promise<string> => {
      for (let attempt = 0; ; attempt += 1) {
        const answer = await send(cluster, (n + attempt) % 3, method, path, body);
        if (answer?.status === 200 || answer?.status === 201)
          return (answer.body as { standing: string }).standing;
        await cluster.clock.sleep(pauseMs);
      }
    };
    const from = cluster.clock.now();
    await until('POST', '/work', submission(id, { reckonS: 4 }), 1000);
    waits.push(cluster.clock.now() - from);
    if (n % 4 === 0) {
      await cluster.clock.sleep((n * 137) % 6000);
      await until('POST', `/work/${id}/withdraw`, undefined, 1000);
    }
    for (;;) {
      const state = await until('GET', `/work/${id}`, undefined, 1000);
      if (state === 'done' || state === 'withdrawn') {
        finals.push(state);
        return;
      }
      await cluster.clock.sleep(5000);
    }
  };
  const COUNT = 480;
  let mostLiveJobs = 0;
  for (let n = 1; n <= COUNT; n += 1) {
    void user(n);
    await cluster.clock.advance(250);
    mostLiveJobs = Math.max(
      mostLiveJobs,
      [...cluster.store.data.keys()].filter((key) => key.startsWith('live/job/')).length,
    );
  }
  await cluster.clock.advance(30_000);
  assert.equal(finals.length, COUNT);
  assert.ok(finals.filter((f) => f === 'withdrawn').length > COUNT / 8);
  assert.ok(Math.max(...waits) < 5000, `accepted within ${Math.max(...waits)} ms`);
  // About as many as are active at once: records of ended jobs are deleted.
  assert.ok(mostLiveJobs < 80, `${mostLiveJobs} live jobs`);
  const left = [...cluster.store.data.keys()].filter((key) => /^live\/(job|done)\//.test(key));
  assert.deepEqual(left, []);
  for (const { controller } of cluster.controllers) {
    for (const owner of controller.owners.values()) assert.deepEqual(owner.progress(), []);
  }
  // No lease expired, and no renewal was late: a lease is renewed six times in its duration.
  assert.equal(leaseGrants, 0);
  assert.ok(longestRenewalGapMs < 1000, `${longestRenewalGapMs} ms between two renewals`);
  assert.ok(rejectedWrites < 10, `${rejectedWrites} writes rejected`);
  cluster.assertInvariants();
});
