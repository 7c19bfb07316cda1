/** @file The dispatch table of one job: which of its tasks are unassigned, issued or done. */
import { Bitmap } from '../../bookkeeping/bitmap';
import type { CompletionRecord, StoredCompletions } from '../../bookkeeping/completion-records';
import type { JobRecord } from '../../bookkeeping/records';
import { PRIORITY_RANK, type Job, type Priority } from '../../protocol/model';
import { JobFailures } from './job-failures';

const UNASSIGNED = 0;
const ISSUED = 1;
const DONE = 2;

/** The attempt that an issued task is on. */
export interface IssuedAttempt {
  readonly machine: string;
  readonly key: string;
}

/**
 * The dispatch table of one job: each task is unassigned, issued or done. It lives in memory and is rebuilt from the
 * completion records and the workers' heartbeats.
 */
export class DispatchTable {
  readonly submittedAt: number;
  /** What the key-value store has acknowledged. */
  readonly recorded: Bitmap;
  /** Versions of the job's completion records in the key-value store, by their keys. */
  readonly recordVersions = new Map<string, number>();
  /** Done by a worker's word, not yet recorded. */
  readonly unrecorded = new Set<number>();
  /** The attempt that each issued task is on. */
  readonly issued = new Map<number, IssuedAttempt>();
  readonly #ownPriority: Priority;
  readonly #states: Uint8Array;
  readonly #failures = new JobFailures();
  #job: Job;
  #waitingSince: number;
  #isReady: boolean;
  #retryAt = 0;
  #lastWriteAttemptAt = -Infinity;
  #unassigned: number;
  /** No task below this one is unassigned. */
  #lowest = 0;

  constructor(
    record: JobRecord,
    /** The version of the job's record. */
    readonly version: number,
  ) {
    const { job, submittedAt } = record;
    this.#job = job;
    this.#ownPriority = job.priority;
    this.submittedAt = submittedAt;
    this.#waitingSince = submittedAt;
    this.#isReady = job.dependencies === undefined && record.dependencyParts === undefined;
    this.recorded = new Bitmap(job.tasks);
    this.#states = new Uint8Array(job.tasks);
    this.#unassigned = job.tasks;
  }

  // The job.

  /** The job as it is scheduled: with the highest priority of all that depend on it. */
  get job(): Job {
    return this.#job;
  }

  /** The highest priority of the jobs that depend on this one; undefined where there are none any more. */
  setChainPriority(priority: Priority | undefined): void {
    const isHigher = priority !== undefined && PRIORITY_RANK[priority] < PRIORITY_RANK[this.#ownPriority];
    const effective = isHigher ? priority : this.#ownPriority;
    if (effective !== this.#job.priority) this.#job = { ...this.#job, priority: effective };
  }

  /** Whether all that the job depends on is done; once true it stays true. */
  get isReady(): boolean {
    return this.#isReady;
  }

  /** Time of day from which on the job waits for machines only: its submission, or the end of its last dependency. */
  get waitingSince(): number {
    return this.#waitingSince;
  }

  /** All that the job depends on is done; the last of it ended at this time of day. */
  becomeReady(lastDependencyEndedAt: number): void {
    this.#isReady = true;
    this.#waitingSince = Math.max(this.submittedAt, lastDependencyEndedAt);
  }

  // Its tasks.

  /** How many tasks are unassigned. */
  get unassigned(): number {
    return this.#unassigned;
  }

  /** How many tasks are done, recorded or not. */
  get done(): number {
    return this.recorded.count + this.unrecorded.size;
  }

  /** How many tasks are not done. */
  get remaining(): number {
    return this.#job.tasks - this.done;
  }

  isDone(task: number): boolean {
    return this.#states[task] === DONE;
  }

  /** Whether the task is one of the job's, and neither issued nor done. */
  isUnassigned(task: number): boolean {
    return this.#states[task] === UNASSIGNED;
  }

  /** The first unassigned task, or -1. */
  nextUnassigned(): number {
    if (this.#unassigned === 0) return -1;
    while (this.#states[this.#lowest] !== UNASSIGNED) this.#lowest += 1;
    return this.#lowest;
  }

  /** The task is on this attempt from now on. */
  issue(task: number, machine: string, key: string): void {
    if (!this.isUnassigned(task)) throw new Error(`task ${task} is not unassigned`);
    this.#states[task] = ISSUED;
    this.#unassigned -= 1;
    this.issued.set(task, { machine, key });
  }

  /** The attempt is gone without a completion. True: its task is unassigned again. */
  markLost(task: number, key: string): boolean {
    if (this.issued.get(task)?.key !== key) return false;
    this.issued.delete(task);
    if (this.#states[task] !== ISSUED) return false;
    this.#states[task] = UNASSIGNED;
    this.#unassigned += 1;
    this.#lowest = Math.min(this.#lowest, task);
    return true;
  }

  /** The first completion counts. False: the task was done before, and this one is discarded. */
  complete(task: number): boolean {
    if (task >= this.#job.tasks || this.isDone(task)) return false;
    this.#setDone(task);
    this.unrecorded.add(task);
    return true;
  }

  #setDone(task: number): void {
    if (this.isUnassigned(task)) this.#unassigned -= 1;
    this.#states[task] = DONE;
    this.issued.delete(task);
  }

  // Its completion records.

  /** When its completions were last written, or were to be. */
  get lastWriteAttemptAt(): number {
    return this.#lastWriteAttemptAt;
  }

  /** Its completions are about to be written. */
  onWriteAttempt(now: number): void {
    this.#lastWriteAttemptAt = now;
  }

  /** Takes in a completion record that the key-value store has. */
  mergeRecorded(key: string, { first, bits }: StoredCompletions, version: number): void {
    if (version <= (this.recordVersions.get(key) ?? 0)) return;
    this.recordVersions.set(key, version);
    for (const task of this.recorded.merge(first, bits)) {
      this.unrecorded.delete(task);
      this.#setDone(task);
    }
  }

  /** The key-value store has acknowledged these completions. */
  markRecorded(tasks: readonly number[]): void {
    for (const task of tasks) {
      this.recorded.set(task);
      this.unrecorded.delete(task);
    }
  }

  /** The bits of a completion record: what is recorded of its tasks already, and these. */
  encodeRecord({ first, end }: CompletionRecord, tasks: readonly number[]): string {
    return this.recorded.encode(first, end, tasks);
  }

  // Its failures.

  /** No task of the job starts before this time. */
  get retryAt(): number {
    return this.#retryAt;
  }

  /** No task of the job starts before this time. */
  pauseUntil(time: number): void {
    this.#retryAt = time;
  }

  /** A task completed. */
  onTaskSucceeded(): void {
    this.#failures.clear();
    this.#retryAt = 0;
  }

  /** After failures on several machines the job is retried with growing pauses, until its user cancels it. */
  onTaskFailed(machine: string, now: number): void {
    this.#failures.add(machine, now);
    const pauseMs = this.#failures.pauseMs;
    if (this.done === 0 && pauseMs > 0) this.#retryAt = now + pauseMs;
  }

  /** Machines that get no task of the job now. */
  machinesToAvoid(now: number): ReadonlySet<string> {
    return this.#failures.machinesToAvoid(now);
  }

  /** Whether failures of its tasks say nothing about the machines that they ran on. */
  get isJobLikelyFaulty(): boolean {
    return this.done === 0 && this.#failures.areOnManyMachines;
  }
}
