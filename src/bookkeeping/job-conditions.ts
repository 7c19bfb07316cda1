/** @file Transaction conditions that require that a job has not ended. */
import type { Uint64 } from '../base/uint64';
import type { Condition } from '../protocol/key-value-store';
import { KEY } from './records';

/** Conditions that a job has not ended and its live record has this version; for version 0, that it was never accepted. */
export function unendedJobConditions(id: string, liveVersion: Uint64): Condition[] {
  return [
    { key: KEY.job(id), version: liveVersion },
    { key: KEY.final(id), version: 0 },
  ];
}
