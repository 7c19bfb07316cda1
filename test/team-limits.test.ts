/** @file Team limits while cancelled tasks may still run on unreachable machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/simulated-cluster';
import { changeLeader, tasksOf, watchWithoutReleases } from './fault-steps';

for (const [what, trouble] of [
  ['with one owner', 'none'],
  ['after a takeover', 'takeover'],
  ['with an owner that started after the cancellation', 'nobody'],
  ['with all controllers started after the cancellation', 'restarts'],
] as const) {
  test(`at a full team limit, cancelled tasks on an unresponsive machine count until its lease ends, ${what}`, async () => {
    const world = new World({ limitCpus: 4 });
    await watchWithoutReleases(world);
    await world.submit('req-1', { crew: 'red', pieces: 4 }, 200);
    await world.until('4 tasks run', () => world.running.length === 4);
    const held = [...new Set(world.running.map((p) => world.where(p) ?? ''))];
    for (const id of held) world.worker(id).hanging = true;
    const hangsAt = world.clock.now();
    await world.clock.advance(200);
    const old = world.owner;
    const asker = (old + 1) % 3;
    if (trouble === 'nobody') {
      world.kill(old);
      await world.clock.advance(500);
    }
    assert.equal(await world.cancel('req-1', asker), 'withdrawn');
    if (trouble === 'nobody') assert.equal(world.owner, -1);
    if (trouble === 'takeover') await changeLeader(world, 20_000);
    if (trouble === 'restarts') {
      for (const index of [0, 1, 2]) world.kill(index);
      await world.clock.advance(500);
      for (const index of [0, 1, 2]) world.restart(index);
    }
    const reader = await world.untilOwned();
    // Long enough for the machine to be taken for silent: what is started goes elsewhere.
    if (trouble === 'none') await world.clock.advance(3000);
    await world.submit('req-2', { crew: 'red', pieces: 4 }, 200, reader);
    // Within their leases the machines go on with what they hold.
    while (tasksOf(world, 'req-1').length > 0) {
      assert.deepEqual(tasksOf(world, 'req-2'), [], `${world.clock.now() - hangsAt} ms`);
      await world.clock.advance(100);
    }
    assert.ok(world.clock.now() - hangsAt > 8_000, 'the machines held them to the end of their leases');
    for (const id of held) world.worker(id).hanging = false;
    await world.until('req-2 runs', () => tasksOf(world, 'req-2').length === 4, 60);
    world.noRuleBroken();
  });
}

test('a cancelled task found after a takeover counts against the team limit until proved gone, though its job is unknown', async () => {
  const world = new World({ limitCpus: 4 });
  await watchWithoutReleases(world);
  await world.submit('req-1', { crew: 'red', cpus: 4 }, 200);
  await world.until('it runs', () => world.running.length === 1);
  const worker = world.worker(world.where('req-1/0') ?? '');
  const { baton } = worker;
  // The answer to its first report gives it the new owner's token; the next one arrives when its job is over, and the
  // stop in its answer is lost.
  let isOver = false;
  world.network.rule(({ to, from }) => {
    if (to === worker.address) return 'lose';
    if (from !== worker.id || worker.baton === baton) return undefined;
    return isOver ? 'lose answer' : 'lose';
  });
  world.kill(world.owner);
  await world.clock.advance(100);
  const owner = await world.untilOwned();
  await world.until('it has the token', () => worker.baton > baton, 5);
  assert.equal(await world.cancel('req-1', owner), 'withdrawn');
  isOver = true;
  const machines = world.controllers[owner]?.controller.owners.get(0)?.machines;
  await world.until('it is settled', () => machines?.get(worker.id)?.isConfirmed === true, 8);
  assert.equal(world.where('req-1/0'), worker.id);
  await world.submit('req-2', { crew: 'red', cpus: 4 }, 200, owner);
  await world.until(
    'it is gone',
    () => {
      assert.ok(world.where('req-1/0') === undefined || world.where('req-2/0') === undefined);
      return world.where('req-1/0') === undefined;
    },
    15,
  );
  await world.until('req-2 runs', () => world.where('req-2/0') !== undefined, 60);
  world.noRuleBroken();
});

test('at a full team limit, a job is cancelled while its machines are unreachable for two new owners in a row', async () => {
  const world = new World({ limitCpus: 4 });
  await watchWithoutReleases(world);
  await world.submit('req-1', { crew: 'red', pieces: 2, cpus: 2 }, 200);
  await world.until('both run', () => world.running.length === 2);
  const heals = [...new Set(world.running.map((p) => world.where(p) ?? ''))].map((id) => world.cutOff(id));
  const cutAt = world.clock.now();
  const first = await changeLeader(world, 30_000);
  assert.equal(await world.cancel('req-1', first), 'withdrawn');
  // And once more: this owner has neither the job nor the machines.
  const second = await changeLeader(world, 30_000);
  await world.submit('req-2', { crew: 'red', cpus: 2 }, 200, second);
  while (tasksOf(world, 'req-1').length > 0) {
    assert.equal(world.where('req-2/0'), undefined, `${world.clock.now() - cutAt} ms`);
    await world.clock.advance(100);
  }
  assert.ok(world.clock.now() - cutAt > 8_000, 'the machines held them to the end of their leases');
  for (const heal of heals) heal();
  await world.until('req-2 runs', () => world.where('req-2/0') !== undefined, 60);
  world.noRuleBroken();
});

test('a job whose end a node learned before its beginning counts against the team limit when that node takes over', async () => {
  const world = new World({ limitCpus: 4 });
  await watchWithoutReleases(world);
  const old = await world.untilOwned();
  // The others' watches are slow, and nobody tells them of the acceptance.
  const slow = world.state.rule(({ from, path }) =>
    from !== `node-${old}` && path.startsWith('/changes') ? { slowMs: 1500 } : undefined,
  );
  await world.clock.advance(2000);
  world.silencePeers = true;
  await world.submit('req-1', { crew: 'red', cpus: 4 }, 200, old);
  await world.until('it runs', () => world.running.length === 1, 1);
  const id = world.where('req-1/0') ?? '';
  const heal = world.cutOff(id);
  world.silencePeers = false;
  assert.equal(await world.cancel('req-1', old), 'withdrawn');
  slow();
  world.kill(old);
  await world.clock.advance(100);
  const owner = await world.untilOwned();
  await world.submit('req-2', { crew: 'red', cpus: 4 }, 200, owner);
  while (world.where('req-1/0') !== undefined) await world.clock.advance(100);
  heal();
  await world.until('req-2 runs', () => world.where('req-2/0') !== undefined, 60);
  world.noRuleBroken();
});
