import { WakeSignal } from '../../base/clock';
import { changesAtOnce, valueBytes } from '../../base/state-limits';
import { shardCount } from '../../bookkeeping/shard-count';
import { completionLayout, groupByRecord, readCompletions } from '../../bookkeeping/completion-records';
import { KEY, type FinalRecord } from '../../bookkeeping/records';
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

interface RecordBatchItem {
  table: DispatchTable;
  tasks: number[];
  /** Keys of the completion records that it writes or deletes. */
  recordKeys: string[];
  /** The final state that is written with the last completions. */
  final: FinalRecord | undefined;
  conditions: Condition[];
  changes: Change[];
}

/** Room for the rest of a transaction's body beside its values. */
const MAX_VALUE_BYTES = 40 * 1024;
const PAUSE_AFTER_TROUBLE_MS = 400;
/** For completions of the same moment to go out together. */
const GATHER_MS = 30;
/** Part of the limit on changes, all controllers together, that bitmaps of unfinished jobs may take. */
const BITMAPS_PART = 0.25;

/** Writes completions to the state service in batches: one transaction covers many jobs. */
export class CompletionRecorder {
  readonly #wake: WakeSignal;
  #bitmapsAt = -Infinity;

  constructor(
    private readonly shard: RecorderShard,
    private readonly context: ControllerContext,
  ) {
    this.#wake = new WakeSignal(context.clock);
  }

  wake(): void {
    this.#wake.wake();
  }

  /** One step; to be run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    await this.#wake.wait(1000);
    await this.context.clock.sleep(GATHER_MS, signal);
    if (signal.aborted || !this.shard.entitled) return;
    const now = this.context.clock.now();
    const parts = this.#collect(now);
    if (parts.length > 0 && !(await this.#write(parts))) {
      await this.context.clock.sleep(PAUSE_AFTER_TROUBLE_MS, signal);
    }
    this.#wakeForMore();
  }

  /** What is complete goes out at once; the rest when its time has come. */
  #wakeForMore(): void {
    for (const table of this.shard.tables.values()) {
      if (table.unrecorded.size > 0 && table.remaining === 0) {
        this.#wake.wake();
        return;
      }
    }
  }

  /**
   * Jobs that are complete come first: their users wait for them. Bitmaps of the others go out at a pace that leaves
   * most of the limit on changes to what users ask for, those that have waited longest first.
   */
  #collect(now: number): RecordBatchItem[] {
    const { state } = this.context.settings.platform.deployment;
    const mostChanges = changesAtOnce(state);
    const { flush_ms } = this.context.settings.operator;
    const shards = shardCount(this.context.cache, this.context.settings);
    const dirty = [...this.shard.tables.values()].filter((t) => t.unrecorded.size > 0);
    const complete = dirty.filter((t) => t.remaining === 0);
    const others = now - this.#bitmapsAt < flush_ms ? [] : dirty.filter((t) => t.remaining > 0);
    others.sort((a, b) => a.lastRecordedAt - b.lastRecordedAt);
    let bitmaps = Math.max(1, Math.floor(((state.write_rps * BITMAPS_PART) / shards) * (flush_ms / 1000)));
    if (others.length > 0) this.#bitmapsAt = now;
    const parts: RecordBatchItem[] = [];
    let changes = 0;
    let bytes = 0;
    for (const table of [...complete, ...others]) {
      const isFinal = table.remaining === 0;
      if (!isFinal && bitmaps <= 0) break;
      const part = isFinal ? this.#finalPart(table) : this.#bitmapPart(table, bitmaps);
      const size = part.changes.reduce(
        (sum, c) => sum + ('put' in c ? JSON.stringify(c.value).length : 0),
        0,
      );
      const isTooMuch = changes + part.changes.length > mostChanges || bytes + size > MAX_VALUE_BYTES;
      if (parts.length > 0 && isTooMuch) break;
      parts.push(part);
      table.lastRecordedAt = now;
      changes += part.changes.length;
      bytes += size;
      if (!isFinal) bitmaps -= part.changes.length;
    }
    return parts;
  }

  #finalPart(table: DispatchTable): RecordBatchItem {
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
    const room = Math.max(0, changesAtOnce(state) - changes.length);
    const deleted = [...table.recordVersions].slice(0, room);
    for (const [key, version] of deleted) {
      conditions.push({ key, version });
      changes.push({ delete: key });
    }
    const recordKeys = deleted.map(([key]) => key);
    return { table, tasks: [...table.unrecorded], recordKeys, final, conditions, changes };
  }

  /** Records completions in at most so many records, those first whose completions have waited longest. */
  #bitmapPart(table: DispatchTable, mostRecords: number): RecordBatchItem {
    const { job } = table;
    const { state } = this.context.settings.platform.deployment;
    const bytes = valueBytes(state);
    const fitting = Math.max(1, Math.floor(MAX_VALUE_BYTES / bytes));
    const layout = completionLayout(job, bytes, this.context.formatGate.isOpen);
    const groups = groupByRecord(job, table.unrecorded, layout).slice(
      0,
      Math.min(changesAtOnce(state, mostRecords), fitting),
    );
    const conditions: Condition[] = [{ key: KEY.job(job.id), version: table.version }];
    const changes: Change[] = [];
    for (const { record, tasks } of groups) {
      conditions.push({ key: record.key, version: table.recordVersions.get(record.key) ?? 0 });
      changes.push({ put: record.key, value: { bits: table.encodeRecord(record, tasks) } });
    }
    const tasks = groups.flatMap((group) => group.tasks);
    const recordKeys = groups.map((group) => group.record.key);
    return { table, tasks, recordKeys, final: undefined, conditions, changes };
  }

  async #write(parts: RecordBatchItem[]): Promise<boolean> {
    const conditions = [this.shard.leaseCondition(), ...parts.flatMap((p) => p.conditions)];
    const result = await this.context.store.compareAndSwap(
      conditions,
      parts.flatMap((p) => p.changes),
    );
    if (!result.ok) {
      await this.#settle(parts, result.failed);
      return false;
    }
    for (const part of parts) {
      const { id } = part.table.job;
      if (part.final) {
        this.context.jobs.rememberFinal(id, part.final);
        this.context.log.info({ job: id, tasks: part.table.job.tasks }, 'job done');
        this.context.publish({ key: KEY.job(id), version: result.revision, deleted: true });
        this.shard.closeJob(id);
      } else {
        for (const key of part.recordKeys) part.table.recordVersions.set(key, result.revision);
        part.table.markRecorded(part.tasks);
      }
    }
    this.shard.onCompletionsRecorded();
    return true;
  }

  /**
   * A condition failed: a job was cancelled, or an earlier write of ours without an answer was applied after all.
   * What is there is read again and merged.
   */
  async #settle(parts: RecordBatchItem[], failed: string[]): Promise<void> {
    const keys = new Set(failed);
    for (const { table, recordKeys } of parts) {
      const { id } = table.job;
      if (keys.has(KEY.job(id)) || keys.has(KEY.final(id))) {
        if (!(await this.context.store.get(KEY.job(id)))) this.shard.closeJob(id);
        continue;
      }
      for (const key of recordKeys) {
        if (!keys.has(key)) continue;
        const entry = await this.context.store.get(key);
        const stored = readCompletions(key, entry?.value);
        if (entry && stored) table.mergeRecorded(key, stored, entry.version);
      }
    }
    this.shard.onCompletionsRecorded();
  }
}
