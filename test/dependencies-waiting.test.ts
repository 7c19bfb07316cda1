import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startCommandsOf, submitDependent, untilDependenciesAccepted } from './dependency-steps';
import { SimulatedCluster } from './fakes/simulated-cluster';

async function openCluster(
  options: ConstructorParameters<typeof SimulatedCluster>[0],
  capacity: number,
): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster(options);
  cluster.capacity = capacity;
  await untilDependenciesAccepted(cluster);
  return cluster;
}

const jobOf = (task: string): string => task.split('/')[0] ?? '';

function runningOf(cluster: SimulatedCluster, id: string): number {
  return cluster.runningTasks.filter((task) => jobOf(task) === id).length;
}

/** The jobs in the order of their first starts from now on. */
function orderOfStarts(cluster: SimulatedCluster): string[] {
  const order: string[] = [];
  cluster.onTaskStarted = (task) => {
    if (!order.includes(jobOf(task))) order.push(jobOf(task));
  };
  return order;
}

test("a waiting job takes no part of its team's limit", async () => {
  const cluster = await openCluster({ limitCpus: 4 }, 4);
  await cluster.submit('req-1', { crew: 'red', reckonS: 60 }, 60);
  await submitDependent(cluster, ['req-1'], 'req-2', { crew: 'red', pieces: 4, urgency: 'prod' });
  await cluster.submit('req-3', { crew: 'red', pieces: 3, urgency: 'best_effort', reckonS: 60 }, 60);
  await cluster.until(
    'all else runs',
    () => runningOf(cluster, 'req-1') + runningOf(cluster, 'req-3') === 4,
    40,
  );
  await cluster.untilJobState('req-2', 'done', 180);
  cluster.assertInvariants();
});

test("a waiting job takes no part of its team's guarantee: nobody makes room for it", async () => {
  const cluster = await openCluster({}, 4);
  await cluster.submit('req-1', { crew: 'blue', pieces: 16, urgency: 'best_effort', reckonS: 300 }, 300);
  await cluster.until('all machines are full', () => runningOf(cluster, 'req-1') === 16, 60);
  await cluster.submit('req-2', { crew: 'blue', urgency: 'best_effort', reckonS: 300 }, 300);
  await submitDependent(cluster, ['req-2'], 'req-3', { crew: 'red', pieces: 8, urgency: 'best_effort' });
  const end = cluster.clock.now() + 40_000;
  while (cluster.clock.now() < end) {
    assert.equal(runningOf(cluster, 'req-1') + runningOf(cluster, 'req-2'), 16);
    await cluster.clock.advance(500);
  }
  cluster.assertInvariants();
});

test('a job gets its guarantee as soon as all that it needs is done', async () => {
  const cluster = await openCluster({}, 4);
  await cluster.submit('req-2', { crew: 'blue', reckonS: 50 }, 50);
  await submitDependent(cluster, ['req-2'], 'req-3', { crew: 'red', pieces: 8, reckonS: 30 }, 30);
  await cluster.submit('req-1', { crew: 'blue', pieces: 15, urgency: 'best_effort', reckonS: 300 }, 300);
  await cluster.until('all machines are full', () => cluster.runningTasks.length === 16, 45);
  assert.deepEqual(startCommandsOf(cluster, ['req-3']), []);
  await cluster.until('its team has its guarantee', () => runningOf(cluster, 'req-3') === 8, 60);
  cluster.assertInvariants();
});

test('no machines are rented for a job while it waits', async () => {
  const cluster = await openCluster({}, 12);
  await cluster.submit('req-1', { reckonS: 100 }, 100);
  await cluster.until('the first runs', () => cluster.runningTasks.length === 1);
  const before = cluster.workers.size;
  await submitDependent(cluster, ['req-1'], 'req-2', { pieces: 40, reckonS: 100, urgency: 'prod' }, 60);
  await cluster.clock.advance(30_000);
  assert.equal(cluster.workers.size, before);
  await cluster.until('machines are rented when it may start', () => cluster.workers.size > before, 100);
  cluster.assertInvariants();
});

for (const through of [false, true]) {
  const how = through ? ' through another' : '';
  test(`what an important job needs${how} goes before other work of its own priority`, async () => {
    const cluster = await openCluster({}, 1);
    const low = { pieces: 4, urgency: 'best_effort', reckonS: 20 };
    await cluster.submit('req-1', low, 20);
    await cluster.until('the machine is full', () => runningOf(cluster, 'req-1') === 4, 40);
    const order = orderOfStarts(cluster);
    for (const id of ['req-2', 'req-3', 'req-4']) await cluster.submit(id, low, 20);
    await cluster.submit('req-5', low, 20);
    if (through) {
      await submitDependent(cluster, ['req-5'], 'req-6', low, 20);
      await submitDependent(cluster, ['req-6'], 'req-7', { ...low, urgency: 'prod' }, 20);
    } else {
      await submitDependent(cluster, ['req-5'], 'req-7', { ...low, urgency: 'prod' }, 20);
    }
    await cluster.untilJobState('req-7', 'done', 300);
    const chain = through ? ['req-5', 'req-6', 'req-7'] : ['req-5', 'req-7'];
    assert.deepEqual(order.filter((id) => id !== 'req-1').slice(0, chain.length), chain);
    cluster.assertInvariants();
  });
}

test('what a job with a near deadline needs goes before other work', async () => {
  const cluster = await openCluster({}, 1);
  const fields = { pieces: 4, reckonS: 15 };
  await cluster.submit('req-1', fields, 15);
  await cluster.until('the machine is full', () => runningOf(cluster, 'req-1') === 4, 40);
  const order = orderOfStarts(cluster);
  for (const id of ['req-2', 'req-3', 'req-4']) await cluster.submit(id, { ...fields, dueS: 3000 }, 15);
  await cluster.submit('req-5', fields, 15);
  await submitDependent(cluster, ['req-5'], 'req-6', { ...fields, dueS: 60 }, 15);
  await cluster.untilJobState('req-6', 'done', 300);
  assert.equal(
    order.find((id) => id !== 'req-1'),
    'req-5',
  );
  cluster.assertInvariants();
});

test('a job that waited for long is treated like one that has just come', async () => {
  const cluster = await openCluster({}, 2);
  await cluster.submit('req-1', { reckonS: 200 }, 200);
  await submitDependent(cluster, ['req-1'], 'req-2', { pieces: 4 });
  await cluster.untilJobState('req-1', 'done', 300);
  await cluster.assertJobsFinish();
  await cluster.untilJobState('req-2', 'done', 60);
  cluster.assertInvariants();
});
