import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeSettings } from '../src/base/settings';
import {
  maxChangesPerTransaction,
  effectiveLimits,
  readNextLimits,
  maxValueBytes,
} from '../src/base/state-limits';
import { Bitmap } from '../src/bookkeeping/bitmap';
import {
  TASKS_PER_CHUNK,
  completionLayout,
  completionRecord,
  groupByRecord,
  readCompletions,
} from '../src/bookkeeping/completion-records';
import { readTypes, storeTypes, machineTypeTransactions } from '../src/bookkeeping/type-records';
import type { MachineType } from '../src/protocol/model';
import {
  LOWERED_LIMITS,
  LOWERED_ENFORCED_LIMITS,
  CURRENT_LIMITS,
  platformSettings,
  StoreFixture,
} from './limited-store-steps';

const TASKS = 100_000;

// Settings.

test('without announced limits, the current limits are in effect', () => {
  for (const none of [undefined, 'soon', 7, [1, 2], new Date(0)]) {
    const settings = makeSettings(platformSettings(none), {});
    assert.deepEqual(settings.platform.deployment.state, CURRENT_LIMITS);
    assert.equal(settings.nextStateLimits, undefined);
    assert.deepEqual(settings.warnings, []);
  }
});

test('for each field, the smaller of the current and the announced limit is in effect', () => {
  const settings = makeSettings(platformSettings({ value_kb: 2, txn_ops: 10, write_rps: 400 }), {});
  assert.deepEqual(settings.platform.deployment.state, { ...CURRENT_LIMITS, value_kb: 2, txn_ops: 10 });
  assert.deepEqual(settings.nextStateLimits, { value_kb: 2, txn_ops: 10, write_rps: 400 });
  assert.deepEqual(settings.warnings, []);
  assert.deepEqual(effectiveLimits(CURRENT_LIMITS), CURRENT_LIMITS);
  assert.deepEqual(effectiveLimits(CURRENT_LIMITS, LOWERED_LIMITS), LOWERED_LIMITS);
  assert.deepEqual(effectiveLimits(LOWERED_LIMITS, CURRENT_LIMITS), LOWERED_LIMITS);
});

test('unusable announced limits are ignored one by one, with a warning each', () => {
  const garbage = { rps: 'ten', write_rps: -3, value_kb: NaN, txn_ops: 0.5, surprise: true };
  const settings = makeSettings(platformSettings({ ...garbage }), {}, ['p.toml']);
  assert.deepEqual(settings.platform.deployment.state, CURRENT_LIMITS);
  assert.deepEqual(settings.nextStateLimits, {});
  assert.equal(settings.warnings.length, 4);
  assert.match(settings.warnings[0] ?? '', /^p\.toml: deployment\.state\.next\.rps: /);
  const mixed = readNextLimits({ rps: Infinity, write_rps: null, value_kb: [2], txn_ops: 10.9 });
  assert.deepEqual(mixed, { limits: { txn_ops: 10 }, unusable: ['rps', 'write_rps', 'value_kb'] });
});

test('a transaction has no more changes than allowed, nor than the write rate allows in half a second', () => {
  assert.equal(maxChangesPerTransaction(CURRENT_LIMITS), 32);
  assert.equal(maxChangesPerTransaction(CURRENT_LIMITS, 8), 8);
  assert.equal(maxChangesPerTransaction({ ...LOWERED_LIMITS, write_rps: 28 }), 10);
  assert.equal(maxChangesPerTransaction(LOWERED_LIMITS), 6);
  assert.equal(maxChangesPerTransaction({ ...LOWERED_LIMITS, write_rps: 1 }), 3);
});

// Layout of completion records.

test('chunks are written where each fits into one value, and always until all controllers understand parts', () => {
  const chunks = { kind: 'chunks' };
  for (const tasks of [1, 9, 65_536, 65_537, TASKS]) {
    const job = { id: 'req-1', tasks };
    assert.deepEqual(completionLayout(job, maxValueBytes(CURRENT_LIMITS), true), chunks);
    assert.deepEqual(completionLayout(job, maxValueBytes(LOWERED_LIMITS), false), chunks);
  }
  assert.deepEqual(
    completionLayout({ id: 'req-1', tasks: 11_000 }, maxValueBytes(LOWERED_LIMITS), true),
    chunks,
  );
  const job = { id: 'req-1', tasks: TASKS };
  const record = completionRecord(job, 65_536, { kind: 'chunks' });
  assert.deepEqual(record, { key: 'live/done/req-1/1', first: 65_536, end: TASKS });
});

test('a chunk has the same bytes as in the production version', () => {
  const bitmap = new Bitmap(20);
  for (const task of [0, 3, 8]) bitmap.set(task);
  const record = completionRecord({ id: 'req-1', tasks: 20 }, 19, { kind: 'chunks' });
  assert.equal(record.key, 'live/done/req-1/0');
  assert.equal(bitmap.encode(record.first, record.end, [19]), 'CQEI');
  assert.equal(bitmap.has(19), false, 'encoding does not change the bitmap');
});

