/** @file What the job store asks before it accepts a job. */
import type { Job } from '../protocol/model';
import type { Change, Condition } from '../protocol/key-value-store';

/** A submission that is not accepted now, and when to submit it again. */
export class SubmissionDeferred extends Error {
  override name = 'SubmissionDeferred';
  constructor(
    readonly job: string,
    readonly retryAfterS: number,
  ) {
    super(`${job} is deferred`);
  }
}

/** What the transaction that accepts a job has to prove and to write besides the job itself. */
export interface AdmissionTerms {
  readonly conditions: readonly Condition[];
  readonly changes: readonly Change[];
}

/** Decides which jobs may be accepted at present. */
export interface AdmissionPolicy {
  /** The terms of a job's acceptance. Throws `SubmissionDeferred` where it has to wait. */
  termsFor(job: Job): Promise<AdmissionTerms>;
  /** Whether the state service may be asked whether a job that is deferred was accepted before. */
  allowsLookUp(): Promise<boolean>;
  /** Reads again what the failed conditions of an acceptance show to be out of date. True: the terms may have changed. */
  refresh(terms: AdmissionTerms, failedKeys: readonly string[]): Promise<boolean>;
  /** The job was accepted on these terms, by the transaction with this revision. */
  accepted(terms: AdmissionTerms, revision: number): void;
}

const NO_TERMS: AdmissionTerms = { conditions: [], changes: [] };

/** Accepts every job. */
export const OPEN_ADMISSION: AdmissionPolicy = {
  termsFor: () => Promise.resolve(NO_TERMS),
  allowsLookUp: () => Promise.resolve(true),
  refresh: () => Promise.resolve(false),
  accepted: () => undefined,
};
