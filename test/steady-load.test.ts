/** @file Many short jobs at a steady rate, under the write limit of the state service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { submission } from './fakes/submission';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { send } from './user-steps';

const STATE = '10.2.0.1:2379';

test('four jobs of one task a second, a quarter cancelled, 40 changes a second: all end, renewals are in time', async () => {
  const LIMIT = 40;
  const cluster = new SimulatedCluster({ writeRps: LIMIT });
  await cluster.untilOwned();
  // The state service keeps to its limit, all controllers together, with bursts of a second's worth.
  let tokens = LIMIT;
  let filledAt = cluster.clock.now();
  let tooMany = 0;
  let grants = 0;
  const renewedAt = new Map<string, number>();
  let longestMs = 0;
  cluster.network.attach(STATE, (request) => {
    const now = cluster.clock.now();
    if (request.path === '/grants') grants += 1;
    if (request.path.endsWith('/extend')) {
      longestMs = Math.max(longestMs, now - (renewedAt.get(request.from) ?? now));
      renewedAt.set(request.from, now);
    }
    if (request.path === '/txn') {
      const changes = (request.body as { apply: unknown[] }).apply.length;
      tokens = Math.min(LIMIT, tokens + ((now - filledAt) * LIMIT) / 1000);
      filledAt = now;
      if (changes > tokens) {
        tooMany += 1;
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
  let most = 0;
  for (let n = 1; n <= COUNT; n += 1) {
    void user(n);
    await cluster.clock.advance(250);
    most = Math.max(most, [...cluster.store.data.keys()].filter((key) => key.startsWith('live/job/')).length);
  }
  await cluster.clock.advance(30_000);
  assert.equal(finals.length, COUNT);
  assert.ok(finals.filter((f) => f === 'withdrawn').length > COUNT / 8);
  assert.ok(Math.max(...waits) < 5000, `accepted within ${Math.max(...waits)} ms`);
  // About as many as are under way at once: what is over goes.
  assert.ok(most < 80, `${most} live jobs`);
  const left = [...cluster.store.data.keys()].filter((key) => /^live\/(job|done)\//.test(key));
  assert.deepEqual(left, []);
  for (const { controller } of cluster.controllers) {
    for (const owner of controller.owners.values()) assert.deepEqual(owner.progress(), []);
  }
  // Nobody's lease has ended, and no renewal came late: they go out six times a lease.
  assert.equal(grants, 0);
  assert.ok(longestMs < 1000, `${longestMs} ms between two renewals`);
  assert.ok(tooMany < 10, `${tooMany} refused`);
  cluster.assertInvariants();
});
