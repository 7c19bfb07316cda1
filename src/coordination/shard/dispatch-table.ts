/** @file The dispatch table of one job: which of its tasks are unassigned, issued or done. */
import type { Uint64 } from '../../base/uint64';
import { Bitmap } from '../../bookkeeping/bitmap';
import type { CompletionRecord, StoredCompletions } from '../../bookkeeping/completion-records';
import type { JobRecord } from '../../bookkeeping/records';
import { PRIORITY_RANK, type Job, type Priority } from '../../protocol/model';
import { JobFailures } from './job-failures';

/** The attempt to which an issued task is assigned. */
export interface IssuedAttempt {
  readonly machine: string;
  readonly key: string;
}

/**
 * The dispatch table of one job: each task is unassigned, issued or done. It lives in memory and is rebuilt from the
 * completion records and the workers' heartbeats. It takes memory for issued and done tasks, not for those that wait.
 */
export class DispatchTable {
  readonly submittedAt: number;
  /** Tasks whose completion the key-value store has acknowledged. */
  readonly recorded: Bitmap;
  /** Versions of the job's completion records in the key-value store, by their keys. */
  readonly recordVersions = new Map<string, Uint64>();
  /** Tasks that a worker reported as done, but that are not yet recorded. */
  readonly unrecorded = new Set<number>();
  /** The attempt of each issued task, by the task's number. */
  readonly issued = new Map<number, IssuedAttempt>();
  readonly #ownPriority: Priority;
  readonly #failures = new JobFailures();
  #job: Job;
  #waitingSince: number;
  #isReady: boolean;
  #retryAt = 0;
  #lastWriteAttemptAt = -Infinity;
  #unassigned: number;
  /** Where `nextUnassigned` starts to search: no task with a lower number is unassigned. */
  #searchFrom = 0;

  constructor(
    record: JobRecord,
    /** The version of the job's record. */
    readonly version: Uint64,
  ) {
    const { submittedAt } = record;
    const { job } = record;
    const { dependencies, ...jobWithoutList } = job;
    this.#job = dependencies ? jobWithoutList : job;
    this.#ownPriority = job.priority;
    this.submittedAt = submittedAt;
    this.#waitingSince = submittedAt;
    this.#isReady = dependencies === undefined && record.dependencyParts === undefined;
    this.recorded = new Bitmap(job.tasks);
    this.#unassigned = job.tasks;
  }

  /** The job without its list of dependencies, and with its effective priority: the highest of its own and those of the jobs that depend on it. */
  get job(): Job {
    return this.#job;
  }

