/** @file The state of jobs in the key-value store: acceptance, reads and cancellation. */
import type { Uint64 } from '../base/uint64';
import type { Entry } from '../protocol/key-value-store';
import type { FinalState, Job, JobStatus } from '../protocol/model';
import { cancellationTransaction, type Cancellation } from './cancellation';
import { eventOfChange, eventOfEntry } from './change-events';
import type { DependencyTracker } from './dependency-tracker';
import { JobAcceptance, type Acceptance, type JobAcceptanceContext } from './job-acceptance';
import { KEY, read, type FinalRecord } from './records';
import { MAX_LISTED_DEPENDENCIES } from '../protocol/users';

/** The services and limits that `JobStore` uses. */
export interface JobStoreContext extends JobAcceptanceContext {
  readonly dependencies: DependencyTracker;
}

/**
 * Reads and writes the records of jobs. A live record is written once, when the job is accepted. Transactions that
 * complete or cancel the job delete the live record and write the final state, so only one of them succeeds.
 */
export class JobStore {
  readonly #acceptance: JobAcceptance;

  constructor(private readonly context: JobStoreContext) {
    this.#acceptance = new JobAcceptance(context, (id) => this.find(id));
  }

  /** Accepts a job. If a job with this id was accepted before, returns the state of that job. */
  accept(job: Job): Promise<Acceptance> {
    return this.#acceptance.accept(job);
  }

  /** The job's current state in the key-value store. Undefined: it was never accepted. */
  async find(id: string): Promise<JobStatus | undefined> {
    const cached = this.context.finals.cached(id);
    if (cached) return cached;
    // The live record is read first, so that a job that ends between the two reads is found by the second.
    const live = await this.context.store.get(KEY.job(id));
    return live ? this.#findLive(id, live) : this.#findFinal(id);
  }

  /**
   * Returns the state of a job with a live record. If one of its dependencies is cancelled, cancels the job before the
   * response is sent. So every controller responds that the job is cancelled, even if the controller that cancelled
   * the dependency has crashed.
   */
  async #findLive(id: string, live: Entry): Promise<JobStatus | undefined> {
    const { dependencies } = this.context;
    const hasDependencies = this.#applyDependencies(live);
    if (hasDependencies && (await dependencies.isCancellationPending(id))) return this.cancel(id, 0);
    const status: JobStatus = { id, state: 'queued', done: 0, running: 0 };
    if (!hasDependencies) return status;
    // The leader or another request may have cancelled the job meanwhile.
    const final = dependencies.graph.has(id) ? undefined : await this.#findFinal(id);
    if (final) return final;
    return {
      ...status,
      unfinishedDependencies: dependencies.unfinishedDependencies(id, MAX_LISTED_DEPENDENCIES),
    };
  }

  /** Applies the live record to the watch cache if the job has dependencies; returns whether it has any. */
  #applyDependencies(live: Entry): boolean {
    const record = read.job(live.value);
    if (!record?.job.dependencies && record?.dependencyParts === undefined) return false;
    this.context.cache.applyNotification(eventOfEntry(live));
    return true;
  }

  async #findFinal(id: string): Promise<JobStatus | undefined> {
    const final = await this.context.finals.read(id);
    if (!final) return undefined;
    // The controller that wrote the cancellation may not have published it: it crashed, or got no response. A controller
    // that reports a cancellation to a user must name it in the lease extensions that it grants (`LeaseExtension`). So
    // the deletion of the live record is applied to the watch cache before the response is sent.
    if (final.status.state === 'cancelled') this.#publishEnd(id, final.entry.version);
    return final.status;
  }

  /** The final record of a job that ends now. */
  finalRecord(state: FinalState, done: number): FinalRecord {
    return this.context.finals.record(state, done, this.context.clock.date().getTime());
  }

  /** Caches a final state that the key-value store has acknowledged. */
  cacheFinalState(id: string, final: FinalRecord): JobStatus {
    return this.context.finals.add(id, final);
  }

  /** Cancels a job unless it is done. Undefined: it was never accepted. */
  async cancel(id: string, doneSoFar: number): Promise<JobStatus | undefined> {
    const cached = this.context.finals.cached(id);
    if (cached) return cached;
    for (;;) {
      const live = await this.context.store.get(KEY.job(id));
      if (!live) return this.find(id);
      const final = this.finalRecord('cancelled', doneSoFar);
      const cancellation = { id, version: live.version, final };
      const { conditions, changes } = cancellationTransaction([cancellation]);
      const result = await this.context.store.compareAndSwap(conditions, changes, 'urgent');
      if (result.ok) return this.onCancelled(cancellation, result.revision);
    }
  }

  /** Called after a cancellation was acknowledged with this revision; returns the job's final state. */
  onCancelled({ id, final }: Cancellation, revision: Uint64): JobStatus {
    const status = this.cacheFinalState(id, final);
    this.#publishEnd(id, revision);
    return status;
  }

  #publishEnd(id: string, revision: Uint64): void {
    this.context.publish(eventOfChange({ delete: KEY.job(id) }, revision));
  }
}
