/** @file Writes completions to the key-value store. */
import type { WakeSignal } from '../../base/clock';
import { maxChangesPerTransaction, maxValueBytes } from '../../base/state-limits';
import { completionLayout, groupByRecord, readCompletions } from '../../bookkeeping/completion-records';
import { KEY, type FinalRecord } from '../../bookkeeping/records';
import { shardCount } from '../../bookkeeping/shard-count';
import type { Change, Condition } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import type { DispatchTable } from './dispatch-table';

/** What the recorder needs of the shard. */
export interface RecorderShard {
  readonly tables: ReadonlyMap<string, DispatchTable>;
  readonly entitled: boolean;
  /** The condition that proves, inside every transaction, that we still own the shard. */
  leaseCondition(): Condition;
  /** The job is over: done or cancelled. */
  closeJob(id: string): void;
  /** Recorded completions may now be forgotten by their workers. */
  onCompletionsRecorded(): void;
}

/** What a transaction writes for one job. */
interface JobWrite {
  readonly table: DispatchTable;
  /** The completions that it covers. */
  readonly tasks: readonly number[];
  /** Keys of the completion records that it writes or deletes. */
  readonly recordKeys: readonly string[];
  /** The final state that is written with the last completions. */
  readonly final: FinalRecord | undefined;
  readonly conditions: readonly Condition[];
  readonly changes: readonly Change[];
}

/** Room for the rest of a transaction's body beside its values. */
const MAX_VALUE_BYTES = 40 * 1024;
const WAIT_MS = 1_000;
const PAUSE_AFTER_FAILURE_MS = 400;
/** For completions of the same moment to go out together. */
const GATHER_MS = 30;
/** Part of the limit on changes, all controllers together, that bitmaps of unfinished jobs may take. */
const BITMAPS_PART = 0.25;

/** The writes of one transaction, as far as they fit. */
class Batch {
  readonly writes: JobWrite[] = [];
  #changes = 0;
  #bytes = 0;

  constructor(private readonly maxChanges: number) {}

  /** False: it does not fit beside the others, and is not added. The first one always is. */
  add(write: JobWrite): boolean {
    const changes = this.#changes + write.changes.length;
    const bytes = this.#bytes + totalValueBytes(write.changes);
    const isTooMuch = changes > this.maxChanges || bytes > MAX_VALUE_BYTES;
    if (this.writes.length > 0 && isTooMuch) return false;
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
  #bitmapsAt = -Infinity;

  constructor(
    private readonly shard: RecorderShard,
    private readonly context: ControllerContext,
    /** Is woken when a task completed. */
    private readonly completions: WakeSignal,
  ) {}

  /** One step; to be run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    const { clock } = this.context;
    await this.completions.wait(WAIT_MS);
    await clock.sleep(GATHER_MS, signal);
    if (signal.aborted || !this.shard.entitled) return;
    const writes = this.#collect(clock.now());
    if (writes.length > 0 && !(await this.#write(writes))) {
      await clock.sleep(PAUSE_AFTER_FAILURE_MS, signal);
    }
    this.#wakeForMore();
  }

  /** What is complete goes out at once; the rest when its time has come. */
  #wakeForMore(): void {
    for (const table of this.shard.tables.values()) {
      if (table.unrecorded.size > 0 && table.remaining === 0) {
        this.completions.wake();
        return;
      }
    }
  }

  /**
   * Jobs that are complete come first: their users wait for them. Bitmaps of the others go out at a pace that leaves
   * most of the limit on changes to what users ask for, those that have waited longest first.
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

  /** The jobs whose bitmaps may be written now. */
  #unfinishedDue(unrecorded: readonly DispatchTable[], now: number): DispatchTable[] {
    if (now - this.#bitmapsAt < this.context.settings.operator.flush_ms) return [];
    const unfinished = unrecorded.filter((table) => table.remaining > 0);
    unfinished.sort((a, b) => a.lastWriteAttemptAt - b.lastWriteAttemptAt);
    if (unfinished.length > 0) this.#bitmapsAt = now;
    return unfinished;
  }

  /** How many bitmaps may be written at once. */
  #maxBitmaps(): number {
    const { cache, settings } = this.context;
    const { write_rps } = settings.platform.deployment.state;
    const bitmapsPerSecond = (write_rps * BITMAPS_PART) / shardCount(cache, settings);
    return Math.max(1, Math.floor(bitmapsPerSecond * (settings.operator.flush_ms / 1000)));
  }

  #finalWrite(table: DispatchTable): JobWrite {
    const { id, tasks } = table.job;
    const final = this.context.jobs.finalRecord('done', tasks);
    // The last completions and the final state are one write, guarded on the record that a cancellation deletes.
    const conditions: Condition[] = [
      { key: KEY.job(id), version: table.version },
      { key: KEY.final(id), version: 0 },
    ];
    const changes: Change[] = [{ put: KEY.final(id), value: final }, { delete: KEY.job(id) }];
    // What doesn't fit is left to the leader, which deletes completions of jobs that are over.
    const { state } = this.context.settings.platform.deployment;
    const room = Math.max(0, maxChangesPerTransaction(state) - changes.length);
    const deleted = [...table.recordVersions].slice(0, room);
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

  /** Records completions in at most so many records, those first whose completions have waited longest. */
  #bitmapWrite(table: DispatchTable, maxRecords: number): JobWrite {
    const { job } = table;
    const { state } = this.context.settings.platform.deployment;
    const bytes = maxValueBytes(state);
    const fitting = Math.max(1, Math.floor(MAX_VALUE_BYTES / bytes));
    const layout = completionLayout(job, bytes, this.context.formatGate.isOpenForFormat2);
    const recordCount = Math.min(maxChangesPerTransaction(state, maxRecords), fitting);
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

  /** False: a condition failed, and nothing was written. */
  async #write(writes: readonly JobWrite[]): Promise<boolean> {
    const result = await this.context.store.compareAndSwap(
      [this.shard.leaseCondition(), ...writes.flatMap(({ conditions }) => conditions)],
      writes.flatMap(({ changes }) => changes),
    );
    if (!result.ok) {
      await this.#resolveConflicts(writes, new Set(result.failed));
      return false;
    }
    for (const write of writes) this.#written(write, result.revision);
    this.shard.onCompletionsRecorded();
    return true;
  }

  #written({ table, tasks, recordKeys, final }: JobWrite, revision: number): void {
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
   * A condition failed: a job was cancelled, or an earlier write of ours without an answer was applied after all.
   * What is there is read again and merged.
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
