/** @file MessagePack, the encoding of every HTTP body and of the records in peer messages. */
import { Decoder, Encoder } from '@msgpack/msgpack';
import type { Codec } from '../transport/http-client';
import { checkMessagePack } from './message-pack-check';

const encoder = new Encoder({ ignoreUndefined: true });
const decoder = new Decoder({ maxBinLength: 0, maxExtLength: 0 });

/** MessagePack as the protocols use it. Every received message passes the check in `decode`; it throws if it is malformed. */
export const codec: Codec = {
  encode: (value) => encoder.encode(value),
  decode: (bytes) => {
    checkMessagePack(bytes);
    return decoder.decode(bytes);
  },
};
