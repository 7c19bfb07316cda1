/** @file Issues attempts, and carries what becomes of them into the dispatch tables. */
import type { WakeSignal } from '../../base/clock';
import type { ControllerContext } from '../controller-context';
import type { Placement } from '../scheduling/placement';
import { Attempt, attemptNumber, describeTask, type AttemptChange, type TaskDescription } from './attempt';
import type { CommandQueue } from './command-queue';
import type { DispatchTable } from './dispatch-table';
import { EndedJobAttempts } from './ended-job-attempts';
import type { Machine } from './machine';
import { QuarantinePolicy } from './quarantine-policy';
import type { Shard } from './shard';

const UNKNOWN_JOB_PAUSE_MS = 1_000;

/** What the manager of attempts sets off. */
export interface AttemptManagerOutputs {
  /** The machines whose workers are to be sent commands. */
  readonly commands: CommandQueue;
  /** Is woken when a task completed. */
  readonly completions: WakeSignal;
}

/** What becomes of attempts: issues them, and carries what workers report of them into the dispatch tables. */
export class AttemptManager {
  readonly #quarantine = new QuarantinePolicy();
  readonly #endedJobAttempts: EndedJobAttempts;
  /** An attempt was found that no table has use for, since surplus was last evicted. */
  #mayHaveSurplus = true;

  constructor(
    private readonly shard: Shard,
    private readonly context: ControllerContext,
    private readonly outputs: AttemptManagerOutputs,
  ) {
    this.#endedJobAttempts = new EndedJobAttempts(context.settings.cancellationUncertaintyMs);
  }

  /** Describes the tasks of a job by its id. */
  describe(id: string): TaskDescription {
    return describeTask(this.shard.tables.get(id)?.job);
  }

  /** Issues the next task of a job to the machine on which it was placed. */
  issue({ job, machine: id, isBoosted }: Placement): void {
    const table = this.shard.tables.get(job);
    const machine = this.shard.machines.get(id);
    const task = table?.nextUnassigned() ?? -1;
    if (!table || !machine || task < 0) return;
    // Attempts are issued here and nowhere else, so whatever chose this job, nothing of it starts too early.
    if (!this.shard.areDependenciesDone(table)) {
      this.context.log.error({ job }, 'a job was placed before its dependencies are done');
      return;
    }
    const number = attemptNumber(this.shard.fencingToken, this.shard.nextAttemptCounter());
    const attempt = new Attempt(
      { job, task, number, isBoosted, wasStartSent: false },
      describeTask(table.job),
    );
    machine.addAttempt(attempt);
    machine.touchImage(table.job.image, table.job.imageGb);
    table.issue(task, machine.id, attempt.key);
    this.#scheduleCommands(machine);
    this.context.log.debug({ job, task, machine: id, attempt: number }, 'task issued');
  }

  /** The attempt is to be stopped, with this much time to save a checkpoint. */
  evict(machine: Machine, attempt: Attempt, graceS: number): void {
    if (attempt.phase === 'exited') return;
    if (attempt.eviction && attempt.eviction.graceS <= graceS) return;
    attempt.evict(graceS);
    this.#scheduleCommands(machine);
  }

