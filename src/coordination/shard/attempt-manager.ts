import { attemptKey, type Job } from '../../protocol/model';
import type { Shard } from './shard';
import type { ControllerContext } from '../controller-context';
import type { DispatchTable } from './dispatch-table';
import { QuarantinePolicy } from './quarantine-policy';
import {
  attemptNumber,
  type Attempt,
  type AttemptChange,
  type TaskDescription,
  type Machine,
} from './machine';
import type { Placement } from '../scheduling/placement';

const UNKNOWN_JOB_PAUSE_MS = 1_000;
const UNKNOWN_TASK: TaskDescription = {
  resources: { cpus: 0, gpus: 0, memoryGb: 0 },
  team: '',
  image: '',
  imageGb: 0,
};

function described(job: Job): TaskDescription {
  return { resources: job, team: job.team, image: job.image, imageGb: job.imageGb };
}

/** What becomes of attempts: issues them, and carries what workers say of them into the dispatch tables. */
export class AttemptManager {
  readonly #quarantine = new QuarantinePolicy();
  /** Something was found that no table asked for, since surplus was last looked for. */
  #mayHaveSurplus = true;
  /** Attempts of jobs that are over, until each is known gone: most take no longer than a command does. */
  readonly #attemptsOfEndedJobs = new Map<Attempt, Machine>();

  constructor(
    private readonly shard: Shard,
    private readonly context: ControllerContext,
    /** A task completed. */
    private readonly completed: () => void,
    /** Orders for the machine are to leave. */
    private readonly scheduleCommands: (machine: Machine) => void,
  ) {}

  describe(id: string): TaskDescription {
    const job = this.shard.tables.get(id)?.job;
    return job ? described(job) : UNKNOWN_TASK;
  }

  issue({ job, machine: id, isBoosted }: Placement, now: number): void {
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
    const key = attemptKey(job, task, number);
    machine.addAttempt({
      ...{ key, job, task, number, ...described(table.job), isBoosted },
      ...{ phase: 'starting', exitCause: null, saved: false, sentAt: now, runningSince: undefined },
      ...{ wasSent: false, isStartInFlight: false, eviction: undefined },
    });
    machine.touchImage(table.job.image, table.job.imageGb);
    table.issue(task, machine.id, key);
    this.scheduleCommands(machine);
    this.context.log.debug({ job, task, machine: id, attempt: number }, 'task issued');
  }

  /** Wants an attempt gone. */
  evict(machine: Machine, attempt: Attempt, graceS: number): void {
    if (attempt.phase === 'exited') return;
    if (attempt.eviction && attempt.eviction.graceS <= graceS) return;
    attempt.eviction = { graceS, since: this.context.clock.now() };
    this.scheduleCommands(machine);
  }

  closeJob(id: string): void {
    if (!this.shard.tables.delete(id)) return;
    for (const [attempt, machine] of this.shard.usage.attemptsOf(id)) this.#evictOfEndedJob(machine, attempt);
    this.shard.wake();
  }

  #evictOfEndedJob(machine: Machine, attempt: Attempt): void {
    attempt.jobEndedAt ??= this.context.clock.now();
    this.#attemptsOfEndedJobs.set(attempt, machine);
    this.evict(machine, attempt, 0);
  }

  /** Attempts whose jobs ended longer ago than a cancellation leaves room for doubt, and that are not known gone. */
  *overdueEvictions(now: number): Iterable<[Attempt, Machine]> {
    for (const [attempt, machine] of this.#attemptsOfEndedJobs) {
      const isGone = attempt.phase === 'exited' || machine.attempts.get(attempt.key) !== attempt;
      if (isGone) this.#attemptsOfEndedJobs.delete(attempt);
      else if (now - (attempt.jobEndedAt ?? now) > this.context.settings.cancellationUncertaintyMs)
        yield [attempt, machine];
    }
  }

  /**
   * Whether a start of a job that is over may still reach the machine, though we heard of its end long ago: the token
   * can't be raised while the state service is out. Unanswered, the worker's lease and session end within the bound on
   * cancellations, and what may come late ends with them.
   */
  mayStillStartEndedJob(machine: Machine, now: number): boolean {
    if (this.#attemptsOfEndedJobs.size === 0) return false;
    for (const [attempt, where] of this.overdueEvictions(now)) {
      if (where === machine && machine.mayStillStart(attempt)) return true;
    }
    return false;
  }

  apply(machine: Machine, changes: readonly AttemptChange[]): void {
    for (const { kind, attempt } of changes) {
      const table = this.shard.tables.get(attempt.job);
      if (kind === 'found') this.#found(machine, attempt, table);
      else if (kind === 'exited') this.#exited(machine, attempt, table);
      else if (kind === 'gone' && table) this.#lost(table, attempt);
    }
    if (changes.length > 0) {
      if (!machine.isBusy) machine.idleSince = this.context.clock.now();
      this.shard.wake();
    }
  }

  #found(machine: Machine, attempt: Attempt, table: DispatchTable | undefined): void {
    if (attempt.phase === 'exited') return;
    if (!table) {
      this.#evictOfEndedJob(machine, attempt);
    } else if (
      !table.issued.has(attempt.task) &&
      !table.isDone(attempt.task) &&
      attempt.task < table.job.tasks
    ) {
      table.issue(attempt.task, machine.id, attempt.key);
    } else {
      this.#mayHaveSurplus = true;
    }
  }

  /**
   * The attempt is no more. Its task is issued again only if no other attempt of it is left anywhere: after a
   * takeover a report that was held up may show one that has long been replaced, and what the table then held for
   * the task was the wrong one of two.
   */
  #lost(table: DispatchTable, attempt: Attempt): void {
    if (!table.markLost(attempt.task, attempt.key)) return;
    for (const [other, machine] of this.shard.usage.attemptsOf(attempt.job)) {
      if (other.task !== attempt.task || other.key === attempt.key) continue;
      table.issue(other.task, machine.id, other.key);
      return;
    }
  }

  /** Once every machine is known, attempts that nobody has any use for are stopped. */
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

  #exited(machine: Machine, attempt: Attempt, table: DispatchTable | undefined): void {
    const now = this.context.clock.now();
    const { job, task, exitCause } = attempt;
    if (exitCause !== 'stopped')
      this.context.log.debug({ job, task, machine: machine.id, cause: exitCause }, 'attempt ended');
    if (!table) return;
    if (exitCause === 'done') {
      if (table.complete(task)) {
        if (attempt.runningSince !== undefined)
          this.shard.runTimes.learn(table.job, (now - attempt.runningSince) / 1000);
        this.completed();
        // Another attempt of it may be under way, if this one was taken for lost.
        for (const [other] of this.shard.usage.attemptsOf(job)) {
          if (other.task === task) this.#mayHaveSurplus = true;
        }
      }
      table.onTaskSucceeded();
      this.#quarantine.onTaskSucceeded(machine);
      return;
    }
    this.#lost(table, attempt);
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
      table.retryAt = now + UNKNOWN_JOB_PAUSE_MS;
    }
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
    for (const [a] of this.shard.usage.attemptsOf(job)) {
      if (a.phase === 'running' || a.phase === 'checkpointing') running += 1;
    }
    return running;
  }
}
