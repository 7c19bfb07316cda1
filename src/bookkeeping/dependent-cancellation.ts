/** @file Cancels the jobs that depend on a cancelled job. */
import type { Clock } from '../base/clock';
import type { KeyValueStore } from '../protocol/key-value-store';
import { CHANGES_PER_CANCELLATION, cancellationTransaction, type Cancellation } from './cancellation';
import type { DependencyTracker } from './dependency-tracker';
import type { JobStore } from './job-store';
import { KEY } from './records';
import type { WatchCache } from './watch-cache';

const CHECK_INTERVAL_MS = 1_000;

/** The services and limits that `DependentCancellation` uses. */
export interface CancellationContext {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly clock: Clock;
  readonly jobs: JobStore;
  readonly dependencies: DependencyTracker;
  /** Maximum number of changes in a transaction. */
  readonly changes: number;
}

/**
 * Cancels the live jobs that depend on a cancelled job. None of them has started, so they have no tasks and only records
 * change. A delay after a crash or during congestion does no harm, because `JobStore.find` cancels such a job before it
 * reports its state to a user.
 */
export class DependentCancellation {
  constructor(private readonly context: CancellationContext) {}

  /** Cancels the jobs whose cancellation is pending if this controller is the leader. Run in a loop. */
  async step(isLeader: () => boolean): Promise<void> {
    await this.context.clock.sleep(CHECK_INTERVAL_MS);
    if (isLeader()) await this.cancelPending();
  }

  /**
   * Cancels all jobs that this controller knows to depend on a cancelled job, one transaction after another. Starts no
   * transaction once the monotonic time `until` is reached.
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
    // A failed condition means that one of the jobs has ended meanwhile. The watch delivers that change, and the next
    // call of `step` retries the other jobs.
    if (!result.ok) return;
    for (const cancellation of cancellations) jobs.onCancelled(cancellation, result.revision);
  }
}
