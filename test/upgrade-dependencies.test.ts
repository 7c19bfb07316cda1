import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Version } from './fakes/versions';
import { submission } from './fakes/submission';
import { SimulatedCluster } from './fakes/simulated-cluster';

const OLD: Version = 'production';
const NEW: Version = 'present';
const RESTART_MS = 1_500;

async function upgrade(cluster: SimulatedCluster, index: number): Promise<void> {
  cluster.kill(index);
  await cluster.clock.advance(RESTART_MS);
  cluster.restart(index, NEW);
}

function submitDependent(cluster: SimulatedCluster, index: number, id: string, awaits: string[]) {
  return cluster.request(index, 'POST', '/work', submission(id, { awaits }));
}

function finalRecord(cluster: SimulatedCluster, id: string): Record<string, unknown> {
  return cluster.store.data.get(`final/${id}`)?.data as Record<string, unknown>;
}

test('while a controller runs the old version, a submission with dependencies gets 503 and no record is written', async () => {
  const cluster = new SimulatedCluster({ versions: [NEW, NEW, OLD] });
  await cluster.untilOwned();
  await cluster.submit('req-1', {}, 5, 0);
  for (const index of [0, 1]) {
    assert.equal((await submitDependent(cluster, index, 'req-2', ['req-1'])).status, 503);
    // A job without dependencies needs no new record format.
    assert.equal((await submitDependent(cluster, index, `req-1${index}`, [])).status, 201);
    // A repeated submission of an accepted job gets 200, whichever dependencies it contains.
    assert.equal((await submitDependent(cluster, index, 'req-1', ['req-9'])).status, 200);
  }
  assert.equal(cluster.store.data.get('live/job/req-2'), undefined);
  await cluster.untilJobState('req-1', 'done');
  assert.deepEqual(Object.keys(finalRecord(cluster, 'req-1')).sort(), ['done', 'state']);
  cluster.assertInvariants();
});

test('dependencies are accepted right after the last upgrade, even if a watch cache lacks a format record', async () => {
  const cluster = new SimulatedCluster({ versions: [OLD, OLD, OLD] });
  await cluster.untilOwned();
  await cluster.submit('req-1', { pieces: 4, reckonS: 40 }, 40);
  for (const index of [0, 1, 2]) await upgrade(cluster, index);
  await cluster.until(
    'the last format record is written',
    () => cluster.store.data.has('live/format/node-2'),
    10,
  );
  await cluster.submit('req-2', { awaits: ['req-1'], reckonS: 2 }, 2, 1);
  await cluster.submit('req-3', { awaits: ['req-2'], reckonS: 2 }, 2, 0);
  assert.equal(await cluster.jobState('req-3', 2), 'pending');
  await cluster.untilJobState('req-3', 'done', 200);
  assert.deepEqual(Object.keys(finalRecord(cluster, 'req-3')).sort(), ['done', 'endedAt', 'state']);
  cluster.assertInvariants();
});

test('after the upgrade, a job may depend on jobs that ended under the old version', async () => {
  const cluster = new SimulatedCluster({ versions: [OLD, OLD, OLD] });
  await cluster.untilOwned();
  await cluster.submit('req-1');
  await cluster.submit('req-2', {}, 60);
  await cluster.untilJobState('req-1', 'done');
  assert.equal(await cluster.cancel('req-2'), 'withdrawn');
  for (const index of [0, 1, 2]) await upgrade(cluster, index);
  await cluster.untilOwned();
  await cluster.submit('req-3', { awaits: ['req-1'] }, 2, 1);
  await cluster.submit('req-4', { awaits: ['req-1', 'req-2'] }, 2, 2);
  await cluster.untilJobState('req-3', 'done');
  assert.equal(await cluster.jobState('req-4', 0), 'withdrawn');
  cluster.assertInvariants();
});

test('all controllers restart during a rolling upgrade: dependencies are accepted only after the last upgrade', async () => {
  const cluster = new SimulatedCluster({ versions: [OLD, OLD, OLD] });
  await cluster.untilOwned();
  await cluster.submit('req-1', { pieces: 3 }, 20);
  await upgrade(cluster, 0);
  await cluster.clock.advance(4_000);
  for (const index of [0, 1, 2]) cluster.kill(index);
  await cluster.clock.advance(RESTART_MS);
  for (const index of [0, 1, 2]) cluster.restart(index);
  await cluster.untilOwned();
  assert.equal((await submitDependent(cluster, 0, 'req-2', ['req-1'])).status, 503);
  for (const index of [1, 2]) await upgrade(cluster, index);
  await cluster.submit('req-2', { awaits: ['req-1'] }, 2, 2);
  await cluster.untilJobState('req-2', 'done', 200);
  cluster.assertInvariants();
});

test('an open format gate stays open while a controller is down', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  await cluster.submit('req-1', {}, 30);
  await cluster.clock.advance(2_000);
  cluster.kill(2);
  await cluster.submit('req-2', { awaits: ['req-1'] }, 2, 0);
  cluster.kill(0);
  cluster.restart(0);
  await cluster.submit('req-3', { awaits: ['req-2'] }, 2, 0);
  await cluster.untilJobState('req-3', 'done', 200);
  cluster.assertInvariants();
});
