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
  const latestFinishAt = earlier(own.latestFinishAt, latestStartAt);
  // Most of many dependents change nothing, so that one object serves many of them.
  if (!isHigher && latestFinishAt === own.latestFinishAt) return own;
  return { priority: isHigher ? dependent.priority : own.priority, latestFinishAt };
}

/**
 * Propagates priorities and deadlines from each job to its dependencies. It iterates in reverse topological order, so
 * chains of any length need no recursion. The result contains the live jobs that have dependents; `describe` returns
 * undefined for jobs that are not live.
 */
export function chainUrgencies(
  graph: JobGraph,
  describe: (id: string) => ChainJob | undefined,
): Map<string, Urgency> {
  const urgencies: (Urgency | undefined)[] = [];
  const expectedRunsMs: number[] = [];
  for (const [number, id] of graph.jobs()) {
    const job = describe(id);
    if (!job) continue;
    urgencies[number] = { priority: job.priority, latestFinishAt: job.dueAt };
    expectedRunsMs[number] = job.expectedRunMs;
  }
  for (const number of graph.dependentsFirst()) {
    const dependent = urgencies[number];
    if (!dependent) continue;
    for (const dependency of graph.dependencyNumbers(number)) {
      const own = urgencies[dependency];
      if (own) urgencies[dependency] = inheritUrgency(own, dependent, expectedRunsMs[number] ?? 0);
    }
  }
  const inherited = new Map<string, Urgency>();
  for (const [number, id] of graph.jobs()) {
    const own = urgencies[number];
    if (own && graph.isDependency(id)) inherited.set(id, own);
  }
  return inherited;
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
