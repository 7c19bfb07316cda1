import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FakeWorker } from './fakes/worker';
import { World } from './fakes/simulated-cluster';

/** From now on the machine's reports arrive, but neither answers nor commands reach it. */
function deafen(world: World, worker: FakeWorker, starts: string[]): () => void {
  return world.network.rule(({ from, to, path, body }) => {
    if (to === worker.address) {
      if (path === '/do' && JSON.stringify(body).includes('"run"')) starts.push(JSON.stringify(body));
      return 'lose';
    }
    return from === worker.id ? 'lose answer' : undefined;
  });
}

test('a machine that reports but hears nothing gets no starts, and its work goes on elsewhere', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 4, reckonS: 60 }, 60);
  await world.until('4 tasks run', () => world.running.length >= 4);
  const worker = world.worker(world.where('req-1/0') ?? '');
  const spare = [world.addWorker('b'), world.addWorker('b')];
  await world.clock.advance(13_000);
  const starts: string[] = [];
  deafen(world, worker, starts);
  const deafAt = world.clock.now();
  // More than the others hold, so that starts go there too.
  await world.submit('req-2', { pieces: 12, reckonS: 10 }, 10);
  await world.until('its tasks run elsewhere', () => spare.includes(world.where('req-1/0') ?? ''), 60);
  assert.ok(world.clock.now() - deafAt < 30_000, `${world.clock.now() - deafAt} ms`);
  await world.untilStanding('req-2', 'done');
  assert.ok(starts.length <= 1, `${starts.length} starts left for it`);
  world.noRuleBroken();
});

test('it is found out by its sessions too, before anything is started there', async () => {
  const world = new World();
  // The cloud can't be asked to end it.
  world.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
  await world.submit('req-1', { pieces: 1 }, 2);
  await world.untilStanding('req-1', 'done');
  const worker = [...world.workers.values()][0];
  assert.ok(worker);
  world.capacity = 0;
  const starts: string[] = [];
  deafen(world, worker, starts);
  await world.until('its session moves on', () => worker.shift > 1, 30);
  await world.clock.advance(2000);
  await world.submit('req-2', { pieces: 2 }, 5);
  await world.clock.advance(10_000);
  assert.deepEqual(starts, []);
  world.capacity = 1;
  await world.untilStanding('req-2', 'done');
  assert.deepEqual(starts, []);
  world.noRuleBroken();
});

test('a machine that hears nothing during a takeover holds up the others no longer than its lease', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 2, reckonS: 60 }, 60);
  await world.until('2 tasks run', () => world.running.length >= 2);
  const worker = world.worker(world.where('req-1/0') ?? '');
  const spare = [world.addWorker('b'), world.addWorker('b')];
  await world.clock.advance(13_000);
  world.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
  deafen(world, worker, []);
  world.kill(world.owner);
  await world.clock.advance(100);
  await world.untilOwned();
  const takenAt = world.clock.now();
  // It goes on reporting to the new owner again and again: counted as answered each time, its lease would never end.
  while (!spare.includes(world.where('req-1/0') ?? '') && world.clock.now() < takenAt + 60_000) {
    if (worker.shift === 1) void world.ask(world.owner, 'POST', '/hello', worker.report());
    await world.clock.advance(800);
  }
  assert.ok(world.clock.now() - takenAt < 20_000, `${world.clock.now() - takenAt} ms`);
  world.noRuleBroken();
});

test('reports that were held up bring nothing back to a machine that the cloud has ended', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 2, reckonS: 60 }, 60);
  await world.until('2 tasks run', () => world.running.length >= 2);
  const worker = world.worker(world.where('req-1/0') ?? '');
  world.capacity = 0;
  // Newer than all that arrived, and its record can't be deleted yet.
  world.network.rule(({ from, path, body }) => {
    if (from === worker.id && path === '/hello') return 'hold';
    return path === '/txn' && JSON.stringify(body).includes('"delete":"live/machine/') ? 'lose' : undefined;
  });
  const owner = world.controllers[world.owner]?.controller.owners.get(0);
  await world.until('it is returned', () => worker.gone, 30);
  await world.clock.advance(1000);
  assert.ok(world.network.release() > 0);
  await world.clock.advance(500);
  assert.equal(owner?.machines.get(worker.id)?.attempts.size, 0);
  world.noRuleBroken();
});

