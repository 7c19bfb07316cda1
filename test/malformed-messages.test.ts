/** @file Malformed responses count as none, and malformed heartbeats are rejected. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HttpResponse } from '../src/transport/http-client';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { submission } from './fakes/submission';
import { CONTROLLER_INDICES } from './user-steps';

const STORE_ADDRESS = '10.2.0.1:2379';

test('malformed responses of the key-value store count as none: users get 503 and no guess', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 2 }, 300);
  const malformedResponses: HttpResponse[] = [
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
  for (const response of malformedResponses) {
    cluster.network.attach(STORE_ADDRESS, (request) => {
      const isForUserRequest =
        /^\/store\/|^\/txn$/.test(request.path) && JSON.stringify(request).includes('req-');
      return isForUserRequest ? response : cluster.store.handle(request);
    });
    for (const index of CONTROLLER_INDICES) {
      const what = `${index}: ${JSON.stringify(response)}`;
      assert.equal(await cluster.jobState('req-1', index), 503, what);
      const repeated = await cluster.request(index, 'POST', '/work', submission('req-1', { pieces: 2 }));
      assert.equal(repeated.status, 503, what);
      assert.equal((await cluster.request(index, 'POST', '/work/req-1/withdraw')).status, 503, what);
    }
  }
  cluster.network.attach(STORE_ADDRESS, (request) => cluster.store.handle(request));
  for (const index of CONTROLLER_INDICES)
    assert.notEqual(await cluster.jobState('req-1', index), 'withdrawn');
  cluster.assertInvariants();
});

test('malformed heartbeats and malformed responses of workers change nothing', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 3 }, 20);
  await cluster.until('its tasks run', () => cluster.runningTasks.length === 3);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const heartbeat = worker.nextHeartbeat();
  const tasks = heartbeat.pieces as Record<string, unknown>[];
  const ended = tasks.map((p) => ({ ...p, standing: 'ended', cause: 'done' }));
  for (const malformed of [
    { ...heartbeat, pieces: [...ended, { piece: 7 }] },
    { ...heartbeat, pieces: ended, tally: 'more' },
    { ...heartbeat, pieces: ended, shift: -1 },
    { ...heartbeat, pieces: ended, hearth: '' },
    { ...heartbeat, pieces: ended, baton: null },
    { ...heartbeat, pieces: 'none' },
    [ended],
    undefined,
  ]) {
    for (const index of CONTROLLER_INDICES)
      assert.equal(
        (await cluster.request(index, 'POST', '/hello', malformed)).status,
        400,
        JSON.stringify(malformed),
      );
  }
  // All machines send malformed responses to commands while another job is to start.
  let responseCount = 0;
  for (const w of cluster.workers.values()) {
    w.malformedResponse = () => {
      responseCount += 1;
      const status = responseCount % 2 === 0 ? 200 : 409;
      return { status, body: responseCount % 3 === 0 ? null : { hearth: w.id, pieces: 'done' } };
    };
  }
  await cluster.submit('req-2', { pieces: 4 }, 3);
  await cluster.clock.advance(4000);
  assert.notEqual(await cluster.jobState('req-1'), 'done');
  assert.notEqual(await cluster.jobState('req-2'), 'done');
  assert.ok(responseCount > 0);
  for (const w of cluster.workers.values()) w.malformedResponse = undefined;
  await cluster.untilJobState('req-1', 'done', 90);
  await cluster.untilJobState('req-2', 'done', 90);
  cluster.assertInvariants();
});

test('a malformed heartbeat gets 400 and changes no dispatch table', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 1 }, 30);
  await cluster.until('a task runs', () => cluster.runningTasks.length > 0);
  const worker = cluster.worker(cluster.machineOf('req-1/0') ?? '');
  const malformed = {
    ...worker.nextHeartbeat(),
    tally: worker.sequence + 1000,
    shift: 9,
    pieces: [{ piece: 5 }],
  };
  const response = await cluster.request(cluster.owner, 'POST', '/hello', malformed);
  assert.equal(response.status, 400);
  await cluster.clock.advance(3000);
  assert.equal(cluster.runningTasks.length, 1);
  assert.equal([...cluster.workers.values()].flatMap((w) => w.startCommands).length, 1);
});

test('malformed responses of the cloud and malformed peer messages are ignored', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  cluster.cloud.sendsMalformedResponses = true;
  cluster.controllers[cluster.owner]?.controller.onPeerFrame(Buffer.from([1, 2, 3, 255]), 'peer');
  await cluster.submit('req-1');
  await cluster.clock.advance(15_000);
  assert.equal(await cluster.jobState('req-1'), 'pending');
  cluster.cloud.sendsMalformedResponses = false;
  await cluster.untilJobState('req-1', 'done');
});
