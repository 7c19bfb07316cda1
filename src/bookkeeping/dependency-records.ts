/** @file The records that hold a job's list of dependencies. */
import type { Uint64 } from '../base/uint64';
import { CONDITIONS_PER_CHANGE, jsonBytes, MAX_TRANSACTION_BYTES } from '../base/state-limits';
import type { Job } from '../protocol/model';
import type { Condition, KeyValueStore } from '../protocol/key-value-store';
import { NoResponseError } from '../transport/http-client';
import { unendedJobConditions } from './job-conditions';
import { KEY, PREFIX, read, type DependencyPartRecord, type JobRecord } from './records';

/** Bytes of a value that are reserved for the JSON around the list of dependencies. */
const RESERVED_BYTES = 128;
/** The size of the comma between two elements of a list. */
const SEPARATOR_BYTES = 1;

/** The number of conditions on a job's own records in the transaction that accepts the job. */
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

/**
 * What the watch cache keeps of a record: all but a list of dependencies, which the job graph keeps. A job that has
 * dependencies keeps an empty list.
 */
export function withoutDependencies(key: string, value: unknown): unknown {
  if (key.startsWith(PREFIX.dependencyPart)) return undefined;
  if (!key.startsWith(PREFIX.job)) return value;
  const record = read.job(value);
  if (!record?.job.dependencies?.length) return value;
  return { ...record, job: { ...record.job, dependencies: [] } };
}

/** A job's record to be written, and the conditions that guarantee that its list of dependencies is complete. */
export interface PreparedJob {
  readonly record: JobRecord;
  readonly conditions: Condition[];
}

/** The key-value store's limits on one record and on one transaction. */
export interface RecordLimits {
  readonly valueBytes: number;
  /** Maximum number of changes in a transaction. */
  readonly changes: number;
}

/**
 * Prepares the record of a job that is to be accepted. A list of dependencies that doesn't fit the record is stored in
 * parts first. Each write of parts has the condition that the job is neither live nor ended, and the acceptance has the
 * versions of all parts as conditions. So the list of an accepted job is complete and never changes.
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
      `the dependencies of ${job.id} need more parts than a transaction may have conditions`,
      false,
    );
  }
  return { record: { job: rest, submittedAt, dependencyParts: parts.length }, conditions };
}

/** Writes the parts of a list of dependencies that aren't stored yet; returns the versions of all parts. */
async function writeParts(
  id: string,
  parts: readonly string[][],
  store: KeyValueStore,
  limits: RecordLimits,
): Promise<Uint64[]> {
  const writer = new PartWriter(id, store, limits);
  for (const [part, dependencies] of parts.entries()) {
    const value: DependencyPartRecord = { dependencies };
    const stored = await store.get(KEY.dependencyPart(id, part));
    // An earlier submission of the job has stored this part, so it is not written again.
    if (stored && JSON.stringify(read.dependencyPart(stored.value)) === JSON.stringify(value)) {
      writer.versions[part] = stored.version;
      continue;
    }
    const bytes = jsonBytes(value);
    if (!writer.canAdd(bytes)) await writer.flush();
    writer.add({ part, version: stored?.version ?? 0, value }, bytes);
  }
  await writer.flush();
  return writer.versions;
}

/** A part to be written, and the version of the record that it replaces. */
interface PartWrite {
  readonly part: number;
  readonly version: Uint64;
  readonly value: DependencyPartRecord;
}

/** Writes the parts of one list of dependencies in transactions that are as large as the limits allow. */
class PartWriter {
  /** The versions of the stored parts, by the number of the part. */
  readonly versions: Uint64[] = [];
  #batch: PartWrite[] = [];
  #bytes = 0;

  constructor(
    private readonly id: string,
    private readonly store: KeyValueStore,
    private readonly limits: RecordLimits,
  ) {}

  /** Whether another value of this size fits the next transaction. */
  canAdd(bytes: number): boolean {
    return this.#batch.length < this.limits.changes && this.#bytes + bytes <= MAX_TRANSACTION_BYTES;
  }

  add(write: PartWrite, bytes: number): void {
    this.#batch.push(write);
    this.#bytes += bytes;
  }

  /** Writes the added parts in one transaction, on the condition that the job is neither live nor ended. */
  async flush(): Promise<void> {
    if (this.#batch.length === 0) return;
    const { id } = this;
    const notAcceptedConditions = unendedJobConditions(id, 0);
    const unchangedConditions = this.#batch.map(({ part, version }) => ({
      key: KEY.dependencyPart(id, part),
      version,
    }));
    const changes = this.#batch.map(({ part, value }) => ({ put: KEY.dependencyPart(id, part), value }));
    const result = await this.store.compareAndSwap(
      [...notAcceptedConditions, ...unchangedConditions],
      changes,
    );
    if (!result.ok) {
      throw new NoResponseError(
        `the stored dependencies of ${id} changed, or it was accepted, before this write`,
        false,
      );
    }
    for (const { part } of this.#batch) this.versions[part] = result.revision;
    this.#batch = [];
    this.#bytes = 0;
  }
}
