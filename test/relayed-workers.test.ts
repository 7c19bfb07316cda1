/** @file Which workers a relay may answer while it writes its record. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RelayedWorkers } from '../src/coordination/ownership/relayed-workers';

const SESSION = 3;

function coveredOf(workers: RelayedWorkers, session = SESSION): string[] {
  return ['host-1', 'host-2', 'host-3'].filter((machine) => workers.covers(machine, session));
}

// Fails if a worker that the record being written no longer lists, or lists for the first time, gets a response.
test('while a record is written, only workers that the acknowledged and the new record list are covered', () => {
  const workers = new RelayedWorkers();
  workers.recordWriteStarted(['host-1', 'host-2'], SESSION);
  assert.deepEqual(coveredOf(workers), []);
  workers.recordWritten(['host-1', 'host-2'], SESSION);
  assert.deepEqual(coveredOf(workers), ['host-1', 'host-2']);
  workers.recordWriteStarted(['host-2', 'host-3'], SESSION);
  assert.deepEqual(coveredOf(workers), ['host-2']);
  assert.ok(
    !workers.coversExactly(['host-2'], SESSION),
    'the write may have been executed without a response',
  );
  workers.recordWritten(['host-2', 'host-3'], SESSION);
  assert.deepEqual(coveredOf(workers), ['host-2', 'host-3']);
  assert.ok(workers.coversExactly(['host-3', 'host-2'], SESSION));
});

test('no worker is covered under another session, or after the end of the relay', () => {
  const workers = new RelayedWorkers();
  workers.recordWritten(['host-1'], SESSION);
  assert.deepEqual(coveredOf(workers, SESSION + 1), []);
  workers.clear();
  assert.deepEqual(coveredOf(workers), []);
  assert.ok(!workers.hasRecord);
});

// Fails if a machine that is gone stays on the list for as long as the relay lasts.
test('a worker without a heartbeat for a lease no longer relies on the relay', () => {
  const workers = new RelayedWorkers();
  workers.heartbeatReceived('host-1', 1_000);
  workers.heartbeatReceived('host-2', 5_000);
  assert.deepEqual(workers.active(11_000, 10_000), ['host-1', 'host-2']);
  assert.deepEqual(workers.active(11_001, 10_000), ['host-2']);
});

test('a wait ends with the first update that begins after it', async () => {
  const workers = new RelayedWorkers();
  const ended: string[] = [];
  void workers.nextUpdate().then(() => ended.push('first'));
  const endWaits = workers.beginUpdate();
  void workers.nextUpdate().then(() => ended.push('second'));
  endWaits();
  await Promise.resolve();
  assert.deepEqual(ended, ['first']);
  workers.beginUpdate()();
  await Promise.resolve();
  assert.deepEqual(ended, ['first', 'second']);
});
