/** @file MessagePack, the encoding of every HTTP body and of the records in peer messages. */
import { Decoder, Encoder } from '@msgpack/msgpack';
import { fromBigInt, replaceBigInts } from '../base/uint64';
import type { Codec } from '../transport/http-client';
import { checkMessagePack } from './message-pack-check';

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

function createCodec(acceptsInvalidText: boolean): Codec {
  return {
    encode,
    decode: (bytes) => {
      const hasLargeIntegers = checkMessagePack(bytes, acceptsInvalidText);
      return hasLargeIntegers
        ? replaceBigInts(bigIntDecoder.decode(bytes), fromBigInt)
        : decoder.decode(bytes);
    },
  };
}

/** MessagePack as the protocols use it. Every received message passes the check in `decode`; it throws if it is malformed. */
export const codec: Codec = createCodec(false);

/**
 * For responses of the key-value store and the cloud. Earlier versions stored text that is not valid UTF-8; refusing one such
 * record would refuse all records of its page.
 */
export const externalCodec: Codec = createCodec(true);
