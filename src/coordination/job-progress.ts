/** @file The progress of live jobs, as the owners of their shards report it to each other; for display only. */
import { KEY } from '../bookkeeping/records';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { JobStatus } from '../protocol/model';
import type { JobProgress } from '../protocol/peers';

/** The latest reported progress of each live job. */
export class JobProgressTable {
  readonly #jobs = new Map<string, JobProgress>();

  constructor(private readonly cache: WatchCache) {}

  /** The latest reported progress of a job. */
  get(job: string): JobProgress | undefined {
    return this.#jobs.get(job);
  }

  /** Takes in what an owner reported; jobs without a live record are ignored. */
  update(jobs: readonly JobProgress[]): void {
    for (const job of jobs) if (this.cache.get(KEY.job(job.id))) this.#jobs.set(job.id, job);
  }

  /** Forgets a job whose live record was deleted. */
  delete(job: string): void {
    this.#jobs.delete(job);
  }

  /** Adds what is known of a live job's progress to its status. */
  withProgress(status: JobStatus): JobStatus {
    const progress = this.#jobs.get(status.id);
    if (!progress || status.state === 'done' || status.state === 'cancelled') return status;
    const state = progress.running > 0 ? 'running' : 'queued';
    return { ...status, state, done: progress.done, running: progress.running };
  }
}
