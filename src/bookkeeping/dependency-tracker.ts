/** @file Updates the job graph from the records. */
import { WakeSignal, type Clock } from '../base/clock';
import type { ChangeEvent } from '../protocol/key-value-store';
import { NoResponseError } from '../transport/http-client';
import { DependencyParts, jobOfDependencyPartKey } from './dependency-parts';
import type { FinalStates } from './final-states';
import { JobGraph } from './job-graph';
import { KEY, PREFIX, read, type JobRecord } from './records';
import type { WatchCache } from './watch-cache';

/** Interval between attempts to read the outcomes of dependencies that could not be read. */
const RETRY_INTERVAL_MS = 500;
const MAX_CONCURRENT_READS = 8;
/**
 * Maximum age of the watch cache at which a controller may report that no ancestor of a job was cancelled. It is far below
 * the time limit for cancellations, and far above the duration of a watch request.
 */
const MAX_CACHE_AGE_MS = 5_000;

/** Called with the jobs whose dependencies are now all known to be done. */
type ReadyListener = (jobs: readonly string[]) => void;

/**
 * Updates the job graph from the records. Live jobs come from the watch cache; the outcome of a dependency that has no
 * live record is read from the key-value store. A dependency counts as done only after its final state was read or
 * written there: while its outcome is unknown, the jobs that depend on it wait.
 */
export class DependencyTracker {
  readonly #readyListeners: ReadyListener[] = [];
  /** Dependencies that have no live record in the watch cache, and whose outcome was not read yet. */
  readonly #unreadOutcomes = new Set<string>();
  /** Parts of lists of dependencies whose jobs are not in the graph yet. */
  readonly #parts = new DependencyParts();
  /** Live jobs of whose list of dependencies some parts are missing. */
  readonly #incompleteJobs = new Set<string>();
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
      this.#unreadOutcomes.delete(id);
      const ready = this.graph.setOutcome(id, { state, endedAt });
      if (ready.length === 0) return;
      for (const listener of this.#readyListeners) listener(ready);
    });
  }

  /** Registers a listener for jobs whose dependencies are now all known to be done. */
  onReady(listener: ReadyListener): void {
    this.#readyListeners.push(listener);
  }

  /** Whether all dependencies of a live job are done, according to final states in the key-value store. */
  isReady(id: string): boolean {
    return this.graph.isReady(id);
  }

  /** Whether a dependency is live in the watch cache. If so, no owner with this cache or an older one started the job. */
  hasLiveDependency(id: string): boolean {
    for (const dependency of this.graph.unfinishedDependenciesOf(id)) {
      if (this.cache.get(KEY.job(dependency))) return true;
    }
    return false;
  }

  /** The first dependencies of a job that this controller does not know to be done, up to `maximum` of them. */
  unfinishedDependencies(id: string, maximum: number): string[] {
    const unfinished: string[] = [];
    for (const dependency of this.graph.unfinishedDependenciesOf(id)) {
      if (unfinished.length === maximum) break;
      unfinished.push(dependency);
    }
    return unfinished;
  }

  /**
   * Whether a direct or indirect dependency of the job is cancelled. Throws if this controller can't determine that,
   * because its watch cache is too old or an outcome can't be read.
   */
  async isCancellationPending(id: string): Promise<boolean> {
    if (this.graph.isCancellationPending(id)) return true;
    if (this.graph.isReady(id)) return false;
    if (this.clock.now() - this.cache.freshAt > MAX_CACHE_AGE_MS) {
      throw new NoResponseError(`cannot check the dependencies of ${id}: the watch cache is too old`, false);
    }
    if (this.#unreadOutcomes.size > 0) await this.#readAncestors(id);
    return this.graph.isCancellationPending(id);
  }

  async #readAncestors(id: string): Promise<void> {
    const unread = [...this.graph.unfinishedAncestors(id)].filter((ancestor) =>
      this.#unreadOutcomes.has(ancestor),
    );
    // A user would wait too long for so many reads. `step` reads these outcomes in the background.
    if (unread.length > MAX_CONCURRENT_READS) {
      throw new NoResponseError(
        `the outcomes of ${unread.length} ancestors of ${id} are not read yet`,
        false,
      );
    }
    await Promise.all(unread.map((ancestor) => this.finals.read(ancestor)));
  }

  #onChange({ key, value, deleted }: ChangeEvent): void {
    if (key.startsWith(PREFIX.dependencyPart)) {
      if (deleted) this.#parts.remove(key);
      else this.#onDependencyPart(key, value);
    } else if (key.startsWith(PREFIX.job)) {
      const id = key.slice(PREFIX.job.length);
      if (deleted) this.#remove(id);
      else this.#add(id, value);
    }
  }

  /** Handles a new part of a list of dependencies: adds its job if that was the last missing part. */
  #onDependencyPart(partKey: string, value: unknown): void {
    const id = jobOfDependencyPartKey(partKey);
    const part = read.dependencyPart(value);
    if (!part || this.graph.has(id)) return;
    this.#parts.add(partKey, part);
    if (this.#incompleteJobs.has(id)) this.#add(id, this.cache.get(KEY.job(id))?.value);
  }

  #add(id: string, value: unknown): void {
    this.#unreadOutcomes.delete(id);
    const record = read.job(value);
    if (!record) return;
    const dependencies = this.#recordedDependencies(id, record);
    if (dependencies === undefined) {
      this.#incompleteJobs.add(id);
      return;
    }
    this.#incompleteJobs.delete(id);
    this.#parts.removeAll(id);
    if (dependencies.length === 0) return;
    this.graph.add(id, dependencies);
    for (const dependency of dependencies) this.#addDependency(dependency);
  }

  /** The dependencies of a recorded job; undefined while some parts of the list are missing. */
  #recordedDependencies(id: string, { job, dependencyParts }: JobRecord): readonly string[] | undefined {
    return dependencyParts === undefined ? (job.dependencies ?? []) : this.#parts.join(id, dependencyParts);
  }

  #addDependency(id: string): void {
    const outcome = this.finals.cached(id);
    if (outcome) this.graph.setOutcome(id, outcome);
    else if (!this.cache.get(KEY.job(id))) this.#scheduleRead(id);
  }

  #remove(id: string): void {
    this.#incompleteJobs.delete(id);
    this.#parts.removeAll(id);
    this.graph.remove(id);
    if (this.graph.isDependency(id) && !this.graph.outcome(id)) this.#scheduleRead(id);
  }

  #scheduleRead(id: string): void {
    this.#unreadOutcomes.add(id);
    this.#wake.wake();
  }

  /** Reads outcomes of dependencies that were not read yet. Run in a loop. */
  async step(): Promise<void> {
    await this.#wake.wait(RETRY_INTERVAL_MS);
    // While the watch cache is loading, a missing live record doesn't mean that the dependency has ended.
    if (!this.cache.isLoaded) return;
    for (const id of [...this.#unreadOutcomes])
      if (!this.graph.isDependency(id)) this.#unreadOutcomes.delete(id);
    const unread = [...this.#unreadOutcomes];
    for (let from = 0; from < unread.length; from += MAX_CONCURRENT_READS) {
      const batch = unread
        .slice(from, from + MAX_CONCURRENT_READS)
        .filter((id) => this.#unreadOutcomes.has(id));
      // A failed read must not delay the others; the next call of `step` retries it.
      await Promise.allSettled(batch.map((id) => this.finals.read(id)));
    }
  }
}
