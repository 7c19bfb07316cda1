/** @file How a job's list of dependencies is stored. */
import { jsonBytes } from '../base/state-limits';
import type { Job } from '../protocol/model';
import type { Condition, KeyValueStore } from '../protocol/key-value-store';
import { NoResponseError } from '../transport/http-client';
import { KEY, PREFIX, read, type DependencyPartRecord, type JobRecord } from './records';
import type { WatchCache } from './watch-cache';

/** Left free of a value's limit, and of a transaction's, for what stands beside the list itself. */
const RESERVED_BYTES = 128;
/** The protocol's bound on a transaction's body, less a reserve for its keys. */
const MAX_TRANSACTION_BYTES = 48 * 1024;

/** The state service takes this many conditions for each change that a transaction may have. */
const CONDITIONS_PER_CHANGE = 4;
/** Conditions of an acceptance besides those on parts. */
const RESERVED_CONDITIONS = 2;

/** Splits a list of job ids so that each part fits a value of the state service. */
export function splitDependencies(dependencies: readonly string[], valueBytes: number): string[][] {
  const parts: string[][] = [];
  let part: string[] = [];
  let bytes = 0;
  for (const dependency of dependencies) {
    const size = jsonBytes(dependency) + 1;
    if (part.length > 0 && bytes + size > valueBytes - RESERVED_BYTES) {
      parts.push(part);
      part = [];
      bytes = 0;
    }
    part.push(dependency);
    bytes += size;
  }
  if (part.length > 0) parts.push(part);
  return parts;
}

/** The job that a part of a list of dependencies belongs to. */
export function jobOfDependencyPartKey(key: string): string {
  return key.slice(PREFIX.dependencyPart.length, key.lastIndexOf('/'));
}

/** The dependencies of a recorded job; undefined while parts of the list are missing from this node's copy. */
export function recordedDependencies(record: JobRecord, cache: WatchCache): readonly string[] | undefined {
  const { id, dependencies } = record.job;
  if (record.dependencyParts === undefined) return dependencies ?? [];
  const all: string[] = [];
  for (let part = 0; part < record.dependencyParts; part += 1) {
    const stored = read.dependencyPart(cache.get(KEY.dependencyPart(id, part))?.value);
    if (!stored) return undefined;
    all.push(...stored.dependencies);
  }
  return all;
}

/** A job's record as it is to be written, and the conditions under which its list of dependencies is complete. */
export interface PreparedJob {
  readonly record: JobRecord;
  readonly conditions: Condition[];
}

/** What the state service takes of one record and of one transaction. */
export interface RecordLimits {
  readonly valueBytes: number;
  /** Changes that a transaction may have. */
  readonly changes: number;
}

/**
 * Prepares the record of a job that is to be accepted. A list of dependencies that doesn't fit the record is stored in
 * parts first. Parts are only written while the job is neither live nor over, and its acceptance is guarded on the
 * versions of all of them: an accepted job's list is complete and never changes.
 */
export async function prepareJobRecord(
  job: Job,
  submittedAt: number,
  store: KeyValueStore,
  limits: RecordLimits,
): Promise<PreparedJob> {
  const whole: JobRecord = { job, submittedAt };
  if (!job.dependencies || jsonBytes(whole) <= limits.valueBytes) return { record: whole, conditions: [] };
  const { dependencies, ...rest } = job;
  const parts = splitDependencies(dependencies, limits.valueBytes);
  const versions = await writeParts(job.id, parts, store, limits);
  const conditions = versions.map((version, part) => ({ key: KEY.dependencyPart(job.id, part), version }));
  if (conditions.length > limits.changes * CONDITIONS_PER_CHANGE - RESERVED_CONDITIONS) {
    throw new NoResponseError(
      `the dependencies of ${job.id} need more parts than a transaction can guard`,
      false,
    );
  }
  return { record: { job: rest, submittedAt, dependencyParts: parts.length }, conditions };
}

/** Writes the parts that aren't there yet, and returns the version of each. */
async function writeParts(
  id: string,
  parts: readonly string[][],
  store: KeyValueStore,
  limits: RecordLimits,
): Promise<number[]> {
  const versions: number[] = [];
  let batch: { part: number; version: number; value: DependencyPartRecord }[] = [];
  let bytes = 0;
  const flush = async (): Promise<void> => {
    if (batch.length === 0) return;
    const conditions = batch.map(({ part, version }) => ({ key: KEY.dependencyPart(id, part), version }));
    const unaccepted = [
      { key: KEY.job(id), version: 0 },
      { key: KEY.final(id), version: 0 },
    ];
    const changes = batch.map(({ part, value }) => ({ put: KEY.dependencyPart(id, part), value }));
    const result = await store.compareAndSwap([...unaccepted, ...conditions], changes);
    if (!result.ok)
      throw new NoResponseError(`the dependencies of ${id} changed while they were written`, false);
    for (const { part } of batch) versions[part] = result.revision;
    batch = [];
    bytes = 0;
  };
  for (const [part, dependencies] of parts.entries()) {
    const key = KEY.dependencyPart(id, part);
    const value: DependencyPartRecord = { dependencies };
    const stored = await store.get(key);
    // A retry of the same submission goes on where the one before it stopped.
    if (stored && JSON.stringify(read.dependencyPart(stored.value)) === JSON.stringify(value)) {
      versions[part] = stored.version;
      continue;
    }
    const size = jsonBytes(value);
    if (batch.length >= limits.changes || bytes + size > MAX_TRANSACTION_BYTES) await flush();
    batch.push({ part, version: stored?.version ?? 0, value });
    bytes += size;
  }
  await flush();
  return versions;
}
