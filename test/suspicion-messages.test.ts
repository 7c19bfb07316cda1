/** @file Peer messages with views: their encoding; invalid ones are dropped, counted and logged once. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimit } from '../src/transport/rate-limit';
import { LIVE_PREFIX } from '../src/bookkeeping/records';
import { WatchCache } from '../src/bookkeeping/watch-cache';
import type { PeerView } from '../src/protocol/peer-view';
import { readPeerMessage, writePeerMessage, type PeerHeartbeat } from '../src/protocol/peers';
import { HttpKeyValueStore } from '../src/protocol/http-key-value-store';
import { Suspicion } from '../src/suspicion/suspicion';
import { FakeClock } from './fakes/clock';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { DEFAULT_OPTIONS } from './suspicion-defaults';
import { SUSPICION_ON } from './suspicion-steps';

const VIEW: PeerView = {
  run: 12,
  incarnation: 2,
  isStalled: true,
  opinions: [
    {
      node: 'node-1',
      status: 'suspected',
      reason: 'no heartbeat',
      forMs: 800,
      run: 9,
      incarnation: 1,
      heardMsAgo: 2_900,
    },
    {
      node: 'node-2',
      status: 'unknown',
      reason: 'none',
      forMs: 0,
      run: 0,
      incarnation: 0,
      heardMsAgo: undefined,
    },
  ],
};

const HEARTBEAT: PeerHeartbeat = {
  from: 'node-0',
  isViewFresh: true,
  jobs: [],
  unreachableShards: [],
  redirected: [],
};

test('a view is decoded as it was encoded; a message without a view is decoded without one', () => {
  const message = { kind: 'heartbeat' as const, heartbeat: { ...HEARTBEAT, view: VIEW } };
  assert.deepEqual(readPeerMessage(writePeerMessage(message)), message);
  const messageWithoutView = { kind: 'heartbeat' as const, heartbeat: HEARTBEAT };
  assert.deepEqual(readPeerMessage(writePeerMessage(messageWithoutView)), messageWithoutView);
});

test('an unknown status makes the view malformed, but not the message', () => {
  const bytes = writePeerMessage({ kind: 'heartbeat', heartbeat: { ...HEARTBEAT, view: VIEW } });
  // The status of the first opinion: field 2 of Opinion, a varint.
  const nameOffset = Buffer.from(bytes).indexOf('node-1');
  const changed = Buffer.from(bytes);
  assert.deepEqual([...changed.subarray(nameOffset + 6, nameOffset + 8)], [0x10, 2]);
  changed[nameOffset + 7] = 99;
  const read = readPeerMessage(changed);
  assert.ok(read?.kind === 'heartbeat');
  assert.deepEqual([read.heartbeat.isViewMalformed, read.heartbeat.view], [true, undefined]);
});

/** The suspicion component of node-0, and the reasons in the warnings that it logs. */
function createSuspicion(): { suspicion: Suspicion; warnings: string[] } {
  const clock = new FakeClock();
  const unreachable = { call: () => new Promise<never>(() => undefined) };
  const limit = new RateLimit(clock, 100, 100);
  const cache = new WatchCache({
    store: new HttpKeyValueStore({
      http: unreachable,
      address: 'state',
      requests: limit,
      writes: limit,
      timeoutMs: 1_000,
    }),
    prefix: LIVE_PREFIX,
    clock,
    waitMs: 1_000,
    minWatchIntervalMs: 100,
  });
  const warnings: string[] = [];
  const log = {
    error: () => undefined,
    info: () => undefined,
    debug: () => undefined,
    warn: (fields: { reason?: string }) => warnings.push(fields.reason ?? ''),
  };
  const context = { controllerId: 'node-0', peers: ['node-1', 'node-2'], clock, cache, log: log as never };
  const suspicion = new Suspicion(context, DEFAULT_OPTIONS);
  return { suspicion, warnings };
}

const fromPeer = (view: Partial<PeerView>, fields: Partial<PeerHeartbeat> = {}): PeerHeartbeat => ({
  ...HEARTBEAT,
  from: 'node-1',
  view: { ...VIEW, opinions: [], ...view },
  ...fields,
});

