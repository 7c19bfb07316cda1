/** @file Which controller is to own a shard: an order that every controller computes alike from the same facts. */
import { createHash } from 'node:crypto';

/** A controller that could own a shard. */
export interface Candidate {
  readonly node: string;
  readonly isSuspect: boolean;
  /** Whether it has been back for a short while only. */
  readonly isOnProbation: boolean;
  /** How many shards it has. */
  readonly shards: number;
  /** Whether it was the last to own the shard. */
  readonly wasHolder: boolean;
  /** Whether it runs the newest version that any controller is known to run. */
  readonly isUpgraded: boolean;
}

/** The weight of a controller for a shard in rendezvous hashing (Thaler and Ravishankar): the highest one wins. */
export function rendezvousWeight(shard: number, node: string): string {
  return createHash('sha256').update(`${shard}/${node}`).digest('hex');
}

/** False before true. */
function falseFirst(a: boolean, b: boolean): number {
  return Number(a) - Number(b);
}

/**
 * The candidates in the order in which they are to own a shard: unsuspected ones first, then those with the fewest
 * shards, then upgraded ones (a controller that is still to be restarted would soon lose its shard again), then those
 * that did not return just now, then the one that owned the shard last, and among equals by rendezvous hashing, so that a shard's successor stays the same when
 * another controller comes or goes. Where all are suspects, that is no reason for or against any.
 */
export function rankCandidates(shard: number, candidates: readonly Candidate[]): Candidate[] {
  const weights = new Map(candidates.map(({ node }) => [node, rendezvousWeight(shard, node)]));
  const weightOf = ({ node }: Candidate): string => weights.get(node) ?? '';
  return [...candidates].sort(
    (a, b) =>
      falseFirst(a.isSuspect, b.isSuspect) ||
      a.shards - b.shards ||
      falseFirst(!a.isUpgraded, !b.isUpgraded) ||
      falseFirst(a.isOnProbation, b.isOnProbation) ||
      falseFirst(!a.wasHolder, !b.wasHolder) ||
      weightOf(b).localeCompare(weightOf(a)),
  );
}
