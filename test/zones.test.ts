import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/simulated-cluster';

/** Half of the machines, and one controller, can't reach the owner and the third controller, nor these them. */
async function apart(world: World): Promise<{ owner: number; relay: number; far: string[]; heal(): void }> {
  await world.submit('req-1', { pieces: 32, reckonS: 60 }, 60);
  await world.until('32 tasks run', () => world.running.length >= 32);
  // There is room to start everything beyond the cut again, and once more: nothing but the owner's care prevents it.
  for (let n = 0; n < 4; n += 1) world.addWorker('b');
  await world.clock.advance(13_000);
  const owner = world.owner;
  const relay = (owner + 1) % 3;
  const third = (owner + 2) % 3;
  const used = new Set(world.running.map((piece) => world.where(piece) ?? ''));
  const far = [...used].slice(0, 4);
  const farAddresses = far.map((id) => world.worker(id).address);
  const near = [world.controllers[owner], world.controllers[third]];
  const remove = world.network.rule(({ from, to }) => {
    const up = far.includes(from) && near.some((c) => c?.address === to);
    const down = farAddresses.includes(to) && near.some((c) => c?.name === from);
    return up || down ? 'lose' : undefined;
  });
  for (const c of near) world.apart.add(`${world.controllers[relay]?.name}|${c?.name}`);
  return {
    ...{ owner, relay, far },
    heal: () => {
      remove();
      world.apart.clear();
    },
  };
}

const starts = (world: World): number => [...world.workers.values()].flatMap((w) => w.startOrders).length;

test('zones cut from each other for long: a controller beyond the cut relays the leases, and no task is lost', async () => {
  const world = new World();
  const { owner, heal } = await apart(world);
  for (let second = 0; second < 30; second += 1) {
    await world.clock.advance(1000);
    assert.equal(world.running.length, 32, `after ${second} s`);
  }
  assert.equal(world.owner, owner);
  heal();
  await world.untilStanding('req-1', 'done', 120, owner);
  assert.equal(starts(world), 32);
  await world.clock.advance(10_000);
  assert.deepEqual(
    [...world.state.data.keys()].filter((key) => key.startsWith('live/keep/')),
    [],
  );
  world.noRuleBroken();
});

test('a cancellation reaches tasks beyond the cut through the relay', async () => {
  const world = new World();
  const { owner, far } = await apart(world);
  await world.clock.advance(8000);
  assert.equal(await world.cancel('req-1', owner), 'withdrawn');
  await world.clock.advance(8000);
  assert.deepEqual(world.running, [], far.join());
  await world.clock.advance(30_000);
  world.noRuleBroken();
});

test('when the relay dies, what it relayed is issued again only after those leases have run out', async () => {
  const world = new World();
  const { owner, relay, far } = await apart(world);
  world.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
  await world.clock.advance(15_000);
  assert.equal(world.running.length, 32);
  world.kill(relay);
  await world.until(
    'all run again',
    () => world.running.every((p) => !far.includes(world.where(p) ?? '')),
    40,
  );
  await world.untilStanding('req-1', 'done', 200, owner);
  world.noRuleBroken();
});

test('when the owner dies during the cut, the one who takes over starts nothing that is relayed elsewhere', async () => {
  const world = new World();
  const { owner, relay, heal } = await apart(world);
  await world.clock.advance(7000);
  world.kill(owner);
  await world.clock.advance(25_000);
  heal();
  await world.untilStanding('req-1', 'done', 200, relay);
  world.noRuleBroken();
});

test('a relay may have answered up to the end of its record, however late the owner comes to look', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 1 }, 60);
  await world.until('a task runs', () => world.running.length > 0);
  const owner = world.controllers[world.owner]?.controller.owners.get(0);
  const machine = owner?.machines.get(world.where('req-1/0') ?? '');
  assert.ok(owner && machine);
  machine.latestLeaseStart = 0;
  owner.onChange({ key: 'live/keep/0/node-1', version: 10 ** 6, deleted: true });
  assert.equal(machine.latestLeaseStart, world.clock.now());
});

test('a controller that comes back relays no leases while it has yet to hear the others', async () => {
  const world = new World();
  const owner = await world.untilOwned();
  const other = (owner + 1) % 3;
  for (let round = 0; round < 3; round += 1) {
    world.kill(other);
    await world.clock.advance(2_000);
    world.restart(other);
    for (let step = 0; step < 60; step += 1) {
      await world.clock.advance(100);
      assert.ok(![...world.state.data.keys()].some((key) => key.startsWith('live/keep/')));
    }
  }
  world.noRuleBroken();
});

test('machines that come back from a cut are used for what waits, not returned as idle', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 24, reckonS: 300 }, 300);
  await world.until('24 tasks run', () => world.running.length >= 24);
  // Old enough for an empty one to be returned.
  await world.clock.advance(70_000);
  world.capacity = 0;
  const used = [...new Set(world.running.map((piece) => world.where(piece) ?? ''))];
  const far = used.slice(0, used.length / 2);
  const addresses = far.map((id) => world.worker(id).address);
  let out = far.length;
  world.network.rule(({ from, to }) => {
    const index = Math.max(far.indexOf(from), addresses.indexOf(to));
    return index >= 0 && index < out ? 'lose' : undefined;
  });
  // Returning the one that stays out of reach would settle what is on it: no return is heard.
  const returned = new Set<string>();
  world.network.rule(({ path, body }) => {
    if (path !== '/hosts/release') return undefined;
    for (const id of (body as { hearths: string[] }).hearths) returned.add(id);
    return 'lose';
  });
  await world.clock.advance(5_000);
  world.kill(world.owner);
  await world.clock.advance(100);
  const owner = await world.untilOwned();
  // Something is wanted of the fleet, though what waits may not start yet: one machine is still out of reach.
  await world.submit('req-2', { pieces: 1, loaners: false }, 5, owner);
  await world.clock.advance(4_000);
  out = 1;
  await world.until('20 tasks run again', () => world.running.length >= 20, 20);
  assert.deepEqual([...returned], far.slice(0, 1));
  world.noRuleBroken();
});
