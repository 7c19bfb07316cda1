import { attemptKey, type Job } from '../../protocol/model';
import type { Shard } from './shard';
import type { NodeContext } from '../node-context';
import type { DispatchTable } from './dispatch-table';
import { Health } from './health';
import { attemptNumber, type Attempt, type Change, type Described, type Machine } from './machine';
import type { Placement } from '../scheduling/placement';

const UNKNOWN_JOB_PAUSE_MS = 1_000;
const NO_NEEDS: Described = { needs: { cpus: 0, gpus: 0, memoryGb: 0 }, team: '', image: '', imageGb: 0 };

function described(job: Job): Described {
  return { needs: job, team: job.team, image: job.image, imageGb: job.imageGb };
}

/** What becomes of attempts: issues them, and carries what workers say of them into the dispatch tables. */
export class Attempts {
  readonly #health = new Health();
  /** Something was found that no table asked for, since surplus was last looked for. */
  #maybeSurplus = true;
  /** Attempts of jobs that are over, until each is known gone: most take no longer than a command does. */
  readonly #ended = new Map<Attempt, Machine>();

  constructor(
    private readonly shard: Shard,
    private readonly deps: NodeContext,
    /** A task completed. */
    private readonly completed: () => void,
    /** Orders for the machine are to leave. */
    private readonly scheduleCommands: (machine: Machine) => void,
  ) {}

  describe(id: string): Described {
    const job = this.shard.tables.get(id)?.job;
    return job ? described(job) : NO_NEEDS;
  }

  issue({ job, machine: id, aged }: Placement, now: number): void {
    const table = this.shard.tables.get(job);
    const machine = this.shard.machines.get(id);
    const task = table?.nextUnassigned() ?? -1;
    if (!table || !machine || task < 0) return;
    // Attempts are issued here and nowhere else, so whatever chose this job, nothing of it starts too early.
    if (!this.shard.isReady(table)) {
      this.deps.log.error({ job }, 'a job was placed before its dependencies are done');
      return;
    }
    const number = attemptNumber(this.shard.fencingToken, this.shard.nextCounter());
    const key = attemptKey(job, task, number);
    machine.put({
      ...{ key, job, task, attempt: number, ...described(table.job), aged },
      ...{ phase: 'sent', cause: null, saved: false, sentAt: now, runningSince: undefined },
      ...{ posted: false, inFlight: false, stop: undefined },
    });
    machine.useImage(table.job.image, table.job.imageGb);
    table.issue(task, machine.id, key);
    this.scheduleCommands(machine);
    this.deps.log.debug({ job, task, machine: id, attempt: number }, 'task issued');
  }

  /** Wants an attempt gone. */
  want(machine: Machine, attempt: Attempt, graceS: number): void {
    if (attempt.phase === 'exited') return;
    if (attempt.stop && attempt.stop.graceS <= graceS) return;
    attempt.stop = { graceS, since: this.deps.clock.now() };
    this.scheduleCommands(machine);
  }

  closeJob(id: string): void {
    if (!this.shard.tables.delete(id)) return;
    for (const [attempt, machine] of this.shard.holdings.ofJob(id)) this.#end(machine, attempt);
    this.shard.wake();
  }

