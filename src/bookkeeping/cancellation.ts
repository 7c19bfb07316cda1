/** @file The transaction that cancels jobs. */
import type { Uint64 } from '../base/uint64';
import type { Change, Condition } from '../protocol/key-value-store';
import { unendedJobConditions } from './job-conditions';
import { KEY, type FinalRecord } from './records';

/** The cancellation of one live job. */
export interface Cancellation {
  readonly id: string;
  /** The version of the job's live record. */
  readonly version: Uint64;
  readonly final: FinalRecord;
}

/** The number of changes for each cancelled job: its final state is written, and its live record is deleted. */
export const CHANGES_PER_CANCELLATION = 2;

/** The transaction that cancels all of the jobs, on the condition that each is still live and has no final state. */
export function cancellationTransaction(cancellations: readonly Cancellation[]): {
  conditions: Condition[];
  changes: Change[];
} {
  const conditions = cancellations.flatMap(({ id, version }) => unendedJobConditions(id, version));
  const changes = cancellations.flatMap(({ id, final }) => [
    { put: KEY.final(id), value: final },
    { delete: KEY.job(id) },
  ]);
  return { conditions, changes };
}
