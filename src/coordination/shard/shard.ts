import { COMPLETION_PREFIXES, readCompletions } from '../../bookkeeping/completion-records';
import { KEY, PREFIX, read, type MachineRecord } from '../../bookkeeping/records';
import type { Condition } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import { DispatchTable } from './dispatch-table';
import { RunTimeEstimates } from './run-time-estimates';
import { ResourceUsage } from './resource-usage';
import { occupiesResources, Machine } from './machine';
import type { TeamQuota, TeamUsage } from '../scheduling/placement';

/** So many machines that have not shown our token yet hold nothing up: they are asked directly. */
const FEW_UNSETTLED = 64;
const TRIES_MS = 2_000;
/** After a takeover the first workers come within this time, and each next one. */
const COME_ON_MS = 1_500;
/** A job without an aim should be done within so many times its tasks' run time. */
const USUAL_RUNS = 4;

/** Under what an owner holds its shard. */
export interface ShardTenure {
  /** The shard's number. */
  readonly number: number;
  readonly teams: readonly string[];
  /** The fencing token that was drawn with the lease. */
  readonly fencingToken: number;
  /** The version of the shard's lease, for the conditions of transactions. */
  readonly leaseVersion: number;
  /** The revision at which it was acquired. */
  readonly acquiredRevision: number;
}

/** What a shard's owner knows: jobs with their tables, machines with what they hold, and its right to act. */
export class Shard {
  readonly number: number;
  /** Rises when it is raised; see `TokenRaiser`. */
  fencingToken: number;
  leaseVersion: number;
  readonly acquiredRevision: number;
  readonly machines = new Map<string, Machine>();
  readonly tables = new Map<string, DispatchTable>();
  readonly usage = new ResourceUsage();
  readonly runTimes = new RunTimeEstimates();
  readonly teams: ReadonlyMap<string, TeamQuota>;
  /** Machines that an earlier owner's starts may still reach: no message of theirs has shown our token. */
  readonly unconfirmed = new Set<Machine>();
  readonly timing: {
    readonly heartbeatTimeoutMs: number;
    readonly unresponsiveReturnMs: number;
    readonly leaseMs: number;
  };
  /** Steady time at which this owner took it. */
  readonly acquiredAt: number;
  stopped = false;
  /** A command ended without showing what became of a start that it carried. */
  hasUnconfirmedStarts = false;
  #counter = 0;
  #lastConfirmationAt = -Infinity;
  /** Each worker reports in this time, having tried other nodes, a second each. */
  readonly #heartbeatWindowMs: number;

  constructor(
    tenure: ShardTenure,
    private readonly context: ControllerContext,
    /** Work for a round. */
    readonly wake: () => void,
  ) {
    this.acquiredAt = context.clock.now();
    const { teams } = tenure;
    this.number = tenure.number;
    this.fencingToken = tenure.fencingToken;
    this.leaseVersion = tenure.leaseVersion;
    this.acquiredRevision = tenure.acquiredRevision;
    const { operator, platform } = context.settings;
    const { report_s, lease_s } = platform.deployment.workers;
    this.#heartbeatWindowMs = report_s * 1250 + TRIES_MS;
    this.teams = new Map(
      platform.deployment.teams.filter((t) => teams.includes(t.name)).map((t) => [t.name, t]),
    );
    this.timing = {
      // A report may come a quarter late, and takes a while to get here.
      heartbeatTimeoutMs: operator.missed_reports * report_s * 1250 + 300,
      unresponsiveReturnMs: (operator.silent_release_s ?? Math.max(4, 4 * report_s)) * 1000,
      leaseMs: lease_s * 1000,
    };
    for (const entry of context.cache.under(PREFIX.job)) this.loadJob(entry.value, entry.version);
    for (const prefix of COMPLETION_PREFIXES) {
      for (const entry of context.cache.under(prefix)) this.#loadDone(entry.key, entry.value, entry.version);
    }
    for (const entry of context.cache.under(PREFIX.machine)) this.loadMachine(entry.key, entry.value);
  }

  /** Whether we may act for the shard at this very moment. */
  get entitled(): boolean {
    return !this.stopped && this.context.session.valid;
  }

  leaseCondition(): Condition {
    return { key: KEY.lease(this.number), version: this.leaseVersion };
  }

  loadJob(value: unknown, version: number): void {
    const record = read.job(value);
    if (!record || !this.teams.has(record.job.team) || this.tables.has(record.job.id)) return;
    this.tables.set(record.job.id, new DispatchTable(record, version));
  }

