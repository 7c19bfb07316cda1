/** @file Priority and deadline inheritance: a job inherits both from the jobs that depend on it. */
import { KEY, read } from '../../bookkeeping/records';
import type { JobGraph } from '../../bookkeeping/job-graph';
import type { WatchCache } from '../../bookkeeping/watch-cache';
import { PRIORITY_RANK, type Priority } from '../../protocol/model';

/** The effective priority and deadline of a job, given all its direct and indirect dependents. */
export interface Urgency {
  /** The highest priority among the job and its dependents. */
  readonly priority: Priority;
  /** The latest wall-clock time at which the job may end so that all deadlines are met; undefined without deadlines. */
  readonly latestFinishAt: number | undefined;
}

/** The fields of a live job from which the urgency of its dependencies is derived. */
export interface ChainJob {
  readonly priority: Priority;
  /** Wall-clock time of the job's own deadline; undefined if it has none. */
  readonly dueAt: number | undefined;
  /** The estimated run time of one of the job's tasks. */
  readonly expectedRunMs: number;
}

function earlier(first: number | undefined, second: number | undefined): number | undefined {
  if (first === undefined) return second;
  return second === undefined ? first : Math.min(first, second);
}

/** Combines the urgency of a job with that of one of its dependents. */
function inheritUrgency(own: Urgency, dependent: Urgency, dependentRunMs: number): Urgency {
  const isHigher = PRIORITY_RANK[dependent.priority] < PRIORITY_RANK[own.priority];
  const latestStartAt =
    dependent.latestFinishAt === undefined ? undefined : dependent.latestFinishAt - dependentRunMs;
  return {
    priority: isHigher ? dependent.priority : own.priority,
    latestFinishAt: earlier(own.latestFinishAt, latestStartAt),
  };
}

function decrement(counts: Map<string, number>, id: string): number {
  const count = (counts.get(id) ?? 0) - 1;
  counts.set(id, count);
  return count;
}

/** Describes each live job of the graph; `describe` returns undefined for jobs that are not live. */
function describeJobs(
  graph: JobGraph,
  describe: (id: string) => ChainJob | undefined,
): Map<string, ChainJob> {
  const jobs = new Map<string, ChainJob>();
  for (const id of new Set([...graph.jobs(), ...graph.dependencies()])) {
    const job = describe(id);
    if (job) jobs.set(id, job);
  }
  return jobs;
}

/**
 * Propagates priorities and deadlines from each job to its dependencies. It iterates in reverse topological order, so
 * chains of any length need no recursion. The result contains the live jobs that have dependents.
 */
export function chainUrgencies(
  graph: JobGraph,
  describe: (id: string) => ChainJob | undefined,
): Map<string, Urgency> {
  const jobs = describeJobs(graph, describe);
  const urgencies = new Map<string, Urgency>();
  const pendingDependents = new Map<string, number>();
  const ready: string[] = [];
  for (const [id, job] of jobs) {
    urgencies.set(id, { priority: job.priority, latestFinishAt: job.dueAt });
    const dependents = [...graph.dependentsOf(id)].length;
    pendingDependents.set(id, dependents);
    if (dependents === 0) ready.push(id);
  }
  for (let id = ready.pop(); id !== undefined; id = ready.pop()) {
    const dependent = urgencies.get(id);
    const expectedRunMs = jobs.get(id)?.expectedRunMs ?? 0;
    for (const dependency of graph.dependenciesOf(id)) {
      const own = urgencies.get(dependency);
      if (dependent && own) urgencies.set(dependency, inheritUrgency(own, dependent, expectedRunMs));
      if (decrement(pendingDependents, dependency) === 0) ready.push(dependency);
    }
  }
  for (const id of graph.jobs()) if (!graph.isDependency(id)) urgencies.delete(id);
  return urgencies;
}

/** Caches the urgencies of jobs, and recomputes them only after the job graph has changed. */
export class ChainUrgency {
  #urgencies: ReadonlyMap<string, Urgency> = new Map();
  #version = -1;

  constructor(
    private readonly graph: JobGraph,
    private readonly cache: WatchCache,
  ) {}

  /** The urgency of a live job that has dependents; undefined for any other job. */
  of(id: string): Urgency | undefined {
    if (!this.graph.isDependency(id)) return undefined;
    if (this.graph.version !== this.#version) {
      this.#version = this.graph.version;
      this.#urgencies = chainUrgencies(this.graph, (job) => this.#describe(job));
    }
    return this.#urgencies.get(id);
  }

  #describe(id: string): ChainJob | undefined {
    const record = read.job(this.cache.get(KEY.job(id))?.value);
    if (!record) return undefined;
    const { priority, deadlineS, estimateS } = record.job;
    const dueAt = deadlineS === null ? undefined : record.submittedAt + deadlineS * 1000;
    return { priority, dueAt, expectedRunMs: estimateS * 1000 };
  }
}
