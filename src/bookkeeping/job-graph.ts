/** @file The dependencies among live jobs. */
import type { FinalState } from '../protocol/model';

/** What is known of the end of a job that others depend on. */
export interface DependencyOutcome {
  readonly state: FinalState;
  /** Time of day of its end in milliseconds, where it was recorded. */
  readonly endedAt: number | undefined;
}

const NO_JOBS: readonly string[] = [];

/**
 * The dependencies among live jobs, as far as this node knows them. It holds a live job that has dependencies and, for
 * each dependency, its outcome once the state service has told it. Everything is kept up to date as jobs come and go,
 * without recursion: chains may be thousands of jobs long.
 */
export class JobGraph {
  readonly #dependencies = new Map<string, readonly string[]>();
  readonly #dependents = new Map<string, Set<string>>();
  readonly #outcomes = new Map<string, DependencyOutcome>();
  /** How many dependencies of a job are not known to be done. */
  readonly #unfinished = new Map<string, number>();
  /** Live jobs that need a cancelled one, directly or through others. */
  readonly #pendingCancellations = new Set<string>();
  #version = 0;

  /** Changes whenever an edge comes or goes. */
  get version(): number {
    return this.#version;
  }

  /** Live jobs that are to be cancelled because a job that they need is cancelled. */
  get pendingCancellations(): ReadonlySet<string> {
    return this.#pendingCancellations;
  }

  has(job: string): boolean {
    return this.#dependencies.has(job);
  }

  isDependency(job: string): boolean {
    return this.#dependents.has(job);
  }

  /** Live jobs that have dependencies. */
  jobs(): Iterable<string> {
    return this.#dependencies.keys();
  }

  dependenciesOf(job: string): readonly string[] {
    return this.#dependencies.get(job) ?? NO_JOBS;
  }

  dependentsOf(job: string): Iterable<string> {
    return this.#dependents.get(job) ?? NO_JOBS;
  }

  /** Jobs that others depend on, live or not. */
  dependencies(): Iterable<string> {
    return this.#dependents.keys();
  }

  outcome(job: string): DependencyOutcome | undefined {
    return this.#outcomes.get(job);
  }

  /** Whether every dependency is known to be done. Once true it stays true. */
  isReady(job: string): boolean {
    return this.#unfinished.get(job) === 0;
  }

  isCancellationPending(job: string): boolean {
    return this.#pendingCancellations.has(job);
  }

  add(job: string, dependencies: readonly string[]): void {
    if (this.#dependencies.has(job)) return;
    const distinct = [...new Set(dependencies)];
    this.#dependencies.set(job, distinct);
    for (const dependency of distinct) {
      const dependents = this.#dependents.get(dependency) ?? new Set<string>();
      this.#dependents.set(dependency, dependents.add(job));
    }
    this.#unfinished.set(job, distinct.filter((d) => this.#outcomes.get(d)?.state !== 'done').length);
    this.#version += 1;
    if (distinct.some((d) => this.#isCancelled(d))) this.#markForCancellation([job]);
  }

  #isCancelled(job: string): boolean {
    return this.#pendingCancellations.has(job) || this.#outcomes.get(job)?.state === 'cancelled';
  }

  /** The job is no longer live. */
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

  /** The state service has told how a dependency ended. Returns the jobs that are ready from now on. */
  settle(job: string, outcome: DependencyOutcome): string[] {
    const dependents = this.#dependents.get(job);
    if (!dependents || this.#outcomes.has(job)) return [];
    this.#outcomes.set(job, outcome);
    if (outcome.state === 'cancelled') {
      this.#markForCancellation(dependents);
      return [];
    }
    const ready: string[] = [];
    for (const dependent of dependents) {
      const left = (this.#unfinished.get(dependent) ?? 0) - 1;
      this.#unfinished.set(dependent, left);
      if (left === 0) ready.push(dependent);
    }
    return ready;
  }

  /** Marks jobs, and all that need them. */
  #markForCancellation(jobs: Iterable<string>): void {
    const open = [...jobs];
    for (let job = open.pop(); job !== undefined; job = open.pop()) {
      if (this.#pendingCancellations.has(job)) continue;
      this.#pendingCancellations.add(job);
      open.push(...this.dependentsOf(job));
    }
  }

  /** All that the job needs and that is not known to be done, directly or through others. */
  unfinishedAncestors(job: string): Set<string> {
    const found = new Set<string>();
    const open = [...this.dependenciesOf(job)];
    for (let next = open.pop(); next !== undefined; next = open.pop()) {
      if (found.has(next) || this.#outcomes.get(next)?.state === 'done') continue;
      found.add(next);
      open.push(...this.dependenciesOf(next));
    }
    return found;
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
