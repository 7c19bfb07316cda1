import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';

/** Half of the machines, and one controller, can't reach the owner and the third controller, nor these them. */
async function apart(
  cluster: SimulatedCluster,
): Promise<{ owner: number; relay: number; far: string[]; heal(): void }> {
  await cluster.submit('req-1', { pieces: 32, reckonS: 60 }, 60);
  await cluster.until('32 tasks run', () => cluster.runningTasks.length >= 32);
  // There is room to start everything beyond the cut again, and once more: nothing but the owner's care prevents it.
  for (let n = 0; n < 4; n += 1) cluster.addWorker('b');
  await cluster.clock.advance(13_000);
  const owner = cluster.owner;
  const relay = (owner + 1) % 3;
  const third = (owner + 2) % 3;
  const used = new Set(cluster.runningTasks.map((task) => cluster.machineOf(task) ?? ''));
  const far = [...used].slice(0, 4);
  const farAddresses = far.map((id) => cluster.worker(id).address);
  const near = [cluster.controllers[owner], cluster.controllers[third]];
  const remove = cluster.network.rule(({ from, to }) => {
    const up = far.includes(from) && near.some((c) => c?.address === to);
    const down = farAddresses.includes(to) && near.some((c) => c?.name === from);
    return up || down ? 'lose' : undefined;
  });
  for (const c of near) cluster.partitionedPairs.add(`${cluster.controllers[relay]?.name}|${c?.name}`);
  return {
    owner,
    relay,
    far,
    heal: () => {
      remove();
      cluster.partitionedPairs.clear();
    },
  };
}

const starts = (cluster: SimulatedCluster): number =>
  [...cluster.workers.values()].flatMap((w) => w.startCommands).length;

test('zones cut from each other for long: a controller beyond the cut relays the leases, and no task is lost', async () => {
  const cluster = new SimulatedCluster();
  const { owner, heal } = await apart(cluster);
  for (let second = 0; second < 30; second += 1) {
    await cluster.clock.advance(1000);
    assert.equal(cluster.runningTasks.length, 32, `after ${second} s`);
  }
  assert.equal(cluster.owner, owner);
  heal();
  await cluster.untilJobState('req-1', 'done', 120, owner);
  assert.equal(starts(cluster), 32);
  await cluster.clock.advance(10_000);
  assert.deepEqual(
    [...cluster.store.data.keys()].filter((key) => key.startsWith('live/keep/')),
    [],
  );
  cluster.assertInvariants();
});

test('a cancellation reaches tasks beyond the cut through the relay', async () => {
  const cluster = new SimulatedCluster();
  const { owner, far } = await apart(cluster);
  await cluster.clock.advance(8000);
  assert.equal(await cluster.cancel('req-1', owner), 'withdrawn');
  await cluster.clock.advance(8000);
  assert.deepEqual(cluster.runningTasks, [], far.join());
  await cluster.clock.advance(30_000);
  cluster.assertInvariants();
});

test('when the relay dies, what it relayed is issued again only after those leases have run out', async () => {
  const cluster = new SimulatedCluster();
  const { owner, relay, far } = await apart(cluster);
  cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
  await cluster.clock.advance(15_000);
  assert.equal(cluster.runningTasks.length, 32);
  cluster.kill(relay);
  await cluster.until(
    'all run again',
    () => cluster.runningTasks.every((p) => !far.includes(cluster.machineOf(p) ?? '')),
    40,
  );
  await cluster.untilJobState('req-1', 'done', 200, owner);
  cluster.assertInvariants();
});

test('when the owner dies during the cut, the one who takes over starts nothing that is relayed elsewhere', async () => {
  const cluster = new SimulatedCluster();
  const { owner, relay, heal } = await apart(cluster);
  await cluster.clock.advance(7000);
  cluster.kill(owner);
  await cluster.clock.advance(25_000);
  heal();
  await cluster.untilJobState('req-1', 'done', 200, relay);
  cluster.assertInvariants();
});

test('a relay may have answered up to the end of its record, however late the owner comes to look', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1 }, 60);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  const owner = cluster.controllers[cluster.owner]?.controller.owners.get(0);
  const machine = owner?.machines.get(cluster.machineOf('req-1/0') ?? '');
  assert.ok(owner && machine);
  // Between two heartbeats: the last answer is in the past.
  await cluster.clock.advance(50);
  assert.ok(machine.latestLeaseStart < cluster.clock.now());
  owner.onChange({ key: 'live/keep/0/node-1', version: 10 ** 6, deleted: true });
  assert.equal(machine.latestLeaseStart, cluster.clock.now());
});

test('a controller that comes back relays no leases while it has yet to hear the others', async () => {
  const cluster = new SimulatedCluster();
  const owner = await cluster.untilOwned();
  const other = (owner + 1) % 3;
  for (let round = 0; round < 3; round += 1) {
    cluster.kill(other);
    await cluster.clock.advance(2_000);
    cluster.restart(other);
    for (let step = 0; step < 60; step += 1) {
      await cluster.clock.advance(100);
      assert.ok(![...cluster.store.data.keys()].some((key) => key.startsWith('live/keep/')));
    }
  }
  cluster.assertInvariants();
});

test('machines that come back from a cut are used for what waits, not returned as idle', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 24, reckonS: 300 }, 300);
  await cluster.until('24 tasks run', () => cluster.runningTasks.length >= 24);
  // Old enough for an empty one to be returned.
  await cluster.clock.advance(70_000);
  cluster.capacity = 0;
  const used = [...new Set(cluster.runningTasks.map((task) => cluster.machineOf(task) ?? ''))];
  const far = used.slice(0, used.length / 2);
  const addresses = far.map((id) => cluster.worker(id).address);
  let out = far.length;
  cluster.network.rule(({ from, to }) => {
    const index = Math.max(far.indexOf(from), addresses.indexOf(to));
    return index >= 0 && index < out ? 'lose' : undefined;
  });
  // Returning the one that stays out of reach would settle what is on it: no return is heard.
  const returned = new Set<string>();
  cluster.network.rule(({ path, body }) => {
    if (path !== '/hosts/release') return undefined;
    for (const id of (body as { hearths: string[] }).hearths) returned.add(id);
    return 'lose';
  });
  await cluster.clock.advance(5_000);
  cluster.kill(cluster.owner);
  await cluster.clock.advance(100);
  const owner = await cluster.untilOwned();
  // Something is wanted of the fleet, though what waits may not start yet: one machine is still out of reach.
  await cluster.submit('req-2', { pieces: 1, loaners: false }, 5, owner);
  await cluster.clock.advance(4_000);
  out = 1;
  await cluster.until('20 tasks run again', () => cluster.runningTasks.length >= 20, 20);
  assert.deepEqual([...returned], far.slice(0, 1));
  cluster.assertInvariants();
});
