/** @file The state of one shard: its jobs with their tables, its machines, and the owner's right to act. */
import { COMPLETION_PREFIXES, readCompletions } from '../../bookkeeping/completion-records';
import { KEY, PREFIX, read, type MachineRecord } from '../../bookkeeping/records';
import type { Condition } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import type { TeamQuota, TeamUsage } from '../scheduling/team-quota';
import { DispatchTable } from './dispatch-table';
import { JobTiming } from './job-timing';
import { Machine } from './machine';
import { MachineConfirmation } from './machine-confirmation';
import { RelayCheck } from './relay-check';
import { ResourceUsage } from './resource-usage';
import { RunTimeEstimates } from './run-time-estimates';
import { usageByTeam } from './team-usage';

/** In this time a worker tries other controllers, a second each. */
const TRIES_MS = 2_000;

/** Under what an owner holds its shard. */
export interface AcquiredShard {
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

/** Bounds on how long a shard's workers may be silent, in milliseconds. */
interface WorkerTiming {
  readonly heartbeatTimeoutMs: number;
  readonly unresponsiveReleaseMs: number;
  readonly leaseMs: number;
}

/** What a shard's owner knows: jobs with their tables, machines with what they hold, and its right to act. */
export class Shard {
  readonly number: number;
  /** Rises when it is raised; see `FencingTokenRaiser`. */
  fencingToken: number;
  leaseVersion: number;
  readonly acquiredRevision: number;
  readonly machines = new Map<string, Machine>();
  readonly tables = new Map<string, DispatchTable>();
  readonly usage = new ResourceUsage();
  readonly runTimes = new RunTimeEstimates();
  readonly teams: ReadonlyMap<string, TeamQuota>;
  readonly timing: WorkerTiming;
  isStopped = false;
  /** A command ended without showing what became of a start that it carried. */
  hasUnconfirmedStarts = false;
  readonly #confirmation: MachineConfirmation;
  readonly #jobTiming: JobTiming;
  readonly #relayCheck: RelayCheck;
  #attemptCounter = 0;

  constructor(
    acquired: AcquiredShard,
    private readonly context: ControllerContext,
    /** There is work for a round. */
    readonly wake: () => void,
  ) {
    this.number = acquired.number;
    this.fencingToken = acquired.fencingToken;
    this.leaseVersion = acquired.leaseVersion;
    this.acquiredRevision = acquired.acquiredRevision;
    const { operator, platform } = context.settings;
    const { report_s, lease_s } = platform.deployment.workers;
    this.teams = new Map(
      platform.deployment.teams.filter((t) => acquired.teams.includes(t.name)).map((t) => [t.name, t]),
    );
    this.timing = {
      // A heartbeat may come a quarter late, and takes a while to get here.
      heartbeatTimeoutMs: operator.missed_reports * report_s * 1250 + 300,
      unresponsiveReleaseMs: (operator.silent_release_s ?? Math.max(4, 4 * report_s)) * 1000,
      leaseMs: lease_s * 1000,
    };
    this.#confirmation = new MachineConfirmation(context.clock.now(), report_s * 1250 + TRIES_MS);
    this.#jobTiming = new JobTiming(context, this.runTimes);
    this.#relayCheck = new RelayCheck(this, context);
    this.#loadRecords();
  }

  #loadRecords(): void {
    const { cache } = this.context;
    for (const entry of cache.under(PREFIX.job)) this.loadJob(entry.value, entry.version);
    for (const prefix of COMPLETION_PREFIXES) {
      for (const entry of cache.under(prefix)) this.#loadCompletions(entry.key, entry.value, entry.version);
    }
    for (const entry of cache.under(PREFIX.machine)) this.loadMachine(entry.key, entry.value);
  }

  // The right to act.

  /** Whether this controller may act for the shard at this very moment. */
  get entitled(): boolean {
    return !this.isStopped && this.context.session.isValid;
  }

  /** The condition that proves, inside a transaction, that this controller still owns the shard. */
  leaseCondition(): Condition {
    return { key: KEY.lease(this.number), version: this.leaseVersion };
  }

  /** The next number of an attempt within a fencing token. */
  nextAttemptCounter(): number {
    this.#attemptCounter += 1;
    return this.#attemptCounter;
  }

  /** Whether any controller relays leases of this shard's workers, as far as our view goes. */
  get isRelayed(): boolean {
    return this.#relayCheck.isRelayed;
  }

