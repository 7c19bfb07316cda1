/** @file Everything that turns bytes from outside into values, with valid messages of each kind. */
import { read } from '../../src/bookkeeping/records';
import { sendCommands } from '../../src/coordination/shard/command-client';
import { Cloud } from '../../src/protocol/cloud';
import { codec } from '../../src/protocol/codec';
import { externalCodec, workerCodec } from '../../src/protocol/external-codec';
import { HttpKeyValueStore } from '../../src/protocol/http-key-value-store';
import { readPeerMessage, writePeerMessage } from '../../src/protocol/peers';
import { readSubmission } from '../../src/protocol/users';
import { readHeartbeat } from '../../src/protocol/workers';
import { systemClock } from '../../src/base/clock';
import { NoResponseError, type Codec, type HttpCaller } from '../../src/transport/http-client';
import { MAX_FRAME_BYTES } from '../../src/transport/peer-link';
import { RateLimit } from '../../src/transport/rate-limit';
import { submission } from '../fakes/submission';
import type { EncodedFields, MessageKind } from './messages';

const MAX_REQUEST_BYTES = 64 * 1024;
const MAX_PAGE_BYTES = 512 * 1024;
const NO_LIMIT = 1e12;

/** A decoder with valid messages of its kind. */
export interface TestedDecoder extends MessageKind {
  readonly isFrame: boolean;
  /** Reads a message as the controller does. Resolves to whether it was accepted. */
  read(bytes: Buffer): Promise<boolean>;
}

const task = { piece: 'req-1/3', try: 2, standing: 'ended', cause: 'done', stored: true };
/** A valid heartbeat, as a worker sends it. */
export const heartbeat = {
  hearth: 'host-1',
  endpoint: '10.1.0.2:9000',
  frame: 'm16',
  yard: 'a',
  loaners: true,
  shift: 1,
  tally: 7,
  baton: 3,
  warningS: null,
  pieces: Array.from({ length: 20 }, (_, n) => ({ ...task, piece: `req-1/${n}` })),
};
const frame = {
  label: 'm16',
  cpus: 16,
  cards: 0,
  memGb: 32,
  cacheGb: 50,
  fetchGbPerS: 1,
  rate: 1.5,
  spotPrice: 0.4,
  bootS: 40,
  yards: ['a', 'b'],
};
const listed = {
  nameId: 'host-1',
  endpoint: '10.1.0.2:9000',
  frame: 'm16',
  yard: 'a',
  loaners: false,
  standing: 'running',
  ageS: 61.5,
};
const jobRecord = {
  job: { id: 'req-1', jobClass: 'batch', team: 'blue', priority: 'normal', tasks: 3, types: ['m16'] },
  submittedAt: 1.5e12,
};
const entries = Array.from({ length: 50 }, (_, n) => ({
  path: `live/job/req-${n}`,
  data: jobRecord,
  stamp: n,
}));
const events = [
  ...entries.map(({ path, data, stamp }) => ({ set: path, data, stamp })),
  { delete: 'live/job/req-1', stamp: 60 },
];

/** A caller that gets the same response to every request, decoded as the HTTP client does. */
function callerWith(bytes: Buffer, responseCodec: Codec, status = 200): HttpCaller {
  return {
    call: (_target, _method, path) => {
      try {
        return Promise.resolve({ status, body: responseCodec.decode(bytes) });
      } catch (error) {
        return Promise.reject(new NoResponseError(`${path}: undecodable`, true, { cause: error }));
      }
    },
  };
}

function storeWith(bytes: Buffer, status?: number): HttpKeyValueStore {
  const limit = (): RateLimit => new RateLimit(systemClock, NO_LIMIT, NO_LIMIT);
  const http = callerWith(bytes, externalCodec, status);
  return new HttpKeyValueStore({
    http,
    address: 'store:1',
    requests: limit(),
    writes: limit(),
    timeoutMs: 1000,
  });
}

function cloudWith(bytes: Buffer): Cloud {
  return new Cloud(
    callerWith(bytes, externalCodec),
    'cloud:1',
    new RateLimit(systemClock, NO_LIMIT, NO_LIMIT),
    1000,
  );
}

/** Whether a response was accepted; any error but `NoResponseError` is a fault of the decoder. */
async function isAccepted(reading: Promise<unknown>): Promise<boolean> {
  try {
    await reading;
    return true;
  } catch (error) {
    if (error instanceof NoResponseError) return false;
    throw error;
  }
}

/** Reads a value as a record of each kind. */
function readRecords(value: unknown): boolean {
  return Object.values(read).some((reader) => reader(value) !== undefined);
}

function fieldsOf(message: unknown): EncodedFields {
  const entriesOfMap = Object.entries(message as Record<string, unknown>);
  return new Map(entriesOfMap.map(([name, value]) => [name, Buffer.from(codec.encode(value))]));
}

