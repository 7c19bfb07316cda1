/** @file The ownership history of a fault run, from the messages that workers accepted and from lease records. */
import type { OrphanedJob, OwnershipHistory, OwnershipInterval } from '../fakes/ownership-history';

/** The lease of a shard as it is stored in the key-value store. */
export interface ShardLease {
  readonly shard: number;
  readonly owner: string;
  readonly token: number;
}

/** A job whose owner failed, and the machines with its tasks that had no contact with the new owner yet. */
interface TrackedOrphan {
  readonly orphan: OrphanedJob;
  readonly machines: Set<string>;
}

/**
 * Records ownership as workers observe it. An interval reaches from the first to the last message that any worker
 * accepted with the tokens of one acquisition. So it ends with the owner's last effect, not with its lease.
 */
export class FaultRunHistory {
  readonly #intervals: OwnershipInterval[] = [];
  readonly #ownerOf = new Map<number, ShardLease>();
  readonly #orphans: TrackedOrphan[] = [];
  /** When each worker first accepted a message of the owner that acquired the shard after the fault. */
  readonly #firstContactAt = new Map<string, number>();
  /** The machines that were up when the owner failed. Machines that boot later don't measure the failover. */
  #machinesAtFault: ReadonlySet<string> = new Set();
  #faultAt = Infinity;
  #tokenBefore = 0;
  /** The number of accepted messages whose token appeared in no observed lease record. */
  unattributed = 0;

  constructor(private readonly now: () => number) {}

  /** Records a lease that was read from the store. */
  onLease(lease: ShardLease): void {
    this.#ownerOf.set(lease.token, lease);
  }

  /** The highest token of all observed leases. */
  get highestToken(): number {
    return Math.max(0, ...this.#ownerOf.keys());
  }

  /** Records that a worker accepted a message with a token. */
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
    const shardIntervals = this.#intervals.filter((interval) => interval.shard === shard);
    const latest = shardIntervals.findLast((interval) => interval.token <= token);
    const isSameAcquisition =
      latest?.controller === owner &&
      !shardIntervals.some((other) => other.token > latest.token && other.token <= token);
    if (latest && isSameAcquisition) latest.to = now;
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

  /** Records the failure of a controller. `jobs` maps each orphaned job to the machines that run its tasks. */
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

  /** Closes orphans that need no new owner: the job has ended, or its remaining machines are gone. */
  resolveFinishedOrphans(
    hasJobEnded: (job: string) => boolean,
    isMachineGone: (machine: string) => boolean,
  ): void {
    for (const { orphan, machines } of this.#orphans) {
      if (orphan.reassignedAt !== undefined) continue;
      for (const machine of machines) if (isMachineGone(machine)) machines.delete(machine);
      const hasNewOwner = this.#firstContactAt.size > 0;
      if (hasJobEnded(orphan.job) || (machines.size === 0 && hasNewOwner)) orphan.reassignedAt = this.now();
    }
  }

  /** The time from the fault to each worker's first message from the new owner, in ascending order. */
  firstContactTimes(): number[] {
    return [...this.#firstContactAt.values()].map((at) => at - this.#faultAt).sort((a, b) => a - b);
  }

  /** How long the jobs orphaned by the latest fault waited for a new owner, in ascending order. */
  waitsSinceFault(): number[] {
    return this.#orphans
      .filter(({ orphan }) => orphan.orphanedAt === this.#faultAt)
      .map(({ orphan }) => (orphan.reassignedAt ?? this.now()) - orphan.orphanedAt)
      .sort((a, b) => a - b);
  }

  /** The recorded history up to now. */
  get history(): OwnershipHistory {
    return {
      intervals: this.#intervals,
      orphans: this.#orphans.map(({ orphan }) => orphan),
      effects: [],
      endedAt: this.now(),
    };
  }
}
