/** @file The dependencies among live jobs. */
import type { FinalState } from '../protocol/model';

/** How a job that others depend on ended. */
export interface DependencyOutcome {
  readonly state: FinalState;
  /** Time of day of its end in milliseconds, where it was recorded. */
  readonly endedAt: number | undefined;
}

const NO_JOBS: readonly string[] = [];

/**
 * The dependencies among live jobs, as far as this controller knows them: a graph with an edge from each live job to each
 * of its dependencies, and the outcome of a dependency once it was read from the key-value store. Everything is kept up
 * to date as jobs come and go, without recursion: chains may be thousands of jobs long.
 */
export class JobGraph {
  readonly #dependencies = new Map<string, readonly string[]>();
  readonly #dependents = new Map<string, Set<string>>();
  readonly #outcomes = new Map<string, DependencyOutcome>();
  /** How many dependencies of a job are not known to be done. */
  readonly #unfinished = new Map<string, number>();
  /** Live jobs that depend on a cancelled one, directly or through others. */
  readonly #pendingCancellations = new Set<string>();
  #version = 0;

  /** Changes whenever an edge is added or removed. */
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

  /** Jobs that others depend on, live or not. */
  dependencies(): Iterable<string> {
    return this.#dependents.keys();
  }

  /** How a dependency ended; undefined while that is not known. */
  outcome(job: string): DependencyOutcome | undefined {
    return this.#outcomes.get(job);
  }

  /** Whether every dependency is known to be done. Once true it stays true. */
  isReady(job: string): boolean {
    return this.#unfinished.get(job) === 0;
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
    this.#unfinished.set(job, distinct.filter((dependency) => !this.#isDone(dependency)).length);
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
    this.#unfinished.delete(job);
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

  /** Sets the outcome of a dependency, as the key-value store has it. Returns the jobs that are ready from now on. */
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
      const unfinished = (this.#unfinished.get(dependent) ?? 0) - 1;
      this.#unfinished.set(dependent, unfinished);
      if (unfinished === 0) ready.push(dependent);
    }
    return ready;
  }

  /** Marks jobs, and all that depend on them. */
  #markForCancellation(jobs: Iterable<string>): void {
    const unvisited = [...jobs];
    for (let job = unvisited.pop(); job !== undefined; job = unvisited.pop()) {
      if (this.#pendingCancellations.has(job)) continue;
      this.#pendingCancellations.add(job);
      unvisited.push(...this.dependentsOf(job));
    }
  }

  /** All jobs that the job depends on, directly or through others, and that are not known to be done. */
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

  /** When the last dependency ended, as a time of day; undefined where no end is known or recorded. */
  lastDependencyEndedAt(job: string): number | undefined {
    let last: number | undefined;
    for (const dependency of this.dependenciesOf(job)) {
      const endedAt = this.#outcomes.get(dependency)?.endedAt;
      if (endedAt !== undefined) last = Math.max(last ?? endedAt, endedAt);
    }
    return last;
  }
}