  /** Whether the key-value store says that no controller relays, and our view holds all that was relayed before. */
  confirmNotRelayed(): Promise<boolean> {
    return this.#relayCheck.confirmNotRelayed();
  }

  // Jobs.

  /** Takes in the record of a job, if the job belongs to this shard and is not known yet. */
  loadJob(value: unknown, version: number): void {
    const record = read.job(value);
    if (!record || !this.teams.has(record.job.team) || this.tables.has(record.job.id)) return;
    this.tables.set(record.job.id, new DispatchTable(record, version));
  }

  #loadCompletions(key: string, value: unknown, version: number): void {
    const stored = readCompletions(key, value);
    if (stored) this.tables.get(stored.job)?.mergeRecorded(key, stored, version);
  }

  /** Whether all that the job needs is done, by the key-value store's word. */
  areDependenciesDone(table: DispatchTable): boolean {
    if (table.isReady) return true;
    const { dependencies } = this.context;
    const { id } = table.job;
    if (!dependencies.isReady(id)) return false;
    table.becomeReady(dependencies.graph.lastDependencyEndedAt(id) ?? 0);
    return true;
  }

  /** Takes in what has become known of the jobs that depend on this one. */
  updatePriority(table: DispatchTable): void {
    table.setChainPriority(this.context.chainUrgency.of(table.job.id)?.priority);
  }

  /** How long the job has waited for machines. */
  waitedMs(table: DispatchTable): number {
    return this.#jobTiming.waitedMs(table);
  }

  /** How long the job's tasks can still wait and be in time, as far as estimates tell. */
  slackMs(table: DispatchTable): number {
    return this.#jobTiming.slackMs(table);
  }

  /** How long a job that has tasks waiting can still wait and start in time; undefined when it no longer can. */
  startSlackMs(table: DispatchTable): number | undefined {
    return this.#jobTiming.startSlackMs(table);
  }

  /** What each team's tasks use, or may use: from before a start leaves until the attempt is known gone. */
  usageByTeam(): Map<string, TeamUsage> {
    return usageByTeam(this, this.context);
  }

  // Machines.

  /** Takes in the record of a machine, if the machine belongs to this shard and is not known yet. */
  loadMachine(key: string, value: unknown): void {
    const id = key.slice(PREFIX.machine.length);
    if (this.machines.has(id)) return;
    const record = read.machine(value);
    if (record?.block === this.number) this.#addMachine(id, record);
  }

  #addMachine(id: string, record: MachineRecord): void {
    const type = this.context.types().find(({ name }) => name === record.type);
    if (!type) return;
    const now = this.context.clock.now();
    const ageMs = Math.max(0, this.context.clock.date().getTime() - record.rentedAt);
    const machine = new Machine({
      id,
      record,
      type,
      firstSeenAt: now,
      rentedSince: now - ageMs,
      listener: this.usage,
    });
    this.machines.set(id, machine);
    this.#confirmation.add(machine);
  }

  /** Machines that an earlier owner's starts may still reach: no message of theirs has shown the owner's token. */
  get unconfirmedMachines(): ReadonlySet<Machine> {
    return this.#confirmation.unconfirmed;
  }

  /** Every machine of the shard is confirmed: it showed the owner's token, or its lease from before has expired. */
  get areAllMachinesConfirmed(): boolean {
    return this.unconfirmedMachines.size === 0 && this.usage.unattributedTasks === 0;
  }

  /** Nothing that an earlier owner sent can still start on the machine. */
  confirm(machine: Machine): void {
    this.#confirmation.confirm(machine, this.context.clock.now());
  }

  /** Whether the shard was acquired just now, and the workers of a large fleet are on their way here. */
  isAwaitingWorkers(now: number): boolean {
    return this.#confirmation.isAwaitingWorkers(now);
  }

  /** Whether tasks may be started on the machine. */
  isSchedulable(machine: Machine, now: number): boolean {
    return machine.isSchedulable(now, this.timing.leaseMs, this.timing.heartbeatTimeoutMs);
  }

  /** How many machines should send heartbeats here, and how many of them have not for a while. */
  workerReachability(now: number): { machines: number; unreachable: number } {
    const { heartbeatTimeoutMs } = this.timing;
    const reporting = [...this.machines.values()].filter((machine) => machine.isUp && !machine.isTerminated);
    const unreachable = reporting.filter((machine) => machine.hasMissedHeartbeats(now, heartbeatTimeoutMs));
    return { machines: reporting.length, unreachable: unreachable.length };
  }
}
