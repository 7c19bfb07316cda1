/** @file The dependencies among live jobs. */
import type { FinalState } from '../protocol/model';
import { NumberList } from './number-list';

/** The final state of a job that other jobs depend on. */
export interface DependencyOutcome {
  readonly state: FinalState;
  /** Wall-clock time of its end in milliseconds; undefined if it was not recorded. */
  readonly endedAt: number | undefined;
}

const NO_NODES = new Uint32Array(0);
/** Stands in a list of dependencies where an edge was removed. */
const NO_NODE = 0xffffffff;

/** A job of the graph: a live job with dependencies, or a dependency of one, or both. */
class JobNode {
  /** The nodes of the jobs that this one depends on; undefined if it is not live or has no dependencies. */
  dependencies: Uint32Array | undefined;
  /** The nodes of the live jobs that depend on this one. */
  readonly dependents = new NumberList();
  outcome: DependencyOutcome | undefined;
  /** The number of dependencies that are not known to be done. */
  unfinished = 0;
  /** Wall-clock time at which the last dependency that is known to be done ended; undefined if it is not known. */
  lastDependencyEndedAt: number | undefined;
  isCancellationPending = false;

  constructor(readonly id: string) {}

  get isCancelled(): boolean {
    return this.isCancellationPending || this.outcome?.state === 'cancelled';
  }
}

/**
 * The dependencies among live jobs that this controller knows: a graph with an edge from each live job to each of its
 * dependencies that is not known to be done, and the outcomes of those that are cancelled. It is updated incrementally as
 * jobs are added and removed, without recursion, because chains may be thousands of jobs long. Each id is kept once, in
 * the job's node; an edge is a number at either end, ten bytes in all.
 */
