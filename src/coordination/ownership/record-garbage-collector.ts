/** @file Finds records that jobs which are over have left behind. */
import type { Clock } from '../../base/clock';
import { COMPLETION_PREFIXES, jobOfCompletionKey } from '../../bookkeeping/completion-records';
import { KEY, PREFIX } from '../../bookkeeping/records';
import type { WatchCache } from '../../bookkeeping/watch-cache';

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

/** Looks for orphan records in this node's copy. */
export class RecordGarbageCollector {
  /** Since when, in steady time, dependency parts have been seen without their job. */
  readonly #unclaimedSince = new Map<string, number>();

  constructor(
    private readonly cache: WatchCache,
    private readonly clock: Clock,
  ) {}

  /** Records that may be deleted, provided that the state service knows no live job for them either. */
  orphans(): OrphanRecord[] {
    return [...this.#completions(), ...this.#dependencyParts()];
  }

  #completions(): OrphanRecord[] {
    return COMPLETION_PREFIXES.flatMap((prefix) => [...this.cache.under(prefix)])
      .map(({ key, version }) => ({ key, version, job: KEY.job(jobOfCompletionKey(key)) }))
      .filter(({ job }) => this.cache.get(job) === undefined);
  }

  #dependencyParts(): OrphanRecord[] {
    const now = this.clock.now();
    const unclaimed: OrphanRecord[] = [];
    for (const { key, version } of this.cache.under(PREFIX.dependencyPart)) {
      const job = KEY.job(key.slice(PREFIX.dependencyPart.length, key.lastIndexOf('/')));
      if (this.cache.get(job) === undefined) unclaimed.push({ key, version, job });
    }
    const keys = new Set(unclaimed.map(({ key }) => key));
    for (const key of this.#unclaimedSince.keys()) if (!keys.has(key)) this.#unclaimedSince.delete(key);
    for (const key of keys) if (!this.#unclaimedSince.has(key)) this.#unclaimedSince.set(key, now);
    return unclaimed.filter(({ key }) => now - (this.#unclaimedSince.get(key) ?? now) > UNCLAIMED_PART_MS);
  }
}
