/** @file What users are told never goes back to an older state, whichever node they ask. */
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

test('right after the acceptance, users ask all nodes before these can know of the job: no node forgets it', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  delayWatchCaches(cluster);
  const job = submission('req-1', { pieces: 2 });
  const first = cluster.submit('req-1', { pieces: 2 }, 3, 1);
  const seen = pollContinuously(cluster, 'req-1', job, 400);
  await first;
  await cluster.clock.advance(1000);
  assert.ok(seen.states.length > 200, `${seen.states.length} answers`);
  await cluster.untilJobState('req-1', 'done', 60, 2);
  cluster.assertInvariants();
});

test('at the end of the last task, users ask at all nodes and repeat the submission: no answer goes back', async () => {
  for (const cut of [false, true]) {
    const cluster = new SimulatedCluster();
    await cluster.submit('req-1', {}, 5);
    await cluster.until('it runs', () => cluster.runningTasks.length === 1);
    // Every node has heard that it runs, and none may say so from memory.
    await cluster.clock.advance(2500);
    if (cut) delayWatchCaches(cluster);
    let seen: { states: string[] } | undefined;
    cluster.network.rule((request) => {
      if (writesFinalState(request, 'req-1') && !seen)
        seen = pollContinuously(cluster, 'req-1', submission('req-1'), 300);
      return undefined;
    });
    await cluster.until('its end is written', () => seen !== undefined);
    await cluster.clock.advance(2000);
    assert.ok(seen?.states.includes('done'));
    assert.equal(await consistentState(cluster, 'req-1'), 'done');
    cluster.assertInvariants();
  }
});

test('right after a confirmed cancellation, users ask all nodes: no node answers with an older state', async () => {
  for (const fate of ['answered', 'lose answer'] as const) {
    const cluster = new SimulatedCluster();
    await cluster.submit('req-1', { pieces: 3 }, 100);
    await cluster.until('it runs', () => cluster.runningTasks.length === 3);
    // Every node has heard that it runs, and none may say so from memory.
    await cluster.clock.advance(2500);
    delayWatchCaches(cluster);
    // Watches that are open still are answered at once.
    await cluster.clock.advance(1500);
    let seen: { states: string[] } | undefined;
    cluster.store.rule((request) => {
      if (!writesFinalState(request, 'req-1') || seen) return undefined;
      seen = pollContinuously(cluster, 'req-1', submission('req-1', { pieces: 3 }), 300);
      return fate === 'lose answer' ? fate : undefined;
    });
    assert.equal(await cluster.cancel('req-1', 2), 'withdrawn');
    await cluster.clock.advance(3000);
    assert.ok(seen?.states.includes('withdrawn'));
    assert.equal(await consistentState(cluster, 'req-1'), 'withdrawn');
    await cluster.clock.advance(31_000);
    assert.deepEqual(cluster.runningTasks, []);
    cluster.assertInvariants();
  }
});

test('a cancellation races with the end of the last task, in every order of the two writes: one wins for ever', async () => {
  const outcomes = new Set<string>();
  for (const delayMs of [0, 24, 28, 29, 30, 31, 32, 33, 36]) {
    for (const late of ['none', 'done', 'cancelled']) {
      const cluster = new SimulatedCluster();
      // Ends well apart from a raise of the token, which would shut out a late write of the end by itself.
      await cluster.submit('req-1', {}, 5);
      let met = false;
      // The report of the end is on its way; its write follows some 30 ms later.
      cluster.network.rule(({ path, body }) => {
        if (met || path !== '/hello' || !JSON.stringify(body).includes('"cause":"done"')) return undefined;
        met = true;
        for (const to of CONTROLLER_INDICES)
          cluster.clock.after(delayMs, () => void send(cluster, to, 'POST', '/work/req-1/withdraw'));
        pollContinuously(cluster, 'req-1', submission('req-1'), 60);
        return undefined;
      });
      // Either write may be carried out after the other, though it was sent first.
      cluster.store.rule((request) =>
        writesFinalState(request, 'req-1') && JSON.stringify(request.body).includes(`"state":"${late}"`)
          ? { lateMs: 30 }
          : undefined,
      );
      await cluster.until('it ends', () => met);
      await cluster.clock.advance(5000);
      const outcome = await consistentState(cluster, 'req-1');
      outcomes.add(outcome);
      // What a node remembers is not enough: the record has to say the same for ever.
      const record = cluster.store.data.get('final/req-1')?.data as { state: string };
      assert.equal(record.state, outcome === 'done' ? 'done' : 'cancelled', `${delayMs} ms, late: ${late}`);
      cluster.assertInvariants();
    }
  }
  assert.deepEqual([...outcomes].sort(), ['done', 'withdrawn']);
});

test('the state service takes up to a second, at times longer than the timeout: users cancel and ask, no answer goes back', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  let call = 0;
  cluster.store.rule(({ path, from }) => {
    if (path.startsWith('/changes') || from === 'test') return undefined;
    call += 1;
    // In no step with anything: 40 ms to 1 s, every eleventh longer than the callers wait.
    return { slowMs: call % 11 === 0 ? 1700 : 40 + ((call * 397) % 960) };
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
