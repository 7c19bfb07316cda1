/**
 * @file What the protocol page allows in fields of messages is accepted: fields that are left out, texts of any length; and
 * what the page wants of our own messages holds: none is longer than 64 KiB.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { systemClock } from '../src/base/clock';
import { commandsFor } from '../src/coordination/shard/worker-commands';
import { evictionsOfEndedJobs } from '../src/coordination/ownership/lease-relay';
import { Attempt, describeTask } from '../src/coordination/shard/attempt';
import { Machine } from '../src/coordination/shard/machine';
import type { WatchCache } from '../src/bookkeeping/watch-cache';
import { Cloud } from '../src/protocol/cloud';
import { codec } from '../src/protocol/codec';
import { externalCodec } from '../src/protocol/external-codec';
import { readSubmission, writeStatus } from '../src/protocol/users';
import { readHeartbeat, writeCommandRequest, writeHeartbeatResponse } from '../src/protocol/workers';
import { RateLimit } from '../src/transport/rate-limit';
import { submission } from './fakes/submission';
import { heartbeat } from './hostile/decoders';
import { job, type } from './scheduling-inputs';

const MAX = 2n ** 64n - 1n;
const MAX_BYTES = 64 * 1024;
const LONG = 'x'.repeat(15_000);
const NO_LIMIT = 1e12;
const LONGEST_ID = `req-${'9'.repeat(32)}`;

test('users: what a submission may have is accepted', () => {
  const isValid = (fields: Record<string, unknown>): boolean =>
    readSubmission(codec.encode(submission('req-1', fields))).kind === 'valid';
  const long = 'x'.repeat(15_000);
  for (const field of ['docket', 'crew', 'build', 'yard']) assert.ok(isValid({ [field]: long }), field);
  assert.ok(isValid({ frames: [long, long] }));
  assert.ok(isValid({ frames: undefined, yard: undefined, dueS: undefined, awaits: undefined }), 'left out');
  assert.ok(isValid({ frames: null, yard: null, dueS: null, awaits: null }));
  assert.ok(isValid({ pieces: 100_000, cpus: 1e-9, sizeGb: 0, dueS: 1e10, reckonS: 1e10 }));
  assert.ok(!isValid({ pieces: 100_001 }));
  assert.ok(!isValid({ pieces: MAX }));
});

test('workers: fields that may be null may be left out, also those of tasks', () => {
  const pieces = [{ piece: 'req-1/3', try: 2, standing: 'ended' }];
  const read = readHeartbeat(codec.encode({ ...heartbeat, warningS: undefined, pieces }));
  assert.ok(read.ok);
  assert.equal(read.value.spotNoticeS, null);
  assert.deepEqual([read.value.attempts[0]?.cause, read.value.attempts[0]?.hasCheckpoint], ['error', false]);
});

function cloudWith(response: unknown): Cloud {
  const body = externalCodec.decode(codec.encode(response));
  const http = { call: () => Promise.resolve({ status: 200, body }) };
  return new Cloud(http, 'cloud:1', new RateLimit(systemClock, NO_LIMIT, NO_LIMIT), 1_000);
}

test('cloud: names of any length, and types without cards', async () => {
  const flavor = {
    label: LONG,
    cpus: 4,
    memGb: 8,
    cacheGb: 1,
    fetchGbPerS: 1,
    rate: 1,
    spotPrice: 1,
    bootS: 1,
  };
  const types = await cloudWith({ frames: [{ ...flavor, yards: [LONG] }] }).listMachineTypes();
  assert.deepEqual([types[0]?.name, types[0]?.zones, types[0]?.gpus], [LONG, [LONG], 0]);
  const listed = { nameId: 'host-1', endpoint: LONG, frame: LONG, yard: LONG, loaners: false, ageS: 1 };
  const machines = await cloudWith({
    hearths: [{ ...listed, standing: 'running' }],
    hasNext: false,
  }).listMachines();
  assert.deepEqual([machines[0]?.type, machines[0]?.zone], [LONG, LONG]);
});

const bytesOf = (message: unknown): number =>
  JSON.stringify(message, (_, value: unknown) => (typeof value === 'bigint' ? String(value) : value)).length;

// Guards against answers of more than 64 KiB, which no worker or user takes.
test('no answer and no command is longer than 64 KiB', () => {
  const attempts = Array.from({ length: 5_000 }, (_, task) => ({
    job: LONGEST_ID,
    task: 90_000 + task,
    attempt: MAX,
    phase: 'running' as const,
    cause: null,
    hasCheckpoint: false,
  }));
  const read = readHeartbeat(codec.encode({ ...heartbeat, pieces: [] }));
  assert.ok(read.ok);
  const cache = { get: () => undefined } as unknown as WatchCache;
  const stops = evictionsOfEndedJobs({ ...read.value, attempts }, cache);
  assert.ok(stops.length >= 400);
  assert.ok(bytesOf(writeHeartbeatResponse(Number.MAX_SAFE_INTEGER, stops)) <= MAX_BYTES);

  const record = {
    block: 0,
    address: '10.1.0.1:9000',
    type: 'm4',
    zone: 'a',
    spot: true,
    up: true,
    rentedAt: 0,
  };
  const machine = new Machine({ id: 'host-1', record, type, firstSeenAt: 0, rentedSince: 0 });
  const task = describeTask(job(LONGEST_ID, 'blue', 'normal'));
  for (const { job: id, task: number } of attempts) {
    const origin = { job: id, task: number, number: MAX, isBoosted: false, wasStartSent: false };
    machine.addAttempt(new Attempt(origin, task));
  }
  const commands = commandsFor(machine, new Map(), 'with starts');
  assert.ok(commands.length >= 200);
  assert.ok(bytesOf(writeCommandRequest(Number.MAX_SAFE_INTEGER, MAX, commands)) <= MAX_BYTES);

  const unfinishedDependencies = Array.from({ length: 2_000 }, () => LONGEST_ID);
  const status = { id: LONGEST_ID, state: 'queued' as const, done: 0, running: 0, unfinishedDependencies };
  assert.ok(bytesOf(writeStatus(status)) <= MAX_BYTES);
});
