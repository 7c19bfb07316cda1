/** @file Stores admission epochs in the key-value store and reads them back. */
import { createHash } from 'node:crypto';
import { KEY, read, type AdmissionRecord } from '../bookkeeping/records';
import type { Change } from '../protocol/key-value-store';
import type { Epoch, FlowGrant } from './epoch';
import { flowKey, type Flow } from './flow';

const HASH_CHARS = 24;

/** Classes and teams may have any characters, and keys may not. */
function hashed(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, HASH_CHARS);
}

/** Key of the record of what a class's teams are granted. */
export function classRecordKey(jobClass: string): string {
  return KEY.admissionClass(hashed(jobClass));
}

/** Key of the record of what a flow was admitted. */
export function flowRecordKey(flow: Flow): string {
  return KEY.admissionFlow(hashed(flowKey(flow)));
}

/** The records of an epoch: one that names its classes, and one for each of them, so that none grows large. */
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

/** Amounts are stored to a thousandth, which keeps records small. */
function round(amount: number): number {
  return Math.round(amount * 1000) / 1000;
}

/** The records from which an epoch, or a part of it, is read. */
export interface RecordSource {
  get(key: string): { readonly value: unknown } | undefined;
}

/** An epoch as it was read. */
export type EpochReadResult =
  | { readonly kind: 'none' }
  | { readonly kind: 'epoch'; readonly epoch: Epoch; readonly epochMs: number }
  /** The records of classes don't belong to the epoch: this copy is not up to date. */
  | { readonly kind: 'stale'; readonly keys: readonly string[] }
  /** A record that this version can't read. */
  | { readonly kind: 'malformed' };

/** Reads the epoch, with the grants of the classes that are wanted. */
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

/** What a flow was admitted in an overload, by its record; records of another overload count as nothing. */
export function readAdmitted(value: unknown, overload: number): number {
  const record = read.admissionFlow(value);
  return record?.overload === overload ? record.admitted : 0;
}
