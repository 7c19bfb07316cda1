/** @file Writes task completions to the key-value store. */
import type { Uint64 } from '../../base/uint64';
import type { WakeSignal } from '../../base/clock';
import { maxChangesPerTransaction, maxValueBytes } from '../../base/state-limits';
import { completionLayout, groupByRecord, readCompletions } from '../../bookkeeping/completion-records';
import { KEY, type FinalRecord } from '../../bookkeeping/records';
import { shardCount } from '../../bookkeeping/shard-count';
import type { Change, Condition } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import type { DispatchTable } from './dispatch-table';

/** The part of a shard's owner that the recorder uses. */
export interface RecorderShard {
  readonly tables: ReadonlyMap<string, DispatchTable>;
  readonly entitled: boolean;
  /** The condition by which a transaction succeeds only while this owner still holds the shard's lease. */
  leaseCondition(): Condition;
  /** Closes a job that has ended: it is done or cancelled. */
  closeJob(id: string): void;
  /** Handles the recording of completions: workers can now be told to forget the completed attempts. */
  onCompletionsRecorded(): void;
}

/** The part of a transaction that concerns one job. */
interface JobWrite {
  readonly table: DispatchTable;
  /** Tasks whose completions the write records. */
  readonly tasks: readonly number[];
  /** Keys of the completion records that are written or deleted. */
  readonly recordKeys: readonly string[];
  /** The job's final state, written with its last completions; undefined in earlier writes. */
  readonly final: FinalRecord | undefined;
  readonly conditions: readonly Condition[];
  readonly changes: readonly Change[];
}

/** Limit on the total size of a transaction's values, which leaves space in its request body for everything else. */
const MAX_VALUE_BYTES = 40 * 1024;
const MAX_WAIT_MS = 1_000;
const PAUSE_AFTER_FAILURE_MS = 400;
/** Delay before a write, so that completions that arrive together are written together. */
const BATCHING_DELAY_MS = 30;
/** Fraction of the store's write limit, which all controllers share, that bitmaps of unfinished jobs may use. */
const BITMAP_WRITE_FRACTION = 0.25;

/** Collects the writes of one transaction up to its size limits. */
class Batch {
  readonly writes: JobWrite[] = [];
  #changes = 0;
  #bytes = 0;

  constructor(private readonly maxChanges: number) {}

  /** Adds a write. Returns false, without adding it, if it would exceed a limit; the first write is always added. */
  add(write: JobWrite): boolean {
    const changes = this.#changes + write.changes.length;
    const bytes = this.#bytes + totalValueBytes(write.changes);
    const exceedsLimit = changes > this.maxChanges || bytes > MAX_VALUE_BYTES;
    if (this.writes.length > 0 && exceedsLimit) return false;
    this.writes.push(write);
    this.#changes = changes;
    this.#bytes = bytes;
    return true;
  }
}

function totalValueBytes(changes: readonly Change[]): number {
  return changes.reduce((sum, c) => sum + ('put' in c ? JSON.stringify(c.value).length : 0), 0);
}

/** Writes completions to the key-value store in batches: one transaction covers many jobs. */
export class CompletionRecorder {
  #bitmapsWrittenAt = -Infinity;

  constructor(
    private readonly shard: RecorderShard,
    private readonly context: ControllerContext,
    /** Wakes the recorder when a task has completed. */
    private readonly completions: WakeSignal,
  ) {}

