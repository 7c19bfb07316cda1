/** @file The records that list the machines whose leases a relay may renew. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jsonBytes, splitBySize } from '../src/base/state-limits';
import {
  isRelayed,
  machinesOfRecord,
  relayedMachines,
  relayRecordChanges,
  relayRecordDeletions,
  unchangedRelayCondition,
} from '../src/bookkeeping/relay-records';
import type { Change, Condition, Entry } from '../src/protocol/key-value-store';

const RELAY = { shard: 0, controller: 'node-1' };
const OTHER = { shard: 0, controller: 'node-2' };
const SESSION_LEASE = 7;

/** Records in memory. */
class Records {
  readonly #entries = new Map<string, Entry>();
  #revision = 0;

  get(key: string): Entry | undefined {
    return this.#entries.get(key);
  }

  apply(changes: readonly Change[]): void {
    this.#revision += 1;
    for (const change of changes) {
      if ('put' in change)
        this.#entries.set(change.put, { key: change.put, value: change.value, version: this.#revision });
      else this.#entries.delete(change.delete);
    }
  }

  list(machines: readonly string[], valueBytes: number, changes = 32): Change[] {
    const limits = { valueBytes, changes };
    const made = relayRecordChanges(this, RELAY, { machines, lease: SESSION_LEASE, limits });
    this.apply(made);
    return made;
  }
}

const machineIds = (count: number): string[] =>
  Array.from({ length: count }, (_, number) => `host-${String(number).padStart(6, '0')}`);

for (const [count, valueBytes] of [
  [1, 2_048],
  [700, 2_048],
  [3_000, 16_384],
] as const) {
  test(`${count} relayed machines are listed in values of up to ${valueBytes} bytes`, () => {
    const records = new Records();
    const ids = machineIds(count);
    for (const change of records.list(ids, valueBytes)) {
      assert.ok('put' in change && change.lease === SESSION_LEASE);
      assert.ok(jsonBytes(change.value) <= valueBytes);
    }
    const relayed = relayedMachines(records, [RELAY, OTHER]);
    assert.deepEqual(relayed, new Set(ids));
    assert.equal(isRelayed(relayed, 'host-999999'), false);
  });
}

test('a shorter list deletes the parts that it no longer needs', () => {
  const records = new Records();
  records.list(machineIds(700), 2_048);
  records.list(machineIds(2), 2_048);
  assert.deepEqual(relayedMachines(records, [RELAY]), new Set(machineIds(2)));
  assert.equal(records.get('live/keep/0/node-1/1'), undefined);
});

test('a list that fits no transaction is left out, and the record covers all machines', () => {
  for (const [count, changes] of [
    [4_500, 32],
    [700, 2],
  ] as const) {
    const records = new Records();
    records.list(machineIds(count), count > 1_000 ? 16_384 : 2_048, changes);
    assert.equal(relayedMachines(records, [RELAY]), 'all');
  }
});

test('a record without a list, and one that cannot be read, cover all machines', () => {
  for (const value of [{}, undefined, { machines: 3 }]) assert.equal(machinesOfRecord(value), 'all');
  const records = new Records();
  records.list(['host-000001'], 2_048);
  records.apply([{ put: 'live/keep/0/node-2', value: {} }]);
  assert.equal(relayedMachines(records, [RELAY, OTHER]), 'all');
});

// Fails if a list that the reader doesn't know goes unnoticed.
test('the condition of a check fails when the list was changed, begun or deleted', () => {
  const isUnchanged = (records: Records, { key, version }: Condition): boolean =>
    (records.get(key)?.version ?? 0) === version;
  for (const before of [0, 10, 301]) {
    for (const after of [10, 300, 700]) {
      const records = new Records();
      if (before > 0) records.list(machineIds(before), 2_048);
      const condition = unchangedRelayCondition(records, RELAY);
      assert.ok(isUnchanged(records, condition));
      records.list(machineIds(after), 2_048);
      assert.ok(!isUnchanged(records, condition), `${before} machines, then ${after}`);
    }
  }
  const records = new Records();
  records.list(machineIds(301), 2_048);
  const condition = unchangedRelayCondition(records, RELAY);
  records.apply(relayRecordDeletions(records, RELAY));
  assert.ok(!isUnchanged(records, condition));
  assert.deepEqual(relayedMachines(records, [RELAY]), new Set());
});

test('a list is split into as few lists as fit the size, in order', () => {
  assert.deepEqual(splitBySize(['aa', 'bb', 'cc'], 11), [['aa', 'bb'], ['cc']]);
  assert.deepEqual(splitBySize(['aa', 'bb'], 5), undefined);
  assert.deepEqual(splitBySize([], 11), [[]]);
});
