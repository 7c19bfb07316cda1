/** @file The records that hold a job's list of dependencies. */
import { jsonBytes } from '../base/state-limits';
import type { Job } from '../protocol/model';
import type { Condition, KeyValueStore } from '../protocol/key-value-store';
import { NoResponseError } from '../transport/http-client';
import { unendedJobConditions } from './job-conditions';
import { KEY, PREFIX, read, type DependencyPartRecord, type JobRecord } from './records';
import type { WatchCache } from './watch-cache';

/** Bytes of a value that are reserved for the text around the list itself. */
const RESERVED_BYTES = 128;
/** The comma between two elements of a list. */
const SEPARATOR_BYTES = 1;
/** The protocol's bound on a transaction's body, less a reserve for its keys. */
const MAX_TRANSACTION_BYTES = 48 * 1024;

/** The key-value store allows this many conditions for each change that a transaction may have. */
const CONDITIONS_PER_CHANGE = 4;
/** Conditions of an acceptance besides those on parts. */
const RESERVED_CONDITIONS = 2;

/** Splits a list of job ids so that each part fits a value of the key-value store. */
export function splitDependencies(dependencies: readonly string[], valueBytes: number): string[][] {
  const parts: string[][] = [];
  let part: string[] = [];
  let partBytes = 0;
  for (const dependency of dependencies) {
    const bytes = jsonBytes(dependency) + SEPARATOR_BYTES;
    if (part.length > 0 && partBytes + bytes > valueBytes - RESERVED_BYTES) {
      parts.push(part);
      part = [];
      partBytes = 0;
    }
    part.push(dependency);
    partBytes += bytes;
  }
  if (part.length > 0) parts.push(part);
  return parts;
}

/** The job that a part of a list of dependencies belongs to. */
export function jobOfDependencyPartKey(key: string): string {
  return key.slice(PREFIX.dependencyPart.length, key.lastIndexOf('/'));
}

/** The dependencies of a recorded job; undefined while parts of the list are missing from this controller's copy. */
export function recordedDependencies(record: JobRecord, cache: WatchCache): readonly string[] | undefined {
  const { id, dependencies } = record.job;
  if (record.dependencyParts === undefined) return dependencies ?? [];
  const allDependencies: string[] = [];
  for (let part = 0; part < record.dependencyParts; part += 1) {
    const stored = read.dependencyPart(cache.get(KEY.dependencyPart(id, part))?.value);
    if (!stored) return undefined;
    allDependencies.push(...stored.dependencies);
  }
  return allDependencies;
}

/** A job's record as it is to be written, and the conditions under which its list of dependencies is complete. */
export interface PreparedJob {
  readonly record: JobRecord;
  readonly conditions: Condition[];
}

/** The key-value store's limits on one record and on one transaction. */
export interface RecordLimits {
  readonly valueBytes: number;
  /** Changes that a transaction may have. */
  readonly changes: number;
}

/**
 * Prepares the record of a job that is to be accepted. A list of dependencies that doesn't fit the record is stored in
 * parts first. Parts are only written while the job is neither live nor ended, and its acceptance has the versions of all
 * of them as conditions: an accepted job's list is complete and never changes.
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

/** Writes the parts that aren't stored yet, and returns the version of each. */
async function writeParts(
  id: string,
  parts: readonly string[][],
  store: KeyValueStore,
  limits: RecordLimits,
): Promise<number[]> {
  const writer = new PartWriter(id, store, limits);
  for (const [part, dependencies] of parts.entries()) {
    const value: DependencyPartRecord = { dependencies };
    const stored = await store.get(KEY.dependencyPart(id, part));
    // A retry of the same submission continues where the one before it stopped.
    if (stored && JSON.stringify(read.dependencyPart(stored.value)) === JSON.stringify(value)) {
      writer.versions[part] = stored.version;
      continue;
    }
    const bytes = jsonBytes(value);
    if (!writer.hasRoomFor(bytes)) await writer.flush();
    writer.add({ part, version: stored?.version ?? 0, value }, bytes);
  }
  await writer.flush();
  return writer.versions;
}

/** A part that is to be written, and the version of the record that it replaces. */
interface PartWrite {
  readonly part: number;
  readonly version: number;
  readonly value: DependencyPartRecord;
}

/** Writes parts of one list of dependencies in transactions as large as the limits allow. */
class PartWriter {
  /** The versions of the parts that are stored, by part. */
  readonly versions: number[] = [];
  #batch: PartWrite[] = [];
  #bytes = 0;

  constructor(
    private readonly id: string,
    private readonly store: KeyValueStore,
    private readonly limits: RecordLimits,
  ) {}

  /** Whether the next transaction can hold another value of so many bytes. */
  hasRoomFor(bytes: number): boolean {
    return this.#batch.length < this.limits.changes && this.#bytes + bytes <= MAX_TRANSACTION_BYTES;
  }

  add(write: PartWrite, bytes: number): void {
    this.#batch.push(write);
    this.#bytes += bytes;
  }

  /** Writes what was added, while the job is neither live nor ended. */
  async flush(): Promise<void> {
    if (this.#batch.length === 0) return;
    const { id } = this;
    const isNotAccepted = unendedJobConditions(id, 0);
    const areUnchanged = this.#batch.map(({ part, version }) => ({
      key: KEY.dependencyPart(id, part),
      version,
    }));
    const changes = this.#batch.map(({ part, value }) => ({ put: KEY.dependencyPart(id, part), value }));
    const result = await this.store.compareAndSwap([...isNotAccepted, ...areUnchanged], changes);
    if (!result.ok) {
      throw new NoResponseError(`the dependencies of ${id} changed while they were written`, false);
    }
    for (const { part } of this.#batch) this.versions[part] = result.revision;
    this.#batch = [];
    this.#bytes = 0;
  }
}