  /** Waits for completions and writes a batch of them. Run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    const { clock } = this.context;
    await this.completions.wait(MAX_WAIT_MS);
    await clock.sleep(BATCHING_DELAY_MS, signal);
    if (signal.aborted || !this.shard.entitled) return;
    const writes = this.#collect(clock.now());
    if (writes.length > 0 && !(await this.#write(writes))) {
      await clock.sleep(PAUSE_AFTER_FAILURE_MS, signal);
    }
    this.#wakeForMore();
  }

  /** Wakes the recorder if a completed job has unrecorded tasks. Writes of unfinished jobs wait for `flush_ms`. */
  #wakeForMore(): void {
    for (const table of this.shard.tables.values()) {
      if (table.unrecorded.size > 0 && table.remaining === 0) {
        this.completions.wake();
        return;
      }
    }
  }

  /**
   * Collects the next writes. Completed jobs come first, because their users wait for them. Bitmaps of unfinished jobs
   * follow at a rate that leaves most of the write limit to user requests, the least recently written job first.
   */
  #collect(now: number): readonly JobWrite[] {
    const unrecorded = [...this.shard.tables.values()].filter((table) => table.unrecorded.size > 0);
    const complete = unrecorded.filter((table) => table.remaining === 0);
    const unfinished = this.#unfinishedDue(unrecorded, now);
    const batch = new Batch(maxChangesPerTransaction(this.context.settings.platform.deployment.state));
    let bitmapsLeft = this.#maxBitmaps();
    for (const table of [...complete, ...unfinished]) {
      const isFinal = table.remaining === 0;
      if (!isFinal && bitmapsLeft <= 0) break;
      const write = isFinal ? this.#finalWrite(table) : this.#bitmapWrite(table, bitmapsLeft);
      if (!batch.add(write)) break;
      table.onWriteAttempt(now);
      if (!isFinal) bitmapsLeft -= write.changes.length;
    }
    return batch.writes;
  }

  /** Unfinished jobs whose bitmaps may be written now; none until `flush_ms` after the last write of bitmaps. */
  #unfinishedDue(unrecorded: readonly DispatchTable[], now: number): DispatchTable[] {
    if (now - this.#bitmapsWrittenAt < this.context.settings.operator.flush_ms) return [];
    const unfinished = unrecorded.filter((table) => table.remaining > 0);
    unfinished.sort((a, b) => a.lastWriteAttemptAt - b.lastWriteAttemptAt);
    if (unfinished.length > 0) this.#bitmapsWrittenAt = now;
    return unfinished;
  }

  /** Maximum number of bitmaps of unfinished jobs in one transaction. */
  #maxBitmaps(): number {
    const { cache, settings } = this.context;
    const { write_rps } = settings.platform.deployment.state;
    const bitmapsPerSecond = (write_rps * BITMAP_WRITE_FRACTION) / shardCount(cache, settings);
    return Math.max(1, Math.floor(bitmapsPerSecond * (settings.operator.flush_ms / 1000)));
  }

  #finalWrite(table: DispatchTable): JobWrite {
    const { id, tasks } = table.job;
    const final = this.context.jobs.finalRecord('done', tasks);
    // The last completions and the final state are one write. It fails if a cancellation has deleted the job's record.
    const conditions: Condition[] = [
      { key: KEY.job(id), version: table.version },
      { key: KEY.final(id), version: 0 },
    ];
    const changes: Change[] = [{ put: KEY.final(id), value: final }, { delete: KEY.job(id) }];
    // The leader's garbage collector deletes the completion records that exceed the limit of this transaction.
    const { state } = this.context.settings.platform.deployment;
    const maxDeletions = Math.max(0, maxChangesPerTransaction(state) - changes.length);
    const deleted = [...table.recordVersions].slice(0, maxDeletions);
    for (const [key, version] of deleted) {
      conditions.push({ key, version });
      changes.push({ delete: key });
    }
    const recordKeys = deleted.map(([key]) => key);
    return {
      table,
      tasks: [...table.unrecorded],
      recordKeys,
      final,
      conditions,
      changes,
    };
  }

  /** Builds a write of up to `maxRecords` completion records, those with the oldest unrecorded completions first. */
  #bitmapWrite(table: DispatchTable, maxRecords: number): JobWrite {
    const { job } = table;
    const { state } = this.context.settings.platform.deployment;
    const bytes = maxValueBytes(state);
    const maxRecordsBySize = Math.max(1, Math.floor(MAX_VALUE_BYTES / bytes));
    const layout = completionLayout(job, bytes, this.context.formatGate.isOpenForFormat2);
    const recordCount = Math.min(maxChangesPerTransaction(state, maxRecords), maxRecordsBySize);
    const groups = groupByRecord(job, table.unrecorded, layout).slice(0, recordCount);
    const conditions: Condition[] = [{ key: KEY.job(job.id), version: table.version }];
    const changes: Change[] = [];
    for (const { record, tasks } of groups) {
      conditions.push({ key: record.key, version: table.recordVersions.get(record.key) ?? 0 });
      changes.push({ put: record.key, value: { bits: table.encodeRecord(record, tasks) } });
    }
    const tasks = groups.flatMap((group) => group.tasks);
    const recordKeys = groups.map((group) => group.record.key);
    return {
      table,
      tasks,
      recordKeys,
      final: undefined,
      conditions,
      changes,
    };
  }

  /** Runs one transaction with all writes. Returns false if a condition failed and nothing was written. */
  async #write(writes: readonly JobWrite[]): Promise<boolean> {
    const result = await this.context.store.compareAndSwap(
      [this.shard.leaseCondition(), ...writes.flatMap(({ conditions }) => conditions)],
      writes.flatMap(({ changes }) => changes),
    );
    if (!result.ok) {
      await this.#resolveConflicts(writes, new Set(result.failed));
      return false;
    }
    for (const write of writes) this.#onWritten(write, result.revision);
    this.shard.onCompletionsRecorded();
    return true;
  }

  #onWritten({ table, tasks, recordKeys, final }: JobWrite, revision: Uint64): void {
    if (!final) {
      for (const key of recordKeys) table.recordVersions.set(key, revision);
      table.markRecorded(tasks);
      return;
    }
    const { id } = table.job;
    this.context.jobs.cacheFinalState(id, final);
    this.context.log.info({ job: id, tasks: table.job.tasks }, 'job done');
    this.context.publish({ key: KEY.job(id), version: revision, deleted: true });
    this.shard.closeJob(id);
  }

  /**
   * Handles a transaction's failed conditions: a job was cancelled, or an earlier write of this owner was applied but
   * got no response. Closes the cancelled job, or merges the stored completion records into the job's dispatch table.
   */
  async #resolveConflicts(writes: readonly JobWrite[], failedKeys: ReadonlySet<string>): Promise<void> {
    for (const { table, recordKeys } of writes) {
      const { id } = table.job;
      if (failedKeys.has(KEY.job(id)) || failedKeys.has(KEY.final(id))) {
        if (!(await this.context.store.get(KEY.job(id)))) this.shard.closeJob(id);
        continue;
      }
      for (const key of recordKeys) {
        if (failedKeys.has(key)) await this.#mergeStored(table, key);
      }
    }
    this.shard.onCompletionsRecorded();
  }

  async #mergeStored(table: DispatchTable, key: string): Promise<void> {
    const entry = await this.context.store.get(key);
    const stored = readCompletions(key, entry?.value);
    if (entry && stored) table.mergeRecorded(key, stored, entry.version);
  }
}
