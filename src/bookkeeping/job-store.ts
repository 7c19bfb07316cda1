/** @file The state of jobs in the key-value store: acceptance, reads and cancellation. */
import type { Entry } from '../protocol/key-value-store';
import type { FinalState, Job, JobStatus } from '../protocol/model';
import { cancellationTransaction, type Cancellation } from './cancellation';
import { eventOfChange, eventOfEntry } from './change-events';
import type { DependencyTracker } from './dependency-tracker';
import { JobAcceptance, type Acceptance, type JobAcceptanceContext } from './job-acceptance';
import { KEY, read, type FinalRecord } from './records';

/** What the job store works on. */
export interface JobStoreContext extends JobAcceptanceContext {
  readonly dependencies: DependencyTracker;
}

/**
 * Jobs as the key-value store has them. A live job's record is written once, when it is accepted, and deleted in the
 * transaction that writes its final state: done and cancelled race on that one record, and the first one is final.
 */
export class JobStore {
  readonly #acceptance: JobAcceptance;

  constructor(private readonly context: JobStoreContext) {
    this.#acceptance = new JobAcceptance(context, (id) => this.find(id));
  }

  /** Accepts a job, or finds the one that was accepted before under this id. */
  accept(job: Job): Promise<Acceptance> {
    return this.#acceptance.accept(job);
  }

  /** The job's present state, as the key-value store has it. Undefined: it was never accepted. */
  async find(id: string): Promise<JobStatus | undefined> {
    const known = this.context.finals.cached(id);
    if (known) return known;
    // In this order: a job that ends between the two reads is found by the second.
    const live = await this.context.store.get(KEY.job(id));
    return live ? this.#findLive(id, live) : this.#findFinal(id);
  }

  /**
   * A job is cancelled when one of its dependencies is cancelled. A user who asks for the state of such a job gets the
   * response only after its cancellation is written, and never any other: any controller comes to the same response,
   * whatever became of the one that cancelled the dependency.
   */
  async #findLive(id: string, live: Entry): Promise<JobStatus | undefined> {
    const { dependencies } = this.context;
    const hasDependencies = this.#learnDependencies(live);
    if (hasDependencies && (await dependencies.isCancellationPending(id))) return this.cancel(id, 0);
    const status: JobStatus = { id, state: 'queued', done: 0, running: 0 };
    if (!hasDependencies) return status;
    // It may have been cancelled meanwhile, by the leader or for another request.
    const final = dependencies.graph.has(id) ? undefined : await this.#findFinal(id);
    if (final) return final;
    return { ...status, unfinishedDependencies: dependencies.unfinishedDependencies(id) };
  }

  /** Applies a record that was just read to this controller's copy. True: the job has dependencies. */
  #learnDependencies(live: Entry): boolean {
    const record = read.job(live.value);
    if (!record?.job.dependencies && record?.dependencyParts === undefined) return false;
    this.context.cache.applyNotification(eventOfEntry(live));
    return true;
  }

  async #findFinal(id: string): Promise<JobStatus | undefined> {
    const final = await this.context.finals.read(id);
    if (!final) return undefined;
    // The transaction that wrote it deleted the live record, and its writer may have died, or never got the response. A
    // controller that reports a cancellation to a user must name it in the lease extensions that it grants
    // (`LeaseExtension`): so it is in this controller's copy before any response is sent.
    if (final.status.state === 'cancelled') this.#publishEnd(id, final.entry.version);
    return final.status;
  }

  /** The record of an end at this moment. */
  finalRecord(state: FinalState, done: number): FinalRecord {
    return this.context.finals.record(state, done, this.context.clock.date().getTime());
  }

  /** Caches a final state that the key-value store has acknowledged. */
  cacheFinalState(id: string, final: FinalRecord): JobStatus {
    return this.context.finals.add(id, final);
  }

  /** Cancels a job unless it is done. Undefined: it was never accepted. */
  async cancel(id: string, doneSoFar: number): Promise<JobStatus | undefined> {
    const known = this.context.finals.cached(id);
    if (known) return known;
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

  /** To be called when a cancellation was acknowledged with this revision; returns the job's final state. */
  onCancelled({ id, final }: Cancellation, revision: number): JobStatus {
    const status = this.cacheFinalState(id, final);
    this.#publishEnd(id, revision);
    return status;
  }

  #publishEnd(id: string, revision: number): void {
    this.context.publish(eventOfChange({ delete: KEY.job(id) }, revision));
  }
}
