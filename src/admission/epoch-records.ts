/** @file Stores admission epochs in the key-value store and reads them back. */
import { createHash } from 'node:crypto';
import { KEY, read, type AdmissionRecord } from '../bookkeeping/records';
import type { Change } from '../protocol/key-value-store';
import type { Epoch, FlowGrant } from './epoch';
import { flowKey, type Flow } from './flow';

const HASH_CHARS = 24;

/** Hashes a name for use in a key, since classes and teams may contain characters that are invalid in keys. */
function hashed(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, HASH_CHARS);
}

/** Key of the record with the grants of a class's teams. */
export function classRecordKey(jobClass: string): string {
  return KEY.admissionClass(hashed(jobClass));
}

/** Key of the record with the work admitted for a flow. */
export function flowRecordKey(flow: Flow): string {
  return KEY.admissionFlow(hashed(flowKey(flow)));
}

/** The records of an epoch: a header that lists its classes, and a record for each class, so that no record is large. */
export function epochChanges(epoch: Epoch, epochMs: number): Change[] {
  const byClass = new Map<string, FlowGrant[]>();
  for (const grant of epoch.grants) {
    byClass.set(grant.jobClass, [...(byClass.get(grant.jobClass) ?? []), grant]);
  }
  const header: AdmissionRecord = {
    epoch: epoch.number,
    overload: epoch.overload,
    isOverloaded: epoch.isOverloaded,
    epochMs,
    weights: epoch.weights,
    newFlowGrant: round(epoch.newFlowGrant),
    classes: [...byClass.keys()],
  };
  const classes = [...byClass].map(([jobClass, grants]) => ({
    put: classRecordKey(jobClass),
    value: {
      class: jobClass,
      epoch: epoch.number,
      teams: grants.map(({ team, granted, rate }) => ({ team, granted: round(granted), rate: round(rate) })),
    },
  }));
  return [{ put: KEY.admission, value: header }, ...classes];
}

/** Rounds an amount to a thousandth, which keeps records small. */
function round(amount: number): number {
  return Math.round(amount * 1000) / 1000;
}

/** A source of records, such as the watch cache. */
export interface RecordSource {
  get(key: string): { readonly value: unknown } | undefined;
}

/** The result of reading an epoch from the records. */
export type EpochReadResult =
  | { readonly kind: 'none' }
  | { readonly kind: 'epoch'; readonly epoch: Epoch; readonly epochMs: number }
  /** The record of a class is missing or belongs to another epoch than the header: the source is not up to date. */
  | { readonly kind: 'stale'; readonly keys: readonly string[] }
  /** The header or a class record is malformed, as far as this version of the controller can tell. */
  | { readonly kind: 'malformed' };

/** Reads the epoch, with the grants of only those classes for which `isIncluded` returns true. */
export function readEpoch(source: RecordSource, isIncluded: (jobClass: string) => boolean): EpochReadResult {
  const stored = source.get(KEY.admission);
  if (!stored) return { kind: 'none' };
  const header = read.admission(stored.value);
  if (!header) return { kind: 'malformed' };
  const grants: FlowGrant[] = [];
  for (const jobClass of header.classes.filter(isIncluded)) {
    const key = classRecordKey(jobClass);
    const entry = source.get(key);
    const record = read.admissionClass(entry?.value);
    if (entry && !record) return { kind: 'malformed' };
    if (record?.epoch !== header.epoch) return { kind: 'stale', keys: [KEY.admission, key] };
    for (const { team, granted, rate } of record.teams) grants.push({ jobClass, team, granted, rate });
  }
  const { epoch: number, overload, isOverloaded, weights, newFlowGrant, epochMs } = header;
  return { kind: 'epoch', epoch: { number, overload, isOverloaded, weights, newFlowGrant, grants }, epochMs };
}

/** The work admitted for a flow in an overload, from the flow's record; 0 if the record belongs to another overload. */
export function readAdmitted(value: unknown, overload: number): number {
  const record = read.admissionFlow(value);
  return record?.overload === overload ? record.admitted : 0;
}
