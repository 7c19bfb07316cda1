/** @file Priorities and deadlines that a job inherits from its dependents. */
import { KEY, read } from '../../bookkeeping/records';
import type { JobGraph } from '../../bookkeeping/job-graph';
import type { WatchCache } from '../../bookkeeping/watch-cache';
import { PRIORITY_RANK, type Priority } from '../../protocol/model';

/** How urgent a job is, given all its direct and indirect dependents. */
export interface Urgency {
  /** The highest priority among the job and its dependents. */
  readonly priority: Priority;
  /** Time of day by which it has to be done for all deadlines after it to be met; undefined where there is none. */
  readonly latestFinishAt: number | undefined;
}

/** What of a live job matters to its dependencies. */
export interface ChainJob {
  readonly priority: Priority;
  /** Time of day of its own deadline. */
  readonly dueAt: number | undefined;
  /** How long its tasks should run. */
  readonly expectedRunMs: number;
}

function earlier(first: number | undefined, second: number | undefined): number | undefined {
  if (first === undefined) return second;
  return second === undefined ? first : Math.min(first, second);
}

/** The urgency of a job with one more dependent taken into account. */
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

/** The live jobs of the graph, described. */
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
 * Propagates priorities and deadlines from each job to its dependencies, in reverse topological order, and so through
 * chains of any length without recursion. The result holds the live jobs that have dependents.
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
    const ofDependent = urgencies.get(id);
    const runMs = jobs.get(id)?.expectedRunMs ?? 0;
    for (const dependency of graph.dependenciesOf(id)) {
      const own = urgencies.get(dependency);
      if (ofDependent && own) urgencies.set(dependency, inheritUrgency(own, ofDependent, runMs));
      if (decrement(pendingDependents, dependency) === 0) ready.push(dependency);
    }
  }
  for (const id of graph.jobs()) if (!graph.isDependency(id)) urgencies.delete(id);
  return urgencies;
}

/** The urgencies of the present graph, computed again only after it has changed. */
export class ChainUrgency {
  #urgencies: ReadonlyMap<string, Urgency> = new Map();
  #version = -1;

  constructor(
    private readonly graph: JobGraph,
    private readonly cache: WatchCache,
  ) {}

  /** The urgency of a live job with dependents; undefined for any other. */
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
