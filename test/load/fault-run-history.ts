/** @file The history of injected faults, from what workers accepted and from the records of the state service. */
import type { OrphanedJob, OwnershipHistory, OwnershipInterval } from '../fakes/ownership-history';

/** What the state service has of a shard's lease. */
export interface ShardLease {
  readonly shard: number;
  readonly owner: string;
  readonly token: number;
}

/** A job, and the machines that held its tasks when its owner failed. */
interface TrackedOrphan {
  readonly orphan: OrphanedJob;
  readonly machines: Set<string>;
}

/**
 * Ownership as workers see it: from the first to the last message that any worker accepted under the tokens of one
 * acquisition. So an interval ends when a controller last acted, not when it may have believed that it could.
 */
export class FaultRunHistory {
  readonly #intervals: OwnershipInterval[] = [];
  readonly #ownerOf = new Map<number, ShardLease>();
  readonly #orphans: TrackedOrphan[] = [];
  /** When each worker first accepted a message after the fault, from the owner that acts after it. */
  readonly #firstContactAt = new Map<string, number>();
  /** The machines that were up when the owner failed: those that boot later say nothing about the failover. */
  #machinesAtFault: ReadonlySet<string> = new Set();
  #faultAt = Infinity;
  #tokenBefore = 0;
  /** Messages under tokens that no lease record was seen with. */
  unattributed = 0;

  constructor(private readonly now: () => number) {}

  /** A lease as it stands in the state service. */
  onLease(lease: ShardLease): void {
    this.#ownerOf.set(lease.token, lease);
  }

  /** The highest token that was drawn so far. */
  get highestToken(): number {
    return Math.max(0, ...this.#ownerOf.keys());
  }

  /** A worker accepted a message under a token. */
  onAccepted(machine: string, token: number): void {
    const lease = this.#ownerOf.get(token);
    const now = this.now();
    if (!lease) {
      this.unattributed += 1;
      return;
    }
    this.#extend(lease, now);
    if (now >= this.#faultAt && token > this.#tokenBefore) this.#onFirstContact(machine, now);
  }

  #extend({ shard, owner, token }: ShardLease, now: number): void {
    const ofShard = this.#intervals.filter((interval) => interval.shard === shard);
    const known = ofShard.findLast((interval) => interval.token <= token);
    const isSameOwnership =
      known?.controller === owner &&
      !ofShard.some((other) => other.token > known.token && other.token <= token);
    if (known && isSameOwnership) known.to = now;
    else this.#intervals.push({ shard, controller: owner, token, from: now, to: now });
  }

  #onFirstContact(machine: string, now: number): void {
    if (this.#machinesAtFault.has(machine) && !this.#firstContactAt.has(machine))
      this.#firstContactAt.set(machine, now);
    for (const { orphan, machines } of this.#orphans) {
      if (orphan.reassignedAt !== undefined) continue;
      machines.delete(machine);
      if (machines.size === 0) orphan.reassignedAt = now;
    }
  }

  /** A controller failed: these jobs are orphaned, each with the machines that hold its tasks. */
  onFault(jobs: ReadonlyMap<string, ReadonlySet<string>>, machines: ReadonlySet<string>): void {
    this.#machinesAtFault = machines;
    this.#faultAt = this.now();
    this.#tokenBefore = this.highestToken;
    this.#firstContactAt.clear();
    for (const [job, machines] of jobs) {
      const orphan = { job, orphanedAt: this.#faultAt, reassignedAt: undefined };
      this.#orphans.push({ orphan, machines: new Set(machines) });
    }
  }

  /** The job ended, or its machine did: nothing of it waits for an owner any more. */
  resolveFinishedOrphans(isOver: (job: string) => boolean, isGone: (machine: string) => boolean): void {
    for (const { orphan, machines } of this.#orphans) {
      if (orphan.reassignedAt !== undefined) continue;
      for (const machine of machines) if (isGone(machine)) machines.delete(machine);
      const hasNewOwner = this.#firstContactAt.size > 0;
      if (isOver(orphan.job) || (machines.size === 0 && hasNewOwner)) orphan.reassignedAt = this.now();
    }
  }

  /** How long after the fault each worker first accepted a message of the new owner, the quickest first. */
  firstContactTimes(): number[] {
    return [...this.#firstContactAt.values()].map((at) => at - this.#faultAt).sort((a, b) => a - b);
  }

  /** How long the jobs that were orphaned by the latest fault waited, the longest last. */
  waitsSinceFault(): number[] {
    return this.#orphans
      .filter(({ orphan }) => orphan.orphanedAt === this.#faultAt)
      .map(({ orphan }) => (orphan.reassignedAt ?? this.now()) - orphan.orphanedAt)
      .sort((a, b) => a - b);
  }

  /** The history so far. */
  get history(): OwnershipHistory {
    return {
      intervals: this.#intervals,
      orphans: this.#orphans.map(({ orphan }) => orphan),
      effects: [],
      endedAt: this.now(),
    };
  }
}
