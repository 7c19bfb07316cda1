import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FakeWorker } from './fakes/worker';
import { SimulatedCluster } from './fakes/simulated-cluster';

/** From now on the machine's reports arrive, but neither answers nor commands reach it. */
function deafen(cluster: SimulatedCluster, worker: FakeWorker, starts: string[]): () => void {
  return cluster.network.rule(({ from, to, path, body }) => {
    if (to === worker.address) {
      if (path === '/do' && JSON.stringify(body).includes('"run"')) starts.push(JSON.stringify(body));
      return 'lose';
    }
    return from === worker.id ? 'lose answer' : undefined;
  });
}

test('a machine that reports but hears nothing gets no starts, and its work goes on elsewhere', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 4, reckonS: 60 }, 60);
  await cluster.until('4 tasks run', () => cluster.runningTasks.length >= 4);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const spare = [cluster.addWorker('b'), cluster.addWorker('b')];
  await cluster.clock.advance(13_000);
  const starts: string[] = [];
  deafen(cluster, worker, starts);
  const deafAt = cluster.clock.now();
  // More than the others hold, so that starts go there too.
  await cluster.submit('req-2', { pieces: 12, reckonS: 10 }, 10);
  await cluster.until(
    'its tasks run elsewhere',
    () => spare.includes(cluster.machineOf('req-1/0') ?? ''),
    60,
  );
  assert.ok(cluster.clock.now() - deafAt < 30_000, `${cluster.clock.now() - deafAt} ms`);
  await cluster.untilJobState('req-2', 'done');
  assert.ok(starts.length <= 1, `${starts.length} starts left for it`);
  cluster.assertInvariants();
});

test('it is found out by its sessions too, before anything is started there', async () => {
  const cluster = new SimulatedCluster();
  // The cloud can't be asked to end it.
  cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
  await cluster.submit('req-1', { pieces: 1 }, 2);
  await cluster.untilJobState('req-1', 'done');
  const worker = [...cluster.workers.values()][0];
  assert.ok(worker);
  cluster.capacity = 0;
  const starts: string[] = [];
  deafen(cluster, worker, starts);
  await cluster.until('its session moves on', () => worker.incarnation > 1, 30);
  await cluster.clock.advance(2000);
  await cluster.submit('req-2', { pieces: 2 }, 5);
  await cluster.clock.advance(10_000);
  assert.deepEqual(starts, []);
  cluster.capacity = 1;
  await cluster.untilJobState('req-2', 'done');
  assert.deepEqual(starts, []);
  cluster.assertInvariants();
});

test('a machine that hears nothing during a takeover holds up the others no longer than its lease', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 2, reckonS: 60 }, 60);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length >= 2);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const spare = [cluster.addWorker('b'), cluster.addWorker('b')];
  await cluster.clock.advance(13_000);
  cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
  deafen(cluster, worker, []);
  cluster.kill(cluster.owner);
  await cluster.clock.advance(100);
  await cluster.untilOwned();
  const takenAt = cluster.clock.now();
  // It goes on reporting to the new owner again and again: counted as answered each time, its lease would never end.
  while (!spare.includes(cluster.machineOf('req-1/0') ?? '') && cluster.clock.now() < takenAt + 60_000) {
    if (worker.incarnation === 1)
      void cluster.request(cluster.owner, 'POST', '/hello', worker.nextHeartbeat());
    await cluster.clock.advance(800);
  }
  assert.ok(cluster.clock.now() - takenAt < 20_000, `${cluster.clock.now() - takenAt} ms`);
  cluster.assertInvariants();
});

test('reports that were held up bring nothing back to a machine that the cloud has ended', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 2, reckonS: 60 }, 60);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length >= 2);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  cluster.capacity = 0;
  // Newer than all that arrived, and its record can't be deleted yet.
  cluster.network.rule(({ from, path, body }) => {
    if (from === worker.id && path === '/hello') return 'hold';
    return path === '/txn' && JSON.stringify(body).includes('"delete":"live/machine/') ? 'lose' : undefined;
  });
  const owner = cluster.controllers[cluster.owner]?.controller.owners.get(0);
  await cluster.until('it is returned', () => worker.isTerminated, 30);
  await cluster.clock.advance(1000);
  assert.ok(cluster.network.releaseHeld() > 0);
  await cluster.clock.advance(500);
  assert.equal(owner?.machines.get(worker.id)?.attempts.size, 0);
  cluster.assertInvariants();
});

