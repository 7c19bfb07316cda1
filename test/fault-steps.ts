/** @file Steps that several scenarios with combined faults share. */
import type { World } from './fakes/simulated-cluster';

/**
 * Waits until every controller has seen the end of each job whose tasks may still run anywhere, with empty machines
 * there. The cloud's releases are lost from then on: an unreachable machine stops only when its lease ends.
 */
export async function watchWithoutReleases(world: World): Promise<void> {
  await world.clock.advance(50_000);
  for (let n = 0; n < 4; n += 1) world.addWorker('b');
  await world.clock.advance(13_000);
  world.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
}

/** The running tasks of a job. */
export function tasksOf(world: World, job: string): string[] {
  return world.running.filter((piece) => piece.startsWith(`${job}/`));
}

/** All running tasks, each with its machine. */
export function placements(world: World): string[] {
  return world.running.map((piece) => `${piece} ${world.where(piece)}`).sort();
}

/** The zone of a machine, as it reports it. */
export function zoneOf(world: World, machine: string): unknown {
  return world.worker(machine).report().yard;
}

/** How many start commands all workers have received so far. */
export function startCount(world: World): number {
  return [...world.workers.values()].flatMap((w) => w.startOrders).length;
}

/** Kills the leader and waits until another node owns its shards; the killed one restarts a while later. */
export async function changeLeader(world: World, backMs = 3_000): Promise<number> {
  const old = await world.untilOwned();
  world.kill(old);
  await world.clock.advance(100);
  const owner = await world.untilOwned();
  world.clock.after(backMs, () => {
    world.restart(old);
  });
  return owner;
}

/** Sends copies of earlier reports to every controller; nobody waits for the answers. */
export function replayReports(world: World, reports: readonly Record<string, unknown>[]): void {
  for (const { address, alive } of world.controllers) {
    if (!alive) continue;
    for (const report of reports)
      void world.network
        .caller('late')
        .call(address, 'POST', '/hello', report, 4000)
        .catch(() => undefined);
  }
}
