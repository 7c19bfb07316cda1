/** @file The controllers that could own a shard, as the records have them. */
import { shardCount } from '../../bookkeeping/shard-count';
import { KEY, PREFIX, read } from '../../bookkeeping/records';
import type { OwnerCandidate } from '../../suspicion/successor';
import type { ControllerContext } from '../controller-context';

/** The controllers that hold a session, the one that has held its own for longest first. */
export function liveControllers({ cache }: ControllerContext): string[] {
  return [...cache.under(PREFIX.controller)]
    .sort((a, b) => a.version - b.version)
    .map((entry) => entry.key.slice(PREFIX.controller.length));
}

/** How many shards are assigned to each live controller. */
export function shardsByController(context: ControllerContext): Map<string, number> {
  const { cache, settings } = context;
  const counts = new Map(liveControllers(context).map((node) => [node, 0]));
  for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
    const owner = read.shard(cache.get(KEY.shard(shard))?.value)?.owner;
    const count = owner === undefined ? undefined : counts.get(owner);
    if (owner !== undefined && count !== undefined) counts.set(owner, count + 1);
  }
  return counts;
}

/** The live controllers with what the choice of an owner goes by. */
export function ownerCandidates(
  context: ControllerContext,
  shards: ReadonlyMap<string, number>,
): OwnerCandidate[] {
  const missing = context.formatGate.missing();
  return [...shards].map(([controller, count]) => ({
    controller,
    shards: count,
    isUpgraded: !missing.includes(controller),
  }));
}

/**
 * The controllers in the order in which they are to own a shard: those with the fewest shards first, and among equals
 * those that have been upgraded, since one that is still to be restarted would soon lose its shard again. With suspicion
 * on, suspects come last.
 */
export function rankOwners(
  context: ControllerContext,
  shard: number,
  shards: ReadonlyMap<string, number>,
): string[] {
  const candidates = ownerCandidates(context, shards);
  if (context.suspicion) return context.suspicion.rank(shard, candidates);
  return candidates
    .sort((a, b) => a.shards - b.shards || Number(b.isUpgraded) - Number(a.isUpgraded))
    .map(({ controller }) => controller);
}
