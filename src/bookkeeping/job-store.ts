import type { Clock } from '../base/clock';
import type { FinalState, Job, JobStatus } from '../protocol/model';
import type { Event, StateStore, TxnResult } from '../protocol/state';
import { NoAnswer } from '../transport/http-client';
import { KEY, read, type JobRecord } from './records';

const REMEMBERED_FINALS = 20_000;

/**
 * Jobs as the state service has them. A live job's record is written once, when it is accepted, and deleted in the
 * transaction that writes its final state: done and cancelled race on that one record, and one of them wins for ever.
 */
export class JobStore {
  readonly #finals = new Map<string, JobStatus>();

  constructor(
    private readonly store: StateStore,
    private readonly clock: Clock,
    /** Brings a change that the state service has told us of into this node's view, and tells the other nodes. */
    private readonly announce: (event: Event) => void,
  ) {}

  /** The job's state as of now, by the state service's word. Undefined: nobody has submitted it. */
  async find(id: string): Promise<JobStatus | undefined> {
    const known = this.#finals.get(id);
    if (known) return known;
    // In this order: a job that ends between the two reads is found by the second.
    const live = await this.store.get(KEY.job(id));
    if (live) return { id, state: 'queued', done: 0, running: 0 };
    const entry = await this.store.get(KEY.final(id));
    if (!entry) return undefined;
    const final = read.final(entry.value);
    // A job that has a record was accepted, whether we can read it or not.
    if (!final) throw new NoAnswer(`the final state of ${id} can't be read`, false);
    // The transaction that wrote it deleted the live record, and its writer may have died, or never had an answer. Who
    // tells a user of a cancellation has to know of it when it promises an owner that nothing was cancelled unheard
    // (`LeaseExtension`): so it is in this node's view before any answer leaves.
    if (final.state === 'cancelled')
      this.announce({ key: KEY.job(id), version: entry.version, deleted: true });
    return this.rememberFinal(id, final.state, final.done);
  }

  rememberFinal(id: string, state: FinalState, done: number): JobStatus {
    const status: JobStatus = { id, state, done, running: 0 };
    const oldest = this.#finals.size >= REMEMBERED_FINALS ? this.#finals.keys().next().value : undefined;
    if (oldest !== undefined) this.#finals.delete(oldest);
    this.#finals.set(id, status);
    return status;
  }

  /** Accepts a job for good, or finds the one accepted before under this id. */
  async accept(job: Job): Promise<{ isNew: boolean; status: JobStatus }> {
    const known = this.#finals.get(job.id);
    if (known) return { isNew: false, status: known };
    const record: JobRecord = { job, submittedAt: this.clock.date().getTime() };
    const guards = [
      { key: KEY.job(job.id), version: 0 },
      { key: KEY.final(job.id), version: 0 },
    ];
    let result: TxnResult | undefined;
    try {
      result = await this.store.txn(guards, [{ put: KEY.job(job.id), value: record }]);
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
      // It may have been written: read it back. If it is written later still, the user's retry finds it.
    }
    if (result?.ok) {
      this.announce({ key: KEY.job(job.id), version: result.revision, value: record, deleted: false });
      return { isNew: true, status: { id: job.id, state: 'queued', done: 0, running: 0 } };
    }
    const status = await this.find(job.id);
    if (status) return { isNew: false, status };
    throw new NoAnswer('a submission was not confirmed', true);
  }

  /** Cancels a job unless it is done. Undefined: nobody has submitted it. */
  async cancel(id: string, doneSoFar: number): Promise<JobStatus | undefined> {
    const known = this.#finals.get(id);
    if (known) return known;
    for (;;) {
      const live = await this.store.get(KEY.job(id));
      if (!live) return this.find(id);
      const guards = [
        { key: KEY.job(id), version: live.version },
        { key: KEY.final(id), version: 0 },
      ];
      const value = { state: 'cancelled', done: doneSoFar };
      const result = await this.store.txn(
        guards,
        [{ put: KEY.final(id), value }, { delete: KEY.job(id) }],
        true,
      );
      if (result.ok) {
        this.announce({ key: KEY.job(id), version: result.revision, deleted: true });
        return this.rememberFinal(id, 'cancelled', doneSoFar);
      }
    }
  }
}
