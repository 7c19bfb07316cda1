import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startCommandsOf, submitDependent, untilDependenciesAccepted } from './dependency-steps';
import { SimulatedCluster } from './fakes/simulated-cluster';

async function clusterWithCapacity(
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

/** The ids of jobs in the order of their first task starts; filled from now on. */
function orderOfStarts(cluster: SimulatedCluster): string[] {
  const order: string[] = [];
  cluster.onTaskStarted = (task) => {
    if (!order.includes(jobOf(task))) order.push(jobOf(task));
  };
  return order;
}

test("a job that waits for its dependency does not count against its team's limit", async () => {
  const cluster = await clusterWithCapacity({ limitCpus: 4 }, 4);
  await cluster.submit('req-1', { crew: 'red', reckonS: 60 }, 60);
  await submitDependent(cluster, ['req-1'], 'req-2', { crew: 'red', pieces: 4, urgency: 'prod' });
  await cluster.submit('req-3', { crew: 'red', pieces: 3, urgency: 'best_effort', reckonS: 60 }, 60);
  await cluster.until(
    'all other tasks run',
    () => runningOf(cluster, 'req-1') + runningOf(cluster, 'req-3') === 4,
    40,
  );
  await cluster.untilJobState('req-2', 'done', 180);
  cluster.assertInvariants();
});

test('no task is preempted for the team guarantee of a job that waits for its dependency', async () => {
  const cluster = await clusterWithCapacity({}, 4);
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

test("a job gets its team's guarantee as soon as its dependency is done", async () => {
  const cluster = await clusterWithCapacity({}, 4);
  await cluster.submit('req-2', { crew: 'blue', reckonS: 50 }, 50);
  await submitDependent(cluster, ['req-2'], 'req-3', { crew: 'red', pieces: 8, reckonS: 30 }, 30);
  await cluster.submit('req-1', { crew: 'blue', pieces: 15, urgency: 'best_effort', reckonS: 300 }, 300);
  await cluster.until('all machines are full', () => cluster.runningTasks.length === 16, 45);
  assert.deepEqual(startCommandsOf(cluster, ['req-3']), []);
  await cluster.until('its team has its guarantee', () => runningOf(cluster, 'req-3') === 8, 60);
  cluster.assertInvariants();
});

test('no machines are rented for a job that waits for its dependency', async () => {
  const cluster = await clusterWithCapacity({}, 12);
  await cluster.submit('req-1', { reckonS: 100 }, 100);
  await cluster.until('the dependency runs', () => cluster.runningTasks.length === 1);
  const before = cluster.workers.size;
  await submitDependent(cluster, ['req-1'], 'req-2', { pieces: 40, reckonS: 100, urgency: 'prod' }, 60);
  await cluster.clock.advance(30_000);
  assert.equal(cluster.workers.size, before);
  await cluster.until('machines are rented once the job can start', () => cluster.workers.size > before, 100);
  cluster.assertInvariants();
});

for (const isIndirect of [false, true]) {
  const dependencyKind = isIndirect ? 'an indirect' : 'a direct';
  test(`${dependencyKind} dependency of a high-priority job is placed before other jobs of the dependency's own priority`, async () => {
    const cluster = await clusterWithCapacity({}, 1);
    const low = { pieces: 4, urgency: 'best_effort', reckonS: 20 };
    await cluster.submit('req-1', low, 20);
    await cluster.until('the machine is full', () => runningOf(cluster, 'req-1') === 4, 40);
    const order = orderOfStarts(cluster);
    for (const id of ['req-2', 'req-3', 'req-4']) await cluster.submit(id, low, 20);
    await cluster.submit('req-5', low, 20);
    if (isIndirect) {
      await submitDependent(cluster, ['req-5'], 'req-6', low, 20);
      await submitDependent(cluster, ['req-6'], 'req-7', { ...low, urgency: 'prod' }, 20);
    } else {
      await submitDependent(cluster, ['req-5'], 'req-7', { ...low, urgency: 'prod' }, 20);
    }
    await cluster.untilJobState('req-7', 'done', 300);
    const chain = isIndirect ? ['req-5', 'req-6', 'req-7'] : ['req-5', 'req-7'];
    assert.deepEqual(order.filter((id) => id !== 'req-1').slice(0, chain.length), chain);
    cluster.assertInvariants();
  });
}

test('the dependency of a job with a near deadline is placed before other jobs', async () => {
  const cluster = await clusterWithCapacity({}, 1);
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

test('a job that waited long for its dependency is scheduled like a new one', async () => {
  const cluster = await clusterWithCapacity({}, 2);
  await cluster.submit('req-1', { reckonS: 200 }, 200);
  await submitDependent(cluster, ['req-1'], 'req-2', { pieces: 4 });
  await cluster.untilJobState('req-1', 'done', 300);
  await cluster.assertJobsFinish();
  await cluster.untilJobState('req-2', 'done', 60);
  cluster.assertInvariants();
});
