/** @file Acceptance of submitted jobs. */
import type { Clock } from '../base/clock';
import type {
  ChangeEvent,
  CompareAndSwapResult,
  Condition,
  KeyValueStore,
} from '../protocol/key-value-store';
import type { Job, JobStatus } from '../protocol/model';
import { NoResponseError } from '../transport/http-client';
import { SubmissionDeferredError, type AdmissionPolicy, type AdmissionTerms } from './admission-policy';
import { eventOfChange } from './change-events';
import { prepareJobRecord, type RecordLimits } from './dependency-records';
import type { FinalStates } from './final-states';
import type { FormatGate } from './format-gate';
import { unendedJobConditions } from './job-conditions';
import type { RecordMemory } from './record-memory';
import { KEY, type JobRecord } from './records';
import { SubmittedDependencies } from './submitted-dependencies';
import type { WatchCache } from './watch-cache';

/** Maximum number of transactions tried to accept a job; another is tried if the admission terms may have changed. */
const MAX_ADMISSION_TRIES = 5;

/** The services and limits that `JobAcceptance` uses. */
export interface JobAcceptanceContext {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly clock: Clock;
  readonly finals: FinalStates;
  readonly formatGate: FormatGate;
  readonly limits: RecordLimits;
  readonly admission: AdmissionPolicy;
  readonly memory: RecordMemory;
  /** Applies an acknowledged change to the watch cache, and notifies the peers. */
  publish(event: ChangeEvent): void;
}

/** The outcome of a submission. */
export interface Acceptance {
  /** False: the job had been accepted before. */
  readonly isNew: boolean;
  readonly status: JobStatus;
}

/** Accepts submitted jobs by writing their live records. A job that was accepted stays accepted. */
export class JobAcceptance {
  readonly #dependencies: SubmittedDependencies;

  /** `find` reads a job's state from the key-value store; it returns undefined if the job was never accepted. */
  constructor(
    private readonly context: JobAcceptanceContext,
    private readonly find: (id: string) => Promise<JobStatus | undefined>,
  ) {
    this.#dependencies = new SubmittedDependencies(context);
  }

  /** Accepts a job. If a job with this id was accepted before, returns the state of that job. */
  async accept(job: Job): Promise<Acceptance> {
    const cached = this.context.finals.cached(job.id);
    if (cached) return { isNew: false, status: cached };
    let checked: Job;
    try {
      checked = await this.#dependencies.withoutDoneDependencies(job);
    } catch (error) {
      // An accepted job stays accepted, even if a repeated submission names invalid dependencies.
      const status = await this.find(job.id);
      if (status) return { isNew: false, status };
      throw error;
    }
    try {
      if (await this.#writeIfItFits(job, checked)) {
        return { isNew: true, status: await this.#statusOfAccepted(checked) };
      }
    } catch (error) {
      const status = error instanceof SubmissionDeferredError ? await this.#findDeferred(job.id) : undefined;
      if (status) return { isNew: false, status };
      throw error;
    }
    const status = await this.find(job.id);
    if (status) return { isNew: false, status };
    throw new NoResponseError('it is unknown whether a submission was accepted', true);
  }

  /**
   * The state of a job whose submission is deferred, if an earlier submission was accepted: an accepted job must not be
   * reported as deferred. Undefined: it wasn't accepted, or that can't be determined now.
   */
  async #findDeferred(id: string): Promise<JobStatus | undefined> {
    const { admission, cache } = this.context;
    const isLive = cache.get(KEY.job(id)) !== undefined;
    if (!isLive && !(await admission.allowsLookUp())) return undefined;
    // If the read fails, the response is the deferral, which says when to submit the job again.
    return this.find(id).catch(() => undefined);
  }

  /** Writes the job as `#writeIfAdmitted` does. Throws `SubmissionDeferredError` if controllers have no memory for it. */
  async #writeIfItFits(job: Job, checked: Job): Promise<boolean> {
    const endReservation = this.context.memory.reserve(checked);
    try {
      return await this.#writeIfAdmitted(job, checked);
    } finally {
      endReservation();
    }
  }

  /**
   * Writes `checked`, the same job without dependencies that are already done. True: written. False: it may have been
   * accepted before, there was no response, or all tries failed. Throws `SubmissionDeferredError` if `job` is deferred.
   */
  async #writeIfAdmitted(job: Job, checked: Job): Promise<boolean> {
    const { store, clock, limits, admission, publish } = this.context;
    let terms = await admission.termsFor(job);
    const { record, conditions } = await prepareJobRecord(checked, clock.date().getTime(), store, limits);
    for (let attempt = 1; attempt <= MAX_ADMISSION_TRIES; attempt += 1) {
      const result = await this.#write(record, conditions, terms);
      if (result?.ok) {
        publish(eventOfChange({ put: KEY.job(record.job.id), value: record }, result.revision));
        admission.onAccepted(terms, result.revision);
        return true;
      }
      if (!result || !(await admission.refresh(terms, result.failed))) return false;
      terms = await admission.termsFor(job);
    }
    return false;
  }

  /** Writes a job's record in one transaction with the admission terms. Undefined: the store did not respond. */
  async #write(
    record: JobRecord,
    partConditions: readonly Condition[],
    terms: AdmissionTerms,
  ): Promise<CompareAndSwapResult | undefined> {
    const key = KEY.job(record.job.id);
    const notAcceptedConditions = unendedJobConditions(record.job.id, 0);
    const conditions = [...notAcceptedConditions, ...partConditions, ...terms.conditions];
    const changes = [{ put: key, value: record }, ...terms.changes];
    try {
      return await this.context.store.compareAndSwap(conditions, changes);
    } catch (error) {
      if (!(error instanceof NoResponseError)) throw error;
      // The write may have succeeded, so the caller reads the job. If the write succeeds later, a retry finds the job.
      return undefined;
    }
  }

  /** The state of a job that was just accepted. If it depends on a cancelled job, `find` cancels it too. */
  async #statusOfAccepted(job: Job): Promise<JobStatus> {
    const queued: JobStatus = { id: job.id, state: 'queued', done: 0, running: 0 };
    if (!job.dependencies) return queued;
    return (await this.find(job.id)) ?? queued;
  }
}