  #scheduleCommands(machine: Machine): void {
    this.outputs.commands.add(machine);
    this.shard.wake();
  }

  /** The job is over: all that runs of it is stopped. */
  closeJob(id: string): void {
    if (!this.shard.tables.delete(id)) return;
    for (const [attempt, machine] of this.shard.usage.attemptsOf(id))
      this.#evictForEndedJob(machine, attempt);
    this.shard.wake();
  }

  #evictForEndedJob(machine: Machine, attempt: Attempt): void {
    this.#endedJobAttempts.add(attempt, machine, this.context.clock.now());
    this.evict(machine, attempt, 0);
  }

  /** Attempts whose jobs ended longer ago than a cancellation leaves room for doubt, and that are not known gone. */
  overdueEvictions(now: number): Iterable<[Attempt, Machine]> {
    return this.#endedJobAttempts.overdue(now);
  }

  /**
   * Whether a start of a job that is over may still reach the machine, though its end was known long ago: the token
   * can't be raised while the key-value store is unavailable. Unanswered, the worker's lease and session end within the
   * bound on cancellations, and what may come late ends with them.
   */
  hasUnconfirmedStartOfEndedJob(machine: Machine, now: number): boolean {
    return this.#endedJobAttempts.hasUnconfirmedStartOn(machine, now);
  }

  /** Carries changes of a machine's attempts into the dispatch tables. */
  apply(machine: Machine, changes: readonly AttemptChange[]): void {
    for (const { kind, attempt } of changes) {
      const table = this.shard.tables.get(attempt.job);
      if (kind === 'found') this.#onFound(machine, attempt, table);
      else if (kind === 'exited') this.#onExited(machine, attempt, table);
      else if (kind === 'gone' && table) this.#onLost(table, attempt);
    }
    if (changes.length === 0) return;
    if (!machine.isBusy) machine.restartIdleTime(this.context.clock.now());
    this.shard.wake();
  }

  #onFound(machine: Machine, attempt: Attempt, table: DispatchTable | undefined): void {
    if (attempt.phase === 'exited') return;
    if (!table) {
      this.#evictForEndedJob(machine, attempt);
    } else if (table.isUnassigned(attempt.task)) {
      table.issue(attempt.task, machine.id, attempt.key);
    } else {
      this.#mayHaveSurplus = true;
    }
  }

  /**
   * The attempt is no more. Its task is issued again only if no other attempt of it is left anywhere: after a
   * failover a heartbeat that was held up may show one that has long been replaced, and what the table then held for
   * the task was the wrong one of two.
   */
  #onLost(table: DispatchTable, attempt: Attempt): void {
    if (!table.markLost(attempt.task, attempt.key)) return;
    for (const [other, machine] of this.shard.usage.attemptsOf(attempt.job)) {
      if (other.task !== attempt.task || other.key === attempt.key) continue;
      table.issue(other.task, machine.id, other.key);
      return;
    }
  }

  /** Once every machine is confirmed, attempts that are of no use are stopped. */
  evictSurplus(): void {
    if (!this.shard.areAllMachinesConfirmed || !this.#mayHaveSurplus) return;
    this.#mayHaveSurplus = false;
    for (const table of this.shard.tables.values()) {
      for (const [attempt, machine] of this.shard.usage.attemptsOf(table.job.id)) {
        if (attempt.eviction || table.issued.get(attempt.task)?.key === attempt.key) continue;
        this.evict(machine, attempt, 0);
      }
    }
  }

  #onExited(machine: Machine, attempt: Attempt, table: DispatchTable | undefined): void {
    const { job, task, exitCause } = attempt;
    if (exitCause !== 'stopped')
      this.context.log.debug({ job, task, machine: machine.id, cause: exitCause }, 'attempt ended');
    if (!table) return;
    if (exitCause === 'done') this.#onCompleted(machine, attempt, table);
    else this.#onNotCompleted(machine, attempt, table);
  }

  #onNotCompleted(machine: Machine, attempt: Attempt, table: DispatchTable): void {
    const { job, task, exitCause } = attempt;
    this.#onLost(table, attempt);
    const now = this.context.clock.now();
    if (exitCause === 'error') {
      table.onTaskFailed(machine.id, now);
      this.#quarantine.onTaskFailed(machine, table);
      this.context.log.info(
        { job, task, machine: machine.id, quarantined: machine.isQuarantined },
        'attempt failed',
      );
      if (machine.isQuarantined) machine.drain('quarantined');
    } else if (exitCause === 'no_room') {
      machine.backOff(now);
    } else if (exitCause === 'unknown') {
      table.pauseUntil(now + UNKNOWN_JOB_PAUSE_MS);
    }
  }

  #onCompleted(machine: Machine, attempt: Attempt, table: DispatchTable): void {
    const { job, task, runningSince } = attempt;
    if (table.complete(task)) {
      if (runningSince !== undefined) {
        this.shard.runTimes.learn(table.job, (this.context.clock.now() - runningSince) / 1000);
      }
      this.outputs.completions.wake();
      // Another attempt of it may be under way, if this one was assumed to be lost.
      for (const [other] of this.shard.usage.attemptsOf(job)) {
        if (other.task === task) this.#mayHaveSurplus = true;
      }
    }
    table.onTaskSucceeded();
    this.#quarantine.onTaskSucceeded(machine);
  }

  /** The start certainly never happened. */
  discardUnstarted(machine: Machine, key: string): void {
    const change = machine.discardUnstarted(key);
    if (change) this.apply(machine, [change]);
  }

  /** All that was on the machine is gone. */
  dropAllAttempts(machine: Machine): void {
    const changes = machine.dropAllAttempts();
    this.shard.confirm(machine);
    this.apply(machine, changes);
  }

  /** How many attempts of a job run. */
  runningCount(job: string): number {
    let running = 0;
    for (const [{ phase }] of this.shard.usage.attemptsOf(job)) {
      if (phase === 'running' || phase === 'checkpointing') running += 1;
    }
    return running;
  }
}
