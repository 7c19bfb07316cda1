/** @file MessagePack, the encoding of every HTTP body. */
import { Decoder, Encoder } from '@msgpack/msgpack';
import type { Codec } from '../transport/http-client';

const encoder = new Encoder({ ignoreUndefined: true });
const decoder = new Decoder({ maxBinLength: 0, maxExtLength: 0 });

/** MessagePack as the protocols use it: no binary values, no extensions. */
export const codec: Codec = {
  encode: (value) => encoder.encode(value),
  decode: (bytes) => decoder.decode(bytes),
};

/** Decodes a body that must be a map; undefined when it is malformed or not a map. */
export function decodeMap(bytes: Uint8Array): Record<string, unknown> | undefined {
  try {
    const value: unknown = decoder.decode(bytes);
    const isMap = typeof value === 'object' && value !== null && !Array.isArray(value);
    return isMap ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}
