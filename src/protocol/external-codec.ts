/** @file The encodings of responses, of which each service's known fields are decoded. */
import { CLOUD_FIELDS } from './cloud';
import { codecFor, externalCodecFor } from './codec';
import { STORE_FIELDS } from './http-key-value-store';
import { mergeFields } from './message-fields';
import { HEARTBEAT_FIELDS } from './workers';

/** MessagePack of the key-value store and the cloud. */
export const externalCodec = externalCodecFor(mergeFields(STORE_FIELDS, CLOUD_FIELDS));

/** MessagePack of workers, whose responses are heartbeats. */
export const workerCodec = codecFor(HEARTBEAT_FIELDS);
