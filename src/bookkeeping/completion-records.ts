/**
 * @file The records that hold a job's completions. There are two layouts:
 *
 * - chunks, `live/done/JOB/CHUNK`, of 65,536 tasks each: the only layout in record format 1;
 * - parts, `live/bits/JOB/FIRST-END`, as long as the limit on values allows, for jobs whose chunks exceed it.
 *
 * One job may have records of both layouts and parts of different lengths at the same time: a task is done if its bit is
 * set in any of them. A part's key contains its range, so a part never replaces one of another length.
 */
import { KEY, PREFIX, read } from './records';

/** The tasks of a chunk. The number is part of the stored format, as it determines which tasks a chunk covers. */
export const TASKS_PER_CHUNK = 65_536;
/** Bytes of a value that are reserved for the JSON around the bits. */
const OVERHEAD_BYTES = 64;

/** The layout of the records to which the completions of a job are written. */
export type CompletionLayout = { kind: 'chunks' } | { kind: 'parts'; partTasks: number };

/** The properties of a job that determine its completion records. */
export interface RecordedJob {
  id: string;
  tasks: number;
}

/** The record for the completions of the tasks from `first` to `end` (exclusive). */
export interface CompletionRecord {
  key: string;
  first: number;
  end: number;
}

/** A record, and the completed tasks to be written to it. */
export interface RecordGroup {
  record: CompletionRecord;
  tasks: number[];
}

/** The contents of a completion record. */
export interface StoredCompletions {
  job: string;
  first: number;
  bits: string;
}

/** The number of tasks whose bits fit one value as a base64 string; a multiple of 8. */
function tasksPerValue(valueBytes: number): number {
  const textBytes = Math.max(4, valueBytes - OVERHEAD_BYTES);
  return Math.floor(textBytes / 4) * 3 * 8;
}

/** The layout for the completions of a job; `mayUseParts`: whether every controller understands parts. */
export function completionLayout(
  job: RecordedJob,
  valueBytes: number,
  mayUseParts: boolean,
): CompletionLayout {
  const partTasks = tasksPerValue(valueBytes);
  const chunksFit = Math.min(job.tasks, TASKS_PER_CHUNK) <= partTasks;
  return chunksFit || !mayUseParts ? { kind: 'chunks' } : { kind: 'parts', partTasks };
}

/** The record that a task's completion is written to. */
export function completionRecord(job: RecordedJob, task: number, layout: CompletionLayout): CompletionRecord {
  return recordAt(job, Math.floor(task / tasksPerRecord(layout)), layout);
}

function tasksPerRecord(layout: CompletionLayout): number {
  return layout.kind === 'chunks' ? TASKS_PER_CHUNK : layout.partTasks;
}

function recordAt(job: RecordedJob, index: number, layout: CompletionLayout): CompletionRecord {
  const length = tasksPerRecord(layout);
  const first = index * length;
  const end = Math.min(first + length, job.tasks);
  const key = layout.kind === 'chunks' ? KEY.done(job.id, index) : KEY.bits(job.id, first, end);
  return { key, first, end };
}

/** Groups completed tasks by record, in the order in which the records first occur. */
export function groupByRecord(
  job: RecordedJob,
  completed: Iterable<number>,
  layout: CompletionLayout,
): RecordGroup[] {
  const length = tasksPerRecord(layout);
  const groups = new Map<number, RecordGroup>();
  for (const task of completed) {
    const index = Math.floor(task / length);
    const group = groups.get(index);
    if (group) group.tasks.push(task);
    else groups.set(index, { record: recordAt(job, index, layout), tasks: [task] });
  }
  return [...groups.values()];
}

/** The prefixes of all completion records. */
export const COMPLETION_PREFIXES = [PREFIX.done, PREFIX.bits] as const;

/** Whether a key belongs to a completion record of either layout. */
export function isCompletionKey(key: string): boolean {
  return COMPLETION_PREFIXES.some((prefix) => key.startsWith(prefix));
}

/** The job that a completion record belongs to. */
export function jobOfCompletionKey(key: string): string {
  return key.split('/')[2] ?? '';
}

/** Reads a completion record of either layout; undefined when it is malformed. */
export function readCompletions(key: string, value: unknown): StoredCompletions | undefined {
  const bits = read.done(value)?.bits;
  const match = /^live\/(done|bits)\/([^/]+)\/(\d+)(-\d+)?$/.exec(key);
  const [, prefix, job, number] = match ?? [];
  if (bits === undefined || job === undefined) return undefined;
  const first = Number(number) * (prefix === 'done' ? TASKS_PER_CHUNK : 1);
  return { job, first, bits };
}
