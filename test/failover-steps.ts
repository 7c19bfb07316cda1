/** @file Steps that several scenarios of takeovers share. */
import type { SimulatedCluster } from './fakes/simulated-cluster';

/** Loses the cloud's releases from now on: an unreachable machine stops only when its lease ends. */
export function dropReleaseRequests(cluster: SimulatedCluster): void {
  cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
}

/** Kills the owner of shard 0 for good, and waits for its successor. */
export async function replaceOwner(cluster: SimulatedCluster): Promise<number> {
  cluster.kill(cluster.owner);
  await cluster.clock.advance(100);
  return cluster.untilOwned();
}