  #end(machine: Machine, attempt: Attempt): void {
    attempt.endedSince ??= this.deps.clock.now();
    this.#ended.set(attempt, machine);
    this.want(machine, attempt, 0);
  }

  /** Attempts whose jobs ended longer ago than a cancellation leaves room for doubt, and that are not known gone. */
  *overdueStops(now: number): Iterable<[Attempt, Machine]> {
    for (const [attempt, machine] of this.#ended) {
      const isGone = attempt.phase === 'exited' || machine.attempts.get(attempt.key) !== attempt;
      if (isGone) this.#ended.delete(attempt);
      else if (now - (attempt.endedSince ?? now) > this.deps.settings.cancellationUncertaintyMs)
        yield [attempt, machine];
    }
  }

  /**
   * Whether a start of a job that is over may still reach the machine, though we heard of its end long ago: the token
   * can't be raised while the state service is out. Unanswered, the worker's lease and session end within the bound on
   * cancellations, and what may come late ends with them.
   */
  mayStartEnded(machine: Machine, now: number): boolean {
    if (this.#ended.size === 0) return false;
    for (const [attempt, where] of this.overdueStops(now)) {
      if (where === machine && machine.mayStillStart(attempt)) return true;
    }
    return false;
  }

  apply(machine: Machine, changes: readonly Change[]): void {
    for (const { kind, attempt } of changes) {
      const table = this.shard.tables.get(attempt.job);
      if (kind === 'found') this.#found(machine, attempt, table);
      else if (kind === 'exited') this.#exited(machine, attempt, table);
      else if (kind === 'gone' && table) this.#lost(table, attempt);
    }
    if (changes.length > 0) {
      if (!machine.busy) machine.idleSince = this.deps.clock.now();
      this.shard.wake();
    }
  }

  #found(machine: Machine, attempt: Attempt, table: DispatchTable | undefined): void {
    if (attempt.phase === 'exited') return;
    if (!table) {
      this.#end(machine, attempt);
    } else if (
      !table.issued.has(attempt.task) &&
      !table.isDone(attempt.task) &&
      attempt.task < table.job.tasks
    ) {
      table.issue(attempt.task, machine.id, attempt.key);
    } else {
      this.#maybeSurplus = true;
    }
  }

  /**
   * The attempt is no more. Its task is issued again only if no other attempt of it is left anywhere: after a
   * takeover a report that was held up may show one that has long been replaced, and what the table then held for
   * the task was the wrong one of two.
   */
  #lost(table: DispatchTable, attempt: Attempt): void {
    if (!table.lost(attempt.task, attempt.key)) return;
    for (const [other, machine] of this.shard.holdings.ofJob(attempt.job)) {
      if (other.task !== attempt.task || other.key === attempt.key) continue;
      table.issue(other.task, machine.id, other.key);
      return;
    }
  }

  /** Once every machine is known, attempts that nobody has any use for are stopped. */
  stopSurplus(): void {
    if (!this.shard.allKnown || !this.#maybeSurplus) return;
    this.#maybeSurplus = false;
    for (const table of this.shard.tables.values()) {
      for (const [attempt, machine] of this.shard.holdings.ofJob(table.job.id)) {
        if (attempt.stop || table.issued.get(attempt.task)?.key === attempt.key) continue;
        this.want(machine, attempt, 0);
      }
    }
  }

  #exited(machine: Machine, attempt: Attempt, table: DispatchTable | undefined): void {
    const now = this.deps.clock.now();
    const { job, task, cause } = attempt;
    if (cause !== 'stopped') this.deps.log.debug({ job, task, machine: machine.id, cause }, 'attempt ended');
    if (!table) return;
    if (cause === 'done') {
      if (table.complete(task)) {
        if (attempt.runningSince !== undefined)
          this.shard.estimates.learn(table.job, (now - attempt.runningSince) / 1000);
        this.completed();
        // Another attempt of it may be under way, if this one was taken for lost.
        for (const [other] of this.shard.holdings.ofJob(job)) {
          if (other.task === task) this.#maybeSurplus = true;
        }
      }
      table.succeeded();
      this.#health.succeeded(machine);
      return;
    }
    this.#lost(table, attempt);
    if (cause === 'error') {
      table.failed(machine.id, now);
      this.#health.failed(machine, table);
      this.deps.log.info({ job, task, machine: machine.id, sick: machine.sick }, 'attempt failed');
      if (machine.sick) machine.leaving ??= 'sick';
    } else if (cause === 'no_room') {
      machine.avoid(now);
    } else if (cause === 'unknown') {
      table.retryAt = now + UNKNOWN_JOB_PAUSE_MS;
    }
  }

  /** The start certainly never happened. */
  neverStarted(machine: Machine, key: string): void {
    const change = machine.neverStarted(key);
    if (change) this.apply(machine, [change]);
  }

  /** All that was on the machine is gone. */
  dropAll(machine: Machine): void {
    const changes = machine.dropAll();
    this.shard.settle(machine);
    this.apply(machine, changes);
  }

  /** How many attempts of a job run. */
  runningOf(job: string): number {
    let running = 0;
    for (const [a] of this.shard.holdings.ofJob(job)) {
      if (a.phase === 'running' || a.phase === 'saving') running += 1;
    }
    return running;
  }
}
