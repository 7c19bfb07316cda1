/** @file Generates hostile messages from a seed: false lengths, nesting, many small values, invalid text, mutations. */
import * as fc from 'fast-check';

/** Bytes of MessagePack that open a list or map with a declared length, or are a small value. */
const NIL = 0xc0;
const ONE_BYTE_VALUES = [NIL, 0x00, 0x80, 0x90, 0xa0, 0xc2, 0xff];
const TEXT_16 = 0xda;
const LIST_16 = 0xdc;
const LIST_32 = 0xdd;
const MAP_16 = 0xde;
const MAP_32 = 0xdf;
const OPENERS = [LIST_16, LIST_32, MAP_16, MAP_32, 0x9f, 0x8f, TEXT_16, 0xdb, 0xd9];
const INVALID_TEXTS = [[0xed, 0xa0, 0x80], [0x80], [0xc3], [0xf0, 0x9f, 0x92], [0xc0, 0x80], [0xff]];
const DECLARED_LENGTHS = [1, 15, 1_000, 16_000, 16_384, 65_535, 2 ** 24, 2 ** 31, 2 ** 32 - 1];
const MAX_LEVELS = 22_000;

/** A container's head with its declared length, in the given format. */
export function head(format: number, declared: number): Buffer {
  if (format === LIST_32 || format === MAP_32 || format === 0xdb) {
    const bytes = Buffer.from([format, 0, 0, 0, 0]);
    bytes.writeUInt32BE(declared, 1);
    return bytes;
  }
  if (format === LIST_16 || format === MAP_16 || format === TEXT_16) {
    const bytes = Buffer.from([format, 0, 0]);
    bytes.writeUInt16BE(Math.min(declared, 65_535), 1);
    return bytes;
  }
  return format === 0xd9 ? Buffer.from([format, Math.min(declared, 255)]) : Buffer.from([format]);
}

/** A list of as many values of one byte as the limit allows, with a true length. */
export function listOfSmallValues(value: Buffer, maxBytes: number): Buffer {
  const count = Math.floor((maxBytes - 5) / value.length);
  return Buffer.concat([head(LIST_32, count), repeated(value, count)]);
}

/** The bytes a number of times. One buffer, outside of the heap: the heap of the process is nearly full. */
function repeated(bytes: Buffer, count: number): Buffer {
  return Buffer.alloc(count * bytes.length, bytes);
}

/** Lists nested in each other, each of which declares more entries than follow. */
export function nestedLists(levels: number, declared: number): Buffer {
  return repeated(head(LIST_16, declared), levels);
}

const KEY_BYTES = 4;

/** A map of as many distinct keys of three letters as the limit allows, with the same value for each. */
function mapWithManyKeys(value: Buffer, maxBytes: number): Buffer {
  const count = Math.floor((maxBytes - 5) / (KEY_BYTES + value.length));
  const entry = Buffer.concat([Buffer.from([0xa3, 0, 0, 0]), value]);
  const entries = repeated(entry, count);
  for (let n = 0; n < count; n += 1) {
    const key = n * entry.length + 1;
    entries[key] = 33 + (n % 90);
    entries[key + 1] = 33 + (Math.floor(n / 90) % 90);
    entries[key + 2] = 33 + (Math.floor(n / 8_100) % 90);
  }
  return Buffer.concat([head(MAP_32, count), entries]);
}

/** Values that stand alone or take the place of a field, up to `maxBytes` long. */
function hostileValue(maxBytes: number): fc.Arbitrary<Buffer> {
  const declared = fc.constantFrom(...DECLARED_LENGTHS);
  const levels = fc.integer({ min: 1, max: Math.min(MAX_LEVELS, Math.floor(maxBytes / 3)) });
  const small = fc.oneof(
    fc.constantFrom(...ONE_BYTE_VALUES).map((byte) => Buffer.from([byte])),
    fc.constantFrom([0xa1, 0x61], [0x91, NIL], [0x81, 0xa0, NIL], [0xa0], [0xcd, 1, 0]).map(Buffer.from),
  );
  return fc.oneof(
    fc.tuple(levels, declared).map(([count, length]) => nestedLists(count, length)),
    fc
      .tuple(fc.constantFrom(...OPENERS), declared, fc.integer({ min: 1, max: 2_000 }))
      .map(([format, length, count]) => repeated(head(format, length), count)),
    small.map((value) => listOfSmallValues(value, maxBytes)),
    fc
      .tuple(small, fc.integer({ min: 1, max: 5_000 }))
      .map(([value, bytes]) => listOfSmallValues(value, bytes + 8)),
    fc
      .tuple(fc.constantFrom(0, 8, 12, 24), fc.integer({ min: 100, max: maxBytes }))
      .map(([length, bytes]) => {
        const text = Buffer.concat([Buffer.from([0xa0 + length]), Buffer.alloc(length, 'x')]);
        return mapWithManyKeys(text, bytes);
      }),
    fc.constantFrom(...INVALID_TEXTS).map((bytes) => Buffer.from([0xa0 + bytes.length, ...bytes])),
    fc
      .integer({ min: 1, max: Math.min(65_535, maxBytes) - 3 })
      .map((length) => Buffer.concat([head(TEXT_16, length), Buffer.alloc(length, 'x')])),
    fc.constantFrom(
      Buffer.from([0xcf, 255, 255, 255, 255, 255, 255, 255, 255]),
      Buffer.from([0xd3, 128, 0, 0, 0, 0, 0, 0, 0]),
      Buffer.from([0xcb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0]),
      Buffer.from([0xcb, 0x7f, 0xf0, 0, 0, 0, 0, 0, 0]),
      Buffer.from([0xc4, 1, 0]),
      Buffer.from([0xd6, 255, 0, 0, 0, 0]),
      Buffer.from([0xc1]),
    ),
    fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
  );
}

