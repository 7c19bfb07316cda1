/** @file Which controller is to own a shard: an order that every controller computes alike from the same facts. */
import { createHash } from 'node:crypto';

/** A controller that may own shards, without regard to suspicion. */
export interface OwnerCandidate {
  readonly controller: string;
  /** How many shards it has. */
  readonly shardCount: number;
  /** Whether it runs the newest version that any controller is known to run. */
  readonly isUpgraded: boolean;
}

/** A controller that could own a certain shard, with what suspicion knows of it. */
export interface SuccessorCandidate extends OwnerCandidate {
  readonly isSuspect: boolean;
  /** Whether it returned a short while ago. */
  readonly isOnProbation: boolean;
  /** Whether it was the last to own the shard. */
  readonly wasLastOwner: boolean;
}

/** The weight of a controller for a shard in rendezvous hashing (Thaler and Ravishankar): the highest one wins. */
export function rendezvousWeight(shard: number, controller: string): string {
  return createHash('sha256').update(`${shard}/${controller}`).digest('hex');
}

/** False before true. */
function falseFirst(first: boolean, second: boolean): number {
  return Number(first) - Number(second);
}

/**
 * The candidates in the order in which they are to own a shard: unsuspected ones first, then those with the fewest
 * shards, then upgraded ones (a controller that is still to be restarted would soon lose its shard again), then those
 * that did not return just now, then the one that owned the shard last, and among equals by rendezvous hashing, so that
 * a shard's successor stays the same when another controller comes or goes. Where all are suspects, that is no reason for
 * or against any.
 */
export function rankCandidates(
  shard: number,
  candidates: readonly SuccessorCandidate[],
): SuccessorCandidate[] {
  const weights = new Map(
    candidates.map(({ controller }) => [controller, rendezvousWeight(shard, controller)]),
  );
  const weightOf = ({ controller }: SuccessorCandidate): string => weights.get(controller) ?? '';
  return [...candidates].sort(
    (a, b) =>
      falseFirst(a.isSuspect, b.isSuspect) ||
      a.shardCount - b.shardCount ||
      falseFirst(!a.isUpgraded, !b.isUpgraded) ||
      falseFirst(a.isOnProbation, b.isOnProbation) ||
      falseFirst(!a.wasLastOwner, !b.wasLastOwner) ||
      weightOf(b).localeCompare(weightOf(a)),
  );
}
