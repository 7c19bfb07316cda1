/** @file The owner's state of one machine: its heartbeats, its lease and the images in its cache. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Machine } from '../src/coordination/shard/machine';
import type { WorkerHeartbeat } from '../src/protocol/model';
import { type } from './scheduling-inputs';

function heartbeatOf(session: number, sequence: number): WorkerHeartbeat {
  const where = { machine: 'host-1', address: '10.1.0.1:9000', type: 'm4', zone: 'a', spot: true };
  return { ...where, incarnation: session, sequence, fencingToken: 1, spotNoticeS: null, attempts: [] };
}

function machineFirstSeenAt(now: number): Machine {
  const record = {
    block: 0,
    address: '10.1.0.1:9000',
    type: 'm4',
    zone: 'a',
    spot: true,
    up: true,
    rentedAt: 0,
  };
  return new Machine({ id: 'host-1', record, type, firstSeenAt: now, rentedSince: now });
}

const unknownJob = (): never => {
  throw new Error('the machine has no attempts');
};

test('a worker that responds to commands, but whose heartbeats got no response for a lease duration, gets no start commands', () => {
  const machine = machineFirstSeenAt(0);
  machine.reconcile(heartbeatOf(1, 1), 1000, 10_000, unknownJob);
  machine.worker.confirm();
  assert.equal(machine.isSchedulable(1500, 10_000, 2_000), true);
  // It responds to commands throughout, but its lease, which only heartbeats renew, has expired.
  machine.reconcile(heartbeatOf(1, 2), 11_900, 10_000, unknownJob);
  assert.equal(machine.isSchedulable(12_000, 10_000, 2_000), false);
  machine.worker.leaseRenewed(12_000);
  assert.equal(machine.isSchedulable(12_100, 10_000, 2_000), true);
});

test('an incarnation that began without any response has a full lease from its start', () => {
  const machine = machineFirstSeenAt(0);
  machine.reconcile(heartbeatOf(1, 1), 100, 10_000, unknownJob);
  // Its lease expired and the next incarnation began, as the response to a command shows.
  machine.reconcile(heartbeatOf(2, 1), 9_000, 10_000, unknownJob);
  assert.ok(machine.leaseExpiresAt(10_000) > 19_000);
});

test('a delayed duplicate does not count as a heartbeat; a machine whose incarnation changed despite responses is unreachable in one direction', () => {
  const machine = machineFirstSeenAt(0);
  machine.worker.confirm();
  machine.reconcile(heartbeatOf(1, 5), 1_000, 10_000, unknownJob);
  machine.reconcile(heartbeatOf(1, 4), 2_500, 10_000, unknownJob);
  assert.equal(machine.lastHeartbeatAt, 1_000);
  machine.worker.leaseRenewed(9_000);
  machine.reconcile(heartbeatOf(2, 1), 11_000, 10_000, unknownJob);
  assert.equal(machine.unresponsiveSince, 11_000);
  assert.equal(machine.isSchedulable(11_100, 10_000, 2_000), false);
});

test('the images of a machine never exceed its cache size; the least recently used are evicted first', () => {
  const machine = machineFirstSeenAt(0);
  for (const image of ['a', 'b', 'c', 'a', 'd']) machine.touchImage(image, 20);
  assert.deepEqual([...machine.cachedImages.keys()], ['a', 'd']);
});