  /** Sets the highest priority of the jobs that depend on this one; undefined if none depends on it any more. */
  setChainPriority(priority: Priority | undefined): void {
    const isHigher = priority !== undefined && PRIORITY_RANK[priority] < PRIORITY_RANK[this.#ownPriority];
    const effective = isHigher ? priority : this.#ownPriority;
    if (effective !== this.#job.priority) this.#job = { ...this.#job, priority: effective };
  }

  /** Whether all dependencies of the job are done; once true it stays true. */
  get isReady(): boolean {
    return this.#isReady;
  }

  /** Wall-clock time since which the job waits only for machines: its submission, or the end of its last dependency. */
  get waitingSince(): number {
    return this.#waitingSince;
  }

  /** Marks all dependencies of the job as done; the last one ended at the given wall-clock time. */
  becomeReady(lastDependencyEndedAt: number): void {
    this.#isReady = true;
    this.#waitingSince = Math.max(this.submittedAt, lastDependencyEndedAt);
  }

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
    return this.recorded.has(task) || this.unrecorded.has(task);
  }

  /** Whether the task is one of the job's, and is neither issued nor done. */
  isUnassigned(task: number): boolean {
    const isTask = task >= 0 && task < this.#job.tasks;
    return isTask && !this.issued.has(task) && !this.isDone(task);
  }

  /** The first unassigned task, or -1. */
  nextUnassigned(): number {
    if (this.#unassigned === 0) return -1;
    while (!this.isUnassigned(this.#searchFrom)) this.#searchFrom += 1;
    return this.#searchFrom;
  }

  /** Assigns an unassigned task to an attempt. */
  issue(task: number, machine: string, key: string): void {
    if (!this.isUnassigned(task)) throw new Error(`task ${task} is not unassigned`);
    this.#unassigned -= 1;
    this.issued.set(task, { machine, key });
  }

  /** Handles an attempt that ended without a completion. Returns true if its task is unassigned again. */
  markLost(task: number, key: string): boolean {
    if (this.issued.get(task)?.key !== key) return false;
    this.issued.delete(task);
    if (this.isDone(task)) return false;
    this.#unassigned += 1;
    this.#searchFrom = Math.min(this.#searchFrom, task);
    return true;
  }

  /** Marks the task as done. Returns false for a repeated completion, which is discarded. */
  complete(task: number): boolean {
    if (task >= this.#job.tasks || this.isDone(task)) return false;
    this.#endIssue(task);
    this.unrecorded.add(task);
    return true;
  }

  /** Called when the task becomes done, before it counts as done. */
  #endIssue(task: number): void {
    if (!this.issued.delete(task)) this.#unassigned -= 1;
  }

  /** Monotonic time of the last write of the job's completions, successful or not. */
  get lastWriteAttemptAt(): number {
    return this.#lastWriteAttemptAt;
  }

  /** Notes that a write of the job's completions begins. */
  onWriteAttempt(now: number): void {
    this.#lastWriteAttemptAt = now;
  }

  /** Marks the tasks of a stored completion record as done, unless this version or a newer one was merged before. */
  mergeRecorded(key: string, { first, bits }: StoredCompletions, version: Uint64): void {
    if (version <= (this.recordVersions.get(key) ?? 0)) return;
    this.recordVersions.set(key, version);
    for (const task of this.recorded.merge(first, bits)) {
      if (!this.unrecorded.delete(task)) this.#endIssue(task);
    }
  }

  /** Marks completions as recorded, after the key-value store has acknowledged them. */
  markRecorded(tasks: readonly number[]): void {
    for (const task of tasks) {
      this.recorded.set(task);
      this.unrecorded.delete(task);
    }
  }

  /** Encodes the bitmap of a completion record, which contains the tasks already recorded and the given tasks. */
  encodeRecord({ first, end }: CompletionRecord, tasks: readonly number[]): string {
    return this.recorded.encode(first, end, tasks);
  }

  /** Monotonic time before which no task of the job is started. */
  get retryAt(): number {
    return this.#retryAt;
  }

  /** Prevents tasks of the job from being started before this monotonic time. */
  pauseUntil(time: number): void {
    this.#retryAt = time;
  }

  /** Handles the completion of a task: clears the job's failures and ends its pause. */
  onTaskSucceeded(): void {
    this.#failures.clear();
    this.#retryAt = 0;
  }

  /**
   * Handles the failure of a task. While no task of the job is done and tasks failed on several machines, each failure
   * pauses the job, each time longer up to a maximum. The job itself never fails: it is retried until it is cancelled.
   */
  onTaskFailed(machine: string, now: number): void {
    this.#failures.add(machine, now);
    const pauseMs = this.#failures.pauseMs;
    if (this.done === 0 && pauseMs > 0) this.#retryAt = now + pauseMs;
  }

  /** Machines on which no task of the job may be started now, because one of its tasks failed there recently. */
  machinesToAvoid(now: number): ReadonlySet<string> {
    return this.#failures.machinesToAvoid(now);
  }

  /** Whether task failures are attributed to the job itself, and not to the machines that the tasks ran on. */
  get isJobLikelyFaulty(): boolean {
    return this.done === 0 && this.#failures.areOnManyMachines;
  }
}
