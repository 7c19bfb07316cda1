/** @file The state in responses to users never goes back to an older one, whichever controller they query. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { submission } from './fakes/submission';
import { SimulatedCluster } from './fakes/simulated-cluster';
import {
  pollContinuously,
  delayWatchCaches,
  writesFinalState,
  CONTROLLER_INDICES,
  send,
  consistentState,
} from './user-steps';

test('right after a job is accepted, users query all controllers with stale caches: none of them forgets the job', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  delayWatchCaches(cluster);
  const job = submission('req-1', { pieces: 2 });
  const first = cluster.submit('req-1', { pieces: 2 }, 3, 1);
  const polled = pollContinuously(cluster, 'req-1', job, 400);
  await first;
  await cluster.clock.advance(1000);
  assert.ok(polled.states.length > 200, `${polled.states.length} responses`);
  await cluster.untilJobState('req-1', 'done', 60, 2);
  cluster.assertInvariants();
});

test('as the last task ends, users query all controllers and repeat the submission: no response goes back', async () => {
  for (const withDelayedCaches of [false, true]) {
    const cluster = new SimulatedCluster();
    await cluster.submit('req-1', {}, 5);
    await cluster.until('it runs', () => cluster.runningTasks.length === 1);
    // Every controller has cached that the job runs, but must not answer this from its cache.
    await cluster.clock.advance(2500);
    if (withDelayedCaches) delayWatchCaches(cluster);
    let polled: { states: string[] } | undefined;
    cluster.network.rule((request) => {
      if (writesFinalState(request, 'req-1') && !polled)
        polled = pollContinuously(cluster, 'req-1', submission('req-1'), 300);
      return undefined;
    });
    await cluster.until('its end is written', () => polled !== undefined);
    await cluster.clock.advance(2000);
    assert.ok(polled?.states.includes('done'));
    assert.equal(await consistentState(cluster, 'req-1'), 'done');
    cluster.assertInvariants();
  }
});

test('right after a confirmed cancellation, users query all controllers: none responds with an older state', async () => {
  for (const delivery of ['answered', 'lose answer'] as const) {
    const cluster = new SimulatedCluster();
    await cluster.submit('req-1', { pieces: 3 }, 100);
    await cluster.until('it runs', () => cluster.runningTasks.length === 3);
    // Every controller has cached that the job runs, but must not answer this from its cache.
    await cluster.clock.advance(2500);
    delayWatchCaches(cluster);
    // Watch requests sent before the delay still get their responses at once.
    await cluster.clock.advance(1500);
    let polled: { states: string[] } | undefined;
    cluster.store.rule((request) => {
      if (!writesFinalState(request, 'req-1') || polled) return undefined;
      polled = pollContinuously(cluster, 'req-1', submission('req-1', { pieces: 3 }), 300);
      return delivery === 'lose answer' ? delivery : undefined;
    });
    assert.equal(await cluster.cancel('req-1', 2), 'withdrawn');
    await cluster.clock.advance(3000);
    assert.ok(polled?.states.includes('withdrawn'));
    assert.equal(await consistentState(cluster, 'req-1'), 'withdrawn');
    await cluster.clock.advance(31_000);
    assert.deepEqual(cluster.runningTasks, []);
    cluster.assertInvariants();
  }
});

test('a cancellation races with the end of the last task, in every order of the two writes: the outcome is final', async () => {
  const outcomes = new Set<string>();
  for (const delayMs of [0, 24, 28, 29, 30, 31, 32, 33, 36]) {
    for (const delayedWrite of ['none', 'done', 'cancelled']) {
      const cluster = new SimulatedCluster();
      // The task ends well apart from an increase of the token, which alone would make a late write of the end fail.
      await cluster.submit('req-1', {}, 5);
      let isEndReported = false;
      // The heartbeat with the end of the task is in flight; the end is written about 30 ms later.
      cluster.network.rule(({ path, body }) => {
        if (isEndReported || path !== '/hello' || !JSON.stringify(body).includes('"cause":"done"'))
          return undefined;
        isEndReported = true;
        for (const to of CONTROLLER_INDICES)
          cluster.clock.after(delayMs, () => void send(cluster, to, 'POST', '/work/req-1/withdraw'));
        pollContinuously(cluster, 'req-1', submission('req-1'), 60);
        return undefined;
      });
      // One of the two writes is executed late, after the other one even if it was sent first.
      cluster.store.rule((request) =>
        writesFinalState(request, 'req-1') &&
        JSON.stringify(request.body).includes(`"state":"${delayedWrite}"`)
          ? { lateMs: 30 }
          : undefined,
      );
      await cluster.until('it ends', () => isEndReported);
      await cluster.clock.advance(5000);
      const outcome = await consistentState(cluster, 'req-1');
      outcomes.add(outcome);
      // The controllers' caches are not enough: the final record must contain the same outcome.
      const record = cluster.store.data.get('final/req-1')?.data as { state: string };
      assert.equal(
        record.state,
        outcome === 'done' ? 'done' : 'cancelled',
        `${delayMs} ms, late: ${delayedWrite}`,
      );
      cluster.assertInvariants();
    }
  }
  assert.deepEqual([...outcomes].sort(), ['done', 'withdrawn']);
});

test('the state service takes up to 1 s, and at times exceeds the timeout: users cancel and poll, no response goes back', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  let callCount = 0;
  cluster.store.rule(({ path, from }) => {
    if (path.startsWith('/changes') || from === 'test') return undefined;
    callCount += 1;
    // An irregular delay of 40 ms to 1 s; every eleventh exceeds the timeout of the callers.
    return { slowMs: callCount % 11 === 0 ? 1700 : 40 + ((callCount * 397) % 960) };
  });
  const ids = Array.from({ length: 8 }, (_, n) => `req-${n + 1}`);
  for (const [n, id] of ids.entries()) await cluster.submit(id, {}, n % 2 === 0 ? 4 : 200, n % 3);
  for (const [n, id] of ids.entries()) {
    pollContinuously(cluster, id, submission(id), 30);
    if (n % 2 === 1) {
      await cluster.until(`${id} runs`, () => cluster.runningTasks.some((p) => p.startsWith(`${id}/`)));
      assert.equal(await cluster.cancel(id, (n + 1) % 3), 'withdrawn');
      pollContinuously(cluster, id, submission(id), 30);
    }
  }
  for (const [n, id] of ids.entries())
    await cluster.untilJobState(id, n % 2 === 0 ? 'done' : 'withdrawn', 60, n % 3);
  await cluster.clock.advance(31_000);
  assert.deepEqual(cluster.runningTasks, []);
  cluster.assertInvariants();
});