test('parts fit the value limit, and cover every task once', () => {
  for (const bytes of [70, 200, 1024, 2048, 8000]) {
    const job = { id: 'req-1', tasks: TASKS };
    const layout = completionLayout(job, bytes, true);
    assert.equal(layout.kind, 'parts');
    const bitmap = new Bitmap(TASKS);
    for (let task = 0; task < TASKS; task += 1) bitmap.set(task);
    const decoded = new Bitmap(TASKS);
    const groups = groupByRecord(job, Array(TASKS).keys(), layout);
    let nextTask = 0;
    for (const { record, tasks } of groups) {
      assert.equal(record.first, nextTask);
      assert.equal(record.first % 8, 0);
      assert.equal(tasks.length, record.end - record.first);
      nextTask = record.end;
      const value = { bits: bitmap.encode(record.first, record.end) };
      assert.ok(JSON.stringify(value).length <= bytes, `${JSON.stringify(value).length} of ${bytes}`);
      const stored = readCompletions(record.key, value);
      assert.ok(stored?.job === 'req-1' && stored.first === record.first);
      decoded.merge(stored.first, stored.bits);
    }
    assert.equal(nextTask, TASKS);
    assert.equal(decoded.count, TASKS);
  }
});

test('parts of different lengths have different keys, so that none replaces another', () => {
  const job = { id: 'req-1', tasks: TASKS };
  const [long, short] = [8000, 2048].map((bytes) =>
    completionRecord(job, 0, completionLayout(job, bytes, true)),
  );
  assert.equal(long?.first, short?.first);
  assert.notEqual(long?.key, short?.key);
});

test('keys and values that are not completion records are ignored', () => {
  const value = { bits: '/w==' };
  assert.deepEqual(readCompletions('live/done/req-1/1', value)?.first, TASKS_PER_CHUNK);
  assert.deepEqual(readCompletions('live/bits/req-1/800-1600', value)?.first, 800);
  for (const key of ['live/done/req-1/x', 'live/done/req-1', 'live/bits/req-1/', 'live/job/req-1'])
    assert.equal(readCompletions(key, value), undefined, key);
  assert.equal(readCompletions('live/done/req-1/1', { bits: 7 }), undefined);
});

// Machine types.

function machineType(number: number): MachineType {
  return {
    name: `type-${number}`,
    cpus: 4,
    gpus: 0,
    memoryGb: 16,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.3,
    bootS: 10,
    zones: ['a', 'b'],
  };
}

test('machine types that fit into one value are one record; others are parts, once all controllers understand parts', async () => {
  const fixture = new StoreFixture();
  await fixture.load();
  const few = [1, 2].map(machineType);
  const many = Array.from({ length: 40 }, (_, n) => machineType(n));
  const loweredLimits = { valueBytes: maxValueBytes(LOWERED_LIMITS), changes: 3, mayUseParts: true };
  const expected = [
    {
      conditions: [{ key: 'live/types', version: 0 }],
      changes: [{ put: 'live/types', value: { types: few } }],
    },
  ];
  assert.deepEqual(machineTypeTransactions(few, fixture.cache, loweredLimits), expected);
  assert.equal(
    machineTypeTransactions(many, fixture.cache, { ...loweredLimits, mayUseParts: false }).length,
    1,
  );
  await fixture.runUntilDone(storeTypes(few, fixture.cache, fixture.store, loweredLimits));
  assert.deepEqual(machineTypeTransactions(few, fixture.cache, loweredLimits), []);
  fixture.fakeStore.limits = { ...LOWERED_ENFORCED_LIMITS, txnOps: 3, writeRps: 1000 };
  await fixture.runUntilDone(storeTypes(many, fixture.cache, fixture.store, loweredLimits));
  assert.deepEqual(fixture.fakeStore.oversizedTransactions, []);
  assert.deepEqual(readTypes(fixture.cache), many);
  assert.deepEqual(machineTypeTransactions(many, fixture.cache, loweredLimits), []);
  // If a part is missing, the single record is used again.
  await fixture.runUntilDone(fixture.store.compareAndSwap([], [{ delete: 'live/types-part/1' }]));
  assert.deepEqual(readTypes(fixture.cache), few);
  // Fewer types need fewer parts; the other parts are deleted.
  await fixture.runUntilDone(storeTypes(many.slice(0, 15), fixture.cache, fixture.store, loweredLimits));
  assert.deepEqual(readTypes(fixture.cache), many.slice(0, 15));
  const parts = [...fixture.fakeStore.data.keys()].filter((key) => key.startsWith('live/types-part/'));
  assert.equal(parts.length, 2);
});
