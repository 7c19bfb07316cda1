/**
 * @file What the protocol page allows in the messages of workers, users, store, cloud and peers is accepted: integers up
 * to 2^64-1, which stay exact. Fields and texts (`allowed-fields.test.ts`) and unknown fields have tests of their own.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { systemClock } from '../src/base/clock';
import { WatchCache } from '../src/bookkeeping/watch-cache';
import { attemptNumber, fencingTokenOf } from '../src/coordination/shard/attempt';
import { sendCommands } from '../src/coordination/shard/command-client';
import { liveControllers } from '../src/coordination/ownership/owner-candidates';
import type { ControllerContext } from '../src/coordination/controller-context';
import { WorkerLiveness } from '../src/coordination/shard/worker-liveness';
import { codec } from '../src/protocol/codec';
import { externalCodec, workerCodec } from '../src/protocol/external-codec';
import { HttpKeyValueStore } from '../src/protocol/http-key-value-store';
import type { KeyValueStore } from '../src/protocol/key-value-store';
import { readPeerMessage, writePeerMessage, type PeerMessage } from '../src/protocol/peers';
import { readHeartbeat } from '../src/protocol/workers';
import type { HttpCaller } from '../src/transport/http-client';
import { RateLimit } from '../src/transport/rate-limit';
import { DECODERS, heartbeat } from './hostile/decoders';

const MAX = 2n ** 64n - 1n;
/** As numbers, these two would be equal. */
const NEARLY_MAX = MAX - 1n;
const FIRST_UNSAFE = 2n ** 53n;
const NO_LIMIT = 1e12;

/** A value with every integer replaced by the largest one, and every other number unchanged. */
function withIntegers(value: unknown, integer: bigint): unknown {
  if (Array.isArray(value)) return value.map((item) => withIntegers(item, integer));
  if (typeof value === 'object' && value !== null) {
    return Object.fromEntries(
      Object.entries(value).map(([key, inner]) => [key, withIntegers(inner, integer)]),
    );
  }
  return Number.isInteger(value) ? integer : value;
}

/** A caller that records the requests, as they are on the wire, and gives one response to all of them. */
class RecordingCaller implements HttpCaller {
  readonly requests: { path: string; body: unknown }[] = [];

  constructor(
    private readonly response: unknown,
    private readonly responseCodec = externalCodec,
    private readonly status = 200,
  ) {}

  call(_target: string, _method: string, path: string, body: unknown) {
    this.requests.push({ path, body: body === undefined ? undefined : codec.decode(codec.encode(body)) });
    return Promise.resolve({
      status: this.status,
      body: this.responseCodec.decode(codec.encode(this.response)),
    });
  }
}

function storeWith(caller: HttpCaller): HttpKeyValueStore {
  const limit = (): RateLimit => new RateLimit(systemClock, NO_LIMIT, NO_LIMIT);
  return new HttpKeyValueStore({
    http: caller,
    address: 'store:1',
    requests: limit(),
    writes: limit(),
    timeoutMs: 1_000,
  });
}

test('integers are encoded and decoded exactly, in one form each', () => {
  for (const integer of [FIRST_UNSAFE, FIRST_UNSAFE + 1n, 2n ** 63n, NEARLY_MAX, MAX]) {
    assert.deepEqual(codec.decode(codec.encode({ a: [integer] })), { a: [integer] });
  }
  const mixed = { large: MAX, time: 1_765_000_000_000, small: 7, half: 0.5, negative: -(2 ** 40) };
  assert.deepEqual(codec.decode(codec.encode(mixed)), mixed);
  const bytes = Buffer.from(codec.encode(mixed));
  assert.ok(bytes.includes(Buffer.from([0xcf, 0, 0, 1])), 'a large integer beside a larger one is no float');
  // Encoders may use eight bytes for any integer.
  const seven = Buffer.from([0xcf, 0, 0, 0, 0, 0, 0, 0, 7]);
  assert.equal(codec.decode(seven), 7);
  assert.deepEqual(codec.decode(Buffer.concat([Buffer.from([0x92]), seven, codec.encode(MAX)])), [7, MAX]);
  const signed = Buffer.from([0xd3, 0x7f, 255, 255, 255, 255, 255, 255, 255]);
  assert.equal(codec.decode(signed), 2n ** 63n - 1n);
});

