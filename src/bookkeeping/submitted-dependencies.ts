/** @file Checks the dependencies that a submission names. */
import type { Job } from '../protocol/model';
import type { KeyValueStore } from '../protocol/key-value-store';
import { NoResponseError } from '../transport/http-client';
import { eventOfEntry } from './change-events';
import type { FinalStates } from './final-states';
import type { FormatGate } from './format-gate';
import { KEY } from './records';
import type { WatchCache } from './watch-cache';

/** Maximum number of dependencies of a submission that are looked up at the same time. */
const MAX_CONCURRENT_CHECKS = 8;

/** Thrown when a submission names a job that was never accepted, or itself, as a dependency. */
export class UnknownDependencyError extends Error {
  override name = 'UnknownDependencyError';
  constructor(readonly dependency: string) {
    super(`${dependency} was never accepted`);
  }
}

/** The services that `SubmittedDependencies` uses. */
export interface SubmittedDependenciesContext {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly finals: FinalStates;
  readonly formatGate: FormatGate;
}

/** Checks the dependencies of a submission, and removes those that are done. */
export class SubmittedDependencies {
  constructor(private readonly context: SubmittedDependenciesContext) {}

  /**
   * The job without its done dependencies, which can be dropped because a done job stays done. Throws if a dependency was
   * never accepted, or if that can't be determined now.
   */
  async withoutDoneDependencies(job: Job): Promise<Job> {
    const { dependencies, ...rest } = job;
    if (!dependencies) return job;
    // Without this check, a controller of an older version could start the job before its dependencies are done.
    if (!(await this.context.formatGate.confirmOpenForFormat2())) {
      throw new NoResponseError('not all controllers understand dependencies yet', false);
    }
    const unfinished: string[] = [];
    for (let from = 0; from < dependencies.length; from += MAX_CONCURRENT_CHECKS) {
      const batch = dependencies.slice(from, from + MAX_CONCURRENT_CHECKS);
      const areDone = await Promise.all(batch.map((dependency) => this.#isDone(dependency, job.id)));
      unfinished.push(...batch.filter((_, index) => areDone[index] === false));
    }
    return unfinished.length === 0 ? rest : { ...rest, dependencies: unfinished };
  }

  /**
   * Whether a dependency is done. Throws if it was never accepted. An accepted job always has a live or a final record,
   * so a live record in the watch cache shows that it was accepted, even if the cache is outdated.
   */
  async #isDone(id: string, dependent: string): Promise<boolean> {
    const { finals, cache, store } = this.context;
    if (id === dependent) throw new UnknownDependencyError(id);
    const cached = finals.cached(id);
    if (cached) return cached.state === 'done';
    if (cache.get(KEY.job(id))) return false;
    const live = await store.get(KEY.job(id));
    if (live) {
      cache.applyNotification(eventOfEntry(live));
      return false;
    }
    const final = await finals.read(id);
    if (!final) throw new UnknownDependencyError(id);
    return final.status.state === 'done';
  }
}
