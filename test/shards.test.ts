import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';

test('two shards: teams and machines are divided between two owners, and every job completes', async () => {
  const cluster = new SimulatedCluster({ operator: { blocks: 2 } });
  await cluster.submit('req-1', { crew: 'red', pieces: 4 }, 4);
  await cluster.submit('req-2', { crew: 'blue', pieces: 4 }, 4, 1);
  await cluster.untilJobState('req-1', 'done', 180);
  await cluster.untilJobState('req-2', 'done', 180);
  const owned = cluster.controllers.map((c) => c.controller.owners.size);
  assert.deepEqual(owned.sort(), [0, 1, 1]);
  cluster.assertInvariants();
});
