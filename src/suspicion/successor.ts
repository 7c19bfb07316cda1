/** @file Which controller is to own a block: an order that every controller computes alike from the same facts. */
import { createHash } from 'node:crypto';

/** A controller that could own a block. */
export interface Candidate {
  readonly node: string;
  readonly isSuspect: boolean;
  /** Whether it has been back for a short while only. */
  readonly isOnProbation: boolean;
  /** How many blocks it has. */
  readonly blocks: number;
  /** Whether it was the last to own the block. */
  readonly wasHolder: boolean;
  /** Whether it runs the newest version that any controller is known to run. */
  readonly isUpgraded: boolean;
}

/** The weight of a controller for a block in rendezvous hashing (Thaler and Ravishankar): the highest one wins. */
export function rendezvousWeight(block: number, node: string): string {
  return createHash('sha256').update(`${block}/${node}`).digest('hex');
}

/** False before true. */
function falseFirst(a: boolean, b: boolean): number {
  return Number(a) - Number(b);
}

/**
 * The candidates in the order in which they are to own a block: unsuspected ones first, then those with the fewest
 * blocks, then upgraded ones (a controller that is still to be restarted would soon lose its block again), then those
 * that did not return just now, then the one that owned the block last, and among equals by rendezvous hashing, so that a block's successor stays the same when
 * another controller comes or goes. Where all are suspects, that is no reason for or against any.
 */
export function rankCandidates(block: number, candidates: readonly Candidate[]): Candidate[] {
  const weights = new Map(candidates.map(({ node }) => [node, rendezvousWeight(block, node)]));
  const weightOf = ({ node }: Candidate): string => weights.get(node) ?? '';
  return [...candidates].sort(
    (a, b) =>
      falseFirst(a.isSuspect, b.isSuspect) ||
      a.blocks - b.blocks ||
      falseFirst(!a.isUpgraded, !b.isUpgraded) ||
      falseFirst(a.isOnProbation, b.isOnProbation) ||
      falseFirst(!a.wasHolder, !b.wasHolder) ||
      weightOf(b).localeCompare(weightOf(a)),
  );
}