test('copies of reports, seconds to well over a lease late, move nothing and count as no sign of life', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 2, reckonS: 60 }, 60);
  await cluster.until('2 tasks run', () => cluster.runningTasks.length >= 2);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const spare = [cluster.addWorker('b'), cluster.addWorker('b')];
  const copies: Record<string, unknown>[] = [];
  const heal = cluster.network.rule(({ from, path, body }) => {
    if (from === worker.id && path === '/hello') copies.push(body as Record<string, unknown>);
    return undefined;
  });
  await cluster.clock.advance(13_000);
  heal();
  const say = (copy: Record<string, unknown>): void => {
    void cluster.network
      .caller('late')
      .call(cluster.controllers[cluster.owner]?.address ?? '', 'POST', '/hello', copy, 4000)
      .catch(() => undefined);
  };
  for (const copy of copies.slice(0, 5)) say(copy);
  await cluster.clock.advance(3000);
  assert.equal(cluster.machineOf('req-1/0'), worker.id);
  // Now it dies, and copies of all it ever said go on arriving.
  worker.isHanging = true;
  const diedAt = cluster.clock.now();
  for (let step = 0; !spare.includes(cluster.machineOf('req-1/0') ?? '') && step < 200; step += 1) {
    const copy = copies[step % copies.length];
    if (copy) say(copy);
    await cluster.clock.advance(200);
  }
  assert.ok(cluster.clock.now() - diedAt < 12_000, `${cluster.clock.now() - diedAt} ms`);
  // Nor do they bring back the machine that is gone, here or at a later owner.
  for (const takeover of [false, true]) {
    if (takeover) {
      cluster.kill(cluster.owner);
      await cluster.clock.advance(100);
      await cluster.untilOwned();
    }
    for (const copy of copies.slice(-5)) say(copy);
    const before = cluster.machineOf('req-1/0');
    await cluster.clock.advance(15_000);
    assert.equal(cluster.machineOf('req-1/0'), before);
  }
  await cluster.untilJobState('req-1', 'done', 120, cluster.owner);
  cluster.assertInvariants();
});

test('a controller that has its workers but neither state service nor peers lets them go, and they run on', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 60);
  await cluster.until('3 tasks run', () => cluster.runningTasks.length >= 3);
  const before = cluster.runningTasks.map((task) => `${task} ${cluster.machineOf(task)}`);
  const old = cluster.owner;
  const name = `node-${old}`;
  cluster.store.refused.add(name);
  cluster.dropsPeerMessages = true;
  await cluster.clock.advance(8000);
  const reader = cluster.owner;
  assert.ok(reader >= 0 && reader !== old);
  assert.equal((await cluster.request(old, 'GET', '/work/req-1')).status, 503);
  assert.equal((await cluster.request(old, 'GET', '/up')).status, 503);
  const report = [...cluster.workers.values()][0]?.nextHeartbeat();
  assert.equal((await cluster.request(old, 'POST', '/hello', report)).status, 503);
  await cluster.clock.advance(4000);
  assert.deepEqual(
    cluster.runningTasks.map((task) => `${task} ${cluster.machineOf(task)}`),
    before,
  );
  await cluster.untilJobState('req-1', 'done', 120, reader);
  cluster.assertInvariants();
});

test('an owner that is cut from its workers alone gives the shard to a node that they come to', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 16, reckonS: 60 }, 60);
  await cluster.until('16 tasks run', () => cluster.runningTasks.length >= 16);
  const old = cluster.owner;
  const address = cluster.controllers[old]?.address ?? '';
  // What they send it is held up, and so is what it sends them; state service and peers it reaches as before.
  const heal = cluster.network.rule(({ from, to }) =>
    (from.startsWith('host-') && to === address) || (from === `node-${old}` && to.startsWith('10.1.'))
      ? 'lose'
      : undefined,
  );
  const cutAt = cluster.clock.now();
  await cluster.until('another node owns the shard', () => cluster.owner >= 0 && cluster.owner !== old, 30);
  assert.ok(cluster.clock.now() - cutAt < 9_000, `${cluster.clock.now() - cutAt} ms`);
  await cluster.clock.advance(15_000);
  assert.ok(cluster.runningTasks.length >= 16, `${cluster.runningTasks.length} tasks run`);
  heal();
  await cluster.untilJobState('req-1', 'done', 120, cluster.owner);
  assert.equal([...cluster.workers.values()].flatMap((w) => w.startCommands).length, 16, 'nothing was lost');
  cluster.assertInvariants();
});

test('workers are not sent back to an owner that is cut off, and their leases outlast the takeover', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 16, reckonS: 60 }, 60);
  await cluster.until('16 tasks run', () => cluster.runningTasks.length >= 16);
  const old = cluster.owner;
  const name = `node-${old}`;
  const address = cluster.controllers[old]?.address ?? '';
  cluster.network.rule(({ from, to }) => (from === name || to === address ? 'lose' : undefined));
  cluster.isolatedControllers.add(name);
  await cluster.clock.advance(20_000);
  assert.equal(cluster.runningTasks.length, 16);
  await cluster.untilJobState('req-1', 'done', 120, cluster.owner);
  assert.equal([...cluster.workers.values()].flatMap((w) => w.startCommands).length, 16, 'nothing was lost');
  cluster.assertInvariants();
});
