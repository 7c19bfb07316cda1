/** @file Malformed answers and reports are taken for none. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HttpResponse } from '../src/transport/http-client';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { submission } from './fakes/submission';
import { CONTROLLER_INDICES } from './user-steps';

const STATE = '10.2.0.1:2379';

test('malformed answers of the state service count as none: users are never told a guess', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 2 }, 300);
  const garbage: HttpResponse[] = [
    { status: 404, body: null },
    { status: 404, body: { error: 'no such page' } },
    { status: 200, body: null },
    { status: 200, body: { path: 'live/job/req-1' } },
    { status: 200, body: { ledger: 'many' } },
    { status: 409, body: null },
    { status: 409, body: { failed: 7 } },
    { status: 500, body: { ledger: 5 } },
    { status: 302, body: null },
  ];
  for (const answer of garbage) {
    cluster.network.attach(STATE, (request) => {
      const fromUser = /^\/store\/|^\/txn$/.test(request.path) && JSON.stringify(request).includes('req-');
      return fromUser ? answer : cluster.store.handle(request);
    });
    for (const index of CONTROLLER_INDICES) {
      const what = `${index}: ${JSON.stringify(answer)}`;
      assert.equal(await cluster.jobState('req-1', index), 503, what);
      const again = await cluster.request(index, 'POST', '/work', submission('req-1', { pieces: 2 }));
      assert.equal(again.status, 503, what);
      assert.equal((await cluster.request(index, 'POST', '/work/req-1/withdraw')).status, 503, what);
    }
  }
  cluster.network.attach(STATE, (request) => cluster.store.handle(request));
  for (const index of CONTROLLER_INDICES)
    assert.notEqual(await cluster.jobState('req-1', index), 'withdrawn');
  cluster.assertInvariants();
});

test('malformed reports change nothing, and neither do malformed answers of workers', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 20);
  await cluster.until('it runs', () => cluster.runningTasks.length === 3);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const report = worker.nextHeartbeat();
  const tasks = report.pieces as Record<string, unknown>[];
  const ended = tasks.map((p) => ({ ...p, standing: 'ended', cause: 'done' }));
  for (const broken of [
    { ...report, pieces: [...ended, { piece: 7 }] },
    { ...report, pieces: ended, tally: 'more' },
    { ...report, pieces: ended, shift: -1 },
    { ...report, pieces: ended, hearth: '' },
    { ...report, pieces: ended, baton: null },
    { ...report, pieces: 'none' },
    [ended],
    undefined,
  ]) {
    for (const index of CONTROLLER_INDICES)
      assert.equal(
        (await cluster.request(index, 'POST', '/hello', broken)).status,
        400,
        JSON.stringify(broken),
      );
  }
  // Answers to commands that say nothing, of all machines, while another job is to start.
  let spoilt = 0;
  for (const w of cluster.workers.values()) {
    w.malformedResponse = () => {
      spoilt += 1;
      const status = spoilt % 2 === 0 ? 200 : 409;
      return { status, body: spoilt % 3 === 0 ? null : { hearth: w.id, pieces: 'done' } };
    };
  }
  await cluster.submit('req-2', { pieces: 4 }, 3);
  await cluster.clock.advance(4000);
  assert.notEqual(await cluster.jobState('req-1'), 'done');
  assert.notEqual(await cluster.jobState('req-2'), 'done');
  assert.ok(spoilt > 0);
  for (const w of cluster.workers.values()) w.malformedResponse = undefined;
  await cluster.untilJobState('req-1', 'done', 90);
  await cluster.untilJobState('req-2', 'done', 90);
  cluster.assertInvariants();
});

test('a malformed report gets 400 and touches no table', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1 }, 30);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const bad = { ...worker.nextHeartbeat(), tally: worker.sequence + 1000, shift: 9, pieces: [{ piece: 5 }] };
  const answer = await cluster.request(cluster.owner, 'POST', '/hello', bad);
  assert.equal(answer.status, 400);
  await cluster.clock.advance(3000);
  assert.equal(cluster.runningTasks.length, 1);
  assert.equal([...cluster.workers.values()].flatMap((w) => w.startCommands).length, 1);
});

test('malformed answers of the cloud and of peers count as none', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  cluster.cloud.sendsMalformedResponses = true;
  cluster.controllers[cluster.owner]?.controller.onPeerFrame(Buffer.from([1, 2, 3, 255]));
  await cluster.submit('req-1');
  await cluster.clock.advance(15_000);
  assert.equal(await cluster.jobState('req-1'), 'pending');
  cluster.cloud.sendsMalformedResponses = false;
  await cluster.untilJobState('req-1', 'done');
});