export class JobGraph {
  readonly #numbers = new Map<string, number>();
  /** The nodes by number; a number whose node was removed is used again. */
  readonly #nodes: (JobNode | undefined)[] = [];
  readonly #freeNumbers: number[] = [];
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
    return this.#find(job)?.dependencies !== undefined;
  }

  /** Whether a live job depends on the job. */
  isDependency(job: string): boolean {
    return (this.#find(job)?.dependents.length ?? 0) > 0;
  }

  /** The jobs that the job depends on directly and that are not known to be done. */
  *unfinishedDependenciesOf(job: string): Iterable<string> {
    for (const dependency of this.#dependenciesOf(this.#find(job))) yield dependency.id;
  }

  /** The outcome of a dependency that is not done; undefined while it is unknown. */
  outcome(job: string): DependencyOutcome | undefined {
    return this.#find(job)?.outcome;
  }

  /** Whether every dependency of the job is known to be done. Once true it stays true. */
  isReady(job: string): boolean {
    const node = this.#find(job);
    return node?.dependencies !== undefined && node.unfinished === 0;
  }

  /** Whether the job is to be cancelled because a job that it depends on is cancelled. */
  isCancellationPending(job: string): boolean {
    return this.#pendingCancellations.has(job);
  }

  /** Adds a live job and its dependencies. */
  add(job: string, dependencies: Iterable<string>): void {
    if (this.has(job)) return;
    const number = this.#numberOf(job);
    const node = this.#node(number);
    node.dependencies = Uint32Array.from(new Set(dependencies), (dependency) => this.#numberOf(dependency));
    node.unfinished = node.dependencies.length;
    let hasCancelledDependency = false;
    for (const dependency of this.#dependenciesOf(node)) {
      dependency.dependents.push(number);
      if (dependency.isCancelled) hasCancelledDependency = true;
    }
    this.#version += 1;
    if (hasCancelledDependency) this.#markForCancellation([number]);
  }

  /** Removes a job that is no longer live. */
  remove(job: string): void {
    const number = this.#numbers.get(job);
    const node = this.#find(job);
    if (number === undefined || !node?.dependencies) return;
    const { dependencies } = node;
    node.dependencies = undefined;
    node.isCancellationPending = false;
    this.#pendingCancellations.delete(job);
    for (const dependency of dependencies) if (dependency !== NO_NODE) this.#removeEdge(dependency, number);
    this.#removeUnused(number);
    this.#version += 1;
  }

  #removeEdge(dependency: number, dependent: number): void {
    const node = this.#nodes[dependency];
    node?.dependents.remove(dependent);
    if (!node || node.dependents.length > 0) return;
    node.outcome = undefined;
    this.#removeUnused(dependency);
  }

  /** Sets the outcome of a dependency, as stored in the key-value store. Returns the jobs that became ready. */
  setOutcome(job: string, outcome: DependencyOutcome): string[] {
    const dependency = this.#numbers.get(job);
    const node = this.#find(job);
    if (dependency === undefined || !node || node.dependents.length === 0 || node.outcome) return [];
    if (outcome.state === 'cancelled') {
      node.outcome = outcome;
      this.#markForCancellation(node.dependents.items);
      return [];
    }
    const ready: string[] = [];
    for (const number of node.dependents.items) {
      const dependent = this.#node(number);
      if (this.#endEdge(dependent, dependency, outcome)) ready.push(dependent.id);
    }
    node.dependents.clear();
    this.#removeUnused(dependency);
    return ready;
  }

  /** Removes a done dependency from the job's list; returns whether it was the last one. */
  #endEdge(dependent: JobNode, dependency: number, { endedAt }: DependencyOutcome): boolean {
    const index = dependent.dependencies?.indexOf(dependency) ?? -1;
    if (index < 0 || !dependent.dependencies) return false;
    dependent.dependencies[index] = NO_NODE;
    dependent.unfinished -= 1;
    if (endedAt !== undefined) {
      dependent.lastDependencyEndedAt = Math.max(dependent.lastDependencyEndedAt ?? endedAt, endedAt);
    }
    return dependent.unfinished === 0;
  }

  /** All direct and indirect dependencies of the job that are not known to be done. */
  unfinishedAncestors(job: string): Set<string> {
    const ancestors = new Set<string>();
    const unvisited = [...this.unfinishedDependenciesOf(job)];
    for (let next = unvisited.pop(); next !== undefined; next = unvisited.pop()) {
      if (ancestors.has(next)) continue;
      ancestors.add(next);
      for (const dependency of this.unfinishedDependenciesOf(next))
        if (!ancestors.has(dependency)) unvisited.push(dependency);
    }
    return ancestors;
  }

  /** Wall-clock time at which the last dependency ended; undefined if no end time is known. */
  lastDependencyEndedAt(job: string): number | undefined {
    return this.#find(job)?.lastDependencyEndedAt;
  }

  /** All jobs of the graph by number, with gaps: live jobs with dependencies, and jobs that they depend on. */
  *jobs(): Iterable<[number, string]> {
    for (const [number, node] of this.#nodes.entries()) if (node) yield [number, node.id];
  }

  /** The numbers of the jobs of the graph, each job after all those that depend on it. */
  *dependentsFirst(): Iterable<number> {
    const pendingDependents = Uint32Array.from(this.#nodes, (node) => node?.dependents.length ?? 0);
    const next: number[] = [];
    for (const [number] of this.jobs()) if (pendingDependents[number] === 0) next.push(number);
    for (let number = next.pop(); number !== undefined; number = next.pop()) {
      yield number;
      for (const dependency of this.dependencyNumbers(number)) {
        const pending = (pendingDependents[dependency] ?? 0) - 1;
        pendingDependents[dependency] = pending;
        if (pending === 0) next.push(dependency);
      }
    }
  }

  /** The numbers of the jobs that the job with this number depends on directly and that are not known to be done. */
  *dependencyNumbers(number: number): Iterable<number> {
    for (const dependency of this.#nodes[number]?.dependencies ?? NO_NODES)
      if (dependency !== NO_NODE) yield dependency;
  }

  /** Adds jobs, and all their direct and indirect dependents, to the pending cancellations. */
  #markForCancellation(jobs: Iterable<number>): void {
    const unvisited = [...jobs];
    for (let next = unvisited.pop(); next !== undefined; next = unvisited.pop()) {
      const node = this.#node(next);
      if (node.isCancellationPending) continue;
      node.isCancellationPending = true;
      this.#pendingCancellations.add(node.id);
      for (const dependent of node.dependents.items)
        if (!this.#node(dependent).isCancellationPending) unvisited.push(dependent);
    }
  }

  #find(job: string): JobNode | undefined {
    const number = this.#numbers.get(job);
    return number === undefined ? undefined : this.#nodes[number];
  }

  #node(number: number): JobNode {
    const node = this.#nodes[number];
    if (!node) throw new Error(`the job graph has no node ${number}`);
    return node;
  }

  *#dependenciesOf(node: JobNode | undefined): Iterable<JobNode> {
    for (const number of node?.dependencies ?? NO_NODES) if (number !== NO_NODE) yield this.#node(number);
  }

  /** The number of the job's node, which is created if there is none. */
  #numberOf(job: string): number {
    const existing = this.#numbers.get(job);
    if (existing !== undefined) return existing;
    const number = this.#freeNumbers.pop() ?? this.#nodes.length;
    this.#nodes[number] = new JobNode(job);
    this.#numbers.set(job, number);
    return number;
  }

  #removeUnused(number: number): void {
    const node = this.#nodes[number];
    if (!node || node.dependencies || node.dependents.length > 0) return;
    this.#nodes[number] = undefined;
    this.#numbers.delete(node.id);
    this.#freeNumbers.push(number);
  }
}
