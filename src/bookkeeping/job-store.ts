/** @file Acceptance, questions and cancellation of jobs, against the state service. */
import type { Clock } from '../base/clock';
import type { FinalState, Job, JobStatus } from '../protocol/model';
import type {
  Entry,
  ChangeEvent,
  Condition,
  KeyValueStore,
  CompareAndSwapResult,
} from '../protocol/key-value-store';
import { NoResponseError } from '../transport/http-client';
import { SubmissionDeferred, type AdmissionPolicy, type AdmissionTerms } from './admission-policy';
import { prepareJobRecord, type RecordLimits } from './dependency-records';
import type { DependencyTracker } from './dependency-tracker';
import type { FinalStates } from './final-states';
import type { FormatGate } from './format-gate';
import { KEY, read, type FinalRecord, type JobRecord } from './records';
import type { WatchCache } from './watch-cache';

/** How many dependencies of a submission are looked up at the same time. */
const CHECKS_AT_ONCE = 8;

/** How often an acceptance is tried again because its admission terms had changed. */
const ADMISSION_TRIES = 5;

/** A submission names a job that was never accepted, or itself. */
export class UnknownDependency extends Error {
  override name = 'UnknownDependency';
  constructor(readonly dependency: string) {
    super(`${dependency} was never accepted`);
  }
}

/** What the job store works on. */
export interface JobStoreContext {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly clock: Clock;
  readonly finals: FinalStates;
  readonly dependencies: DependencyTracker;
  readonly formatGate: FormatGate;
  readonly limits: RecordLimits;
  readonly admission: AdmissionPolicy;
  /** Brings a change that the state service has told us of into this node's view, and tells the other nodes. */
  publish(event: ChangeEvent): void;
}

/** The outcome of a submission. */
export interface Acceptance {
  /** False: the job had been accepted before. */
  readonly isNew: boolean;
  readonly status: JobStatus;
}

/**
 * Jobs as the state service has them. A live job's record is written once, when it is accepted, and deleted in the
 * transaction that writes its final state: done and cancelled race on that one record, and one of them wins for ever.
 */
export class JobStore {
  constructor(private readonly context: JobStoreContext) {}

  /** The job's state as of now, by the state service's word. Undefined: nobody has submitted it. */
  async find(id: string): Promise<JobStatus | undefined> {
    const known = this.context.finals.known(id);
    if (known) return known;
    // In this order: a job that ends between the two reads is found by the second.
    const live = await this.context.store.get(KEY.job(id));
    return live ? this.#findLive(id, live) : this.#findFinal(id);
  }

