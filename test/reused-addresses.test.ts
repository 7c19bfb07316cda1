/** @file A machine that comes up gets the address of one that is gone, to which commands are still sent. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';

const RUN_S = 40;

/** Takes a machine away; from now on another one, which is up, has its address as well. */
function giveAddressTo(cluster: SimulatedCluster, gone: string, other: string): void {
  const { address } = cluster.worker(gone);
  const { address: target } = cluster.worker(other);
  cluster.worker(gone).terminate();
  cluster.network.attach(address, ({ from, method, path, body }) =>
    cluster.network.caller(from).call(target, method, path, body, 2_000),
  );
}

/** Two machines that are up and idle. */
async function twoIdleMachines(): Promise<[SimulatedCluster, string, string]> {
  const cluster = new SimulatedCluster();
  cluster.capacity = 2;
  await cluster.submit('req-1', { pieces: 2, cpus: 3 }, 3);
  await cluster.untilJobState('req-1', 'done');
  const [first, second] = [...cluster.workers.keys()];
  assert.ok(first !== undefined && second !== undefined);
  return [cluster, first, second];
}

for (const isFirstGone of [true, false]) {
  // Guards against a task that runs twice, since a start was executed by the next machine at its address (review/8).
  test(`a start for the ${isFirstGone ? 'first' : 'second'} machine, whose address the other has, runs no task twice`, async () => {
    const [cluster, first, second] = await twoIdleMachines();
    const [gone, other] = isFirstGone ? [first, second] : [second, first];
    giveAddressTo(cluster, gone, other);
    cluster.capacity = 6;
    await cluster.submit('req-2', { cpus: 3, reckonS: RUN_S }, RUN_S);
    await cluster.untilJobState('req-2', 'done', 150);
    assert.equal(cluster.worker(gone).isTerminated, true);
    cluster.assertInvariants();
  });

  test(`commands for the ${isFirstGone ? 'first' : 'second'} machine reach the other, which has no room: all tasks run once`, async () => {
    const [cluster, first, second] = await twoIdleMachines();
    const [gone, other] = isFirstGone ? [first, second] : [second, first];
    giveAddressTo(cluster, gone, other);
    cluster.capacity = 6;
    await cluster.submit('req-2', { pieces: 3, cpus: 3, reckonS: RUN_S }, RUN_S);
    await cluster.untilJobState('req-2', 'done', 250);
    cluster.assertInvariants();
  });
}
