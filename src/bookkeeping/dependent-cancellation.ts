/** @file Cancels the jobs that need a cancelled one. */
import type { Clock } from '../base/clock';
import type { ChangeEvent, KeyValueStore } from '../protocol/key-value-store';
import type { DependencyTracker } from './dependency-tracker';
import type { JobStore } from './job-store';
import { KEY, type FinalRecord } from './records';
import type { WatchCache } from './watch-cache';

/** Each cancelled job takes two changes: its final state, and its live record. */
const CHANGES_PER_JOB = 2;
const CHECK_MS = 1_000;

interface Cancellation {
  readonly id: string;
  readonly version: number;
  readonly final: FinalRecord;
}

/** What this work needs. */
export interface CancellationContext {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly clock: Clock;
  readonly jobs: JobStore;
  readonly dependencies: DependencyTracker;
  /** Changes that a transaction may have. */
  readonly changes: number;
  publish(event: ChangeEvent): void;
}

/**
 * Cancels the live jobs that need a cancelled one. They have no tasks, since nothing of them started, so this is a
 * matter of records alone. Users are never told anything else of such a job meanwhile (`JobStore.find`): what is left
 * undone by a crash, or by congestion, may wait.
 */
export class DependentCancellation {
  constructor(private readonly context: CancellationContext) {}

  /** One step; to be run in a loop. */
  async step(mayAct: () => boolean): Promise<void> {
    await this.context.clock.sleep(CHECK_MS);
    if (mayAct()) await this.cancelPending();
  }

  /** Cancels all that this node knows to be condemned, a transaction at a time, until the steady time given. */
  async cancelPending(until = Infinity): Promise<void> {
    const { changes, clock } = this.context;
    const size = Math.max(1, Math.floor(changes / CHANGES_PER_JOB));
    const open = this.#pendingCancellations();
    for (let from = 0; from < open.length && clock.now() < until; from += size) {
      await this.#cancel(open.slice(from, from + size));
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
    const { store, jobs, publish } = this.context;
    const result = await store.compareAndSwap(
      cancellations.flatMap(({ id, version }) => [
        { key: KEY.job(id), version },
        { key: KEY.final(id), version: 0 },
      ]),
      cancellations.flatMap(({ id, final }) => [
        { put: KEY.final(id), value: final },
        { delete: KEY.job(id) },
      ]),
    );
    // Somebody else ended one of them meanwhile: the watch, or the next look at it, tells how.
    if (!result.ok) return;
    for (const { id, final } of cancellations) {
      jobs.rememberFinal(id, final);
      publish({ key: KEY.job(id), version: result.revision, deleted: true });
    }
  }
}
