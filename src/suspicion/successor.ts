/** @file Ranks the controllers that may own a shard. All controllers with the same input compute the same order. */
import { createHash } from 'node:crypto';

/** A controller that may own shards, without its state of suspicion. */
export interface OwnerCandidate {
  readonly controller: string;
  /** Number of shards that are assigned to the controller. */
  readonly shardCount: number;
  /** Whether the controller runs the newest version that any controller is known to run. */
  readonly isUpgraded: boolean;
}

/** A controller that may own a certain shard, with its state of suspicion. */
export interface SuccessorCandidate extends OwnerCandidate {
  readonly isSuspect: boolean;
  /** Whether, in the last `probation_s` seconds, the controller returned after a failure or restart. */
  readonly isOnProbation: boolean;
  /** Whether the controller was the last owner of the shard. */
  readonly wasLastOwner: boolean;
}

/** The weight of a controller for a shard in rendezvous hashing (Thaler and Ravishankar). The highest weight wins. */
export function rendezvousWeight(shard: number, controller: string): string {
  return createHash('sha256').update(`${shard}/${controller}`).digest('hex');
}

/** Comparator that sorts false before true. */
function falseFirst(first: boolean, second: boolean): number {
  return Number(first) - Number(second);
}

/**
 * Sorts the candidates for a shard, best first. The criteria, in this order: not suspected; fewest shards; upgraded (a
 * controller that has yet to be restarted for an upgrade would soon lose the shard again); not on probation; last owner
 * of the shard; rendezvous hashing, by which a shard's successor stays the same when another controller joins or
 * leaves. If all candidates are suspected, suspicion does not affect the order.
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
