/** @file Cancellations while a shard or the leadership moves to another node. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CANCEL_S, World } from './fakes/simulated-cluster';
import { startCount, tasksOf } from './fault-steps';

test('jobs cancelled at any moment of a handover to the node that the workers reach are stopped in time', async () => {
  const world = new World();
  for (const job of ['req-1', 'req-2', 'req-3', 'req-4', 'req-5', 'req-6'])
    await world.submit(job, { pieces: 4, reckonS: 100 }, 100);
  await world.until('24 tasks run', () => world.running.length >= 24);
  const old = world.owner;
  const address = world.controllers[old]?.address ?? '';
  world.network.rule(({ from, to }) =>
    (from.startsWith('host-') && to === address) || (from === `node-${old}` && to.startsWith('10.1.'))
      ? 'lose'
      : undefined,
  );
  const cancelled: { job: string; at: number }[] = [];
  const cancel = async (job: string, index: number): Promise<void> => {
    assert.equal(await world.cancel(job, index), 'withdrawn');
    cancelled.push({ job, at: world.clock.now() });
  };
  const late = (): string[] =>
    cancelled
      .filter(({ at }) => world.clock.now() > at + CANCEL_S * 1000)
      .flatMap(({ job }) => tasksOf(world, job));
  await world.clock.advance(3000);
  await cancel('req-1', old);
  await world.until('the owner gives it up', () => world.owner !== old, 30);
  await cancel('req-2', old);
  const heir = await world.untilOwned();
  assert.notEqual(heir, old);
  await cancel('req-3', (old + 1) % 3);
  await world.clock.advance(100);
  await cancel('req-4', (old + 2) % 3);
  await world.clock.advance(400);
  await cancel('req-5', old);
  for (let second = 0; second < 40; second += 1) {
    await world.clock.advance(1000);
    assert.deepEqual(late(), []);
  }
  assert.deepEqual(
    world.running.filter((p) => !p.startsWith('req-6/')),
    [],
  );
  assert.equal(tasksOf(world, 'req-6').length, 4);
  assert.equal(startCount(world), 24, 'nothing was lost');
  world.noRuleBroken();
});

test('jobs cancelled while the leader moves a shard to another node are stopped in time', async () => {
  const world = new World({ operator: { blocks: 2 } });
  const jobs = ['req-1', 'req-2', 'req-3', 'req-4'];
  for (const [index, job] of jobs.entries())
    await world.submit(job, { pieces: 4, crew: index % 2 ? 'red' : 'blue', reckonS: 100 }, 100);
  await world.until('16 tasks run', () => world.running.length >= 16);
  const owners = (): number[] =>
    [0, 1].map((shard) =>
      world.controllers.findIndex((c) => c.alive && c.controller.owners.get(shard)?.entitled === true),
    );
  // One dies, and another has both shards until a third one comes back.
  const [first, second] = owners();
  assert.notEqual(first, second);
  const idle = [0, 1, 2].find((i) => i !== first && i !== second) ?? 0;
  world.kill(idle);
  world.kill(first ?? 0);
  await world.until('one has both', () => owners().every((o) => o === second), 30);
  await world.clock.advance(3000);
  world.restart(idle);
  world.restart(first ?? 0);
  await world.until('a shard is on its way', () => owners().some((o) => o !== second), 30);
  const cancelledAt = world.clock.now();
  assert.equal(await world.cancel('req-1', idle), 'withdrawn');
  assert.equal(await world.cancel('req-2', second), 'withdrawn');
  await world.until('both are owned', () => owners().every((o) => o >= 0), 30);
  assert.deepEqual(new Set(owners()).size, 2, 'the shards are spread again');
  await world.until(
    'what was cancelled is gone',
    () => tasksOf(world, 'req-1').length + tasksOf(world, 'req-2').length === 0,
    CANCEL_S,
  );
  assert.ok(world.clock.now() - cancelledAt < 10_000, `${world.clock.now() - cancelledAt} ms`);
  await world.clock.advance(40_000);
  assert.deepEqual([...tasksOf(world, 'req-1'), ...tasksOf(world, 'req-2')], []);
  assert.equal(tasksOf(world, 'req-3').length + tasksOf(world, 'req-4').length, 8);
  assert.equal(startCount(world), 16);
  world.noRuleBroken();
});

test('a leader with its workers and users but neither state service nor peers: jobs are cancelled through the new one', async () => {
  const world = new World();
  const jobs = ['req-1', 'req-2', 'req-3', 'req-4'];
  for (const job of jobs) await world.submit(job, { pieces: 4, reckonS: 90 }, 90);
  await world.until('16 tasks run', () => world.running.length === 16);
  const old = world.owner;
  const name = `node-${old}`;
  const other = (old + 1) % 3;
  world.state.refused.add(name);
  world.mutes.add(name);
  await world.clock.advance(300);
  assert.equal(await world.cancel('req-1', other), 'withdrawn');
  await world.clock.advance(2500);
  assert.equal(await world.cancel('req-2', other), 'withdrawn');
  await world.until('another has taken over', () => world.owner >= 0 && world.owner !== old, 20);
  assert.equal(await world.cancel('req-3', other), 'withdrawn');
  // Whatever the old one is asked meanwhile, it tells nobody anything older.
  for (let step = 0; step < 120; step += 1) {
    for (const job of jobs) await world.ask(old, 'GET', `/work/${job}`);
    await world.clock.advance(300);
  }
  assert.deepEqual(
    world.running.filter((piece) => !piece.startsWith('req-4/')),
    [],
  );
  assert.equal(tasksOf(world, 'req-4').length, 4);
  assert.equal(startCount(world), 16, 'nothing was lost');
  world.state.refused.delete(name);
  world.mutes.clear();
  await world.noJobWaits(120);
  assert.deepEqual(world.rules.unfinished, []);
  world.noRuleBroken();
});