  /**
   * A job is cancelled when one that it needs is cancelled. Whoever asks after such a job is told so only after that is
   * written, and is never told anything else: any node comes to the same answer, whatever became of the node that
   * cancelled the other job.
   */
  async #findLive(id: string, live: Entry): Promise<JobStatus | undefined> {
    const waits = this.#learnDependencies(live);
    if (waits && (await this.context.dependencies.isCancellationPending(id))) return this.cancel(id, 0);
    const status: JobStatus = { id, state: 'queued', done: 0, running: 0 };
    if (!waits) return status;
    // It may have been cancelled meanwhile, by the leader or for another question.
    const ended = this.context.dependencies.graph.has(id) ? undefined : await this.#findFinal(id);
    if (ended) return ended;
    return { ...status, unfinishedDependencies: this.context.dependencies.unfinishedDependencies(id) };
  }

  /** Brings a record that was just read into this node's view. True: the job has dependencies. */
  #learnDependencies({ key, value, version }: Entry): boolean {
    const record = read.job(value);
    if (!record?.job.dependencies && record?.dependencyParts === undefined) return false;
    this.context.cache.offer({ key, value, version, deleted: false });
    return true;
  }

  async #findFinal(id: string): Promise<JobStatus | undefined> {
    const final = await this.context.finals.read(id);
    if (!final) return undefined;
    // The transaction that wrote it deleted the live record, and its writer may have died, or never had an answer. Who
    // tells a user of a cancellation has to know of it when it promises an owner that nothing was cancelled unheard
    // (`LeaseExtension`): so it is in this node's view before any answer leaves.
    if (final.status.state === 'cancelled')
      this.context.publish({ key: KEY.job(id), version: final.entry.version, deleted: true });
    return final.status;
  }

  /** The record of an end at this moment. */
  finalRecord(state: FinalState, done: number): FinalRecord {
    return this.context.finals.record(state, done, this.context.clock.date().getTime());
  }

  rememberFinal(id: string, final: FinalRecord): JobStatus {
    return this.context.finals.learn(id, final);
  }

  /** Accepts a job for good, or finds the one accepted before under this id. */
  async accept(job: Job): Promise<Acceptance> {
    const known = this.context.finals.known(job.id);
    if (known) return { isNew: false, status: known };
    let checked: Job;
    try {
      checked = await this.#withUnfinishedDependencies(job);
    } catch (error) {
      // An accepted job stays accepted, whatever a repeated submission names.
      const status = await this.find(job.id);
      if (status) return { isNew: false, status };
      throw error;
    }
    try {
      if (await this.#writeAdmitted(job, checked)) {
        return { isNew: true, status: await this.#statusOfAccepted(checked) };
      }
    } catch (error) {
      const status = error instanceof SubmissionDeferred ? await this.#findAccepted(job.id) : undefined;
      if (status) return { isNew: false, status };
      throw error;
    }
    const status = await this.find(job.id);
    if (status) return { isNew: false, status };
    throw new NoResponseError('a submission was not confirmed', true);
  }

  /** An accepted job is never deferred later. Undefined: it wasn't accepted, or that can't be told now. */
  async #findAccepted(id: string): Promise<JobStatus | undefined> {
    const { admission, cache } = this.context;
    const isLive = cache.get(KEY.job(id)) !== undefined;
    if (!isLive && !(await admission.allowsLookUp())) return undefined;
    // Without an answer the user is told to come back, at the time that the deferral names.
    return this.find(id).catch(() => undefined);
  }

  /**
   * Writes the record of a job if it is admitted. `job` is the job as its user described it, `checked` the one to be
   * stored. False: it may have been accepted before, or no answer came.
   */
  async #writeAdmitted(job: Job, checked: Job): Promise<boolean> {
    const { store, clock, limits, admission } = this.context;
    let terms = await admission.termsFor(job);
    const { record, conditions } = await prepareJobRecord(checked, clock.date().getTime(), store, limits);
    for (let attempt = 1; attempt <= ADMISSION_TRIES; attempt += 1) {
      const result = await this.#write(record, conditions, terms);
      if (result?.ok) {
        this.#publishAccepted(record, result.revision);
        admission.accepted(terms, result.revision);
        return true;
      }
      if (!result || !(await admission.refresh(terms, result.failed))) return false;
      terms = await admission.termsFor(job);
    }
    return false;
  }

  #publishAccepted(record: JobRecord, version: number): void {
    this.context.publish({ key: KEY.job(record.job.id), version, value: record, deleted: false });
  }

  async #write(
    record: JobRecord,
    partConditions: readonly Condition[],
    terms: AdmissionTerms,
  ): Promise<CompareAndSwapResult | undefined> {
    const key = KEY.job(record.job.id);
    const unaccepted = [
      { key, version: 0 },
      { key: KEY.final(record.job.id), version: 0 },
    ];
    const conditions = [...unaccepted, ...partConditions, ...terms.conditions];
    try {
      return await this.context.store.compareAndSwap(conditions, [
        { put: key, value: record },
        ...terms.changes,
      ]);
    } catch (error) {
      if (!(error instanceof NoResponseError)) throw error;
      // It may have been written: read it back. If it is written later still, the user's retry finds it.
      return undefined;
    }
  }

  /** A job that names a cancelled one is accepted and is cancelled with it. */
  async #statusOfAccepted(job: Job): Promise<JobStatus> {
    const queued: JobStatus = { id: job.id, state: 'queued', done: 0, running: 0 };
    if (!job.dependencies) return queued;
    return (await this.find(job.id)) ?? queued;
  }

  /**
   * The job with those of its dependencies that aren't done yet: what is done stays done. Throws where one was never
   * accepted, or where that can't be told now.
   */
  async #withUnfinishedDependencies(job: Job): Promise<Job> {
    const { dependencies, ...rest } = job;
    if (!dependencies) return job;
    // Only the state service's word proves that every version that may start tasks understands dependencies.
    if (!(await this.context.formatGate.confirmOpen())) {
      throw new NoResponseError('not all controllers understand dependencies yet', false);
    }
    const unfinished: string[] = [];
    for (let from = 0; from < dependencies.length; from += CHECKS_AT_ONCE) {
      const batch = dependencies.slice(from, from + CHECKS_AT_ONCE);
      const areDone = await Promise.all(batch.map((dependency) => this.#isDone(dependency, job.id)));
      unfinished.push(...batch.filter((_, index) => areDone[index] === false));
    }
    return unfinished.length === 0 ? rest : { ...rest, dependencies: unfinished };
  }

  /**
   * Whether a dependency is done. That it was accepted is proved by a live or a final record; one of them is there for
   * ever, so an older view proves it just as well.
   */
  async #isDone(id: string, dependent: string): Promise<boolean> {
    const { finals, cache, store } = this.context;
    if (id === dependent) throw new UnknownDependency(id);
    const known = finals.known(id);
    if (known) return known.state === 'done';
    if (cache.get(KEY.job(id))) return false;
    const live = await store.get(KEY.job(id));
    if (live) {
      cache.offer({ key: live.key, value: live.value, version: live.version, deleted: false });
      return false;
    }
    const final = await finals.read(id);
    if (!final) throw new UnknownDependency(id);
    return final.status.state === 'done';
  }

  /** Cancels a job unless it is done. Undefined: nobody has submitted it. */
  async cancel(id: string, doneSoFar: number): Promise<JobStatus | undefined> {
    const known = this.context.finals.known(id);
    if (known) return known;
    for (;;) {
      const live = await this.context.store.get(KEY.job(id));
      if (!live) return this.find(id);
      const value = this.finalRecord('cancelled', doneSoFar);
      const result = await this.context.store.compareAndSwap(
        [
          { key: KEY.job(id), version: live.version },
          { key: KEY.final(id), version: 0 },
        ],
        [{ put: KEY.final(id), value }, { delete: KEY.job(id) }],
        'urgent',
      );
      if (result.ok) {
        const status = this.rememberFinal(id, value);
        this.context.publish({ key: KEY.job(id), version: result.revision, deleted: true });
        return status;
      }
    }
  }
}
