import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';

test('a rental request whose response is lost rents machines only once', async () => {
  const cluster = new SimulatedCluster();
  const removeRule = cluster.network.rule(({ path }) => (path === '/hosts' ? 'lose answer' : undefined));
  await cluster.submit('req-1', { pieces: 2 });
  await cluster.until('a booking is made', () => cluster.cloud.bookings.size > 0);
  removeRule();
  await cluster.untilJobState('req-1', 'done');
  const rented = [...cluster.cloud.bookings.values()].flat();
  assert.equal(rented.length, new Set(rented).size);
  assert.ok(rented.length <= 2, `${rented.length} machines`);
});

test('a machine that no controller rented is adopted and used', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  cluster.capacity = 0;
  const unexpected = cluster.addWorker('b');
  await cluster.submit('req-1', { pieces: 2 });
  await cluster.untilJobState('req-1', 'done');
  assert.ok(cluster.worker(unexpected).startCommands.length > 0);
  cluster.assertInvariants();
});
