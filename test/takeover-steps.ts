/** @file Steps that several scenarios of takeovers share. */
import type { World } from './fakes/simulated-cluster';

/** Loses the cloud's releases from now on: an unreachable machine stops only when its lease ends. */
export function loseReleases(world: World): void {
  world.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
}

/** Kills the owner of shard 0 for good, and waits for its successor. */
export async function replaceOwner(world: World): Promise<number> {
  world.kill(world.owner);
  await world.clock.advance(100);
  return world.untilOwned();
}
