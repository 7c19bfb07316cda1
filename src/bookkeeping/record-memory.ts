/**
 * @file The memory that live records take in a controller. Each kind of record has a stated cost, an upper bound of what
 * the watch cache, the job graph and the owner of the record's shard keep for it.
 */
import type { ChangeEvent } from '../protocol/key-value-store';
import type { Job } from '../protocol/model';
import { SubmissionDeferredError } from './admission-policy';
import { isCompletionKey } from './completion-records';
import { PREFIX, read, type JobRecord } from './records';
import type { WatchCache } from './watch-cache';

/** What a record takes beside its value: its key, its entries in maps, its node in the job graph. */
const BYTES_PER_RECORD = 400;
/** What a live job takes beside its record: its dispatch table, its places in queues and snapshots, its progress. */
const BYTES_PER_JOB = 1_400;
/** What a machine takes beside its record: its state at the owner, without the attempts on it. */
const BYTES_PER_MACHINE = 4_000;
/** The most bits that a task takes once it is done: in the dispatch table, and in the text of a completion record. */
const BITS_PER_TASK = 3;
/** An edge of the job graph, or the text of a name in a part that waits for its job. */
const BYTES_PER_DEPENDENCY = 16;

/** The part of the heap that live records may take. */
const SHARE_FOR_RECORDS = 0.45;
/** The part of the heap that live records and the attempts of an owner may take together. */
const SHARE_FOR_RECORDS_AND_ATTEMPTS = 0.6;
/** What an attempt takes at the owner of its shard. */
const BYTES_PER_ATTEMPT = 600;
/** Time after which to repeat a submission that doesn't fit. */
const RETRY_AFTER_S = 5;

const TEXT_BYTES = 24;
const NUMBER_BYTES = 16;
const LIST_BYTES = 48;
const MAP_BYTES = 56;
const ITEM_BYTES = 8;
const BITS_PER_BYTE = 8;

/** The heap that a decoded value takes at most, in bytes. */
function valueBytes(value: unknown): number {
  if (typeof value === 'string') return TEXT_BYTES + 2 * value.length;
  if (typeof value === 'number') return NUMBER_BYTES;
  if (typeof value !== 'object' || value === null) return 0;
  const items = Object.values(value);
  const containerBytes = Array.isArray(value) ? LIST_BYTES : MAP_BYTES;
  return items.reduce((sum: number, item) => sum + ITEM_BYTES + valueBytes(item), containerBytes);
}

/** The memory that a live job takes until it ends, in bytes, its completions included. */
export function jobRecordBytes({ job, submittedAt }: JobRecord): number {
  const { dependencies = [], ...fields } = job;
  return (
    BYTES_PER_RECORD +
    BYTES_PER_JOB +
    valueBytes({ job: fields, submittedAt }) +
    dependencies.length * BYTES_PER_DEPENDENCY +
    (job.tasks * BITS_PER_TASK) / BITS_PER_BYTE
  );
}

/** The memory that a part of a job's list of dependencies takes until the job ends, in bytes. */
export function dependencyPartBytes(dependencies: readonly string[]): number {
  const names = dependencies.reduce((sum, name) => sum + Math.max(BYTES_PER_DEPENDENCY, name.length + 1), 0);
  return BYTES_PER_RECORD + names;
}

/** The memory that a live record takes, in bytes. */
function recordBytes(key: string, value: unknown): number {
  if (key.startsWith(PREFIX.job)) {
    const record = read.job(value);
    if (record) return jobRecordBytes(record);
  }
  if (key.startsWith(PREFIX.dependencyPart)) {
    return dependencyPartBytes(read.dependencyPart(value)?.dependencies ?? []);
  }
  // The cost of a job covers its completions, whatever is done by now.
  if (isCompletionKey(key)) return BYTES_PER_RECORD;
  const bytes = BYTES_PER_RECORD + valueBytes(value);
  return key.startsWith(PREFIX.machine) ? bytes + BYTES_PER_MACHINE : bytes;
}

/** The memory that a job takes once it is accepted, with its list of dependencies whole or in parts, in bytes. */
export function acceptedJobBytes(job: Job): number {
  const { dependencies = [], ...fields } = job;
  return jobRecordBytes({ job: fields, submittedAt: 0 }) + dependencyPartBytes(dependencies);
}

/**
 * Adds up the memory of all live records of a watch cache, and keeps it below a limit: a job is accepted only if its
 * records fit every controller, which all have the same records and the same limit. The rest of the heap is for the
 * program, for messages and rounds, and for jobs that peers accept at the same moment.
 */
export class RecordMemory {
  readonly #bytesByKey = new Map<string, number>();
  #usedBytes = 0;
  #reservedBytes = 0;

  constructor(
    private readonly cache: WatchCache,
    private readonly heapLimitBytes: number,
  ) {
    this.limitBytes = heapLimitBytes * SHARE_FOR_RECORDS;
    cache.onChange((event) => {
      this.#onChange(event);
    });
  }

  /** The memory that live records may take, in bytes. */
  readonly limitBytes: number;

  /** How many attempts the owner of a shard has memory for; tasks beyond them wait. */
  get maxAttempts(): number {
    const bytes = this.heapLimitBytes * SHARE_FOR_RECORDS_AND_ATTEMPTS - this.#usedBytes;
    return Math.max(0, Math.floor(bytes / BYTES_PER_ATTEMPT));
  }

  /** The memory that the live records take, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /**
   * Reserves memory for a job while it is being accepted; the caller ends the reservation once the watch cache has the
   * job's record, or the job isn't accepted. Throws `SubmissionDeferredError` if the job doesn't fit.
   */
  reserve(job: Job): () => void {
    const bytes = acceptedJobBytes(job);
    // Before the first load, the memory that the live records take is not known.
    const isKnown = this.cache.revision > 0;
    if (!isKnown || this.#usedBytes + this.#reservedBytes + bytes > this.limitBytes) {
      throw new SubmissionDeferredError(job.id, RETRY_AFTER_S);
    }
    this.#reservedBytes += bytes;
    return () => {
      this.#reservedBytes -= bytes;
    };
  }

  #onChange({ key, value, deleted }: ChangeEvent): void {
    this.#usedBytes -= this.#bytesByKey.get(key) ?? 0;
    this.#bytesByKey.delete(key);
    if (deleted) return;
    const bytes = recordBytes(key, value);
    this.#bytesByKey.set(key, bytes);
    this.#usedBytes += bytes;
  }
}
