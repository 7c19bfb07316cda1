/** @file Shared steps of the tests with combined faults. */
import { dropReleaseRequests } from './failover-steps';
import type { SimulatedCluster } from './fakes/simulated-cluster';

/**
 * Waits until every controller has seen the end of all jobs whose tasks may still be running, and adds idle machines.
 * Then loses all release requests to the cloud: an unreachable machine stops its tasks only when its lease expires.
 */
export async function addMachinesAndDropReleases(cluster: SimulatedCluster): Promise<void> {
  await cluster.clock.advance(50_000);
  for (let n = 0; n < 4; n += 1) cluster.addWorker('b');
  await cluster.clock.advance(13_000);
  dropReleaseRequests(cluster);
}

/** The running tasks of a job. */
export function tasksOf(cluster: SimulatedCluster, job: string): string[] {
  return cluster.runningTasks.filter((task) => task.startsWith(`${job}/`));
}

/** All running tasks, each with its machine. */
export function placements(cluster: SimulatedCluster): string[] {
  return cluster.runningTasks.map((task) => `${task} ${cluster.machineOf(task)}`).sort();
}

/** The zone of a machine, according to its heartbeat. */
export function zoneOf(cluster: SimulatedCluster, machine: string): unknown {
  return cluster.worker(machine).nextHeartbeat().yard;
}

/** Number of start commands that all workers have executed so far. */
export function startCount(cluster: SimulatedCluster): number {
  return [...cluster.workers.values()].flatMap((w) => w.startCommands).length;
}

/** Kills the owner of shard 0, waits until another controller owns it, and restarts the killed one later. */
export async function changeLeader(cluster: SimulatedCluster, restartAfterMs = 3_000): Promise<number> {
  const previous = await cluster.untilOwned();
  cluster.kill(previous);
  await cluster.clock.advance(100);
  const owner = await cluster.untilOwned();
  cluster.clock.after(restartAfterMs, () => {
    cluster.restart(previous);
  });
  return owner;
}

/** Sends earlier heartbeats to every running controller as delayed duplicates, and ignores the responses. */
export function replayHeartbeats(
  cluster: SimulatedCluster,
  reports: readonly Record<string, unknown>[],
): void {
  for (const { address, alive } of cluster.controllers) {
    if (!alive) continue;
    for (const report of reports)
      void cluster.network
        .caller('late')
        .call(address, 'POST', '/hello', report, 4000)
        .catch(() => undefined);
  }
}
