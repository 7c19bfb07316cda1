/** @file Records of new machines while the state service loses or delays writes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/simulated-cluster';
import { startCount } from './fault-steps';

/** Drops every transaction that would record a machine as up, or only its answer. */
function disturbUpRecords(world: World, fate: 'lose' | 'lose answer' | 'hold', seen: () => void): () => void {
  return world.network.rule(({ path, body }) => {
    if (path !== '/txn' || !JSON.stringify(body).includes('"up":true')) return undefined;
    seen();
    return fate;
  });
}

for (const [what, fate] of [
  ['never carried out', 'lose'],
  ['carried out, and only the answer is lost', 'lose answer'],
  ['carried out after the leader died', 'hold'],
] as const) {
  test(`fault combination: new machines up at once, their records ${what}, and the leader dies: no task runs twice`, async () => {
    const world = new World();
    world.bootMs = 200;
    let written = 0;
    const heal = disturbUpRecords(world, fate, () => {
      written += 1;
    });
    await world.submit('req-1', { pieces: 8, reckonS: 60 }, 60);
    await world.until('a machine came up', () => written > 0, 20);
    await world.clock.advance(3000);
    const old = world.owner;
    // It holds on to its workers, which can't reach the next one yet.
    const kept = [...world.workers.values()];
    const far = world.network.rule(({ from, to }) => {
      const down = kept.some((w) => w.address === to) && from !== `node-${old}`;
      const up = kept.some((w) => w.id === from) && to !== world.controllers[old]?.address;
      return down || up ? 'lose' : undefined;
    });
    world.kill(old);
    heal();
    world.network.release();
    await world.clock.advance(100);
    const owner = await world.untilOwned();
    const view = world.controllers[owner]?.controller.owners.get(0)?.machines;
    for (const worker of kept) {
      const known = view?.get(worker.id);
      if (worker.pieces.size > 0) assert.ok(known?.isUp, `${worker.id} holds tasks`);
      // Whatever became of the record: who was never answered has been given nothing.
      if (!known?.isUp) assert.equal(worker.baton, 0);
    }
    for (let n = 0; n < 4; n += 1) world.addWorker('b');
    await world.clock.advance(6000);
    far();
    await world.untilStanding('req-1', 'done', 150, owner);
    world.noRuleBroken();
  });
}

test('machines that report before their rental is recorded, while writes are delayed, get work only once recorded', async () => {
  const world = new World();
  world.bootMs = 100;
  // A rental may be recorded as booting, or together with the first report as up: neither gets through.
  const isRental = (path: string, body: unknown): boolean =>
    path === '/txn' && JSON.stringify(body).includes('"set":"live/machine/');
  const lag = world.network.rule(({ path, body }) => (isRental(path, body) ? 'lose' : undefined));
  await world.submit('req-1', { pieces: 6, reckonS: 40 }, 40);
  await world.until('a machine is rented', () => world.workers.size > 0, 20);
  await world.clock.advance(4000);
  for (const worker of world.workers.values()) assert.equal(worker.baton, 0, 'nobody answers for it');
  assert.equal(startCount(world), 0);
  // The one who rented them ends before it could write them down: the cloud's list is all that is left.
  world.kill(world.owner);
  lag();
  await world.clock.advance(100);
  const owner = await world.untilOwned();
  await world.until('6 tasks run', () => world.running.length === 6, 60);
  await world.untilStanding('req-1', 'done', 90, owner);
  assert.equal(startCount(world), 6);
  world.noRuleBroken();
});

test('a machine that reports before its rental is recorded is recorded once, as up, and gets work at once', async () => {
  const world = new World();
  world.bootMs = 50;
  const writes: string[] = [];
  world.network.rule(({ path, body }) => {
    if (path !== '/txn') return undefined;
    const { apply } = body as { apply: { set?: string; data?: { up?: boolean } }[] };
    const machines = apply.filter(({ set }) => set?.startsWith('live/machine/'));
    // The record of a rental as booting is lost for as long as the deployment runs.
    if (machines.some(({ data }) => data?.up === false)) return 'lose';
    writes.push(...machines.map(({ set = '' }) => set));
    return undefined;
  });
  await world.submit('req-1', { pieces: 6, reckonS: 40 }, 40);
  await world.until('6 tasks run', () => world.running.length === 6, 20);
  assert.equal(new Set(writes).size, writes.length, 'one write a machine');
  await world.untilStanding('req-1', 'done', 90);
  assert.equal(startCount(world), 6);
  world.noRuleBroken();
});

test('a machine that reports is not taken for late, however long its record has to wait', async () => {
  const world = new World();
  world.bootMs = 1000;
  const isUp = (body: unknown): boolean => JSON.stringify(body).includes('"up":true');
  await world.submit('req-1', { pieces: 4, reckonS: 40 }, 40);
  await world.until(
    'machines are recorded',
    () => [...world.state.data.keys()].some((k) => k.startsWith('live/machine/')),
    20,
  );
  const congested = world.network.rule(({ path, body }) =>
    path === '/txn' && isUp(body) ? 'lose' : undefined,
  );
  // Three boot times of the type: a machine that said nothing would be returned by then.
  await world.clock.advance(30_000);
  assert.equal([...world.workers.values()].filter((w) => w.gone).length, 0);
  congested();
  await world.untilStanding('req-1', 'done', 120);
  world.noRuleBroken();
});
