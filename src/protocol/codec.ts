/** @file MessagePack, the encoding of every HTTP body and of the records in peer messages. */
import { Decoder, Encoder } from '@msgpack/msgpack';
import type { Codec } from '../transport/http-client';
import { checkMessagePack } from './message-pack-check';

const encoder = new Encoder({ ignoreUndefined: true });
const decoder = new Decoder({ maxBinLength: 0, maxExtLength: 0 });

function createCodec(acceptsInvalidText: boolean): Codec {
  return {
    encode: (value) => encoder.encode(value),
    decode: (bytes) => {
      checkMessagePack(bytes, acceptsInvalidText);
      return decoder.decode(bytes);
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
