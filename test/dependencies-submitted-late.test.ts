import assert from 'node:assert/strict';
import { test } from 'node:test';
import { cancelledWithinBound, everywhere, pipeline, polledThroughBound, submitAfter } from './dependency-steps';
import { submission } from './fakes/submission';
import { CANCEL_S } from './fakes/simulated-cluster';

const NODES = [0, 1, 2];

test('a dependent is submitted at the moment at which what it needs is cancelled', async () => {
  for (const slowMs of [0, 600]) {
    for (const submitAfterMs of [-30, -8, -3, -1, 0, 1, 2, 3, 5, 8, 30]) {
      const { world } = await pipeline(2);
      if (slowMs > 0) world.state.rule(({ path }) => (path === '/txn' ? { slowMs } : undefined));
      const user = world.network.caller('user');
      const ask = (index: number, path: string, body?: unknown): void => {
        const address = world.controllers[index]?.address ?? '';
        user.call(address, 'POST', path, body, 5000).catch(() => undefined);
      };
      const dependents = ['req-8', 'req-9'];
      const cancelledAfterMs = Math.max(0, -submitAfterMs);
      world.clock.after(cancelledAfterMs, () => {
        ask(1, '/work/req-1/withdraw');
      });
      world.clock.after(cancelledAfterMs + submitAfterMs, () => {
        ask(0, '/work', submission('req-8', { awaits: ['req-1'] }));
        ask(2, '/work', submission('req-9', { awaits: ['req-2'] }));
      });
      await world.clock.advance(6_000);
      assert.equal(await world.cancel('req-1', 0), 'withdrawn');
      for (const id of dependents) await world.submit(id, { awaits: [id === 'req-8' ? 'req-1' : 'req-2'] });
      await polledThroughBound(world, dependents);
      await cancelledWithinBound(world, dependents);
    }
  }
});

test('a submission is not answered with pending where what it names was cancelled with another long ago', async () => {
  const { world } = await pipeline(2);
  // The dependent's cancellation is never written, and nodes that begin anew can't read how the first job ended.
  world.state.rule(({ path, body }) =>
    path === '/txn' && JSON.stringify(body).includes('final/req-2') ? 'refuse' : undefined,
  );
  assert.equal(await world.cancel('req-1', 1), 'withdrawn');
  const heal = world.state.rule(({ path }) => (path === '/store/final/req-1' ? 'refuse' : undefined));
  for (const index of NODES) world.kill(index);
  for (const index of NODES) world.restart(index);
  await world.clock.advance(CANCEL_S * 1000 + 1_000);
  for (const index of NODES) {
    await world.ask(index, 'POST', '/work', submission(`req-1${index}`, { awaits: ['req-2'] }));
  }
  world.noRuleBroken();
  heal();
  for (const index of NODES) await submitAfter(world, ['req-2'], `req-1${index}`, {}, 5, index);
  await everywhere(world, ['req-10', 'req-11', 'req-12'], 'withdrawn');
  world.noRuleBroken();
});

test('a submission at a node with an old copy is not answered with pending either', async () => {
  const { world } = await pipeline(2);
  world.silencePeers = true;
  const cut = world.network.rule(({ from, path }) =>
    from === 'node-0' && path.startsWith('/changes') ? 'lose' : undefined,
  );
  await world.clock.advance(1_100);
  assert.equal(await world.cancel('req-1', 1), 'withdrawn');
  await world.clock.advance(CANCEL_S * 1000 + 1_000);
  await world.ask(0, 'POST', '/work', submission('req-8', { awaits: ['req-1'] }));
  await world.ask(0, 'POST', '/work', submission('req-9', { awaits: ['req-2'] }));
  world.noRuleBroken();
  cut();
  world.silencePeers = false;
  await submitAfter(world, ['req-1'], 'req-8');
  await submitAfter(world, ['req-2'], 'req-9');
  await everywhere(world, ['req-8', 'req-9'], 'withdrawn');
  world.noRuleBroken();
});

test('a dependent of a cancelled job is cancelled before the state service answers its acceptance', async () => {
  const { world } = await pipeline(2);
  assert.equal(await world.cancel('req-1', 1), 'withdrawn');
  await world.clock.advance(CANCEL_S * 1000 + 1_000);
  for (const index of NODES) {
    const id = `req-1${index}`;
    const heal = world.state.rule(({ path, body }) =>
      path === '/txn' && JSON.stringify(body).includes(`live/job/${id}`) ? { slowMs: 1_400 } : undefined,
    );
    await world.ask(index, 'POST', '/work', submission(id, { awaits: ['req-1'] }));
    heal();
    assert.equal(await world.standing(id, index), 'withdrawn');
  }
  world.noRuleBroken();
});
