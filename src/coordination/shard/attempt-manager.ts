/** @file Issues attempts and applies their state changes to the dispatch tables. */
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

/** The outputs by which `AttemptManager` signals pending commands and completed tasks. */
export interface AttemptManagerOutputs {
  /** Machines with pending commands. */
  readonly commands: CommandQueue;
  /** Woken when a task completes. */
  readonly completions: WakeSignal;
}

/** Issues and evicts attempts, and applies the attempt states that workers report to the dispatch tables. */
export class AttemptManager {
  readonly #quarantine = new QuarantinePolicy();
  readonly #endedJobAttempts: EndedJobAttempts;
  /** Whether the shard may have attempts that are missing from their jobs' dispatch tables. */
  #mayHaveSurplus = true;

  constructor(
    private readonly shard: Shard,
    private readonly context: ControllerContext,
    private readonly outputs: AttemptManagerOutputs,
  ) {
    this.#endedJobAttempts = new EndedJobAttempts(context.settings.cancellationUncertaintyMs);
  }

  /** Describes the tasks of the job with this id. */
  describe(id: string): TaskDescription {
    return describeTask(this.shard.tables.get(id)?.job);
  }

  /** Issues the next task of a job to the machine on which it was placed. */
  issue({ job, machine: id, isBoosted }: Placement): void {
    const table = this.shard.tables.get(job);
    const machine = this.shard.machines.get(id);
    const task = table?.nextUnassigned() ?? -1;
    if (!table || !machine || task < 0) return;
    // Attempts are issued only by this method, so this check covers every way of choosing a job.
    if (!this.shard.areDependenciesDone(table)) {
      this.context.log.error({ job }, 'job placed before its dependencies are done');
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

  /** Schedules a stop command with `graceS` seconds to save a checkpoint. A shorter `graceS` replaces a longer one. */
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

  /** Handles the end of a job: drops its dispatch table and evicts its attempts. */
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

  /** Finds attempts of ended jobs that were not confirmed gone within the eviction timeout, and their machines. */
  overdueEvictions(now: number): Iterable<[Attempt, Machine]> {
    return this.#endedJobAttempts.overdue(now);
  }

  /**
   * Whether the worker may still execute a start command of a job that ended longer than the eviction timeout ago. In
   * an outage of the key-value store the fencing token can't be raised to prevent this, so the worker's heartbeats get
   * no response. Its lease then expires within the time limit for cancellations, and its next incarnation rejects the
   * command.
   */
  hasUnconfirmedStartOfEndedJob(machine: Machine, now: number): boolean {
    return this.#endedJobAttempts.hasUnconfirmedStartOn(machine, now);
  }

  /** Applies changes of a machine's attempts to the dispatch tables. */
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
    if (table) this.#removeFromIntendedMachine(machine, attempt, table);
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
   * Removes an attempt from the machine that its start command was meant for, if another machine reports it: the other one
   * has executed the command, because it got the address of a machine that is gone.
   */
  #removeFromIntendedMachine(machine: Machine, attempt: Attempt, table: DispatchTable): void {
    const issued = table.issued.get(attempt.task);
    if (issued?.key !== attempt.key || issued.machine === machine.id) return;
    if (!this.shard.machines.get(issued.machine)?.discardUnstarted(attempt.key)) return;
    table.markLost(attempt.task, attempt.key);
    const { job, task } = attempt;
    const { log } = this.context;
    log.info(
      { job, task, intended: issued.machine, machine: machine.id },
      'attempt started on another machine',
    );
  }

  /**
   * Handles an attempt that is gone, or exited without completing its task. The task becomes unassigned only if it has
   * no other attempt on any machine. A task can have two attempts after a failover: a delayed heartbeat may report one
   * that was replaced long ago, and the dispatch table may then contain the replaced attempt.
   */
  #onLost(table: DispatchTable, attempt: Attempt): void {
    if (!table.markLost(attempt.task, attempt.key)) return;
    for (const [other, machine] of this.shard.usage.attemptsOf(attempt.job)) {
      if (other.task !== attempt.task || other.key === attempt.key) continue;
      table.issue(other.task, machine.id, other.key);
      return;
    }
  }

  /** Once all machines are confirmed, evicts the attempts that are missing from their jobs' dispatch tables. */
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
      // If this attempt was assumed lost, its task was issued again and may have another attempt.
      for (const [other] of this.shard.usage.attemptsOf(job)) {
        if (other.task === task) this.#mayHaveSurplus = true;
      }
    }
    table.onTaskSucceeded();
    this.#quarantine.onTaskSucceeded(machine);
  }

  /** Removes an attempt that was certainly never started. */
  discardUnstarted(machine: Machine, key: string): void {
    const change = machine.discardUnstarted(key);
    if (change) this.apply(machine, [change]);
  }

  /** Confirms the machine and removes all its attempts: its worker has stopped them, or the machine is gone. */
  dropAllAttempts(machine: Machine): void {
    const changes = machine.dropAllAttempts();
    this.shard.confirm(machine);
    this.apply(machine, changes);
  }

  /** Number of attempts of a job that are running or writing a checkpoint. */
  runningCount(job: string): number {
    let running = 0;
    for (const [{ phase }] of this.shard.usage.attemptsOf(job)) {
      if (phase === 'running' || phase === 'checkpointing') running += 1;
    }
    return running;
  }
}
