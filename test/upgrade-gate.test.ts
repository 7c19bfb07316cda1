import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import {
  OLD,
  NEW,
  ALL_OLD,
  CONTROLLERS,
  RESTART_MS,
  writesRecord,
  leaderIndex,
  controllersWithFormatRecord,
  isFormatGateOpen,
  upgrade,
} from './upgrade-steps';

test('the format gate stays closed while one controller has never run the new version', async () => {
  const cluster = new SimulatedCluster({ versions: [NEW, NEW, OLD] });
  await cluster.clock.advance(30_000);
  assert.deepEqual(controllersWithFormatRecord(cluster), ['node-0', 'node-1']);
  // Neither a stop nor a restart of the old controller opens the gate.
  cluster.kill(2);
  await cluster.clock.advance(30_000);
  assert.deepEqual(controllersWithFormatRecord(cluster), ['node-0', 'node-1']);
  cluster.restart(2);
  await cluster.clock.advance(30_000);
  assert.deepEqual(controllersWithFormatRecord(cluster), ['node-0', 'node-1']);
  cluster.assertInvariants();
});

test('the format gate opens right after the last upgrade, even if the other controllers are down by then', async () => {
  const cluster = new SimulatedCluster({ versions: ALL_OLD });
  await cluster.untilOwned();
  for (const index of [0, 1]) {
    await upgrade(cluster, index);
    await cluster.clock.advance(10_000);
  }
  for (const index of [0, 1, 2]) cluster.kill(index);
  await cluster.clock.advance(RESTART_MS);
  cluster.restart(2, NEW);
  await cluster.clock.advance(500);
  assert.ok(isFormatGateOpen(cluster));
});

test('the format gate opens even if there is no leader', async () => {
  const cluster = new SimulatedCluster({ versions: ALL_OLD });
  await cluster.untilOwned();
  for (const index of [0, 1]) {
    await upgrade(cluster, index);
    await cluster.clock.advance(10_000);
  }
  cluster.store.rule((request) => (writesRecord(request, 'live/leader') ? 'refuse' : undefined));
  cluster.kill(leaderIndex(cluster));
  await cluster.until('there is no leader', () => leaderIndex(cluster) < 0);
  for (const [index, { alive, version }] of cluster.controllers.entries()) {
    if (alive && version === OLD) cluster.kill(index);
  }
  await cluster.clock.advance(RESTART_MS);
  cluster.restart(2, NEW);
  await cluster.clock.advance(500);
  assert.equal(leaderIndex(cluster), -1);
  assert.ok(isFormatGateOpen(cluster));
});

test('an open format gate stays open after all controllers restart, and no format record is written again', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  assert.ok(isFormatGateOpen(cluster));
  const formatRecords = (): unknown[] =>
    CONTROLLERS.map((name) => cluster.store.data.get(`live/format/${name}`));
  const before = formatRecords();
  assert.ok(before.every((record) => (record as { hold?: number }).hold === undefined));
  for (const index of [0, 1, 2]) cluster.kill(index);
  await cluster.clock.advance(60_000);
  assert.ok(isFormatGateOpen(cluster));
  for (const index of [0, 1, 2]) cluster.restart(index);
  await cluster.clock.advance(20_000);
  for (const index of [0, 1, 2]) {
    cluster.kill(index);
    await cluster.clock.advance(3_000);
    cluster.restart(index);
    await cluster.clock.advance(10_000);
    assert.ok(isFormatGateOpen(cluster));
  }
  assert.deepEqual(formatRecords(), before);
  cluster.assertInvariants();
});

for (const fault of [
  'refuse',
  'lose answer',
  { slowMs: 1_200 },
  { slowMs: 4_000 },
  { lateMs: 4_000 },
] as const) {
  test(`a controller writes its format record even if its first store requests meet the fault ${JSON.stringify(fault)}`, async () => {
    const cluster = new SimulatedCluster({ versions: [NEW, NEW, OLD] });
    await cluster.untilOwned();
    const removeRule = cluster.store.rule(({ from }) => (from === 'node-2' ? fault : undefined));
    await upgrade(cluster, 2);
    await cluster.clock.advance(8_000);
    removeRule();
    await cluster.clock.advance(2_500);
    assert.ok(isFormatGateOpen(cluster));
    await cluster.submit('req-1', { pieces: 3 }, 3, 2);
    await cluster.untilJobState('req-1', 'done', 60, 2);
    cluster.assertInvariants();
  });
}

test('during an outage of the key-value store the format gate stays closed, and it opens after the outage', async () => {
  const cluster = new SimulatedCluster({ versions: [NEW, NEW, OLD] });
  await cluster.untilOwned();
  cluster.store.outage(true);
  await upgrade(cluster, 2);
  await cluster.clock.advance(10_000);
  assert.equal(isFormatGateOpen(cluster), false);
  cluster.store.outage(false);
  await cluster.clock.advance(2_500);
  assert.ok(isFormatGateOpen(cluster));
  cluster.assertInvariants();
});