  #loadDone(key: string, value: unknown, version: number): void {
    const stored = readCompletions(key, value);
    if (stored) this.tables.get(stored.job)?.mergeRecorded(key, stored, version);
  }

  loadMachine(key: string, value: unknown): void {
    const id = key.slice(PREFIX.machine.length);
    if (this.machines.has(id)) return;
    const record = read.machine(value);
    if (record?.block === this.number) this.#addMachine(id, record);
  }

  #addMachine(id: string, record: MachineRecord): void {
    const type = this.context.types().find((t) => t.name === record.type);
    if (!type) return;
    const now = this.context.clock.now();
    const ageMs = Math.max(0, this.context.clock.date().getTime() - record.rentedAt);
    const machine = new Machine(id, record, type, now, now - ageMs, this.usage);
    this.machines.set(id, machine);
    if (!machine.isConfirmed) this.unconfirmed.add(machine);
  }

  confirm(machine: Machine): void {
    machine.isConfirmed = true;
    if (this.unconfirmed.delete(machine)) this.#lastConfirmationAt = this.context.clock.now();
  }

  /**
   * Whether this shard was taken over just now, and the workers of a large fleet are on their way here. Each turn of
   * the event loop accepts but one connection: with rounds, questions and commands going on meanwhile, workers could
   * not get through for ten seconds and more, and lost their leases. So all else waits until they are here, or until no
   * more of them come.
   */
  isAwaitingWorkers(now: number): boolean {
    if (this.unconfirmed.size <= FEW_UNSETTLED) return false;
    return (
      now < this.acquiredAt + this.#heartbeatWindowMs &&
      now < Math.max(this.acquiredAt, this.#lastConfirmationAt) + COME_ON_MS
    );
  }

  nextAttemptCounter(): number {
    this.#counter += 1;
    return this.#counter;
  }

  /** Every machine of the shard is known: it showed our token, or its lease from before has run out. */
  get areAllMachinesConfirmed(): boolean {
    return this.unconfirmed.size === 0 && this.usage.unattributedTasks === 0;
  }

  /** How many machines should report here, and how many of them have not for a while. */
  workerReachability(now: number): { machines: number; unheard: number } {
    const reporting = [...this.machines.values()].filter((machine) => machine.isUp && !machine.isTerminated);
    const unheard = reporting.filter((machine) =>
      machine.hasMissedHeartbeats(now, this.timing.heartbeatTimeoutMs),
    );
    return { machines: reporting.length, unheard: unheard.length };
  }

  #isAccountedFor(machine: Machine): boolean {
    if (!machine.isConfirmed) return false;
    // A task of a job that is over, found after a takeover: whose limit it fills is not known until it is gone.
    for (const attempt of machine.attempts.values())
      if (attempt.team === '' && occupiesResources(attempt)) return false;
    return true;
  }

  isSchedulable(machine: Machine, now: number): boolean {
    return machine.isSchedulable(now, this.timing.leaseMs, this.timing.heartbeatTimeoutMs);
  }

  /** What each team's tasks use, or may use: from before a start leaves until the attempt is known gone. */
  usageByTeam(): Map<string, TeamUsage> {
    const use = this.usage.byTeam();
    if (this.areAllMachinesConfirmed) return use;
    const machines = this.usage.unattributedTasks > 0 ? this.machines.values() : this.unconfirmed;
    let cpus = 0;
    let gpus = 0;
    for (const machine of machines) {
      if (this.#isAccountedFor(machine)) continue;
      cpus += machine.type.cpus;
      gpus += machine.type.gpus;
    }
    const most = this.#maxUnseenUsage();
    for (const name of this.teams.keys()) {
      const team = use.get(name) ?? { cpus: 0, gpus: 0 };
      // What can't be seen yet may all belong to any one team, as far as it has tasks that can't be seen.
      const unseen = most?.get(name) ?? { cpus: most ? 0 : Infinity, gpus: most ? 0 : Infinity };
      use.set(name, {
        cpus: team.cpus + Math.min(cpus, unseen.cpus),
        gpus: team.gpus + Math.min(gpus, unseen.gpus),
      });
    }
    return use;
  }

  /**
   * The most that each team's tasks can use on machines that are not known yet: those of its jobs from before we took
   * the shard that were not found anywhere, and those of jobs that ended lately. Counted in full, the machines of a
   * zone that is cut off would fill every team's limit by themselves. Undefined: nobody here knows which jobs ended.
   */
  #maxUnseenUsage(): Map<string, { cpus: number; gpus: number }> | undefined {
    const most = this.context.endedJobs.usageByTeam();
    if (!most) return undefined;
    for (const { job, unassigned, version } of this.tables.values()) {
      if (version > this.acquiredRevision) continue;
      // Nobody can have started a job while another that it needs was live, and our view is newer than what any owner
      // before us acted on.
      if (this.context.dependencies.waitsForLiveJob(job.id)) continue;
      const sum = most.get(job.team) ?? { cpus: 0, gpus: 0 };
      const { cpus, gpus } = job;
      most.set(job.team, { cpus: sum.cpus + unassigned * cpus, gpus: sum.gpus + unassigned * gpus });
    }
    return most;
  }

  /** Whether all that the job needs is done, by the state service's word. */
  areDependenciesDone(table: DispatchTable): boolean {
    if (table.isReady) return true;
    const { dependencies } = this.context;
    const { id } = table.job;
    if (!dependencies.isReady(id)) return false;
    table.isReady = true;
    table.waitingSince = Math.max(table.submittedAt, dependencies.graph.lastDependencyEndedAt(id) ?? 0);
    return true;
  }

  /** Takes in what has become known of the jobs that need this one. */
  updateUrgency(table: DispatchTable): void {
    table.setChainPriority(this.context.chainUrgency.of(table.job.id)?.priority);
  }

  /**
   * When a job should be done, on the time-of-day clock: its deadline, what the aims say of its class, or the latest
   * end that lets the jobs which need it be in time.
   */
  #dueAt(table: DispatchTable): number {
    const chainDueAt = this.context.chainUrgency.of(table.job.id)?.latestFinishAt;
    const ownDueAt = this.#ownDueAt(table);
    if (ownDueAt !== undefined) return Math.min(ownDueAt, chainDueAt ?? Infinity);
    const usualDueAt = table.waitingSince + USUAL_RUNS * this.runTimes.runS(table.job) * 1000;
    return chainDueAt ?? usualDueAt;
  }

  #ownDueAt({ job, submittedAt, waitingSince }: DispatchTable): number | undefined {
    if (job.deadlineS !== null) return submittedAt + job.deadlineS * 1000;
    const { objectives } = this.context.settings.platform.deployment;
    const within = objectives.find((o) => o.kind === 'finished' && o.class === job.jobClass)?.within_s;
    return within === undefined ? undefined : waitingSince + within * 1000;
  }

  /** How long the job's tasks can still wait and be in time, as far as estimates tell. */
  slackMs(table: DispatchTable): number {
    return this.#dueAt(table) - this.runTimes.runS(table.job) * 1000 - this.context.clock.date().getTime();
  }

  /**
   * How long a job that has tasks waiting can still wait and start in time, by the aims for its class; undefined when
   * there is none that it can still reach.
   */
  startSlackMs(table: DispatchTable): number | undefined {
    const ageMs = this.ageMs(table);
    let least: number | undefined;
    for (const { kind, class: jobClass, within_s } of this.context.settings.platform.deployment.objectives) {
      if (kind !== 'wait' || jobClass !== table.job.jobClass || within_s === undefined) continue;
      const left = within_s * 1000 - ageMs;
      if (left > 0) least = Math.min(least ?? Infinity, left);
    }
    return least;
  }

  get #relayKeys(): string[] {
    return this.context.settings.platform.others.map(({ node }) => KEY.relay(this.number, node));
  }

  /** Whether any node relays leases of this shard's workers, as far as our view goes. */
  get isRelayed(): boolean {
    return this.#relayKeys.some((key) => this.context.cache.get(key) !== undefined);
  }

  /** Whether the state service says that nobody relays, and our view holds all that was relayed before. */
  async confirmNotRelayed(): Promise<boolean> {
    const { store, cache, clock } = this.context;
    const conditions = this.#relayKeys.map((key) => ({ key, version: 0 }));
    const result = await store.compareAndSwap([this.leaseCondition(), ...conditions], []);
    while (result.ok && cache.revision < result.revision && this.entitled) await clock.sleep(20);
    return result.ok && this.entitled;
  }

  /** How long the job has waited for machines. */
  ageMs(table: DispatchTable): number {
    return this.context.clock.date().getTime() - table.waitingSince;
  }
}
