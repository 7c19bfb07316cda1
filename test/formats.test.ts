import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Bitmap } from '../src/bookkeeping/bitmap';
import { completionLayout, groupByRecord, readCompletions } from '../src/bookkeeping/completion-records';
import { KEY, read } from '../src/bookkeeping/records';
import { readPeerMessage, writePeerMessage, type PeerMessage } from '../src/protocol/peers';
import production from './data/production-formats.json';
import { keyPattern, type Samples } from './formats/samples';
import { collectSamples } from './formats/scenario';
import { valueShape, wireShape } from './formats/shape';

/** Kinds of records that the production version lacks, with their fields. */
const NEW_RECORDS: Record<string, string[]> = {
  'live/format/NODE': ['.format: number', ': object', 'durable'],
};
/** Fields that the production version lacks, in records that it knows; it drops them when it writes the record. */
const NEW_FIELDS: Record<string, string[]> = {
  // Written only once all controllers run the present version; `upgrade-dependencies.test.ts` checks this.
  'final/JOB': ['.endedAt: number'],
  // The production version looks only at the existence of the record, which covers all machines for it.
  'live/keep/NUMBER/NODE': ['.machines: array', '.machines[]: string'],
};
/** Field numbers that the production version lacks, in messages between controllers. */
const NEW_PEER_FIELDS: string[] = [];

/** Even at this value limit, the layout of the production version is kept while it may read the records. */
const LOWEST_VALUE_LIMIT_BYTES = 2_048;

const samples: Samples = production;

/** The reader of each kind of record, and the key under which the present version looks for it. */
const KINDS: Record<string, { read(value: unknown): unknown; key(...parts: string[]): string }> = {
  'live/leader': { read: read.leader, key: () => KEY.leader },
  'live/baton': { read: read.fencingToken, key: () => KEY.fencingToken },
  'live/types': { read: read.types, key: () => KEY.types },
  'live/node/NODE': { read: read.controller, key: (node = '') => KEY.controller(node) },
  'live/block/NUMBER': { read: read.shard, key: (shard) => KEY.shard(Number(shard)) },
  'live/lease/NUMBER': { read: read.lease, key: (shard) => KEY.lease(Number(shard)) },
  'live/machine/MACHINE': { read: read.machine, key: (id = '') => KEY.machine(id) },
  'live/job/JOB': { read: read.job, key: (id = '') => KEY.job(id) },
  'live/done/JOB/NUMBER': { read: read.done, key: (id = '', chunk) => KEY.done(id, Number(chunk)) },
  'live/keep/NUMBER/NODE': {
    read: read.relay,
    key: (shard, node = '') => KEY.relay(Number(shard), node),
  },
  'final/JOB': { read: read.final, key: (id = '') => KEY.final(id) },
};

/** A peer message as the production version reads it, with that version's names. */
interface ProductionMessage {
  kind: string;
  event?: { key: string; value?: unknown };
  progress?: Record<string, unknown>;
  ask?: unknown;
  promise?: Record<string, unknown>;
}

/** Message kinds of the production version, and their names in the present version. */
const PRESENT_KINDS: Record<string, PeerMessage['kind']> = {
  nudge: 'change notification',
  progress: 'heartbeat',
  ask: 'lease extension request',
  promise: 'lease extension grant',
};

/** The message with the present version's names: fields are renamed, and none is added, left out or changed. */
function withPresentNames({ kind, event, progress, ask, promise }: ProductionMessage): unknown {
  const present = { kind: PRESENT_KINDS[kind] ?? kind };
  if (progress) {
    const { fresh, unheard, turnedAway, ...rest } = progress;
    const redirected = (turnedAway as { block: number; machines: number }[]).map(
      ({ block, ...machines }) => ({
        shard: block,
        ...machines,
      }),
    );
    return { ...present, heartbeat: { ...rest, isViewFresh: fresh, unreachableShards: unheard, redirected } };
  }
  if (promise) {
    const { ended, ...rest } = promise;
    return { ...present, grant: { ...rest, endedJobs: ended } };
  }
  return ask ? { ...present, request: ask } : { ...present, event };
}

const keyParts = (key: string): string[] => key.split('/').slice(key.startsWith('final/') ? 1 : 2);

/** All fields of each kind of record. */
function recordShapes({ records }: Samples): Record<string, string[]> {
  const shapes: Record<string, Set<string>> = {};
  for (const { key, value, isHeldByLease } of records) {
    const shape = (shapes[keyPattern(key)] ??= new Set());
    for (const field of valueShape(value)) shape.add(field);
    shape.add(isHeldByLease ? 'held by a lease' : 'durable');
  }
  return Object.fromEntries(Object.entries(shapes).map(([kind, shape]) => [kind, [...shape].sort()]));
}

