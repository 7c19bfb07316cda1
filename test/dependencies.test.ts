import assert from 'node:assert/strict';
import { test } from 'node:test';
import { submission } from './fakes/submission';
import { SimulatedCluster } from './fakes/simulated-cluster';

test('a pipeline runs stage by stage', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 2 });
  await cluster.submit('req-2', { pieces: 2, awaits: ['req-1'], crew: 'red' });
  await cluster.submit('req-3', { pieces: 1, awaits: ['req-1', 'req-2'] });
  assert.equal(await cluster.jobState('req-3', 1), 'pending');
  await cluster.untilJobState('req-3', 'done');
  assert.equal(await cluster.jobState('req-2', 2), 'done');
  cluster.assertInvariants();
});

test('cancelling the first job of a pipeline cancels all of it, at every controller', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 2 }, 100);
  await cluster.submit('req-2', { awaits: ['req-1'] });
  await cluster.submit('req-3', { awaits: ['req-2'] });
  assert.equal(await cluster.cancel('req-1'), 'withdrawn');
  for (const index of [0, 1, 2]) assert.equal(await cluster.jobState('req-3', index), 'withdrawn');
  const late = await cluster.request(1, 'POST', '/work', submission('req-4', { awaits: ['req-3'] }));
  assert.equal(late.status, 201);
  assert.equal(await cluster.jobState('req-4', 2), 'withdrawn');
  await cluster.clock.advance(40_000);
  assert.deepEqual(cluster.runningTasks, []);
});

test('a submission that depends on unknown jobs or on itself is rejected, unless the job was accepted before', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1');
  const post = (id: string, awaits: unknown) =>
    cluster.request(0, 'POST', '/work', submission(id, { awaits }));
  assert.equal((await post('req-2', ['req-9'])).status, 422);
  assert.equal((await post('req-2', ['req-2'])).status, 422);
  assert.equal((await post('req-2', 'req-1')).status, 400);
  assert.equal((await post('req-2', ['one'])).status, 400);
  assert.equal((await post('req-2', null)).status, 201);
  for (const awaits of [['req-9'], 'req-1', 7]) assert.equal((await post('req-1', awaits)).status, 200);
});

test('the status of a pending job lists the dependencies that are not done', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', {}, 3);
  await cluster.submit('req-2', {}, 60);
  await cluster.submit('req-3', { awaits: ['req-1', 'req-2'] });
  const awaits = async (index: number): Promise<unknown> => {
    const { body } = await cluster.request(index, 'GET', '/work/req-3');
    return (body as { awaits?: unknown }).awaits;
  };
  for (const index of [0, 1, 2]) assert.deepEqual(await awaits(index), ['req-1', 'req-2']);
  await cluster.untilJobState('req-1', 'done');
  await cluster.clock.advance(1_000);
  for (const index of [0, 1, 2]) assert.deepEqual(await awaits(index), ['req-2']);
  await cluster.untilJobState('req-3', 'done');
  assert.equal(await awaits(0), undefined);
  cluster.assertInvariants();
});
