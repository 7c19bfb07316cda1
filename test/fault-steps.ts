/** @file Steps that several scenarios with combined faults share. */
import type { SimulatedCluster } from './fakes/simulated-cluster';

/**
 * Waits until every controller has seen the end of each job whose tasks may still run anywhere, with empty machines
 * there. The cloud's releases are lost from then on: an unreachable machine stops only when its lease ends.
 */
export async function addMachinesAndDropReleases(cluster: SimulatedCluster): Promise<void> {
  await cluster.clock.advance(50_000);
  for (let n = 0; n < 4; n += 1) cluster.addWorker('b');
  await cluster.clock.advance(13_000);
  cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
}

/** The running tasks of a job. */
export function tasksOf(cluster: SimulatedCluster, job: string): string[] {
  return cluster.runningTasks.filter((task) => task.startsWith(`${job}/`));
}

/** All running tasks, each with its machine. */
export function placements(cluster: SimulatedCluster): string[] {
  return cluster.runningTasks.map((task) => `${task} ${cluster.machineOf(task)}`).sort();
}

/** The zone of a machine, as it reports it. */
export function zoneOf(cluster: SimulatedCluster, machine: string): unknown {
  return cluster.worker(machine).nextHeartbeat().yard;
}

/** How many start commands all workers have received so far. */
export function startCount(cluster: SimulatedCluster): number {
  return [...cluster.workers.values()].flatMap((w) => w.startCommands).length;
}

/** Kills the leader and waits until another node owns its shards; the killed one restarts a while later. */
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

/** Sends copies of earlier reports to every controller; the answers are dropped. */
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
