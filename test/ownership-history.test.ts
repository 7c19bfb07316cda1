/** @file The checker of ownership histories detects each kind of violation. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  checkOwnership,
  moveCount,
  reassignmentTimes,
  type OwnershipHistory,
  type OwnershipInterval,
} from './fakes/ownership-history';

const firstInterval: OwnershipInterval = { shard: 0, controller: 'node-0', token: 1, from: 0, to: 5_000 };
const secondInterval: OwnershipInterval = {
  shard: 0,
  controller: 'node-1',
  token: 2,
  from: 5_100,
  to: 60_000,
};

function history(fields: Partial<OwnershipHistory>): OwnershipHistory {
  return { intervals: [firstInterval, secondInterval], orphans: [], effects: [], endedAt: 60_000, ...fields };
}

function violationKinds(fields: Partial<OwnershipHistory>): string[] {
  return checkOwnership(history(fields)).map(({ kind }) => kind);
}

test('a history with one owner at a time, and orphaned jobs reassigned in time, has no violation', () => {
  const orphans = [{ job: 'req-1', orphanedAt: 1_000, reassignedAt: 5_100 }];
  assert.deepEqual(violationKinds({ orphans }), []);
  assert.deepEqual(reassignmentTimes(history({ orphans })), [4_100]);
  assert.equal(moveCount(history({})), 1);
});

test('two owners at the same time are detected, in any order, even if one interval contains the other', () => {
  assert.deepEqual(violationKinds({ intervals: [firstInterval, { ...secondInterval, from: 4_990 }] }), [
    'two owners',
  ]);
  assert.deepEqual(violationKinds({ intervals: [{ ...secondInterval, from: 4_990 }, firstInterval] }), [
    'two owners',
  ]);
  const contained = { ...secondInterval, from: 1_000, to: 2_000 };
  assert.deepEqual(violationKinds({ intervals: [firstInterval, contained] }), ['two owners']);
});

test('owners of different shards at the same time, or an owner that acquires its shard again, are no violation', () => {
  assert.deepEqual(
    violationKinds({ intervals: [firstInterval, { ...secondInterval, shard: 1, from: 0 }] }),
    [],
  );
  assert.deepEqual(
    violationKinds({ intervals: [firstInterval, { ...secondInterval, controller: 'node-0' }] }),
    [],
  );
});

test('a decreasing token is detected', () => {
  assert.deepEqual(violationKinds({ intervals: [firstInterval, { ...secondInterval, token: 0 }] }), [
    'token went back',
  ]);
});

test('an orphaned job that is reassigned late or never is detected', () => {
  assert.deepEqual(violationKinds({ orphans: [{ job: 'req-1', orphanedAt: 0, reassignedAt: 30_001 }] }), [
    'not reassigned',
  ]);
  assert.deepEqual(
    violationKinds({ orphans: [{ job: 'req-1', orphanedAt: 59_000, reassignedAt: undefined }] }),
    ['not reassigned'],
  );
});

test('a request from a controller without a valid lease is detected', () => {
  const effects = [{ controller: 'node-0', what: 'POST /do', at: 7_000 }];
  assert.deepEqual(violationKinds({ effects }), ['acted without right']);
});
