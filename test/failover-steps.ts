/** @file Shared steps of the tests of failovers. */
import type { SimulatedCluster } from './fakes/simulated-cluster';

/** Loses all release requests to the cloud: an unreachable machine stops its tasks only when its lease expires. */
export function dropReleaseRequests(cluster: SimulatedCluster): void {
  cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
}

/** Kills the owner of shard 0 without restarting it, and waits for the next owner. */
export async function replaceOwner(cluster: SimulatedCluster): Promise<number> {
  cluster.kill(cluster.owner);
  await cluster.clock.advance(100);
  return cluster.untilOwned();
}
