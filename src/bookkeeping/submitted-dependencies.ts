/** @file Checks the dependencies that a submission names. */
import type { Job } from '../protocol/model';
import type { KeyValueStore } from '../protocol/key-value-store';
import { NoResponseError } from '../transport/http-client';
import { eventOfEntry } from './change-events';
import type { FinalStates } from './final-states';
import type { FormatGate } from './format-gate';
import { KEY } from './records';
import type { WatchCache } from './watch-cache';

/** How many dependencies of a submission are looked up at the same time. */
const CHECKS_AT_ONCE = 8;

/** A submission names a job that was never accepted, or itself. */
export class UnknownDependencyError extends Error {
  override name = 'UnknownDependencyError';
  constructor(readonly dependency: string) {
    super(`${dependency} was never accepted`);
  }
}

/** What the check of dependencies works on. */
export interface SubmittedDependenciesContext {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly finals: FinalStates;
  readonly formatGate: FormatGate;
}

/** Finds out which dependencies of a submission are still to be waited for. */
export class SubmittedDependencies {
  constructor(private readonly context: SubmittedDependenciesContext) {}

  /**
   * The job with those of its dependencies that aren't done yet: what is done stays done. Throws where one was never
   * accepted, or where that can't be determined now.
   */
  async withoutDoneDependencies(job: Job): Promise<Job> {
    const { dependencies, ...rest } = job;
    if (!dependencies) return job;
    // Only the key-value store itself proves that every version that may start tasks understands dependencies.
    if (!(await this.context.formatGate.confirmOpenForFormat2())) {
      throw new NoResponseError('not all controllers understand dependencies yet', false);
    }
    const unfinished: string[] = [];
    for (let from = 0; from < dependencies.length; from += CHECKS_AT_ONCE) {
      const batch = dependencies.slice(from, from + CHECKS_AT_ONCE);
      const areDone = await Promise.all(batch.map((dependency) => this.#isDone(dependency, job.id)));
      unfinished.push(...batch.filter((_, index) => areDone[index] === false));
    }
    return unfinished.length === 0 ? rest : { ...rest, dependencies: unfinished };
  }

  /**
   * Whether a dependency is done. That it was accepted is proved by a live or a final record; one of them exists at all
   * times from then on, so an older copy of the records proves it just as well.
   */
  async #isDone(id: string, dependent: string): Promise<boolean> {
    const { finals, cache, store } = this.context;
    if (id === dependent) throw new UnknownDependencyError(id);
    const known = finals.cached(id);
    if (known) return known.state === 'done';
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
