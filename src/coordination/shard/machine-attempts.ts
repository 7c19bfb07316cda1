/** @file The attempts on one machine, and their reconciliation with the worker's heartbeats. */
import { attemptKey, type ReportedAttempt } from '../../protocol/model';
import { Attempt, occupiesResources, type AttemptChange, type TaskDescription } from './attempt';
import type { ImageCache } from './image-cache';
import type { MachineResources } from './machine-resources';
import type { WorkerLiveness } from './worker-liveness';

/** Tracks the attempts on a machine, unconfirmed ones included, and updates the machine's resources and image cache. */
export class MachineAttempts {
  readonly #attempts = new Map<string, Attempt>();

  constructor(
    private readonly worker: WorkerLiveness,
    private readonly resources: MachineResources,
    private readonly images: ImageCache,
  ) {}

  /** The attempts by their keys. */
  get byKey(): ReadonlyMap<string, Attempt> {
    return this.#attempts;
  }

  /** Adds an attempt that this owner issued, or that the worker reported. */
  add(attempt: Attempt): void {
    this.#attempts.set(attempt.key, attempt);
    if (occupiesResources(attempt)) this.resources.occupy(attempt);
  }

  /** Applies the attempts that a new message reports; `describe` describes the tasks of those not tracked yet. */
  reconcile(
    reportedAttempts: readonly ReportedAttempt[],
    now: number,
    describe: (job: string) => TaskDescription,
  ): AttemptChange[] {
    const changes: AttemptChange[] = [];
    const reportedKeys = new Set<string>();
    for (const reported of reportedAttempts) {
      const key = attemptKey(reported.job, reported.task, reported.attempt);
      reportedKeys.add(key);
      let attempt = this.#attempts.get(key);
      if (!attempt) {
        attempt = this.#addFound(reported, describe);
        changes.push({ kind: 'found', attempt });
      }
      const kind = this.#applyReport(attempt, reported, now);
      if (kind) changes.push({ kind, attempt });
    }
    this.#dropUnreported(reportedKeys, changes);
    return changes;
  }

  #addFound(
    { job, task, attempt: number }: ReportedAttempt,
    describe: (job: string) => TaskDescription,
  ): Attempt {
    const attempt = new Attempt({ job, task, number, isBoosted: false, wasStartSent: true }, describe(job));
    this.add(attempt);
    return attempt;
  }

  /** Returns the kind of change that `AttemptManager` has to apply, if any. */
  #applyReport(attempt: Attempt, reported: ReportedAttempt, now: number): 'running' | 'exited' | undefined {
    const { phase } = reported;
    if (phase === attempt.phase) return undefined;
    const didOccupy = occupiesResources(attempt);
    attempt.enterPhase(reported, now);
    const occupies = occupiesResources(attempt);
    if (didOccupy && !occupies) this.resources.release(attempt);
    else if (!didOccupy && occupies) this.resources.occupy(attempt);
    if (phase === 'running' || phase === 'checkpointing') this.images.touch(attempt.image, attempt.imageGb);
    return phase === 'running' || phase === 'exited' ? phase : undefined;
  }

  #dropUnreported(reportedKeys: ReadonlySet<string>, changes: AttemptChange[]): void {
    // All reported attempts were added above, so equal sizes mean that no attempt is missing from the heartbeat.
    if (this.#attempts.size === reportedKeys.size) return;
    for (const attempt of [...this.#attempts.values()]) {
      if (reportedKeys.has(attempt.key) || this.worker.isStartUnconfirmed(attempt)) continue;
      changes.push(this.#drop(attempt));
    }
  }

  /** Removes an attempt that was certainly never started: its start command was refused or never sent. */
  discardUnstarted(key: string): AttemptChange | undefined {
    const attempt = this.#attempts.get(key);
    if (attempt?.phase !== 'starting') return undefined;
    return this.#drop(attempt);
  }

  /** Removes all attempts: the worker has stopped them, or the machine is gone. */
  dropAll(): AttemptChange[] {
    return [...this.#attempts.values()].map((attempt) => this.#drop(attempt));
  }

  #drop(attempt: Attempt): AttemptChange {
    this.#attempts.delete(attempt.key);
    if (occupiesResources(attempt)) this.resources.release(attempt);
    return { kind: 'gone', attempt };
  }
}