/** Replaces, inserts or removes bytes at places of a valid message. */
function mutation(valid: readonly Buffer[], maxBytes: number): fc.Arbitrary<Buffer> {
  const edit = fc.record({
    at: fc.double({ min: 0, max: 1, noNaN: true }),
    remove: fc.integer({ min: 0, max: 12 }),
    insert: fc.oneof(
      fc.uint8Array({ maxLength: 4 }).map((bytes) => Buffer.from(bytes)),
      fc.constantFrom(...OPENERS).map((format) => head(format, 65_535)),
      hostileValue(Math.floor(maxBytes / 2)),
    ),
  });
  return fc
    .tuple(fc.constantFrom(...valid), fc.array(edit, { minLength: 1, maxLength: 4 }), fc.boolean())
    .map(([message, edits, isTruncated]) => {
      let bytes = message;
      for (const { at, remove, insert } of edits) {
        const from = Math.floor(at * bytes.length);
        bytes = Buffer.concat([bytes.subarray(0, from), insert, bytes.subarray(from + remove)]);
      }
      return isTruncated ? bytes.subarray(0, Math.floor(bytes.length * (edits[0]?.at ?? 1))) : bytes;
    });
}

/**
 * Replaces one field of a valid message, given as its fields in encoded form. The message stays well-formed, so that it
 * reaches the checks behind the decoder.
 */
function replacedField(messages: readonly EncodedFields[], maxBytes: number): fc.Arbitrary<Buffer> {
  return fc
    .tuple(fc.constantFrom(...messages), fc.nat(), hostileValue(maxBytes - 1_024))
    .map(([fields, choice, value]) => {
      const names = [...fields.keys()];
      const replaced = names[choice % Math.max(1, names.length)];
      const entries = [...fields].map(([name, encoded]) =>
        Buffer.concat([
          Buffer.from([0xd9, name.length]),
          Buffer.from(name),
          name === replaced ? value : encoded,
        ]),
      );
      return Buffer.concat([head(MAP_16, entries.length), ...entries]);
    });
}

/** The fields of a map with their values in encoded form. */
export type EncodedFields = ReadonlyMap<string, Buffer>;

/** Valid messages of one kind, and the limit on their size. */
export interface MessageKind {
  readonly valid: readonly Buffer[];
  /** The same messages by field; empty for a message that is no MessagePack map. */
  readonly fields: readonly EncodedFields[];
  readonly maxBytes: number;
}

/** Hostile messages of a kind, none longer than its limit. */
export function hostileMessage({ valid, fields, maxBytes }: MessageKind): fc.Arbitrary<Buffer> {
  const kinds = [hostileValue(maxBytes), mutation(valid, maxBytes)];
  if (fields.length > 0) kinds.push(replacedField(fields, maxBytes));
  return fc.oneof(...kinds).map((bytes) => bytes.subarray(0, maxBytes));
}

/** Protobuf frames of many small repeated messages, with true lengths, and mutations of valid frames. */
export function hostileFrame(valid: readonly Buffer[], maxBytes: number): fc.Arbitrary<Buffer> {
  const fieldsOfMessage = fc.integer({ min: 1, max: 4 });
  const fieldNumber = fc.integer({ min: 1, max: 8 });
  const small = fc.oneof(
    fc.constant(Buffer.alloc(0)),
    fc.uint8Array({ maxLength: 6 }).map((bytes) => Buffer.from(bytes)),
  );
  const repeatedMessages = fc
    .tuple(fieldsOfMessage, fieldNumber, small, fc.boolean())
    .map(([outer, inner, content, isNested]) => {
      const item = Buffer.concat([Buffer.from([inner * 8 + 2, content.length]), content]);
      const count = Math.floor((maxBytes - 16) / item.length);
      const items = Buffer.alloc(count * item.length, item);
      return isNested ? lengthDelimited(outer, lengthDelimited(6, items)) : lengthDelimited(outer, items);
    });
  const record = hostileValue(maxBytes - 64).map((value) =>
    lengthDelimited(
      1,
      Buffer.concat([
        lengthDelimited(1, Buffer.from('live/job/req-1')),
        Buffer.from([16, 7]),
        lengthDelimited(4, value),
      ]),
    ),
  );
  return fc
    .oneof(repeatedMessages, record, mutation(valid, maxBytes))
    .map((bytes) => bytes.subarray(0, maxBytes));
}

function lengthDelimited(field: number, content: Buffer): Buffer {
  const length: number[] = [];
  let rest = content.length;
  while (rest > 127) {
    length.push((rest & 127) | 128);
    rest >>>= 7;
  }
  return Buffer.concat([Buffer.from([field * 8 + 2, ...length, rest]), content]);
}
