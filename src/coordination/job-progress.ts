/** @file The progress of live jobs, which controllers report to each other in heartbeats; for display only. */
import { KEY } from '../bookkeeping/records';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { JobStatus } from '../protocol/model';
import type { JobProgress } from '../protocol/peers';

/** The latest reported progress of each live job. */
export class JobProgressTable {
  readonly #progressByJob = new Map<string, JobProgress>();

  constructor(private readonly cache: WatchCache) {}

  /** The latest reported progress of a job. */
  get(job: string): JobProgress | undefined {
    return this.#progressByJob.get(job);
  }

  /** Stores progress that a shard owner reported; jobs without a live record are ignored. */
  update(jobs: readonly JobProgress[]): void {
    for (const job of jobs) if (this.cache.get(KEY.job(job.id))) this.#progressByJob.set(job.id, job);
  }

  /** Removes a job whose live record was deleted. */
  delete(job: string): void {
    this.#progressByJob.delete(job);
  }

  /** Adds the latest reported progress to the status of a live job. */
  withProgress(status: JobStatus): JobStatus {
    const progress = this.#progressByJob.get(status.id);
    if (!progress || status.state === 'done' || status.state === 'cancelled') return status;
    const state = progress.running > 0 ? 'running' : 'queued';
    return { ...status, state, done: progress.done, running: progress.running };
  }
}
