/** @file The graph of job dependencies as users submitted them, for the invariants. */
import type { ObservedJob } from './observed-jobs';

/** The dependency graph of all jobs. */
export class DependencyModel {
  readonly #dependents = new Map<string, string[]>();

  constructor(private readonly jobs: ReadonlyMap<string, ObservedJob>) {}

  /** Adds a job's dependencies to the graph. Called once for each job, when its submission is recorded. */
  add(id: string): void {
    for (const dependency of this.dependencies(id)) {
      const dependents = this.#dependents.get(dependency);
      if (dependents) dependents.push(id);
      else this.#dependents.set(dependency, [id]);
    }
  }

  dependencies(id: string): readonly string[] {
    return this.jobs.get(id)?.submission?.awaits ?? [];
  }

  /** All direct and indirect dependencies of a job. */
  ancestors(id: string): Set<string> {
    return reachable(id, (jobId) => this.dependencies(jobId));
  }

  /** All direct and indirect dependents of a job. */
  descendants(id: string): Set<string> {
    return reachable(id, (jobId) => this.#dependents.get(jobId) ?? []);
  }

  /** The first direct dependency that isn't done. */
  unfinishedDependency(id: string): string | undefined {
    return this.dependencies(id).find((dependency) => !this.#isDone(dependency));
  }

  /** Whether the job may be cancelled: a user requested to cancel it or one of its dependencies. */
  isCancellationAllowed(id: string): boolean {
    return [id, ...this.ancestors(id)].some((jobId) => {
      const job = this.jobs.get(jobId);
      if (!job?.isCancelRequested) return false;
      // Cancelling a job that is already done has no effect on its dependents.
      return jobId === id || job.final?.state !== 'done';
    });
  }

  /** When a response first confirmed the cancellation of one of the job's dependencies. */
  ancestorCancelledAt(id: string): number | undefined {
    const times = [...this.ancestors(id)].flatMap((jobId) => this.jobs.get(jobId)?.cancelledAt ?? []);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  #isDone(id: string): boolean {
    const job = this.jobs.get(id);
    if (!job?.submission || job.final?.state === 'withdrawn') return false;
    return job.completed.size >= job.submission.pieces;
  }
}

function reachable(from: string, next: (id: string) => readonly string[]): Set<string> {
  const found = new Set<string>();
  const queue = [...next(from)];
  for (let id = queue.pop(); id !== undefined; id = queue.pop()) {
    if (found.has(id)) continue;
    found.add(id);
    queue.push(...next(id));
  }
  return found;
}
