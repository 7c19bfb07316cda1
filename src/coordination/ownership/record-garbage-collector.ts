/** @file Deletion of records that ended jobs left behind; the leader's duty. */
import type { Uint64 } from '../../base/uint64';
import { maxChangesPerTransaction } from '../../base/state-limits';
import { COMPLETION_PREFIXES, jobOfCompletionKey } from '../../bookkeeping/completion-records';
import { jobOfDependencyPartKey } from '../../bookkeeping/dependency-parts';
import { KEY, PREFIX } from '../../bookkeeping/records';
import type { ControllerContext } from '../controller-context';

/** Maximum number of records deleted by one transaction. */
const MAX_DELETIONS = 8;

/**
 * Minimum time that a dependency part is seen without its job before the part is deleted. Parts are written before the
 * job is accepted, and a user repeats a submission for a minute. A part without a job after this time never gets one.
 */
const MIN_ORPHAN_PART_AGE_MS = 120_000;

/** A record that belongs to no live job. */
export interface OrphanRecord {
  readonly key: string;
  readonly version: Uint64;
  /** Key of the job's record, which exists only while the job is live. */
  readonly job: string;
}

/** The part of a controller that the garbage collector uses. */
export type GarbageCollectorContext = Pick<ControllerContext, 'cache' | 'clock' | 'store' | 'settings'>;

/**
 * Finds orphan records in the watch cache, and deletes them. A cancellation leaves the job's completion records behind.
 * The final write of a job leaves a completion record behind if the write of that record got no response, because the
 * owner doesn't know that the record exists. Once the job's record is gone, nothing else ever deletes these records.
 */
export class RecordGarbageCollector {
  /** Monotonic time at which a dependency part was first seen without its job, by the part's key. */
  readonly #withoutJobSince = new Map<string, number>();

  constructor(private readonly context: GarbageCollectorContext) {}

  /** Deletes as many orphans as fit into one transaction. Run by the leader. */
  async step(): Promise<void> {
    const { store, settings } = this.context;
    const maxDeletions = maxChangesPerTransaction(settings.platform.deployment.state, MAX_DELETIONS);
    const orphans = this.orphans().slice(0, maxDeletions);
    if (orphans.length === 0) return;
    // The cache may be stale, so the conditions check that the jobs have ended. An ended job never becomes live again.
    await store.compareAndSwap(
      orphans.flatMap(({ key, version, job }) => [
        { key, version },
        { key: job, version: 0 },
      ]),
      orphans.map(({ key }) => ({ delete: key })),
    );
  }

  /** Returns the records that may be deleted, provided that their jobs are not live in the key-value store either. */
  orphans(): OrphanRecord[] {
    return [...this.#orphanCompletions(), ...this.#orphanDependencyParts()];
  }

  #orphanCompletions(): OrphanRecord[] {
    const { cache } = this.context;
    return COMPLETION_PREFIXES.flatMap((prefix) => [...cache.under(prefix)])
      .map(({ key, version }) => ({ key, version, job: KEY.job(jobOfCompletionKey(key)) }))
      .filter(({ job }) => cache.get(job) === undefined);
  }

  #orphanDependencyParts(): OrphanRecord[] {
    const now = this.context.clock.now();
    const partsWithoutJob = this.#dependencyPartsWithoutJob();
    const keys = new Set(partsWithoutJob.map(({ key }) => key));
    for (const key of this.#withoutJobSince.keys()) if (!keys.has(key)) this.#withoutJobSince.delete(key);
    for (const key of keys) if (!this.#withoutJobSince.has(key)) this.#withoutJobSince.set(key, now);
    return partsWithoutJob.filter(
      ({ key }) => now - (this.#withoutJobSince.get(key) ?? now) > MIN_ORPHAN_PART_AGE_MS,
    );
  }

  #dependencyPartsWithoutJob(): OrphanRecord[] {
    const { cache } = this.context;
    return [...cache.under(PREFIX.dependencyPart)]
      .map(({ key, version }) => ({ key, version, job: KEY.job(jobOfDependencyPartKey(key)) }))
      .filter(({ job }) => cache.get(job) === undefined);
  }
}