function createDecoder(
  messages: readonly unknown[],
  maxBytes: number,
  readBytes: (bytes: Buffer) => boolean | Promise<boolean>,
): TestedDecoder {
  return {
    valid: messages.map((message) => Buffer.from(codec.encode(message))),
    fields: messages.map(fieldsOf),
    maxBytes,
    isFrame: false,
    read: async (bytes) => readBytes(bytes),
  };
}

const readCommandResponse = async (bytes: Buffer): Promise<boolean> => {
  const request = { address: 'worker:1', fencingToken: 1, incarnation: 1, commands: [], maySend: () => true };
  return (await sendCommands(callerWith(bytes, workerCodec), request)).kind === 'done';
};

const frames = [
  writePeerMessage({
    kind: 'heartbeat',
    heartbeat: {
      from: 'node-1',
      isViewFresh: true,
      jobs: Array.from({ length: 30 }, (_, n) => ({ id: `req-${n}`, running: 3, done: n })),
      unreachableShards: [1],
      redirected: [{ shard: 0, machines: 12 }],
    },
  }),
  writePeerMessage({
    kind: 'change notification',
    event: { key: 'live/job/req-1', version: 7, deleted: false, value: jobRecord },
  }),
  writePeerMessage({ kind: 'lease extension request', request: { from: 'node-1', number: 5, revision: 99 } }),
  writePeerMessage({
    kind: 'lease extension grant',
    grant: { from: 'node-1', to: 'node-0', number: 5, endedJobs: [{ id: 'req-1', version: 9 }] },
  }),
].map((bytes) => Buffer.from(bytes));

function readFrame(bytes: Buffer): Promise<boolean> {
  const message = readPeerMessage(bytes);
  if (message?.kind === 'change notification') readRecords(message.event.value);
  return Promise.resolve(message !== undefined);
}

/** The decoders by the sender and the kind of their messages. */
export const DECODERS: Readonly<Record<string, TestedDecoder>> = {
  submission: createDecoder(
    [submission('req-1', { frames: ['m16', 'm32'], awaits: ['req-2', 'req-3'] })],
    MAX_REQUEST_BYTES,
    (bytes) => readSubmission(bytes).kind === 'valid',
  ),
  heartbeat: createDecoder([heartbeat], MAX_REQUEST_BYTES, (bytes) => readHeartbeat(bytes).ok),
  'command response': createDecoder([heartbeat], MAX_REQUEST_BYTES, readCommandResponse),
  'machine types': createDecoder(
    [{ frames: Array.from({ length: 10 }, () => frame) }],
    MAX_PAGE_BYTES,
    (bytes) => isAccepted(cloudWith(bytes).listMachineTypes()),
  ),
  'machine list': createDecoder(
    [{ hearths: Array.from({ length: 20 }, () => listed), hasNext: false }],
    MAX_PAGE_BYTES,
    (bytes) => isAccepted(cloudWith(bytes).listMachines()),
  ),
  rental: createDecoder([{ hearths: ['host-1', 'host-2'] }], MAX_PAGE_BYTES, (bytes) =>
    isAccepted(
      cloudWith(bytes).createMachines(
        { idempotencyKey: 'r', type: 't', zone: 'a', spot: true, count: 2 },
        () => true,
      ),
    ),
  ),
  entry: createDecoder([entries[0]], MAX_PAGE_BYTES, async (bytes) => {
    let isRecord = false;
    const reading = storeWith(bytes)
      .get('live/job/req-1')
      .then((entry) => (isRecord = readRecords(entry?.value)));
    return (await isAccepted(reading)) && isRecord;
  }),
  'entry page': createDecoder([{ entries, hasNext: false, ledger: 70 }], MAX_PAGE_BYTES, (bytes) =>
    isAccepted(
      storeWith(bytes)
        .list('live/')
        .then((page) => page.entries.forEach((entry) => readRecords(entry.value))),
    ),
  ),
  changes: createDecoder([{ ledger: 70, news: events }], MAX_PAGE_BYTES, (bytes) =>
    isAccepted(storeWith(bytes).changes('live/', 1, 0)),
  ),
  'failed transaction': createDecoder([{ failed: ['live/leader'], ledger: 70 }], MAX_PAGE_BYTES, (bytes) =>
    isAccepted(storeWith(bytes, 409).compareAndSwap([], [])),
  ),
  lease: createDecoder([{ hold: 7 }], MAX_PAGE_BYTES, (bytes) =>
    isAccepted(storeWith(bytes).grantLease(5000)),
  ),
  'peer frame': { valid: frames, fields: [], maxBytes: MAX_FRAME_BYTES, isFrame: true, read: readFrame },
};

/** The decoder of a kind of message. */
export function decoderOf(name: string): TestedDecoder {
  const decoder = DECODERS[name];
  if (!decoder) throw new Error(`no decoder ${name}`);
  return decoder;
}
