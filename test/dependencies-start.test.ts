import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  recordEarlyStarts,
  startCommandsOf,
  submitDependent,
  untilDependenciesAccepted,
} from './dependency-steps';
import type { StoreFault } from './fakes/key-value-store';
import { SimulatedCluster } from './fakes/simulated-cluster';

const NODES = [0, 1, 2];
/** The state of a job may lag by this much. */
const LAG_MS = 3_000;

interface Chained {
  cluster: SimulatedCluster;
  /** Starts before a dependency was recorded as done. */
  early: string[];
  owner: number;
}

/** A job of two tasks that run, and one that needs it. */
async function chained(
  runS: number,
  options: ConstructorParameters<typeof SimulatedCluster>[0] = {},
): Promise<Chained> {
  const cluster = new SimulatedCluster(options);
  await untilDependenciesAccepted(cluster);
  const early = recordEarlyStarts(cluster);
  await cluster.submit('req-1', { pieces: 2, reckonS: runS }, runS);
  await submitDependent(cluster, ['req-1'], 'req-2', { pieces: 3 });
  await cluster.until('the first runs', () => cluster.runningTasks.length === 2);
  return { cluster, early, owner: cluster.owner };
}

/** The dependent runs to its end, and nothing was early. */
async function comesToItsEnd({ cluster, early }: Chained, limitS = 120): Promise<void> {
  await cluster.untilJobState('req-2', 'done', limitS, 1);
  for (const index of NODES) {
    if (cluster.controllers[index]?.alive) assert.equal(await cluster.jobState('req-2', index), 'done');
  }
  assert.deepEqual(early, []);
  cluster.assertInvariants();
}

function killAndRestart(cluster: SimulatedCluster, index: number, afterMs: number): void {
  cluster.kill(index);
  cluster.clock.after(afterMs, () => {
    cluster.restart(index);
  });
}

test('a job starts once all that it needs is done, and soon after that', async () => {
  const cluster = new SimulatedCluster();
  await untilDependenciesAccepted(cluster);
  const early = recordEarlyStarts(cluster);
  for (const [number, runS] of [12, 30, 5].entries()) {
    await cluster.submit(`req-${number + 1}`, { pieces: 2, reckonS: runS }, runS, number);
  }
  await submitDependent(cluster, ['req-1', 'req-2', 'req-3'], 'req-4', { pieces: 2 });
  await cluster.until('the longest has ended', () => cluster.invariants.areDependenciesDone('req-4'), 60);
  assert.deepEqual(startCommandsOf(cluster, ['req-4']), []);
  await cluster.until('it starts', () => cluster.machineOf('req-4/0') !== undefined, 5);
  await cluster.untilJobState('req-4', 'done');
  assert.deepEqual(early, []);
  cluster.assertInvariants();
});

test('a waiting job is pending at every node until all that it needs is done', async () => {
  const { cluster } = await chained(40);
  const end = cluster.clock.now() + 30_000;
  while (cluster.clock.now() < end) {
    for (const index of NODES) assert.equal(await cluster.jobState('req-2', index), 'pending');
    await cluster.clock.advance(3_000);
  }
  assert.deepEqual(startCommandsOf(cluster, ['req-2']), []);
  cluster.assertInvariants();
});

test('a job whose dependency fails on a faulty machine goes on waiting', async () => {
  const chain = await chained(10);
  const { cluster } = chain;
  cluster.worker(cluster.machineOf('req-1/0') ?? '').failsTasks = true;
  await comesToItsEnd(chain, 240);
});

for (const afterMs of [1_000, 7_500, 9_800, 10_300, 10_800, 11_500, 14_000]) {
  test(`the owner dies ${afterMs} ms after the dependency's tasks began to run for 10 s`, async () => {
    const chain = await chained(10);
    const { cluster, owner } = chain;
    await cluster.clock.advance(afterMs);
    killAndRestart(cluster, owner, 6_000);
    await comesToItsEnd(chain);
  });
}

test('all controllers die while a job waits, and again when its dependency ends', async () => {
  const chain = await chained(40);
  const { cluster } = chain;
  for (let round = 0; round < 2; round += 1) {
    for (const index of NODES) killAndRestart(cluster, index, 4_000);
    await cluster.clock.advance(5_000);
    await cluster.untilOwned();
    if (round === 0)
      await cluster.until('the first has ended', () => cluster.invariants.areDependenciesDone('req-2'), 90);
  }
  await comesToItsEnd(chain);
});

