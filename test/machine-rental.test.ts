import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';

test('a booking without an answer rents once', async () => {
  const cluster = new SimulatedCluster();
  const heal = cluster.network.rule(({ path }) => (path === '/hosts' ? 'lose answer' : undefined));
  await cluster.submit('req-1', { pieces: 2 });
  await cluster.until('a booking', () => cluster.cloud.bookings.size > 0);
  heal();
  await cluster.untilJobState('req-1', 'done');
  const rented = [...cluster.cloud.bookings.values()].flat();
  assert.equal(rented.length, new Set(rented).size);
  assert.ok(rented.length <= 2, `${rented.length} machines`);
});

test('a machine that nobody expected is taken in and used', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  cluster.capacity = 0;
  const stray = cluster.addWorker('b');
  await cluster.submit('req-1', { pieces: 2 });
  await cluster.untilJobState('req-1', 'done');
  assert.ok(cluster.worker(stray).startCommands.length > 0);
  cluster.assertInvariants();
});
