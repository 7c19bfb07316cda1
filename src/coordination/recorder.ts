import { Wake } from '../base/clock';
import { CHUNK_TASKS } from '../bookkeeping/bitmap';
import { blockCount } from '../bookkeeping/block-count';
import { KEY, read } from '../bookkeeping/records';
import type { Change, Guard } from '../protocol/state';
import type { NodeContext } from './node-context';
import type { DispatchTable } from './dispatch-table';

/** What the recorder needs of the block. */
export interface Recorded {
  readonly tables: ReadonlyMap<string, DispatchTable>;
  readonly entitled: boolean;
  /** The guard that proves, inside every transaction, that we still own the block. */
  leaseGuard(): Guard;
  /** The job is over: done or cancelled. */
  closeJob(id: string): void;
  /** Recorded completions may now be forgotten by their workers. */
  recordedMore(): void;
}

interface Part {
  table: DispatchTable;
  tasks: number[];
  chunks: number[];
  final: boolean;
  guards: Guard[];
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
export class Recorder {
  readonly #wake: Wake;
  #bitmapsAt = -Infinity;

  constructor(
    private readonly block: Recorded,
    private readonly deps: NodeContext,
  ) {
    this.#wake = new Wake(deps.clock);
  }

  wake(): void {
    this.#wake.wake();
  }

  /** One step; to be run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    await this.#wake.wait(1000);
    await this.deps.clock.sleep(GATHER_MS, signal);
    if (signal.aborted || !this.block.entitled) return;
    const now = this.deps.clock.now();
    const parts = this.#collect(now);
    if (parts.length > 0 && !(await this.#write(parts))) {
      await this.deps.clock.sleep(PAUSE_AFTER_TROUBLE_MS, signal);
    }
    this.#wakeForMore();
  }

  /** What is complete goes out at once; the rest when its time has come. */
  #wakeForMore(): void {
    for (const table of this.block.tables.values()) {
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
  #collect(now: number): Part[] {
    const { txn_ops, write_rps } = this.deps.settings.platform.deployment.state;
    const { flush_ms } = this.deps.settings.operator;
    const blocks = blockCount(this.deps.cache, this.deps.settings);
    const dirty = [...this.block.tables.values()].filter((t) => t.unrecorded.size > 0);
    const complete = dirty.filter((t) => t.remaining === 0);
    const others = now - this.#bitmapsAt < flush_ms ? [] : dirty.filter((t) => t.remaining > 0);
    others.sort((a, b) => a.recordedAt - b.recordedAt);
    let bitmaps = Math.max(1, Math.floor(((write_rps * BITMAPS_PART) / blocks) * (flush_ms / 1000)));
    if (others.length > 0) this.#bitmapsAt = now;
    const parts: Part[] = [];
    let changes = 0;
    let bytes = 0;
    for (const table of [...complete, ...others]) {
      const isFinal = table.remaining === 0;
      if (!isFinal && bitmaps <= 0) break;
      const part = isFinal ? this.#finalPart(table) : this.#bitmapPart(table);
      const size = part.changes.reduce(
        (sum, c) => sum + ('put' in c ? JSON.stringify(c.value).length : 0),
        0,
      );
      if (parts.length > 0 && (changes + part.changes.length > txn_ops || bytes + size > MAX_VALUE_BYTES))
        break;
      parts.push(part);
      table.recordedAt = now;
      changes += part.changes.length;
      bytes += size;
      if (!isFinal) bitmaps -= part.changes.length;
    }
    return parts;
  }

  #finalPart(table: DispatchTable): Part {
    const { id } = table.job;
    // The last completions and the final state are one write, guarded on the record that a cancellation deletes.
    const guards: Guard[] = [
      { key: KEY.job(id), version: table.version },
      { key: KEY.final(id), version: 0 },
    ];
    const changes: Change[] = [
      { put: KEY.final(id), value: { state: 'done', done: table.job.tasks } },
      { delete: KEY.job(id) },
    ];
    table.chunkVersions.forEach((version, chunk) => {
      if (version === 0) return;
      guards.push({ key: KEY.done(id, chunk), version });
      changes.push({ delete: KEY.done(id, chunk) });
    });
    return { table, tasks: [...table.unrecorded], chunks: [], final: true, guards, changes };
  }

  #bitmapPart(table: DispatchTable): Part {
    const { id } = table.job;
    const tasks = [...table.unrecorded];
    const chunks = [...new Set(tasks.map((task) => Math.floor(task / CHUNK_TASKS)))];
    const guards: Guard[] = [{ key: KEY.job(id), version: table.version }];
    const changes: Change[] = [];
    for (const chunk of chunks) {
      guards.push({ key: KEY.done(id, chunk), version: table.chunkVersions[chunk] ?? 0 });
      changes.push({ put: KEY.done(id, chunk), value: { bits: table.encodeChunk(chunk) } });
    }
    return { table, tasks, chunks, final: false, guards, changes };
  }

  async #write(parts: Part[]): Promise<boolean> {
    const guards = [this.block.leaseGuard(), ...parts.flatMap((p) => p.guards)];
    const result = await this.deps.store.txn(
      guards,
      parts.flatMap((p) => p.changes),
    );
    if (!result.ok) {
      await this.#settle(parts, result.failed);
      return false;
    }
    for (const part of parts) {
      const { id } = part.table.job;
      if (part.final) {
        this.deps.jobs.rememberFinal(id, 'done', part.table.job.tasks);
        this.deps.log.info({ job: id, tasks: part.table.job.tasks }, 'job done');
        this.deps.announce({ key: KEY.job(id), version: result.revision, deleted: true });
        this.block.closeJob(id);
      } else {
        for (const chunk of part.chunks) part.table.chunkVersions[chunk] = result.revision;
        part.table.confirm(part.tasks);
      }
    }
    this.block.recordedMore();
    return true;
  }

  /**
   * A condition failed: a job was cancelled, or an earlier write of ours without an answer was applied after all.
   * What is there is read again and merged.
   */
  async #settle(parts: Part[], failed: string[]): Promise<void> {
    const keys = new Set(failed);
    for (const { table } of parts) {
      const { id } = table.job;
      if (keys.has(KEY.job(id)) || keys.has(KEY.final(id))) {
        if (!(await this.deps.store.get(KEY.job(id)))) this.block.closeJob(id);
        continue;
      }
      for (let chunk = 0; chunk < table.chunkVersions.length; chunk += 1) {
        if (!keys.has(KEY.done(id, chunk))) continue;
        const entry = await this.deps.store.get(KEY.done(id, chunk));
        const bits = read.done(entry?.value)?.bits;
        if (entry && bits !== undefined) table.mergeRecorded(chunk, bits, entry.version);
      }
    }
    this.block.recordedMore();
  }
}