test('all that a job needs ends in an outage: it starts after it, not in it', async () => {
  const chain = await chained(10);
  const { cluster } = chain;
  await cluster.clock.advance(5_000);
  cluster.store.outage(true);
  await cluster.until('the first has ended', () => cluster.invariants.areDependenciesDone('req-2'), 30);
  await cluster.clock.advance(12_000);
  assert.deepEqual(startCommandsOf(cluster, ['req-2']), []);
  cluster.store.outage(false);
  await comesToItsEnd(chain);
});

test('the owner dies in the outage in which all that a job needs ends', async () => {
  const chain = await chained(10);
  const { cluster, owner } = chain;
  await cluster.clock.advance(5_000);
  cluster.store.outage(true);
  await cluster.clock.advance(7_000);
  killAndRestart(cluster, owner, 1_000);
  await cluster.clock.advance(8_000);
  assert.deepEqual(startCommandsOf(cluster, ['req-2']), []);
  cluster.store.outage(false);
  await comesToItsEnd(chain);
});

const endsDependency = (path: string, body: unknown): boolean =>
  path === '/txn' && JSON.stringify(body).includes('final/req-1');

for (const [what, fate] of [
  ['gets no answer', 'lose answer'],
  ['is carried out 12 s late', { lateMs: 12_000 }],
  ['is answered 1.4 s late', { slowMs: 1_400 }],
  ['is refused', 'refuse'],
] as const satisfies readonly (readonly [string, StoreFault])[]) {
  for (const ownerDies of [false, true]) {
    test(`the record of a dependency's end ${what}${ownerDies ? ', and its owner dies' : ''}`, async () => {
      const chain = await chained(8);
      const { cluster, owner } = chain;
      let struck = 0;
      cluster.store.rule(({ path, body }) => {
        if (struck >= 2 || !endsDependency(path, body)) return undefined;
        struck += 1;
        return fate;
      });
      await cluster.until('its end is being recorded', () => struck > 0, 30);
      if (ownerDies) killAndRestart(cluster, owner, 3_000);
      await comesToItsEnd(chain);
      await cluster.clock.advance(14_000);
      await comesToItsEnd(chain);
    });
  }
}

test('reports to an earlier owner arrive at the new one, before and after the dependency is done', async () => {
  const chain = await chained(20);
  const { cluster, owner } = chain;
  const copies = cluster.captureHeartbeats();
  await cluster.clock.advance(4_000);
  killAndRestart(cluster, owner, 10_000);
  await cluster.clock.advance(100);
  const next = await cluster.untilOwned();
  copies.replay(next);
  await cluster.clock.advance(1_000);
  assert.deepEqual(startCommandsOf(cluster, ['req-2']), []);
  await cluster.until('the first has ended', () => cluster.invariants.areDependenciesDone('req-2'), 60);
  copies.replay(next);
  copies.stop();
  await comesToItsEnd(chain);
});

test('an owner that only the state service refuses starts nothing that became ready meanwhile', async () => {
  const chain = await chained(10);
  const { cluster, owner } = chain;
  cluster.store.refused.add(`node-${owner}`);
  await cluster.clock.advance(25_000);
  cluster.store.refused.delete(`node-${owner}`);
  await comesToItsEnd(chain);
});

test('a job waits for one in another shard, with the owner of either dying', async () => {
  for (const team of ['red', 'blue']) {
    const cluster = new SimulatedCluster({ operator: { blocks: 3 } });
    await cluster.clock.advance(15_000);
    await untilDependenciesAccepted(cluster);
    const early = recordEarlyStarts(cluster);
    await cluster.submit('req-1', { crew: team, reckonS: 20 }, 20);
    await submitDependent(cluster, ['req-1'], 'req-2', { crew: team === 'red' ? 'blue' : 'red' });
    await cluster.until('the first runs', () => cluster.machineOf('req-1/0') !== undefined);
    for (const index of NODES) {
      killAndRestart(cluster, index, 2_000);
      await cluster.clock.advance(7_000);
    }
    await comesToItsEnd({ cluster, early, owner: -1 });
  }
});

test('after the end of a dependency, its users are told done no later than the dependent starts by much', async () => {
  const { cluster } = await chained(10);
  await cluster.until('the first has ended', () => cluster.invariants.areDependenciesDone('req-2'), 30);
  await cluster.clock.advance(LAG_MS);
  for (const index of NODES) assert.equal(await cluster.jobState('req-1', index), 'done');
  cluster.assertInvariants();
});