test('copies of reports, seconds to well over a lease late, move nothing and count as no sign of life', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 2, reckonS: 60 }, 60);
  await world.until('2 tasks run', () => world.running.length >= 2);
  const worker = world.worker(world.where('req-1/0') ?? '');
  const spare = [world.addWorker('b'), world.addWorker('b')];
  const copies: Record<string, unknown>[] = [];
  const heal = world.network.rule(({ from, path, body }) => {
    if (from === worker.id && path === '/hello') copies.push(body as Record<string, unknown>);
    return undefined;
  });
  await world.clock.advance(13_000);
  heal();
  const say = (copy: Record<string, unknown>): void => {
    void world.network
      .caller('late')
      .call(world.controllers[world.owner]?.address ?? '', 'POST', '/hello', copy, 4000)
      .catch(() => undefined);
  };
  for (const copy of copies.slice(0, 5)) say(copy);
  await world.clock.advance(3000);
  assert.equal(world.where('req-1/0'), worker.id);
  // Now it dies, and copies of all it ever said go on arriving.
  worker.hanging = true;
  const diedAt = world.clock.now();
  for (let step = 0; !spare.includes(world.where('req-1/0') ?? '') && step < 200; step += 1) {
    const copy = copies[step % copies.length];
    if (copy) say(copy);
    await world.clock.advance(200);
  }
  assert.ok(world.clock.now() - diedAt < 12_000, `${world.clock.now() - diedAt} ms`);
  // Nor do they bring back the machine that is gone, here or at a later owner.
  for (const takeover of [false, true]) {
    if (takeover) {
      world.kill(world.owner);
      await world.clock.advance(100);
      await world.untilOwned();
    }
    for (const copy of copies.slice(-5)) say(copy);
    const before = world.where('req-1/0');
    await world.clock.advance(15_000);
    assert.equal(world.where('req-1/0'), before);
  }
  await world.untilStanding('req-1', 'done', 120, world.owner);
  world.noRuleBroken();
});

test('a controller that has its workers but neither state service nor peers lets them go, and they run on', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 3 }, 60);
  await world.until('3 tasks run', () => world.running.length >= 3);
  const before = world.running.map((piece) => `${piece} ${world.where(piece)}`);
  const old = world.owner;
  const name = `node-${old}`;
  world.state.refused.add(name);
  world.silencePeers = true;
  await world.clock.advance(8000);
  const reader = world.owner;
  assert.ok(reader >= 0 && reader !== old);
  assert.equal((await world.ask(old, 'GET', '/work/req-1')).status, 503);
  assert.equal((await world.ask(old, 'GET', '/up')).status, 503);
  const report = [...world.workers.values()][0]?.report();
  assert.equal((await world.ask(old, 'POST', '/hello', report)).status, 503);
  await world.clock.advance(4000);
  assert.deepEqual(
    world.running.map((piece) => `${piece} ${world.where(piece)}`),
    before,
  );
  await world.untilStanding('req-1', 'done', 120, reader);
  world.noRuleBroken();
});

test('an owner that is cut from its workers alone gives the shard to a node that they come to', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 16, reckonS: 60 }, 60);
  await world.until('16 tasks run', () => world.running.length >= 16);
  const old = world.owner;
  const address = world.controllers[old]?.address ?? '';
  // What they send it is held up, and so is what it sends them; state service and peers it reaches as before.
  const heal = world.network.rule(({ from, to }) =>
    (from.startsWith('host-') && to === address) || (from === `node-${old}` && to.startsWith('10.1.'))
      ? 'lose'
      : undefined,
  );
  const cutAt = world.clock.now();
  await world.until('another node owns the shard', () => world.owner >= 0 && world.owner !== old, 30);
  assert.ok(world.clock.now() - cutAt < 9_000, `${world.clock.now() - cutAt} ms`);
  await world.clock.advance(15_000);
  assert.ok(world.running.length >= 16, `${world.running.length} tasks run`);
  heal();
  await world.untilStanding('req-1', 'done', 120, world.owner);
  assert.equal([...world.workers.values()].flatMap((w) => w.startOrders).length, 16, 'nothing was lost');
  world.noRuleBroken();
});

test('workers are not sent back to an owner that is cut off, and their leases outlast the takeover', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 16, reckonS: 60 }, 60);
  await world.until('16 tasks run', () => world.running.length >= 16);
  const old = world.owner;
  const name = `node-${old}`;
  const address = world.controllers[old]?.address ?? '';
  world.network.rule(({ from, to }) => (from === name || to === address ? 'lose' : undefined));
  world.mutes.add(name);
  await world.clock.advance(20_000);
  assert.equal(world.running.length, 16);
  await world.untilStanding('req-1', 'done', 120, world.owner);
  assert.equal([...world.workers.values()].flatMap((w) => w.startOrders).length, 16, 'nothing was lost');
  world.noRuleBroken();
});
