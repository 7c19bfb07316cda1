/** @file The policy that decides which jobs may be accepted at present. */
import type { Job } from '../protocol/model';
import type { Change, Condition } from '../protocol/key-value-store';

/** A submission that is not accepted now, and when to submit it again. */
export class SubmissionDeferredError extends Error {
  override name = 'SubmissionDeferredError';
  constructor(
    readonly job: string,
    readonly retryAfterS: number,
  ) {
    super(`${job} is deferred`);
  }
}

/** The conditions and changes that the transaction that accepts a job has to hold besides the job itself. */
export interface AdmissionTerms {
  readonly conditions: readonly Condition[];
  readonly changes: readonly Change[];
}

/** Decides which jobs may be accepted at present. */
export interface AdmissionPolicy {
  /** The terms of a job's acceptance. Throws `SubmissionDeferredError` where it has to wait. */
  termsFor(job: Job): Promise<AdmissionTerms>;
  /** Whether a request may be spent on reading if a job that is deferred was accepted before. */
  allowsLookUp(): Promise<boolean>;
  /** Reads the records again that failed conditions of an acceptance show to be stale. True: the terms may have changed. */
  refresh(terms: AdmissionTerms, failedKeys: readonly string[]): Promise<boolean>;
  /** To be called when a job was accepted on these terms, by the transaction with this revision. */
  onAccepted(terms: AdmissionTerms, revision: number): void;
}

const NO_TERMS: AdmissionTerms = { conditions: [], changes: [] };

/** Accepts every job. */
export const OPEN_ADMISSION: AdmissionPolicy = {
  termsFor: () => Promise.resolve(NO_TERMS),
  allowsLookUp: () => Promise.resolve(true),
  refresh: () => Promise.resolve(false),
  onAccepted: () => undefined,
};
