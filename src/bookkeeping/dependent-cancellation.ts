/** @file Cancels the jobs that depend on a cancelled one. */
import type { Clock } from '../base/clock';
import type { KeyValueStore } from '../protocol/key-value-store';
import { CHANGES_PER_CANCELLATION, cancellationTransaction, type Cancellation } from './cancellation';
import type { DependencyTracker } from './dependency-tracker';
import type { JobStore } from './job-store';
import { KEY } from './records';
import type { WatchCache } from './watch-cache';

const CHECK_INTERVAL_MS = 1_000;

/** What the cancellation of dependents works on. */
export interface CancellationContext {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly clock: Clock;
  readonly jobs: JobStore;
  readonly dependencies: DependencyTracker;
  /** Changes that a transaction may have. */
  readonly changes: number;
}

/**
 * Cancels the live jobs that depend on a cancelled one. They have no tasks, since none of them was started, so only
 * records have to change. Until then `JobStore.find` reports such a job to users as cancelled all the same: what a crash
 * or congestion leaves undone may wait.
 */
export class DependentCancellation {
  constructor(private readonly context: CancellationContext) {}

  /** One step; to be run in a loop. */
  async step(mayAct: () => boolean): Promise<void> {
    await this.context.clock.sleep(CHECK_INTERVAL_MS);
    if (mayAct()) await this.cancelPending();
  }

  /**
   * Cancels all jobs whose cancellation is pending as far as this controller knows, a transaction at a time, until the
   * steady time given.
   */
  async cancelPending(until = Infinity): Promise<void> {
    const { changes, clock } = this.context;
    const batchSize = Math.max(1, Math.floor(changes / CHANGES_PER_CANCELLATION));
    const pending = this.#pendingCancellations();
    for (let from = 0; from < pending.length && clock.now() < until; from += batchSize) {
      await this.#cancel(pending.slice(from, from + batchSize));
    }
  }

  #pendingCancellations(): Cancellation[] {
    const { cache, dependencies, jobs } = this.context;
    const final = jobs.finalRecord('cancelled', 0);
    return [...dependencies.graph.pendingCancellations].flatMap((id) => {
      const entry = cache.get(KEY.job(id));
      return entry ? [{ id, version: entry.version, final }] : [];
    });
  }

  async #cancel(cancellations: readonly Cancellation[]): Promise<void> {
    const { store, jobs } = this.context;
    const { conditions, changes } = cancellationTransaction(cancellations);
    const result = await store.compareAndSwap(conditions, changes);
    // Where a condition failed, another controller ended one of the jobs meanwhile: the watch brings that end, or the
    // next check reads it.
    if (!result.ok) return;
    for (const cancellation of cancellations) jobs.onCancelled(cancellation, result.revision);
  }
}
