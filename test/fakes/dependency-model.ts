/** @file Which jobs depend on which, as their users submitted them, and what follows for the invariants. */
import type { ObservedJob } from './observed-jobs';

/** The dependency graph of all jobs. */
export class DependencyModel {
  readonly #dependents = new Map<string, string[]>();

  constructor(private readonly jobs: ReadonlyMap<string, ObservedJob>) {}

  /** To be called once for each job, when its description is known. */
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

  /** Every job that this one needs, directly or through others. */
  ancestors(id: string): Set<string> {
    return reachable(id, (jobId) => this.dependencies(jobId));
  }

  /** Every job that needs this one, directly or through others. */
  descendants(id: string): Set<string> {
    return reachable(id, (jobId) => this.#dependents.get(jobId) ?? []);
  }

  /** The first job that this one needs directly and that isn't done. */
  unfinishedDependency(id: string): string | undefined {
    return this.dependencies(id).find((dependency) => !this.#isDone(dependency));
  }

  /** Whether some user's request makes it right that the job is cancelled. */
  isCancellationAllowed(id: string): boolean {
    return [id, ...this.ancestors(id)].some((jobId) => {
      const job = this.jobs.get(jobId);
      if (!job?.isCancelRequested) return false;
      // A job that was done before its cancellation cancels nothing that needs it.
      return jobId === id || job.final?.state !== 'done';
    });
  }

  /** When it was first answered that a job which this one needs is cancelled. */
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
