import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeSettings } from '../src/base/settings';
import { RecordGarbageCollector } from '../src/coordination/ownership/record-garbage-collector';
import { submission } from './fakes/submission';
import { StoreFixture, platformSettings } from './limited-store-steps';
import { SimulatedCluster } from './fakes/simulated-cluster';

const MANY = 1_500;
const ids = Array.from({ length: MANY }, (_, number) => `req-${number + 1_000_000_000}`);

test('dependency parts become orphans only after their submission can no longer be repeated', async () => {
  const fixture = new StoreFixture();
  await fixture.load();
  const value = { dependencies: ['req-2'] };
  const written = fixture.store.compareAndSwap([], [{ put: 'live/dependencies/req-1/0', value }]);
  await fixture.clock.advance(2_000);
  await written;
  const garbageCollector = new RecordGarbageCollector({
    cache: fixture.cache,
    clock: fixture.clock,
    store: fixture.store,
    settings: makeSettings(platformSettings(), {}),
  });
  assert.deepEqual(garbageCollector.orphans(), []);
  await fixture.clock.advance(119_000);
  assert.deepEqual(garbageCollector.orphans(), []);
  await fixture.clock.advance(2_000);
  const [orphan] = garbageCollector.orphans();
  assert.equal(orphan?.key, 'live/dependencies/req-1/0');
  assert.equal(orphan.job, 'live/job/req-1');
});

test('the dependency parts of a job with very many dependencies are deleted after its end', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  await cluster.submit('req-1', {}, 300);
  // These jobs wait for req-1 and are not done, so that the dependency list of req-2 is long.
  for (let from = 0; from < MANY; from += 50) {
    const batch = ids.slice(from, from + 50);
    const responses = batch.map((id) =>
      cluster.network
        .caller('user')
        .call('10.0.0.1:8080', 'POST', '/work', submission(id, { awaits: ['req-1'] }), 5_000)
        .catch(() => undefined),
    );
    await cluster.clock.advance(1_500);
    await Promise.all(responses);
  }
  for (const id of ids)
    if (!cluster.invariants.acceptedJobs.includes(id)) await cluster.submit(id, { awaits: ['req-1'] });
  await cluster.submit('req-2', { awaits: ids });
  const parts = (): string[] =>
    [...cluster.store.data.keys()].filter((key) => key.startsWith('live/dependencies/'));
  assert.ok(parts().length > 0);
  assert.equal(await cluster.cancel('req-2'), 'withdrawn');
  await cluster.until('the parts are deleted', () => parts().length === 0, 180);
  cluster.assertInvariants();
});
