/** @file Fixed limits inside a controller that have to suffice for 4,000 machines and their messages. */
import assert from 'node:assert/strict';
import { Agent, createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { DeletionLog } from '../src/bookkeeping/deletion-log';
import { CloudInventory } from '../src/coordination/autoscaling/cloud-inventory';
import { JOBS_PER_MESSAGE, heartbeatMessages } from '../src/coordination/ownership/heartbeat-messages';
import { codec } from '../src/protocol/codec';
import type { Cloud } from '../src/protocol/cloud';
import { readPeerMessage, writePeerMessage } from '../src/protocol/peers';
import { HttpKeyValueStore } from '../src/protocol/http-key-value-store';
import {
  ResponseTooLargeError,
  HttpClient,
  NoResponseError,
  type HttpCaller,
} from '../src/transport/http-client';
import { Connections } from '../src/transport/connections';
import { createServer as createNodeServer, type Route } from '../src/transport/http-server';
import { MAX_FRAME_BYTES } from '../src/transport/peer-link';
import { RateLimit } from '../src/transport/rate-limit';
import { FakeClock } from './fakes/clock';
import { ScriptedWatch } from './fakes/scripted-watch';

const MACHINES = 4_000;

test('a release of 4,000 machines at once drops no cancellation that a lease extension has to contain', async () => {
  const watch = new ScriptedWatch();
  await watch.step();
  const cancelled = { key: 'live/job/req-1', version: 1 };
  watch.events = [
    { ...cancelled, deleted: true },
    ...Array.from({ length: MACHINES }, (_, n) => {
      return { key: `live/machine/host-${n}`, version: n + 2, deleted: true };
    }),
  ];
  watch.revision = MACHINES + 1;
  await watch.step();
  assert.deepEqual(watch.cache.deletedSince('live/job/', 0), [cancelled]);
  assert.equal(
    watch.cache.deletedSince('live/machine/', 0),
    undefined,
    'the deletions of each kind are still limited',
  );
});

test('for a record kind without deletions, the log is complete from the first revision of the watch cache on', () => {
  const log = new DeletionLog();
  assert.equal(log.since('live/job/', 10), undefined);
  log.startAt(7);
  assert.deepEqual(log.since('live/job/', 7), []);
  assert.equal(log.since('live/job/', 6), undefined);
  log.add('live/job/', 'live/job/req-1', 9);
  assert.equal(log.since('live/job/', 6), undefined);
  assert.deepEqual(log.since('live/job/', 8), [{ key: 'live/job/req-1', version: 9 }]);
});

test('changes that are too large for one response are read again as a list', async (t) => {
  const server = createServer((_request, response) => response.end(codec.encode({ news: 'x'.repeat(4096) })));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient(codec, { perHost: 2, idle: () => 2 }, 1024);
  t.after(() => {
    client.close();
    server.close();
  });
  const address = `127.0.0.1:${port}`;
  await assert.rejects(client.call(address, 'GET', '/', undefined, 1000), ResponseTooLargeError);
  const clock = new FakeClock();
  const limit = (): RateLimit => new RateLimit(clock, 100, 100);
  const storeOver = (http: HttpCaller): HttpKeyValueStore =>
    new HttpKeyValueStore({ http, address, requests: limit(), writes: limit(), timeoutMs: 1000 });
  const store = storeOver(client);
  assert.equal(await store.changes('live/', 1, 0), undefined);
  assert.equal(store.isUnavailable, false, 'the key-value store is available');
  const partitioned: HttpCaller = { call: () => Promise.reject(new NoResponseError('partitioned', true)) };
  await assert.rejects(storeOver(partitioned).changes('live/', 1, 0), NoResponseError);
});

test('the progress of any number of jobs is sent to peers in heartbeats that each fit into a frame', () => {
  const heartbeat = {
    from: 'node-0',
    isViewFresh: true,
    unreachableShards: [1],
    redirected: [{ shard: 1, machines: MACHINES }],
  };
  const jobs = Array.from({ length: 2 * JOBS_PER_MESSAGE + 1 }, (_, n) => {
    return { id: `req-${String(n).padStart(6, '0')}`, running: 100_000, done: 100_000 };
  });
  const frames = heartbeatMessages(heartbeat, jobs).map(writePeerMessage);
  assert.equal(frames.length, 3);
  const read = frames.flatMap((frame) => {
    assert.ok(frame.length < MAX_FRAME_BYTES);
    const message = readPeerMessage(frame);
    assert.ok(message?.kind === 'heartbeat');
    assert.deepEqual({ ...message.heartbeat, jobs: [] }, { ...heartbeat, jobs: [] });
    return message.heartbeat.jobs;
  });
  assert.deepEqual(read, jobs);
  assert.equal(heartbeatMessages(heartbeat, []).length, 1, 'a heartbeat is sent without jobs');
});

test('listing a large fleet leaves most of the cloud request limit to rentals and releases', async () => {
  const clock = new FakeClock();
  let lists = 0;
  const listed = Array.from({ length: MACHINES }, (_, n) => ({
    id: `host-${n}`,
    state: 'running',
    ageS: 60,
  }));
  const cloud = {
    listMachines: () => {
      lists += 1;
      return Promise.resolve(listed);
    },
  } as unknown as Cloud;
  const inventory = new CloudInventory(cloud, clock, 0);
  const { signal } = new AbortController();
  const runInventory = async (): Promise<void> => {
    for (;;) await inventory.step(signal, () => true);
  };
  void runInventory();
  await clock.advance(60_000);
  const pages = lists * (MACHINES / 500);
  assert.ok(lists >= 3, 'the list is still read');
  assert.ok(pages <= 40, `${pages} calls in a minute`);
});

test('more workers than there are connections for workers are all served, one after the other', async (t) => {
  const route = (url: string, use: Route['use']): Route => {
    return { method: 'GET', url, use, handle: () => ({ status: 200, body: {} }) };
  };
  const share = 64;
  const limits = { all: 128, workers: share, workerIdleMs: 60_000 };
  const connections = new Connections(limits, () => performance.now());
  const server = createNodeServer([route('/hello', 'workers'), route('/up', 'health')], {
    maxBodyBytes: 1024,
    connections,
    onError: assert.fail,
    encode: (value) => codec.encode(value),
  });
  await server.listen({ host: '127.0.0.1', port: 0 });
  const { port } = server.server.address() as AddressInfo;
  const agents = Array.from({ length: 5 * share }, () => new Agent({ keepAlive: true, maxSockets: 1 }));
  t.after(async () => {
    for (const agent of agents) agent.destroy();
    await server.close();
  });
  const sendHeartbeat = (agent: Agent): Promise<number | undefined> =>
    new Promise((resolve, reject) => {
      const req = request({ agent, host: '127.0.0.1', port, path: '/hello' }, (response) => {
        response.resume().once('end', () => {
          resolve(response.statusCode);
        });
      });
      req.once('error', reject).end();
    });
  for (let round = 0; round < 3; round += 1) {
    for (const agent of agents) {
      assert.equal(await sendHeartbeat(agent), 200);
      assert.ok(connections.workers <= share, `${connections.workers} connections`);
    }
  }
});