// Guards against reports with counts of 2^53 and more that get 400, so that nothing is ever started (review/6).
test('workers: a report with counts up to 2^64-1 is accepted, and each count is exact', () => {
  const pieces = [{ piece: 'req-1/3', try: MAX, standing: 'running' }];
  const counts = { shift: NEARLY_MAX, tally: MAX, baton: FIRST_UNSAFE + 1n };
  const read = readHeartbeat(codec.encode({ ...heartbeat, ...counts, pieces }));
  assert.ok(read.ok);
  const { incarnation, sequence, fencingToken, attempts } = read.value;
  assert.deepEqual([incarnation, sequence, fencingToken], [counts.shift, counts.tally, counts.baton]);
  assert.equal(attempts[0]?.attempt, MAX);
  for (const shift of [2 ** 64, -1, 1.5, '1', null]) {
    const refused = readHeartbeat(codec.encode({ ...heartbeat, shift }));
    assert.match(refused.ok ? 'accepted' : refused.problem, /^shift: /);
  }
});

test('workers: of two reports whose counts differ in the last bit, the newer one is known', () => {
  const report = (incarnation: bigint, sequence: bigint) => {
    const read = readHeartbeat(codec.encode({ ...heartbeat, shift: incarnation, tally: sequence }));
    assert.ok(read.ok);
    return read.value;
  };
  const liveness = new WorkerLiveness(0, false);
  liveness.beginIncarnation(NEARLY_MAX, 0, 1_000);
  liveness.heartbeatReceived(report(NEARLY_MAX, NEARLY_MAX), 0);
  assert.ok(!liveness.isNewer(report(NEARLY_MAX, NEARLY_MAX)));
  assert.ok(liveness.isNewer(report(NEARLY_MAX, MAX)));
  assert.ok(!liveness.isNewer(report(NEARLY_MAX - 1n, MAX)));
  assert.ok(liveness.isNewer(report(MAX, 1n)));
});

test('workers: commands echo session and attempt exactly, and a response with such counts is read', async () => {
  const response = { ...heartbeat, shift: MAX, tally: MAX, pieces: [] };
  const caller = new RecordingCaller(response, workerCodec);
  const result = await sendCommands(caller, {
    address: 'worker:1',
    fencingToken: 41,
    incarnation: NEARLY_MAX,
    commands: [
      { op: 'stop', job: 'req-1', task: 3, attempt: MAX, graceS: 2.5 },
      { op: 'forget', job: 'req-1', task: 4, attempt: 7 },
    ],
    maySend: () => true,
  });
  assert.equal(result.kind, 'done');
  assert.deepEqual(caller.requests[0]?.body, {
    baton: 41,
    shift: NEARLY_MAX,
    orders: [
      { verb: 'halt', piece: 'req-1/3', try: MAX, leewayS: 2.5 },
      { verb: 'reap', piece: 'req-1/4', try: 7 },
    ],
  });
  assert.equal(fencingTokenOf(MAX), 2 ** 44 - 1);
  assert.equal(fencingTokenOf(attemptNumber(41, 5)), 41);
});

