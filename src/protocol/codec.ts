/** @file MessagePack, the encoding of every HTTP body and of the records in peer messages. */
import { Decoder, Encoder } from '@msgpack/msgpack';
import { fromBigInt, replaceBigInts } from '../base/uint64';
import type { Codec } from '../transport/http-client';
import type { Fields } from './message-fields';
import { checkMessagePack, type CheckOptions } from './message-pack-check';
import { withoutUnknownFields } from './unknown-fields';

/** The library writes integers from here on as floats if it accepts bigints, unless they are bigints themselves. */
const FIRST_INTEGER_AS_FLOAT = 2 ** 32;

const limits = { maxBinLength: 0, maxExtLength: 0 };
const encoder = new Encoder({ ignoreUndefined: true });
const bigIntEncoder = new Encoder({ ignoreUndefined: true, useBigInt64: true });
const decoder = new Decoder(limits);
const bigIntDecoder = new Decoder({ ...limits, useBigInt64: true });

/**
 * Encodes a value. Integers of 2^53 and more are bigints, and are rare: only a message that has any is encoded with the
 * slower encoder that accepts them.
 */
function encode(value: unknown): Uint8Array {
  try {
    return encoder.encode(value);
  } catch (error) {
    if (!hasBigInt(value)) throw error;
    return bigIntEncoder.encode(withBigInts(value));
  }
}

function hasBigInt(value: unknown): boolean {
  if (typeof value === 'bigint') return true;
  if (typeof value !== 'object' || value === null) return false;
  return Object.values(value).some(hasBigInt);
}

/** A copy of the value in which all integers that the encoder would write as floats are bigints. */
function withBigInts(value: unknown): unknown {
  if (Number.isSafeInteger(value) && Math.abs(value as number) >= FIRST_INTEGER_AS_FLOAT) {
    return BigInt(value as number);
  }
  if (Array.isArray(value)) return value.map(withBigInts);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(Object.entries(value).map(([key, inner]) => [key, withBigInts(inner)]));
}

/**
 * Decodes a message after it passed the check; throws `MalformedMessageError` if it doesn't. Unknown fields are left out,
 * and integers of 2^53 and more are bigints (`Uint64`).
 */
export function decodeMessagePack(message: Uint8Array, options: CheckOptions): unknown {
  const { hasUnknownFields, hasLargeIntegers } = checkMessagePack(message, options);
  const { fields } = options;
  const known = fields && hasUnknownFields ? withoutUnknownFields(message, fields) : message;
  return hasLargeIntegers ? replaceBigInts(bigIntDecoder.decode(known), fromBigInt) : decoder.decode(known);
}

function createCodec(options: CheckOptions): Codec {
  return { encode, decode: (message) => decodeMessagePack(message, options) };
}

/** MessagePack with all fields of a message. Every received message passes the check; `decode` throws if it is malformed. */
export const codec: Codec = createCodec({ acceptsInvalidText: false, fields: undefined });

/** MessagePack of messages of which only some fields are known. */
export function codecFor(fields: Fields | undefined): Codec {
  return createCodec({ acceptsInvalidText: false, fields });
}

/**
 * For responses of the key-value store and the cloud. Earlier versions stored text that is not valid UTF-8; refusing one such
 * record would refuse all records of its page.
 */
export function externalCodecFor(fields: Fields | undefined): Codec {
  return createCodec({ acceptsInvalidText: true, fields });
}
