/** @file The history of shard ownership, fencing tokens and orphaned jobs, and the checker of such a history. */

/** The time during which a controller held a valid lease of a shard under one fencing token. Times in milliseconds. */
export interface OwnershipInterval {
  readonly shard: number;
  readonly controller: string;
  readonly token: number;
  readonly from: number;
  /** The last time at which the lease was observed to be valid. */
  to: number;
}

/** A job whose owner failed. */
export interface OrphanedJob {
  readonly job: string;
  readonly orphanedAt: number;
  /** When a running controller was first observed to own the job, or the job to have ended. */
  reassignedAt: number | undefined;
}

/** A request that a controller sent without a valid lease of a shard. */
export interface UnauthorizedRequest {
  readonly controller: string;
  readonly what: string;
  readonly at: number;
}

/** The observed ownership of shards during a test. */
export interface OwnershipHistory {
  readonly intervals: readonly OwnershipInterval[];
  readonly orphans: readonly OrphanedJob[];
  readonly effects: readonly UnauthorizedRequest[];
  /** When the recording ended. */
  readonly endedAt: number;
}

/** An invariant of ownership that a history violates. */
export interface OwnershipViolation {
  readonly kind: 'two owners' | 'token went back' | 'not reassigned' | 'acted without right';
  readonly detail: string;
}

/** Longest time until an orphaned job must have a running owner again. */
export const REASSIGN_WITHIN_MS = 30_000;

/** Whether the intervals belong to different controllers and overlap in time. */
function overlap(a: OwnershipInterval, b: OwnershipInterval): boolean {
  return a.controller !== b.controller && a.from <= b.to && b.from <= a.to;
}

function describeInterval({ controller, token, from, to }: OwnershipInterval): string {
  return `${controller} under token ${token} from ${Math.round(from)} to ${Math.round(to)} ms`;
}

function checkPair(earlier: OwnershipInterval, later: OwnershipInterval): OwnershipViolation | undefined {
  const detail = `shard ${earlier.shard}: ${describeInterval(earlier)}, ${describeInterval(later)}`;
  if (overlap(earlier, later)) return { kind: 'two owners', detail };
  if (later.token < earlier.token) return { kind: 'token went back', detail };
  return undefined;
}

function checkIntervals(intervals: readonly OwnershipInterval[]): OwnershipViolation[] {
  const sorted = [...intervals].sort((a, b) => a.from - b.from);
  const violations: OwnershipViolation[] = [];
  for (const [index, earlier] of sorted.entries()) {
    for (const later of sorted.slice(index + 1)) {
      const violation = earlier.shard === later.shard ? checkPair(earlier, later) : undefined;
      if (violation) violations.push(violation);
    }
  }
  return violations;
}

function checkOrphan(orphan: OrphanedJob, endedAt: number): OwnershipViolation | undefined {
  const takenMs = (orphan.reassignedAt ?? endedAt) - orphan.orphanedAt;
  const isLate = takenMs > REASSIGN_WITHIN_MS;
  if (!isLate && orphan.reassignedAt !== undefined) return undefined;
  return {
    kind: 'not reassigned',
    detail: `${orphan.job}, ${Math.round(takenMs)} ms after its owner failed`,
  };
}

/** Violations of: one owner at a time, increasing tokens, orphaned jobs reassigned, no requests without a valid lease. */
export function checkOwnership(history: OwnershipHistory): OwnershipViolation[] {
  const late = history.orphans.flatMap((orphan) => checkOrphan(orphan, history.endedAt) ?? []);
  const effects = history.effects.map(({ controller, what, at }) => {
    return { kind: 'acted without right' as const, detail: `${controller}: ${what} at ${Math.round(at)} ms` };
  });
  return [...checkIntervals(history.intervals), ...late, ...effects];
}

/** How long each orphaned job waited for a running owner, in milliseconds. */
export function reassignmentTimes({ orphans }: OwnershipHistory): number[] {
  return orphans.flatMap(({ orphanedAt, reassignedAt }) =>
    reassignedAt === undefined ? [] : [reassignedAt - orphanedAt],
  );
}

/** How many times a shard's ownership changed from one controller to another. */
export function moveCount({ intervals }: OwnershipHistory): number {
  const sorted = [...intervals].sort((a, b) => a.from - b.from);
  return sorted.filter((later, index) => {
    const before = sorted.slice(0, index).filter(({ shard }) => shard === later.shard);
    const previous = before.at(-1);
    return previous !== undefined && previous.controller !== later.controller;
  }).length;
}
