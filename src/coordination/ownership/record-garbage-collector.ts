/** @file Deletion of records that ended jobs left behind; the leader's duty. */
import { maxChangesPerTransaction } from '../../base/state-limits';
import { COMPLETION_PREFIXES, jobOfCompletionKey } from '../../bookkeeping/completion-records';
import { jobOfDependencyPartKey } from '../../bookkeeping/dependency-records';
import { KEY, PREFIX } from '../../bookkeeping/records';
import type { ControllerContext } from '../controller-context';

/** Records deleted by one transaction. */
const MAX_DELETIONS = 8;

/**
 * Parts of a list of dependencies are written before the job that they belong to is accepted. A user repeats a
 * submission for a minute; parts without a job for longer belong to none.
 */
const UNCLAIMED_PART_MS = 120_000;

/** A record that belongs to no live job. */
export interface OrphanRecord {
  readonly key: string;
  readonly version: number;
  /** Key of the live record that the job would have. */
  readonly job: string;
}

/** What the garbage collector works on. */
export type GarbageCollectorContext = Pick<ControllerContext, 'cache' | 'clock' | 'store' | 'settings'>;

/**
 * Finds orphan records in this controller's copy of the records, and deletes them. A cancellation leaves the job's
 * completions behind, and so does an end whose writer got no response to an earlier write of them: once the job is gone,
 * nothing else would ever delete them.
 */
export class RecordGarbageCollector {
  /** Since when, in steady time, dependency parts have been seen without their job. */
  readonly #unclaimedSince = new Map<string, number>();

  constructor(private readonly context: GarbageCollectorContext) {}

  /** One step of the leader: deletes some orphans, as many as fit one transaction. */
  async step(): Promise<void> {
    const { store, settings } = this.context;
    const most = maxChangesPerTransaction(settings.platform.deployment.state, MAX_DELETIONS);
    const orphans = this.orphans().slice(0, most);
    if (orphans.length === 0) return;
    // Only the conditions prove that the jobs have ended. They are enough: an ended job never becomes live again.
    await store.compareAndSwap(
      orphans.flatMap(({ key, version, job }) => [
        { key, version },
        { key: job, version: 0 },
      ]),
      orphans.map(({ key }) => ({ delete: key })),
    );
  }

  /** Records that may be deleted, provided that the key-value store has no live job for them either. */
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
    const unclaimed = this.#unclaimedDependencyParts();
    const keys = new Set(unclaimed.map(({ key }) => key));
    for (const key of this.#unclaimedSince.keys()) if (!keys.has(key)) this.#unclaimedSince.delete(key);
    for (const key of keys) if (!this.#unclaimedSince.has(key)) this.#unclaimedSince.set(key, now);
    return unclaimed.filter(({ key }) => now - (this.#unclaimedSince.get(key) ?? now) > UNCLAIMED_PART_MS);
  }

  #unclaimedDependencyParts(): OrphanRecord[] {
    const { cache } = this.context;
    return [...cache.under(PREFIX.dependencyPart)]
      .map(({ key, version }) => ({ key, version, job: KEY.job(jobOfDependencyPartKey(key)) }))
      .filter(({ job }) => cache.get(job) === undefined);
  }
}
