/** @file What the leader knows of one machine: its reports, its lease, the images in its cache. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Machine } from '../src/coordination/shard/machine';
import type { WorkerHeartbeat } from '../src/protocol/model';
import { type } from './scheduling-inputs';

function reportOf(session: number, sequence: number): WorkerHeartbeat {
  const where = { machine: 'host-1', address: '10.1.0.1:9000', type: 'm4', zone: 'a', spot: true };
  return { ...where, incarnation: session, sequence, fencingToken: 1, spotNoticeS: null, attempts: [] };
}

function machineTakenAt(now: number): Machine {
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
  throw new Error('there is nothing on it');
};

test('a worker that answers commands but whose reports got no answer for a lease is given no starts', () => {
  const machine = machineTakenAt(0);
  machine.reconcile(reportOf(1, 1), 1000, 10_000, unknownJob);
  machine.worker.confirm();
  assert.equal(machine.isSchedulable(1500, 10_000, 2_000), true);
  // It answers commands all the time, but the lease that its reports renew has run out.
  machine.reconcile(reportOf(1, 2), 11_900, 10_000, unknownJob);
  assert.equal(machine.isSchedulable(12_000, 10_000, 2_000), false);
  machine.worker.leaseRenewed(12_000);
  assert.equal(machine.isSchedulable(12_100, 10_000, 2_000), true);
});

test('a session that began without any answer has its full lease from then', () => {
  const machine = machineTakenAt(0);
  machine.reconcile(reportOf(1, 1), 100, 10_000, unknownJob);
  // Its lease ran out and the next session began, of which an answer to a command tells.
  machine.reconcile(reportOf(2, 1), 9_000, 10_000, unknownJob);
  assert.ok(machine.leaseExpiresAt(10_000) > 19_000);
});

test('a copy of a report is no heartbeat; a machine whose session changed though it was answered is one-way unreachable', () => {
  const machine = machineTakenAt(0);
  machine.worker.confirm();
  machine.reconcile(reportOf(1, 5), 1_000, 10_000, unknownJob);
  machine.reconcile(reportOf(1, 4), 2_500, 10_000, unknownJob);
  assert.equal(machine.lastHeartbeatAt, 1_000);
  machine.worker.leaseRenewed(9_000);
  machine.reconcile(reportOf(2, 1), 11_000, 10_000, unknownJob);
  assert.equal(machine.unresponsiveSince, 11_000);
  assert.equal(machine.isSchedulable(11_100, 10_000, 2_000), false);
});

test('a machine holds no more images than fit its cache; the least recently used are evicted first', () => {
  const machine = machineTakenAt(0);
  for (const image of ['a', 'b', 'c', 'a', 'd']) machine.touchImage(image, 20);
  assert.deepEqual([...machine.cachedImages.keys()], ['a', 'd']);
});
