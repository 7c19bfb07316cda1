/** @file Malformed bodies and frames are refused with an error that says why, before anything is allocated for them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RefusedMessages } from '../src/base/refused-messages';
import { read } from '../src/bookkeeping/records';
import { WatchCache } from '../src/bookkeeping/watch-cache';
import { codec } from '../src/protocol/codec';
import { externalCodec } from '../src/protocol/external-codec';
import { MAX_DEPTH, MalformedMessageError } from '../src/protocol/decoded-size';
import { decodePeerMessage, writePeerMessage, type PeerMessage } from '../src/protocol/peers';
import { readSubmission } from '../src/protocol/users';
import { readHeartbeat } from '../src/protocol/workers';
import { MAX_FRAME_BYTES } from '../src/transport/peer-link';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { submission } from './fakes/submission';
import { heartbeat } from './hostile/decoders';
import { listOfSmallValues, nestedLists } from './hostile/messages';
import { CONTROLLER_INDICES } from './user-steps';

const MAX_REQUEST_BYTES = 64 * 1024;
const LONE_SURROGATE = '\ud800';

function reasonFor(bytes: Uint8Array): string {
  try {
    codec.decode(bytes);
  } catch (error) {
    assert.ok(error instanceof MalformedMessageError);
    return error.reason;
  }
  return 'accepted';
}

function nested(levels: number): Buffer {
  return Buffer.concat([Buffer.alloc(levels, 0x91), Buffer.from([0xc0])]);
}

test('each kind of malformed bytes is refused with its reason', () => {
  const cases: [string, Uint8Array, string][] = [
    [
      'nested lists that declare more than follows',
      nestedLists(200, 16_000),
      'a length exceeds the bytes that follow',
    ],
    ['a list of 2^32-1', Buffer.from([0xdd, 255, 255, 255, 255]), 'a length exceeds the bytes that follow'],
    ['a map that lacks a value', Buffer.from([0x81, 0xa1, 0x61]), 'a length exceeds the bytes that follow'],
    ['a cut text', Buffer.from([0xa5, 0x61]), 'a length exceeds the bytes that follow'],
    ['a cut number', Buffer.from([0xcf, 1, 2]), 'a length exceeds the bytes that follow'],
    ['a cut length', Buffer.from([0xda, 1]), 'a length exceeds the bytes that follow'],
    ['no bytes', Buffer.alloc(0), 'a length exceeds the bytes that follow'],
    ['bytes after the value', Buffer.from([0xc0, 0xc0]), 'bytes follow the message'],
    ['nesting beyond the limit', nested(MAX_DEPTH + 1), 'nested too deeply'],
    [
      'empty maps',
      listOfSmallValues(Buffer.from([0x80]), MAX_REQUEST_BYTES),
      'too many values for its length',
    ],
    ['a lone surrogate', Buffer.from([0xa3, 0xed, 0xa0, 0x80]), 'text that is not valid UTF-8'],
    ['a stray continuation byte', Buffer.from([0xa1, 0x80]), 'text that is not valid UTF-8'],
    ['a cut sequence', Buffer.from([0xa2, 0xc3, 0x28]), 'text that is not valid UTF-8'],
    ['an invalid key', Buffer.from([0x81, 0xa1, 0xff, 0xc0]), 'text that is not valid UTF-8'],
    ['a key that is a number', Buffer.from([0x81, 0x01, 0xc0]), 'a map key that is not text'],
    ['binary', Buffer.from([0xc4, 1, 0]), 'a type that the protocol does not use'],
    ['an extension', Buffer.from([0xd4, 1, 0]), 'a type that the protocol does not use'],
    ['an unassigned type byte', Buffer.from([0xc1]), 'a type that the protocol does not use'],
  ];
  for (const [what, bytes, reason] of cases) assert.equal(reasonFor(bytes), reason, what);
});

test('every value that the encoder writes is decoded unchanged', () => {
  const values = [
    null,
    true,
    false,
    0,
    127,
    128,
    255,
    256,
    65_536,
    2 ** 32,
    Number.MAX_SAFE_INTEGER,
    -1,
    -32,
    -33,
    -129,
  ];
  const texts = ['', 'a', 'é', '漢字', '🙂', 'x'.repeat(32), 'x'.repeat(300), 'ü'.repeat(40_000)];
  const containers = [[], {}, Array.from({ length: 20 }, (_, n) => n), { a: { b: [1.5, -(2 ** 40)] } }];
  const many = Array.from({ length: 70_000 }, (_, n) => n % 3);
  for (const value of [...values, ...texts, ...containers, many]) {
    assert.deepEqual(codec.decode(codec.encode(value)), value);
  }
  assert.equal(reasonFor(nested(MAX_DEPTH)), 'accepted');
});

const HEARTBEAT = { ...heartbeat, pieces: [] };

test('a machine name that does not fit a key is refused, and a text of any length is not', () => {
  for (const fields of [{ hearth: 'host 1' }, { hearth: 'é'.repeat(94) }, { hearth: '' }, { frame: 7 }]) {
    const [field] = Object.keys(fields);
    const result = readHeartbeat(codec.encode({ ...HEARTBEAT, ...fields }));
    assert.match(result.ok ? 'accepted' : result.problem, new RegExp(`^${field}: `));
  }
  assert.ok(readHeartbeat(codec.encode({ ...HEARTBEAT, hearth: 'é'.repeat(93) })).ok);
  const long = 'x'.repeat(60_000);
  for (const fields of [{ frame: long }, { yard: long }]) {
    assert.ok(readHeartbeat(codec.encode({ ...HEARTBEAT, ...fields })).ok);
  }
});

test('a full heartbeat and a submission with the most machine types stay within the bounds', () => {
  const pieces = Array.from({ length: 1_100 }, (_, n) => ({
    piece: `req-1/${n}`,
    try: 1,
    standing: 'running',
  }));
  const result = readHeartbeat(codec.encode({ ...HEARTBEAT, pieces }));
  assert.ok(result.ok);
  assert.equal(result.value.attempts.length, pieces.length);
  // As many names as 64 KiB of JSON have room for.
  const frames = Array.from({ length: 16_000 }, (_, n) => String.fromCharCode(97 + (n % 26)));
  const body = submission('req-1', { frames });
  assert.ok(JSON.stringify(body).length > MAX_REQUEST_BYTES - 2_000);
  assert.equal(readSubmission(codec.encode(body)).kind, 'valid');
  const invalid = readSubmission(codec.encode(submission('req-1', { frames: [...frames, 7] })));
  assert.ok(invalid.kind === 'invalid');
  assert.match(invalid.error, /^frames\.16000: /);
});

test('the error names the field, also of a list item, and a list is read only up to its first invalid item', () => {
  const errorOf = (fields: Record<string, unknown>): string => {
    const result = readSubmission(codec.encode(submission('req-1', fields)));
    return result.kind === 'valid' ? 'valid' : result.error;
  };
  assert.match(errorOf({ pieces: 0 }), /^pieces: /);
  assert.match(errorOf({ pieces: 2 ** 60 }), /^pieces: /);
  assert.match(errorOf({ cpus: NaN }), /^cpus: /);
  assert.match(errorOf({ frames: ['m16', 7, 8] }), /^frames\.1: /);
  assert.match(errorOf({ frames: 'm16' }), /^frames: expected a list/);
  assert.match(errorOf({ awaits: ['req-1', 'x'] }), /^awaits\.1: /);
  const missing = { ...submission('req-1'), cpus: undefined };
  const result = readSubmission(codec.encode(missing));
  assert.match(result.kind === 'invalid' ? result.error : '', /^cpus: /);
});

test('heartbeats of small repeated messages are refused, and frames of many jobs are not', () => {
  const empty = Buffer.alloc(MAX_FRAME_BYTES - 8, Buffer.from([0x0a, 0x00]));
  const head = Buffer.from([0x12, 0xf8, 0xff, 0x0f]);
  assert.throws(() => decodePeerMessage(Buffer.concat([head, empty])), MalformedMessageError);
  const jobs = Array.from({ length: 10_000 }, (_, n) => ({ id: `req-${n}`, running: n, done: n }));
  const peerHeartbeat = { from: 'node-1', isViewFresh: true, jobs, unreachableShards: [], redirected: [] };
  const bytes = writePeerMessage({ kind: 'heartbeat', heartbeat: peerHeartbeat });
  assert.ok(bytes.length < MAX_FRAME_BYTES);
  assert.deepEqual(decodePeerMessage(bytes), { kind: 'heartbeat', heartbeat: peerHeartbeat });
});

test('a peer message with text that is not valid UTF-8, a cut length or a group is refused', () => {
  for (const bytes of [
    [0x12, 0x05, 0x1a, 0x03, 0xed, 0xa0, 0x80],
    [0x12, 0x7f, 0x1a],
    [0x12, 0x02, 0x1a, 0x05],
    [0x13, 0x14],
    [0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f],
  ]) {
    assert.throws(() => decodePeerMessage(Uint8Array.from(bytes)), MalformedMessageError, String(bytes));
  }
});

test('a record of a job with more tasks than a job may have is not read', () => {
  const record = (tasks: unknown): unknown => ({ job: { id: 'req-1', tasks, types: null }, submittedAt: 1 });
  assert.ok(read.job(record(100_000)));
  for (const tasks of [0, -1, 1.5, 100_001, 2 ** 50, Infinity, '3', null]) {
    assert.equal(read.job(record(tasks)), undefined, String(tasks));
  }
});

test('a stored record with text that is not valid UTF-8 does not hide the other records of its page', () => {
  const image = Buffer.from([0xaa, ...Buffer.from('img-600'), 0xed, 0xa0, 0x80]);
  const other = Buffer.from(codec.encode({ image: 'img-1' }));
  const data = Buffer.from([0x81, 0xa4, ...Buffer.from('data')]);
  const entries = [data, Buffer.from([0x81, 0xa5]), Buffer.from('image'), image, data, other];
  const page = Buffer.concat([
    Buffer.from([0x81, 0xa7]),
    Buffer.from('entries'),
    Buffer.from([0x92]),
    ...entries,
  ]);
  assert.equal(reasonFor(page), 'text that is not valid UTF-8');
  const decoded = externalCodec.decode(page) as { entries: { data: { image: string } }[] };
  const [invalid, valid] = decoded.entries;
  assert.equal(invalid?.data.image.startsWith('img-600'), true);
  assert.deepEqual(valid, { data: { image: 'img-1' } });
});

test('a submission whose text is not valid UTF-8 gets 400 at every controller, and nothing is stored', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  for (const field of ['docket', 'build']) {
    const body = submission('req-1', { [field]: `img-600${LONE_SURROGATE}` });
    for (const index of CONTROLLER_INDICES) {
      const response = await cluster.request(index, 'POST', '/work', body);
      assert.equal(response.status, 400, `${field} ${index}`);
      assert.deepEqual(response.body, { error: 'not MessagePack: text that is not valid UTF-8' });
    }
  }
  assert.equal(cluster.store.data.has('live/job/req-1'), false);
  await cluster.submit('req-1');
  await cluster.untilJobState('req-1', 'done');
});

test('refusals are logged once and then counted, also in a flood of different ones', () => {
  interface Line {
    readonly fields: Record<string, unknown>;
    readonly message: string;
  }
  const lines: Line[] = [];
  const warn = (fields: Record<string, unknown>, message: string): number => lines.push({ fields, message });
  const count = (line: Line | undefined): unknown => line?.fields.count;
  const refused = new RefusedMessages({ warn } as never);
  for (let n = 0; n < 1_000; n += 1) {
    refused.add({ message: 'submission', sender: '10.0.0.9', problem: `frames.${n}: expected string` });
  }
  const fields = { message: 'submission', sender: '10.0.0.9', problem: 'frames: expected string' };
  assert.equal(lines.length, 1);
  assert.deepEqual(lines.at(-1), { fields, message: 'message refused' });
  refused.report();
  assert.equal(lines.length, 2);
  assert.equal(count(lines.at(-1)), 1_000);
  lines.length = 0;
  for (let n = 0; n < 1_000; n += 1)
    refused.add({ message: 'heartbeat', sender: `10.1.0.${n}`, problem: 'x' });
  assert.ok(lines.length <= 20, `${lines.length} lines`);
  refused.report();
  const counted = lines.find(({ message }) => message === 'other messages refused');
  assert.equal(Number(count(counted)) + lines.filter((l) => l.message === 'message refused').length, 1_000);
});

test('an error in the handling of a peer message is not taken for a malformed message', async (t) => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  const [process] = cluster.controllers;
  assert.ok(process);
  const { controller } = process;
  const refuse = t.mock.method(controller.refusedMessages, 'add');
  t.mock.method(WatchCache.prototype, 'applyNotification', () => {
    throw new Error('a fault of the handler');
  });
  const event = { key: 'live/job/req-1', version: 1, deleted: true };
  const frame = writePeerMessage({ kind: 'change notification', event });
  assert.throws(() => controller.onPeerFrame(frame, '10.0.0.9'), /a fault of the handler/);
  assert.equal(refuse.mock.callCount(), 0);
});

test('messages that name an unknown controller as their sender are refused', async (t) => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  const [process] = cluster.controllers;
  assert.ok(process);
  const refuse = t.mock.method(process.controller.refusedMessages, 'add');
  const messages: PeerMessage[] = ['node-9', 'node-1'].flatMap((from): PeerMessage[] => [
    {
      kind: 'heartbeat',
      heartbeat: { from, isViewFresh: true, jobs: [], unreachableShards: [], redirected: [] },
    },
    { kind: 'lease extension request', request: { from, number: 1, revision: 1 } },
    { kind: 'lease extension grant', grant: { from, to: 'node-0', number: 1, endedJobs: [] } },
  ]);
  for (const message of messages) process.controller.onPeerFrame(writePeerMessage(message), '10.0.0.9');
  assert.equal(refuse.mock.callCount(), 3, 'those of node-9');
});
