/** @file The dependencies among live jobs. */
import type { FinalState } from '../protocol/model';

/** The final state of a job that other jobs depend on. */
export interface DependencyOutcome {
  readonly state: FinalState;
  /** Wall-clock time of its end in milliseconds; undefined if it was not recorded. */
  readonly endedAt: number | undefined;
}

const NO_JOBS: readonly string[] = [];

/**
 * The dependencies among live jobs that this controller knows: a graph with an edge from each live job to each of its
 * dependencies, and the outcomes of dependencies that were read from the key-value store. It is updated incrementally as
 * jobs are added and removed, without recursion, because chains may be thousands of jobs long.
 */
export class JobGraph {
  readonly #dependencies = new Map<string, readonly string[]>();
  readonly #dependents = new Map<string, Set<string>>();
  readonly #outcomes = new Map<string, DependencyOutcome>();
  /** The number of dependencies of each job that are not known to be done. */
  readonly #unfinishedCounts = new Map<string, number>();
  /** Live jobs that depend on a cancelled job, directly or indirectly. */
  readonly #pendingCancellations = new Set<string>();
  #version = 0;

  /** Increases whenever a job and its edges are added or removed. */
  get version(): number {
    return this.#version;
  }

  /** Live jobs that are to be cancelled because a job that they depend on is cancelled. */
  get pendingCancellations(): ReadonlySet<string> {
    return this.#pendingCancellations;
  }

  /** Whether the job is live and has dependencies. */
  has(job: string): boolean {
    return this.#dependencies.has(job);
  }

  /** Whether a live job depends on the job. */
  isDependency(job: string): boolean {
    return this.#dependents.has(job);
  }

  /** Live jobs that have dependencies. */
  jobs(): Iterable<string> {
    return this.#dependencies.keys();
  }

  /** The jobs that the job depends on directly. */
  dependenciesOf(job: string): readonly string[] {
    return this.#dependencies.get(job) ?? NO_JOBS;
  }

  /** The live jobs that depend on the job directly. */
  dependentsOf(job: string): Iterable<string> {
    return this.#dependents.get(job) ?? NO_JOBS;
  }

  /** Jobs that live jobs depend on, whether live or ended. */
  dependencies(): Iterable<string> {
    return this.#dependents.keys();
  }

  /** The outcome of a dependency; undefined while it is unknown. */
  outcome(job: string): DependencyOutcome | undefined {
    return this.#outcomes.get(job);
  }

  /** Whether every dependency of the job is known to be done. Once true it stays true. */
  isReady(job: string): boolean {
    return this.#unfinishedCounts.get(job) === 0;
  }

  /** Whether the job is to be cancelled because a job that it depends on is cancelled. */
  isCancellationPending(job: string): boolean {
    return this.#pendingCancellations.has(job);
  }

  /** Adds a live job and its dependencies. */
  add(job: string, dependencies: readonly string[]): void {
    if (this.#dependencies.has(job)) return;
    const distinct = [...new Set(dependencies)];
    this.#dependencies.set(job, distinct);
    for (const dependency of distinct) {
      const dependents = this.#dependents.get(dependency) ?? new Set<string>();
      this.#dependents.set(dependency, dependents.add(job));
    }
    this.#unfinishedCounts.set(job, distinct.filter((dependency) => !this.#isDone(dependency)).length);
    this.#version += 1;
    if (distinct.some((dependency) => this.#isCancelled(dependency))) this.#markForCancellation([job]);
  }

  #isDone(job: string): boolean {
    return this.#outcomes.get(job)?.state === 'done';
  }

  #isCancelled(job: string): boolean {
    return this.#pendingCancellations.has(job) || this.#outcomes.get(job)?.state === 'cancelled';
  }

  /** Removes a job that is no longer live. */
  remove(job: string): void {
    const dependencies = this.#dependencies.get(job);
    if (!dependencies) return;
    this.#dependencies.delete(job);
    this.#unfinishedCounts.delete(job);
    this.#pendingCancellations.delete(job);
    for (const dependency of dependencies) this.#removeEdge(dependency, job);
    this.#version += 1;
  }

  #removeEdge(dependency: string, job: string): void {
    const dependents = this.#dependents.get(dependency);
    dependents?.delete(job);
    if (dependents?.size !== 0) return;
    this.#dependents.delete(dependency);
    this.#outcomes.delete(dependency);
  }

  /** Sets the outcome of a dependency, as stored in the key-value store. Returns the jobs that became ready. */
  setOutcome(job: string, outcome: DependencyOutcome): string[] {
    const dependents = this.#dependents.get(job);
    if (!dependents || this.#outcomes.has(job)) return [];
    this.#outcomes.set(job, outcome);
    if (outcome.state === 'cancelled') {
      this.#markForCancellation(dependents);
      return [];
    }
    const ready: string[] = [];
    for (const dependent of dependents) {
      const unfinished = (this.#unfinishedCounts.get(dependent) ?? 0) - 1;
      this.#unfinishedCounts.set(dependent, unfinished);
      if (unfinished === 0) ready.push(dependent);
    }
    return ready;
  }

  /** Adds jobs, and all their direct and indirect dependents, to the pending cancellations. */
  #markForCancellation(jobs: Iterable<string>): void {
    const unvisited = [...jobs];
    for (let job = unvisited.pop(); job !== undefined; job = unvisited.pop()) {
      if (this.#pendingCancellations.has(job)) continue;
      this.#pendingCancellations.add(job);
      unvisited.push(...this.dependentsOf(job));
    }
  }

  /** All direct and indirect dependencies of the job that are not known to be done. */
  unfinishedAncestors(job: string): Set<string> {
    const ancestors = new Set<string>();
    const unvisited = [...this.dependenciesOf(job)];
    for (let next = unvisited.pop(); next !== undefined; next = unvisited.pop()) {
      if (ancestors.has(next) || this.#isDone(next)) continue;
      ancestors.add(next);
      unvisited.push(...this.dependenciesOf(next));
    }
    return ancestors;
  }

  /** Wall-clock time at which the last dependency ended; undefined if no end time is known. */
  lastDependencyEndedAt(job: string): number | undefined {
    let last: number | undefined;
    for (const dependency of this.dependenciesOf(job)) {
      const endedAt = this.#outcomes.get(dependency)?.endedAt;
      if (endedAt !== undefined) last = Math.max(last ?? endedAt, endedAt);
    }
    return last;
  }
}