test('store: versions and revisions up to 2^64-1 are read, compared and sent back exactly', async () => {
  const entry = { path: 'live/leader', data: { node: 'node-1' }, stamp: NEARLY_MAX, hold: MAX };
  const single = await storeWith(new RecordingCaller(entry)).get('live/leader');
  assert.equal(single?.version, NEARLY_MAX);
  const pages = new RecordingCaller({ entries: [entry], hasNext: false, ledger: MAX });
  const page = await storeWith(pages).list('live/');
  assert.deepEqual([page.revision, page.entries[0]?.version], [MAX, NEARLY_MAX]);
  const news = [
    { set: 'live/leader', data: {}, stamp: NEARLY_MAX },
    { delete: 'live/x', stamp: MAX },
  ];
  const watch = new RecordingCaller({ ledger: MAX, news });
  const changes = await storeWith(watch).changes('live/', NEARLY_MAX, 10);
  assert.deepEqual(
    [changes?.revision, changes?.events.map(({ version }) => version)],
    [MAX, [NEARLY_MAX, MAX]],
  );
  assert.match(watch.requests[0]?.path ?? '', new RegExp(`&since=${NEARLY_MAX}&`));
  const swap = new RecordingCaller({ ledger: MAX });
  const swapped = await storeWith(swap).compareAndSwap(
    [{ key: 'live/leader', version: NEARLY_MAX }],
    [{ put: 'live/leader', value: { at: 1_765_000_000_000 }, lease: MAX }],
  );
  assert.deepEqual(swapped, { ok: true, revision: MAX });
  assert.deepEqual(swap.requests[0]?.body, {
    guards: [{ path: 'live/leader', stamp: NEARLY_MAX }],
    apply: [{ set: 'live/leader', data: { at: 1_765_000_000_000 }, hold: MAX }],
  });
  const conflict = new RecordingCaller({ failed: ['live/leader'], ledger: MAX }, externalCodec, 409);
  assert.deepEqual(await storeWith(conflict).compareAndSwap([], []), {
    ok: false,
    failed: ['live/leader'],
    revision: MAX,
  });
  const missing = new RecordingCaller({ ledger: MAX }, externalCodec, 404);
  assert.equal(await storeWith(missing).get('live/leader'), null);
});

test('store: leases up to 2^64-1 are granted, renewed and ended exactly', async () => {
  const grants = new RecordingCaller({ hold: MAX });
  const lease = await storeWith(grants).grantLease(5_000);
  assert.equal(lease, MAX);
  await storeWith(grants).renewLease(lease);
  await storeWith(grants).revokeLease(lease);
  assert.deepEqual(
    grants.requests.map(({ path }) => path),
    ['/grants', `/grants/${MAX}/extend`, `/grants/${MAX}`],
  );
});

test('store: the watch cache tells versions apart that differ in the last bit', () => {
  const cache = new WatchCache({
    store: {} as KeyValueStore,
    prefix: 'live/',
    clock: systemClock,
    waitMs: 1,
    minWatchIntervalMs: 1,
  });
  const put = (key: string, version: bigint, value: number): void => {
    cache.applyNotification({ key, version, value, deleted: false });
  };
  put('live/node/b', MAX, 1);
  put('live/node/a', NEARLY_MAX, 2);
  put('live/node/b', NEARLY_MAX, 3);
  assert.deepEqual([cache.get('live/node/b')?.value, cache.version('live/node/b')], [1, MAX]);
  assert.deepEqual(liveControllers({ cache } as unknown as ControllerContext), ['a', 'b'], 'sorted by age');
  cache.applyNotification({ key: 'live/node/a', version: MAX, deleted: true });
  assert.equal(cache.get('live/node/a'), undefined);
});

test('peers: versions and revisions up to 2^64-1 arrive exactly', () => {
  const messages: PeerMessage[] = [
    { kind: 'change notification', event: { key: 'live/x', version: MAX, deleted: true } },
    {
      kind: 'change notification',
      event: { key: 'live/x', version: NEARLY_MAX, deleted: false, value: { lease: MAX } },
    },
    { kind: 'lease extension request', request: { from: 'node-1', number: 5, revision: MAX } },
    {
      kind: 'lease extension grant',
      grant: { from: 'node-1', to: 'node-0', number: 5, endedJobs: [{ id: 'req-1', version: NEARLY_MAX }] },
    },
  ];
  for (const message of messages) assert.deepEqual(readPeerMessage(writePeerMessage(message)), message);
});

test('integers in every response of the store may have any size', async () => {
  for (const kind of ['entry page', 'changes', 'failed transaction', 'lease']) {
    const decoder = DECODERS[kind];
    for (const bytes of decoder?.valid ?? []) {
      const message = codec.decode(bytes) as Record<string, unknown>;
      const large = Object.fromEntries(
        Object.entries(message).map(([key, value]) => [key, withIntegers(withoutData(value), MAX)]),
      );
      assert.ok(await decoder?.read(Buffer.from(codec.encode(large))), kind);
    }
  }
});

/** Without the data of records, whose integers are the controllers' own. */
function withoutData(value: unknown): unknown {
  if (!Array.isArray(value)) return value;
  return value.map((item: unknown) =>
    typeof item === 'object' && item !== null && 'data' in item ? { ...item, data: {} } : item,
  );
}
