/** @file The checker of ownership hiscenarios finds what it is made for. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  checkOwnership,
  moveCount,
  reassignmentTimes,
  type OwnershipHistory,
  type OwnershipInterval,
} from './fakes/ownership-history';

const first: OwnershipInterval = { shard: 0, controller: 'node-0', token: 1, from: 0, to: 5_000 };
const second: OwnershipInterval = { shard: 0, controller: 'node-1', token: 2, from: 5_100, to: 60_000 };

function history(fields: Partial<OwnershipHistory>): OwnershipHistory {
  return { intervals: [first, second], orphans: [], effects: [], endedAt: 60_000, ...fields };
}

function kinds(fields: Partial<OwnershipHistory>): string[] {
  return checkOwnership(history(fields)).map(({ kind }) => kind);
}

test('a history with one owner at a time, and orphans reassigned in time, breaks no rule', () => {
  const orphans = [{ job: 'req-1', orphanedAt: 1_000, reassignedAt: 5_100 }];
  assert.deepEqual(kinds({ orphans }), []);
  assert.deepEqual(reassignmentTimes(history({ orphans })), [4_100]);
  assert.equal(moveCount(history({})), 1);
});

test('two owners at one moment are found, whichever comes first, also when one lies within the other', () => {
  assert.deepEqual(kinds({ intervals: [first, { ...second, from: 4_990 }] }), ['two owners']);
  assert.deepEqual(kinds({ intervals: [{ ...second, from: 4_990 }, first] }), ['two owners']);
  const within = { ...second, from: 1_000, to: 2_000 };
  assert.deepEqual(kinds({ intervals: [first, within] }), ['two owners']);
});

test('owners of different shards at one moment are fine, and so is one that acquires its shard again', () => {
  assert.deepEqual(kinds({ intervals: [first, { ...second, shard: 1, from: 0 }] }), []);
  assert.deepEqual(kinds({ intervals: [first, { ...second, controller: 'node-0' }] }), []);
});

test('a token that goes back is found', () => {
  assert.deepEqual(kinds({ intervals: [first, { ...second, token: 0 }] }), ['token went back']);
});

test('an orphaned job that is reassigned late, or never, is found', () => {
  assert.deepEqual(kinds({ orphans: [{ job: 'req-1', orphanedAt: 0, reassignedAt: 30_001 }] }), [
    'not reassigned',
  ]);
  assert.deepEqual(kinds({ orphans: [{ job: 'req-1', orphanedAt: 59_000, reassignedAt: undefined }] }), [
    'not reassigned',
  ]);
});

test('what leaves a controller without the right to act is found', () => {
  const effects = [{ controller: 'node-0', what: 'POST /do', at: 7_000 }];
  assert.deepEqual(kinds({ effects }), ['acted without right']);
});
