/** @file The controllers that could own a block, as the records have them. */
import { blockCount } from '../../bookkeeping/block-count';
import { KEY, PREFIX, read } from '../../bookkeeping/records';
import type { Contender } from '../../suspicion/suspicion';
import type { NodeContext } from '../node-context';

/** The controllers that hold a session, the one that has held its own for longest first. */
export function liveNodes({ cache }: NodeContext): string[] {
  return [...cache.under(PREFIX.node)]
    .sort((a, b) => a.version - b.version)
    .map((entry) => entry.key.slice(PREFIX.node.length));
}

/** How many blocks are assigned to each live controller. */
export function blocksByNode(context: NodeContext): Map<string, number> {
  const { cache, settings } = context;
  const counts = new Map(liveNodes(context).map((node) => [node, 0]));
  for (let block = 0; block < blockCount(cache, settings); block += 1) {
    const owner = read.block(cache.get(KEY.block(block))?.value)?.owner;
    const count = owner === undefined ? undefined : counts.get(owner);
    if (owner !== undefined && count !== undefined) counts.set(owner, count + 1);
  }
  return counts;
}

/** The live controllers with what the choice of an owner goes by. */
export function contenders(context: NodeContext, blocks: ReadonlyMap<string, number>): Contender[] {
  const missing = context.formatGate.missing();
  return [...blocks].map(([node, count]) => ({ node, blocks: count, isUpgraded: !missing.includes(node) }));
}

/**
 * The controllers in the order in which they are to own a block: those with the fewest blocks first, and among equals
 * those that have been upgraded, since one that is still to be restarted would soon lose its block again. With suspicion
 * on, suspects come last.
 */
export function rankOwners(
  context: NodeContext,
  block: number,
  blocks: ReadonlyMap<string, number>,
): string[] {
  const candidates = contenders(context, blocks);
  if (context.suspicion) return context.suspicion.rank(block, candidates);
  return candidates
    .sort((a, b) => a.blocks - b.blocks || Number(b.isUpgraded) - Number(a.isUpgraded))
    .map(({ node }) => node);
}
