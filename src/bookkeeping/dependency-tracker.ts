/** @file Keeps the job graph in step with the records. */
import { WakeSignal, type Clock } from '../base/clock';
import type { ChangeEvent } from '../protocol/key-value-store';
import { NoResponseError } from '../transport/http-client';
import { jobOfDependencyPartKey, recordedDependencies } from './dependency-records';
import type { FinalStates } from './final-states';
import { JobGraph } from './job-graph';
import { KEY, PREFIX, read } from './records';
import type { WatchCache } from './watch-cache';

/** How often outcomes that could not be read are tried again. */
const RETRY_MS = 500;
const READS_AT_ONCE = 8;
/**
 * How old this controller's copy of the records may be for it to say that no ancestor of a job was cancelled. It is far
 * below the bound on cancellations, and far above the time of a watch.
 */
const MAX_VIEW_AGE_MS = 5_000;

/** Receives jobs whose last dependency is now known to be done. */
type ReadyListener = (jobs: readonly string[]) => void;

/**
 * Keeps the job graph in step with the records: live jobs come from the watched copy; the outcome of a dependency whose
 * live record is gone is read from the key-value store. A dependency counts as done only once its final state was read or
 * written there: while its outcome is unknown, the jobs that depend on it wait.
 */
export class DependencyTracker {
  readonly #readyListeners: ReadyListener[] = [];
  /** Dependencies that are not live in the copy and whose outcome isn't known. */
  readonly #unread = new Set<string>();
  /** Jobs whose list of dependencies is stored in parts that the copy lacks. */
  readonly #incomplete = new Set<string>();
  readonly #wake: WakeSignal;

  constructor(
    private readonly cache: WatchCache,
    private readonly finals: FinalStates,
    private readonly clock: Clock,
    readonly graph = new JobGraph(),
  ) {
    this.#wake = new WakeSignal(clock);
    cache.onChange((event) => {
      this.#onChange(event);
    });
    finals.onAdded(({ id, state, endedAt }) => {
      this.#unread.delete(id);
      const ready = this.graph.setOutcome(id, { state, endedAt });
      if (ready.length === 0) return;
      for (const listener of this.#readyListeners) listener(ready);
    });
  }

  /** Registers a listener that is called with jobs whose last dependency is now known to be done. */
  onReady(listener: ReadyListener): void {
    this.#readyListeners.push(listener);
  }

  /** Whether the key-value store has acknowledged that all dependencies of a live job are done. */
  isReady(id: string): boolean {
    return this.graph.isReady(id);
  }

  /** Whether a dependency of the job is live in this controller's copy: no owner can have started the job before it. */
  hasLiveDependency(id: string): boolean {
    return this.graph.dependenciesOf(id).some((dependency) => this.cache.get(KEY.job(dependency)));
  }

  /** The dependencies that a job still waits for, as far as this controller knows. */
  unfinishedDependencies(id: string): string[] {
    return this.graph
      .dependenciesOf(id)
      .filter((dependency) => this.graph.outcome(dependency)?.state !== 'done');
  }

  /**
   * Whether a job that this one depends on, directly or through others, is cancelled. Throws where this controller can't
   * determine that: its copy of the records is too old, or an outcome can't be read.
   */
  async isCancellationPending(id: string): Promise<boolean> {
    if (this.graph.isCancellationPending(id)) return true;
    if (this.graph.isReady(id)) return false;
    if (this.clock.now() - this.cache.freshAt > MAX_VIEW_AGE_MS) {
      throw new NoResponseError(`what ${id} waits for is not known here at present`, false);
    }
    if (this.#unread.size > 0) await this.#readAncestors(id);
    return this.graph.isCancellationPending(id);
  }

  async #readAncestors(id: string): Promise<void> {
    const unread = [...this.graph.unfinishedAncestors(id)].filter((ancestor) => this.#unread.has(ancestor));
    // They are being read in the background; a user would wait too long for so many reads.
    if (unread.length > READS_AT_ONCE) {
      throw new NoResponseError(
        `what became of ${unread.length} jobs before ${id} is still to be read`,
        false,
      );
    }
    await Promise.all(unread.map((ancestor) => this.finals.read(ancestor)));
  }

  #onChange({ key, value, deleted }: ChangeEvent): void {
    if (key.startsWith(PREFIX.dependencyPart)) {
      if (!deleted) this.#addIncomplete(key);
    } else if (key.startsWith(PREFIX.job)) {
      const id = key.slice(PREFIX.job.length);
      if (deleted) this.#remove(id);
      else this.#add(id, value);
    }
  }

  /** A part of a list of dependencies arrived: the job is added if it waited for that. */
  #addIncomplete(partKey: string): void {
    const id = jobOfDependencyPartKey(partKey);
    if (this.#incomplete.has(id)) this.#add(id, this.cache.get(KEY.job(id))?.value);
  }

  #add(id: string, value: unknown): void {
    this.#unread.delete(id);
    const record = read.job(value);
    if (!record) return;
    const dependencies = recordedDependencies(record, this.cache);
    if (dependencies === undefined) {
      this.#incomplete.add(id);
      return;
    }
    this.#incomplete.delete(id);
    if (dependencies.length === 0) return;
    this.graph.add(id, dependencies);
    for (const dependency of dependencies) this.#addDependency(dependency);
  }

  #addDependency(id: string): void {
    const known = this.finals.cached(id);
    if (known) this.graph.setOutcome(id, known);
    else if (!this.cache.get(KEY.job(id))) this.#scheduleRead(id);
  }

  #remove(id: string): void {
    this.#incomplete.delete(id);
    this.graph.remove(id);
    if (this.graph.isDependency(id) && !this.graph.outcome(id)) this.#scheduleRead(id);
  }

  #scheduleRead(id: string): void {
    this.#unread.add(id);
    this.#wake.wake();
  }

  /** One step: reads the outcomes that are to be read. To be run in a loop. */
  async step(): Promise<void> {
    await this.#wake.wait(RETRY_MS);
    // While the copy is being loaded, a dependency may seem to have ended whose live record just isn't loaded yet.
    if (!this.cache.isLoaded) return;
    for (const id of [...this.#unread]) if (!this.graph.isDependency(id)) this.#unread.delete(id);
    const unread = [...this.#unread];
    for (let from = 0; from < unread.length; from += READS_AT_ONCE) {
      const batch = unread.slice(from, from + READS_AT_ONCE).filter((id) => this.#unread.has(id));
      // An outcome that can't be read delays no other; it is tried again in the next step.
      await Promise.allSettled(batch.map((id) => this.finals.read(id)));
    }
  }
}