/** All field numbers of each kind of peer message, and the fields of the records in change notifications. */
function peerShapes({ peerMessages }: Samples): Record<string, string[]> {
  const shapes: Record<string, Set<string>> = {};
  for (const { base64, message } of peerMessages) {
    const { kind: productionKind, event } = message as ProductionMessage;
    const kind = PRESENT_KINDS[productionKind] ?? productionKind;
    const shape = (shapes[event ? `${kind} ${keyPattern(event.key)}` : kind] ??= new Set());
    for (const field of wireShape(Buffer.from(base64, 'base64'))) shape.add(field);
    if (event && 'value' in event) for (const field of valueShape(event.value)) shape.add(field);
  }
  return Object.fromEntries(Object.entries(shapes).map(([kind, shape]) => [kind, [...shape].sort()]));
}

test('the samples contain every kind of record and peer message, and every field number', () => {
  const kinds = new Set(samples.records.map(({ key }) => keyPattern(key)));
  assert.deepEqual([...kinds].sort(), Object.keys(KINDS).sort());
  const messages = samples.peerMessages.map(({ message }) => message as ProductionMessage);
  const messageKinds = [...new Set(messages.map(({ kind }) => kind))];
  assert.deepEqual(messageKinds.sort(), Object.keys(PRESENT_KINDS).sort());
  assert.deepEqual(messageKinds.sort(), ['ask', 'nudge', 'progress', 'promise']);
  const fields = new Set(samples.peerMessages.flatMap((s) => wireShape(Buffer.from(s.base64, 'base64'))));
  const numbers = [
    '1.1',
    '1.2',
    '1.3',
    '1.4',
    '2.1.1',
    '2.1.2',
    '2.1.3',
    '2.2',
    '2.3',
    '2.4',
    '2.5.1',
    '2.5.2',
  ];
  numbers.push('3.1', '3.2', '3.3', '4.1', '4.2', '4.3', '4.4.1', '4.4.2');
  for (const number of numbers) {
    assert.ok(
      [...fields].some((field) => field.startsWith(`${number}:`)),
      `no sample has field ${number}`,
    );
  }
});

test('records of the production version are found and read with all fields', () => {
  for (const { key, value } of samples.records) {
    const kind = KINDS[keyPattern(key)];
    assert.ok(kind, key);
    assert.equal(kind.key(...keyParts(key)), key);
    assert.deepEqual(kind.read(value), value, key);
  }
});

test('peer messages of the production version are read with the same contents, and written with the same bytes', () => {
  for (const { base64, message } of samples.peerMessages) {
    const bytes = Buffer.from(base64, 'base64');
    const read = readPeerMessage(bytes);
    assert.ok(read);
    assert.deepEqual(read, withPresentNames(message as ProductionMessage));
    const written = writePeerMessage(read);
    assert.equal(Buffer.from(written).toString('base64'), base64);
  }
});

test('bitmaps of the production version are read and written bit for bit', () => {
  for (const { tasks, done, chunks } of production.bitmaps) {
    const job = { id: 'req-1', tasks };
    const bitmap = new Bitmap(tasks);
    const merged = chunks.flatMap((bits, chunk) => {
      const stored = readCompletions(KEY.done(job.id, chunk), { bits });
      assert.ok(stored);
      return bitmap.merge(stored.first, stored.bits);
    });
    assert.deepEqual(merged, done);
    // With every task completed, the groups cover all completion records of the job.
    const all = Array.from({ length: tasks }, (_, task) => task);
    const layout = completionLayout(job, LOWEST_VALUE_LIMIT_BYTES, false);
    const records = groupByRecord(job, all, layout).map((group) => group.record);
    assert.deepEqual(
      records.map(({ key }) => key),
      chunks.map((_, chunk) => KEY.done(job.id, chunk)),
    );
    assert.deepEqual(
      records.map(({ first, end }) => bitmap.encode(first, end)),
      chunks,
    );
  }
});

test('the present version writes the keys, fields and field numbers of production, plus the listed ones', async () => {
  const present = await collectSamples();
  const expectedRecords = recordShapes(samples);
  for (const [kind, fields] of Object.entries(NEW_FIELDS)) expectedRecords[kind]?.push(...fields);
  for (const shape of Object.values(expectedRecords)) shape.sort();
  assert.deepEqual(recordShapes(present), { ...expectedRecords, ...NEW_RECORDS });

  const presentPeers = peerShapes(present);
  for (const [kind, shape] of Object.entries(presentPeers)) {
    presentPeers[kind] = shape.filter((field) => !NEW_PEER_FIELDS.includes(field));
  }
  assert.deepEqual(presentPeers, peerShapes(samples));
});