test('messages from unknown controllers, earlier sessions or incarnations, and malformed ones are dropped and counted', () => {
  const { suspicion, warnings } = createSuspicion();
  const deliver = (heartbeat: PeerHeartbeat): boolean => {
    const isAccepted = suspicion.accepts(heartbeat);
    if (isAccepted) suspicion.onHeartbeat(heartbeat);
    return isAccepted;
  };
  assert.equal(deliver(fromPeer({ run: 12, incarnation: 2 })), true);
  assert.equal(deliver(fromPeer({ run: 12, incarnation: 2 })), true);
  assert.equal(deliver(fromPeer({ run: 12, incarnation: 1 })), false);
  assert.equal(deliver(fromPeer({ run: 11, incarnation: 9 })), false);
  assert.equal(
    deliver(fromPeer({ run: 13, incarnation: 0 })),
    true,
    'a new session starts with a low incarnation',
  );
  assert.equal(deliver(fromPeer({ run: 0 })), true, 'a peer without a session sends no session number');
  assert.equal(deliver({ ...HEARTBEAT, from: 'node-2' }), true, 'a peer of a version without views');
  assert.equal(deliver(fromPeer({}, { from: 'node-9' })), false);
  const aboutUnknownPeer = VIEW.opinions.map((opinion) => ({ ...opinion, node: 'node-9' }));
  assert.equal(deliver(fromPeer({ run: 13, opinions: aboutUnknownPeer })), false);
  assert.equal(deliver({ ...HEARTBEAT, from: 'node-2', isViewMalformed: true }), false);
  assert.equal(deliver({ ...HEARTBEAT, from: 'node-2', isViewMalformed: true }), false);
  assert.deepEqual(suspicion.report().rejected, {
    'earlier incarnation': 1,
    'earlier run': 1,
    'unknown node': 2,
    'malformed view': 2,
  });
  assert.deepEqual(warnings.sort(), ['earlier incarnation', 'earlier run', 'malformed view', 'unknown node']);
});

test('a suspect refutes with a higher incarnation, and ignores a suspicion of an earlier one', () => {
  const { suspicion } = createSuspicion();
  const suspectingHeartbeat = (incarnation: number): PeerHeartbeat =>
    fromPeer({
      opinions: [
        {
          node: 'node-0',
          status: 'suspected',
          reason: 'no heartbeat',
          forMs: 1,
          run: 0,
          incarnation,
          heardMsAgo: 1,
        },
      ],
    });
  suspicion.onHeartbeat(suspectingHeartbeat(0));
  assert.equal(suspicion.view().incarnation, 1);
  suspicion.onHeartbeat(suspectingHeartbeat(0));
  assert.equal(suspicion.view().incarnation, 1);
  suspicion.onHeartbeat(suspectingHeartbeat(7));
  assert.equal(suspicion.view().incarnation, 8);
});

test('malformed and forged peer messages change nothing: no shard moves, and all peers stay alive', async () => {
  const cluster = new SimulatedCluster({ operator: SUSPICION_ON });
  const owner = await cluster.untilOwned();
  await cluster.clock.advance(10_000);
  const forged = { ...HEARTBEAT, from: `node-${owner}`, view: { ...VIEW, run: 1, opinions: [] } };
  for (let second = 0; second < 20; second += 1) {
    for (const { controller } of cluster.controllers) {
      controller.onPeerFrame(Buffer.from([0x12, 0xff, 0xff, 0x01]), 'peer');
      controller.onPeerFrame(Buffer.from(writePeerMessage({ kind: 'heartbeat', heartbeat: forged })), 'peer');
    }
    await cluster.clock.advance(1_000);
  }
  assert.equal(cluster.owner, owner);
  const report = cluster.controllers[(owner + 1) % 3]?.controller.peersReport();
  assert.ok(report);
  assert.ok(report.rows.every(({ status }) => status === 'alive'));
  assert.ok((report.rejected['earlier run'] ?? 0) >= 20);
});
