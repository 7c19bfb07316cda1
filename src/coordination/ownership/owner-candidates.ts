/** @file The controllers that could own a shard, according to the records. */
import { compareUint64 } from '../../base/uint64';
import { KEY, PREFIX, read } from '../../bookkeeping/records';
import { shardCount } from '../../bookkeeping/shard-count';
import type { OwnerCandidate } from '../../suspicion/successor';
import type { ControllerContext } from '../controller-context';

/** The controllers that hold a session, in the order in which they opened their sessions. */
export function liveControllers({ cache }: ControllerContext): string[] {
  return [...cache.under(PREFIX.controller)]
    .sort((a, b) => compareUint64(a.version, b.version))
    .map((entry) => entry.key.slice(PREFIX.controller.length));
}

/** The number of shards assigned to each live controller. */
export function shardCountByController(context: ControllerContext): Map<string, number> {
  const { cache, settings } = context;
  const shardCounts = new Map(liveControllers(context).map((controller) => [controller, 0]));
  for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
    const owner = read.shard(cache.get(KEY.shard(shard))?.value)?.owner;
    const count = owner === undefined ? undefined : shardCounts.get(owner);
    if (owner !== undefined && count !== undefined) shardCounts.set(owner, count + 1);
  }
  return shardCounts;
}

/** The live controllers with the properties by which an owner is chosen. */
export function ownerCandidates(
  context: ControllerContext,
  shardCounts: ReadonlyMap<string, number>,
): OwnerCandidate[] {
  const missing = context.formatGate.controllersWithout();
  return [...shardCounts].map(([controller, count]) => ({
    controller,
    shardCount: count,
    isUpgraded: !missing.includes(controller),
  }));
}

/**
 * The controllers in order of preference as owners of a shard: those with the fewest shards first, and among equals the
 * upgraded ones, since a controller that is still to be restarted for an upgrade would soon lose its shard again. With
 * suspicion on, suspects come last.
 */
export function rankOwners(
  context: ControllerContext,
  shard: number,
  shardCounts: ReadonlyMap<string, number>,
): string[] {
  const candidates = ownerCandidates(context, shardCounts);
  if (context.suspicion) return context.suspicion.rankOwners(shard, candidates);
  return candidates
    .sort((a, b) => a.shardCount - b.shardCount || Number(b.isUpgraded) - Number(a.isUpgraded))
    .map(({ controller }) => controller);
}
