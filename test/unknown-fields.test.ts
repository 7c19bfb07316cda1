/** @file Fields that this version doesn't know are ignored in each message, whatever they have inside. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as protobuf from 'protobufjs';
import { codec } from '../src/protocol/codec';
import { externalCodec } from '../src/protocol/external-codec';
import { readPeerMessage, writePeerMessage } from '../src/protocol/peers';
import { readHeartbeat } from '../src/protocol/workers';
import { DECODERS, heartbeat } from './hostile/decoders';

const MAX = 2n ** 64n - 1n;

/** Values that a later version may put into a field that this one doesn't know. */
const LATER_VALUES: Readonly<Record<string, unknown>> = {
  'many small maps': Array.from({ length: 2_000 }, (_, n) => ({ n: n % 100, ok: true })),
  'empty lists and maps': Array.from({ length: 3_000 }, (_, n) => (n % 2 === 0 ? {} : [])),
  'a known name inside': { pieces: [{ piece: 7 }], hearth: null, data: { stamp: 'x' }, nameId: [] },
  'large integers': [MAX, 2 ** 40, -(2 ** 40)],
  'a long text': 'ü'.repeat(3_000),
};
const NESTED_LEVELS = 500;

/** Adds a field to each map of a message; maps that are kept whole, as data of the store, get none. */
function withLaterField(value: unknown, later: unknown): unknown {
  if (Array.isArray(value)) return value.map((item) => withLaterField(item, later));
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).map(([key, inner]) => [
    key,
    key === 'data' ? inner : withLaterField(inner, later),
  ]);
  return { later, ...Object.fromEntries(entries) };
}

// Guards against messages of later versions that are refused for what is to be ignored (review/7).
for (const [kind, decoder] of Object.entries(DECODERS)) {
  if (decoder.isFrame) continue;
  test(`${kind}: unknown fields are ignored, whatever they have inside`, async () => {
    for (const bytes of decoder.valid) {
      const message = codec.decode(bytes) as Record<string, unknown>;
      for (const [what, later] of Object.entries(LATER_VALUES)) {
        const body = { later, ...message, last: later };
        assert.ok(await decoder.read(Buffer.from(codec.encode(body))), what);
      }
      const small = withLaterField(message, [{ n: 1, ok: true }]);
      assert.ok(await decoder.read(Buffer.from(codec.encode(small))), 'a field in each map');
      const deep = encodedWithField(message, encodeNested());
      assert.ok(await decoder.read(deep), 'nested deeply');
    }
  });
}

/** Nested lists and maps, deeper than the encoder goes. */
function encodeNested(): Buffer {
  const levels: Buffer[] = [];
  for (let level = 0; level < NESTED_LEVELS; level += 1) levels.push(Buffer.from([0x91, 0x81, 0xa1, 0x61]));
  return Buffer.concat([...levels, Buffer.from([0xc0])]);
}

/** The message with one more field, whose value is encoded already. */
function encodedWithField(message: Record<string, unknown>, value: Buffer): Buffer {
  const entries = Object.entries(message);
  const head = Buffer.from([0xde, 0, entries.length + 1]);
  const fields = entries.map(([key, inner]) => [
    Buffer.from(codec.encode(key)),
    Buffer.from(codec.encode(inner)),
  ]);
  return Buffer.concat([head, Buffer.from(codec.encode('later')), value, ...fields.flat()]);
}

test('a field is known by its whole name', () => {
  const names = ['data', 'dat', 'dats', 'daaa', `data${'x'.repeat(65_536)}`, 'dàta', ''];
  const fields = Object.fromEntries(names.map((name) => [name, { name }]));
  const entry = { ...fields, path: 'live/x', stamp: 7 };
  const decoded = externalCodec.decode(codec.encode(entry));
  assert.deepEqual(decoded, { data: { name: 'data' }, path: 'live/x', stamp: 7 });
});

test('unknown fields must still be well-formed', () => {
  const withLater = (...value: number[]): Buffer =>
    encodedWithField({ ...heartbeat, pieces: [] }, Buffer.from(value));
  const problemOf = (bytes: Buffer): string => {
    const read = readHeartbeat(bytes);
    return read.ok ? 'accepted' : read.problem;
  };
  assert.equal(problemOf(withLater(0x91, 0x81, 0xa1, 0x61, 0x07)), 'accepted');
  assert.match(problemOf(withLater(0xa1, 0xff)), /not valid UTF-8/);
  assert.match(problemOf(withLater(0x81, 0x01, 0xc0)), /a map key that is not text/);
  assert.match(problemOf(withLater(0xc4, 0x01, 0x00)), /a type that the protocol does not use/);
  assert.match(problemOf(withLater(0xdd, 0xff, 0xff, 0xff, 0xff)), /a length exceeds the bytes that follow/);
});

test('peers: fields of later versions are ignored', () => {
  const writer = protobuf.Writer.create();
  const known = writePeerMessage({
    kind: 'change notification',
    event: { key: 'live/x', version: 7, deleted: true },
  });
  const many = Buffer.alloc(100_000, Buffer.from([0x0a, 0x00]));
  const later = writer
    .uint32((100 << 3) | 2)
    .bytes(many)
    .uint32(101 << 3)
    .uint64(3)
    .finish();
  const message = readPeerMessage(Buffer.concat([known, later]));
  assert.equal(message?.kind, 'change notification');
});
