import { Bitmap } from '../../bookkeeping/bitmap';
import type { CompletionRecord, StoredCompletions } from '../../bookkeeping/completion-records';
import type { JobRecord } from '../../bookkeeping/records';
import { PRIORITY_RANK, type Job, type Priority } from '../../protocol/model';

const UNASSIGNED = 0;
const ISSUED = 1;
const DONE = 2;

const FIRST_PAUSE_MS = 2_000;
const LONGEST_PAUSE_MS = 60_000;
/** How long a machine that failed a task of the job gets no more of it. Longer, and the job might wait for ever: there may be no other. */
const AVOID_MS = 60_000;
const NONE: ReadonlySet<string> = new Set();
/** A job that failed on so many machines, and succeeded on none, is taken to be at fault itself. */
const MACHINES_TO_BLAME_JOB = 3;

/**
 * The Dispatch Table of one job: each task is unassigned, issued or done. It lives in memory and is rebuilt from the
 * done bitmap and the workers' reports.
 */
export class DispatchTable {
  readonly submittedAt: number;
  /** Time of day from which on the job waits for machines only: its submission, or the end of its last dependency. */
  waitingSince: number;
  /** Whether all that the job needs is done; once true it stays true. */
  isReady: boolean;
  /** What the state service has acknowledged. */
  readonly recorded: Bitmap;
  /** Versions of the job's completion records in the state service, by their keys. */
  readonly recordVersions = new Map<string, number>();
  /** Done by a worker's word, not yet recorded. */
  readonly unrecorded = new Set<number>();
  /** The attempt that each issued task is on. */
  readonly issued = new Map<number, { machine: string; key: string }>();
  readonly failedMachines = new Set<string>();
  readonly #failedAt = new Map<string, number>();
  retryAt = 0;
  /** When its completions were last written, or were to be. */
  lastRecordedAt = -Infinity;
  #job: Job;
  readonly #ownPriority: Priority;
  #consecutiveFailures = 0;
  #unassigned: number;
  /** No task below this one is unassigned. */
  #lowest = 0;
  readonly #states: Uint8Array;

  constructor(
    record: JobRecord,
    readonly version: number,
  ) {
    this.#job = record.job;
    this.#ownPriority = record.job.priority;
    this.submittedAt = record.submittedAt;
    this.waitingSince = record.submittedAt;
    this.isReady = record.job.dependencies === undefined && record.dependencyParts === undefined;
    this.recorded = new Bitmap(this.job.tasks);
    this.#states = new Uint8Array(this.job.tasks);
    this.#unassigned = this.job.tasks;
  }

  /** The job as it is scheduled: with the highest priority of all that need it. */
  get job(): Job {
    return this.#job;
  }

  /** The highest priority of the jobs that need this one; undefined where there are none any more. */
  setChainPriority(priority: Priority | undefined): void {
    const isHigher = priority !== undefined && PRIORITY_RANK[priority] < PRIORITY_RANK[this.#ownPriority];
    const effective = isHigher ? priority : this.#ownPriority;
    if (effective !== this.#job.priority) this.#job = { ...this.#job, priority: effective };
  }

  get unassigned(): number {
    return this.#unassigned;
  }

  get done(): number {
    return this.recorded.count + this.unrecorded.size;
  }

  get remaining(): number {
    return this.job.tasks - this.done;
  }

  isDone(task: number): boolean {
    return this.#states[task] === DONE;
  }

  /** The first unassigned task, or -1. */
  nextUnassigned(): number {
    if (this.#unassigned === 0) return -1;
    while (this.#states[this.#lowest] !== UNASSIGNED) this.#lowest += 1;
    return this.#lowest;
  }

  issue(task: number, machine: string, key: string): void {
    if (this.#states[task] !== UNASSIGNED) throw new Error(`task ${task} is not unassigned`);
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
    if (task >= this.job.tasks || this.#states[task] === DONE) return false;
    this.#setDone(task);
    this.unrecorded.add(task);
    return true;
  }

  /** Takes in a completion record that the state service has. */
  mergeRecorded(key: string, { first, bits }: StoredCompletions, version: number): void {
    if (version <= (this.recordVersions.get(key) ?? 0)) return;
    this.recordVersions.set(key, version);
    for (const task of this.recorded.merge(first, bits)) {
      this.unrecorded.delete(task);
      this.#setDone(task);
    }
  }

  /** The state service has acknowledged these completions. */
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

  #setDone(task: number): void {
    if (this.#states[task] === UNASSIGNED) this.#unassigned -= 1;
    this.#states[task] = DONE;
    this.issued.delete(task);
  }

  onTaskSucceeded(): void {
    this.#consecutiveFailures = 0;
    this.failedMachines.clear();
    this.#failedAt.clear();
    this.retryAt = 0;
  }

  /** After failures on several machines the job is retried with growing pauses, until its user cancels it. */
  onTaskFailed(machine: string, now: number): void {
    this.failedMachines.add(machine);
    this.#failedAt.set(machine, now);
    this.#consecutiveFailures += 1;
    if (this.failedMachines.size < 2 || this.done > 0) return;
    const pause = FIRST_PAUSE_MS * 2 ** Math.min(this.#consecutiveFailures - 2, 10);
    this.retryAt = now + Math.min(LONGEST_PAUSE_MS, pause);
  }

  /** Machines that get no task of the job now. */
  machinesToAvoid(now: number): ReadonlySet<string> {
    if (this.#failedAt.size === 0) return NONE;
    return new Set([...this.#failedAt].filter(([, at]) => now - at < AVOID_MS).map(([machine]) => machine));
  }

  /** Whether failures of its tasks say nothing about the machines that they ran on. */
  get isJobSuspect(): boolean {
    return this.done === 0 && this.failedMachines.size >= MACHINES_TO_BLAME_JOB;
  }
}
