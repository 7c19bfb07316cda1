import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  assertCancelledInTime,
  assertStateEverywhere,
  startPipeline,
  pollDuringCancellation,
  submitDependent,
} from './dependency-steps';
import { submission } from './fakes/submission';
import { CANCEL_S } from './fakes/simulated-cluster';

const CONTROLLER_INDICES = [0, 1, 2];

test('a dependent that is submitted while its dependency is being cancelled is cancelled too', async () => {
  for (const slowMs of [0, 600]) {
    for (const submitAfterMs of [-30, -8, -3, -1, 0, 1, 2, 3, 5, 8, 30]) {
      const { cluster } = await startPipeline(2);
      if (slowMs > 0) cluster.store.rule(({ path }) => (path === '/txn' ? { slowMs } : undefined));
      const user = cluster.network.caller('user');
      const post = (index: number, path: string, body?: unknown): void => {
        const address = cluster.controllers[index]?.address ?? '';
        user.call(address, 'POST', path, body, 5000).catch(() => undefined);
      };
      const dependents = ['req-8', 'req-9'];
      const cancelledAfterMs = Math.max(0, -submitAfterMs);
      cluster.clock.after(cancelledAfterMs, () => {
        post(1, '/work/req-1/withdraw');
      });
      cluster.clock.after(cancelledAfterMs + submitAfterMs, () => {
        post(0, '/work', submission('req-8', { awaits: ['req-1'] }));
        post(2, '/work', submission('req-9', { awaits: ['req-2'] }));
      });
      await cluster.clock.advance(6_000);
      assert.equal(await cluster.cancel('req-1', 0), 'withdrawn');
      for (const id of dependents) await cluster.submit(id, { awaits: [id === 'req-8' ? 'req-1' : 'req-2'] });
      await pollDuringCancellation(cluster, dependents);
      await assertCancelledInTime(cluster, dependents);
    }
  }
});

test('a submission does not get the response "pending" if its dependency was cancelled through another job long ago', async () => {
  const { cluster } = await startPipeline(2);
  // The cancellation of req-2 is never recorded, and restarted controllers can't read the final state of req-1.
  cluster.store.rule(({ path, body }) =>
    path === '/txn' && JSON.stringify(body).includes('final/req-2') ? 'refuse' : undefined,
  );
  assert.equal(await cluster.cancel('req-1', 1), 'withdrawn');
  const removeRule = cluster.store.rule(({ path }) => (path === '/store/final/req-1' ? 'refuse' : undefined));
  for (const index of CONTROLLER_INDICES) cluster.kill(index);
  for (const index of CONTROLLER_INDICES) cluster.restart(index);
  await cluster.clock.advance(CANCEL_S * 1000 + 1_000);
  for (const index of CONTROLLER_INDICES) {
    await cluster.request(index, 'POST', '/work', submission(`req-1${index}`, { awaits: ['req-2'] }));
  }
  cluster.assertInvariants();
  removeRule();
  for (const index of CONTROLLER_INDICES)
    await submitDependent(cluster, ['req-2'], `req-1${index}`, {}, 5, index);
  await assertStateEverywhere(cluster, ['req-10', 'req-11', 'req-12'], 'withdrawn');
  cluster.assertInvariants();
});

test('a submission at a controller with an outdated watch cache does not get the response "pending" if its dependency was cancelled', async () => {
  const { cluster } = await startPipeline(2);
  cluster.dropsPeerMessages = true;
  const restoreWatch = cluster.network.rule(({ from, path }) =>
    from === 'node-0' && path.startsWith('/changes') ? 'lose' : undefined,
  );
  await cluster.clock.advance(1_100);
  assert.equal(await cluster.cancel('req-1', 1), 'withdrawn');
  await cluster.clock.advance(CANCEL_S * 1000 + 1_000);
  await cluster.request(0, 'POST', '/work', submission('req-8', { awaits: ['req-1'] }));
  await cluster.request(0, 'POST', '/work', submission('req-9', { awaits: ['req-2'] }));
  cluster.assertInvariants();
  restoreWatch();
  cluster.dropsPeerMessages = false;
  await submitDependent(cluster, ['req-1'], 'req-8');
  await submitDependent(cluster, ['req-2'], 'req-9');
  await assertStateEverywhere(cluster, ['req-8', 'req-9'], 'withdrawn');
  cluster.assertInvariants();
});

test('a new dependent of a cancelled job is reported as cancelled although the store responds late to its acceptance', async () => {
  const { cluster } = await startPipeline(2);
  assert.equal(await cluster.cancel('req-1', 1), 'withdrawn');
  await cluster.clock.advance(CANCEL_S * 1000 + 1_000);
  for (const index of CONTROLLER_INDICES) {
    const id = `req-1${index}`;
    const removeRule = cluster.store.rule(({ path, body }) =>
      path === '/txn' && JSON.stringify(body).includes(`live/job/${id}`) ? { slowMs: 1_400 } : undefined,
    );
    await cluster.request(index, 'POST', '/work', submission(id, { awaits: ['req-1'] }));
    removeRule();
    assert.equal(await cluster.jobState(id, index), 'withdrawn');
  }
  cluster.assertInvariants();
});
