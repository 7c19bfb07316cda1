/** @file The interface of admission control, which decides which jobs are accepted at present. */
import type { Uint64 } from '../base/uint64';
import type { Job } from '../protocol/model';
import type { Change, Condition } from '../protocol/key-value-store';

/** Thrown when admission control defers a submission; contains the time after which to submit it again. */
export class SubmissionDeferredError extends Error {
  override name = 'SubmissionDeferredError';
  constructor(
    readonly job: string,
    readonly retryAfterS: number,
  ) {
    super(`the submission of ${job} is deferred`);
  }
}

/** The conditions and changes that admission control adds to the transaction that accepts a job. */
export interface AdmissionTerms {
  readonly conditions: readonly Condition[];
  readonly changes: readonly Change[];
}

/** Decides which jobs are accepted at present. */
export interface AdmissionPolicy {
  /** The terms of a job's acceptance. Throws `SubmissionDeferredError` if the submission is deferred. */
  termsFor(job: Job): Promise<AdmissionTerms>;
  /** Takes a token for a check whether a deferred job was accepted before. False: the rate limit forbids the check. */
  allowsLookUp(): Promise<boolean>;
  /** Reads again the records whose conditions in the terms failed. True: there were any, so the terms may have changed. */
  refresh(terms: AdmissionTerms, failedKeys: readonly string[]): Promise<boolean>;
  /** Called after the transaction with this revision has accepted a job on these terms. */
  onAccepted(terms: AdmissionTerms, revision: Uint64): void;
}

const NO_TERMS: AdmissionTerms = { conditions: [], changes: [] };

/** Accepts every job. */
export const OPEN_ADMISSION: AdmissionPolicy = {
  termsFor: () => Promise.resolve(NO_TERMS),
  allowsLookUp: () => Promise.resolve(true),
  refresh: () => Promise.resolve(false),
  onAccepted: () => undefined,
};
