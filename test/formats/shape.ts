/** @file Lists the fields of records and peer messages with their types. */
import { Reader } from 'protobufjs';

/** The fields of a JSON value with their types, as `path: type`; an array's elements are `path[]`. */
export function valueShape(value: unknown, path = ''): string[] {
  if (Array.isArray(value)) {
    const elements = value.flatMap((element) => valueShape(element, `${path}[]`));
    return [...new Set([`${path}: array`, ...elements])].sort();
  }
  if (typeof value !== 'object' || value === null) {
    return [`${path}: ${value === null ? 'null' : typeof value}`];
  }
  const fields = Object.entries(value).flatMap(([name, field]) => valueShape(field, `${path}.${name}`));
  return [`${path}: object`, ...fields].sort();
}

/** Paths of the fields of a `PeerMessage` (src/protocol/peer.proto) that contain nested messages, as field numbers. */
const MESSAGE_FIELDS = new Set(['1', '2', '3', '4', '2.1', '2.5', '4.4']);
const LENGTH_DELIMITED = 2;

/** The protobuf fields of a peer message, as `path of field numbers: wire type`. */
export function wireShape(bytes: Uint8Array, path = ''): string[] {
  const reader = Reader.create(bytes);
  const fields = new Set<string>();
  while (reader.pos < reader.len) {
    const tag = reader.uint32();
    const wireType = tag & 7;
    const field = `${path}${tag >>> 3}`;
    fields.add(`${field}: ${wireType}`);
    if (wireType === LENGTH_DELIMITED && MESSAGE_FIELDS.has(field)) {
      for (const inner of wireShape(reader.bytes(), `${field}.`)) fields.add(inner);
    } else {
      reader.skipType(wireType);
    }
  }
  return [...fields].sort();
}
