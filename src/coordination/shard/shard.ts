/** @file The state of one shard in its owner's memory: jobs with dispatch tables, machines, and the shard lease. */
import type { Uint64 } from '../../base/uint64';
import { COMPLETION_PREFIXES, readCompletions } from '../../bookkeeping/completion-records';
import { KEY, PREFIX, read, type MachineRecord } from '../../bookkeeping/records';
import type { RelayedMachines } from '../../bookkeeping/relay-records';
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

/** Time that a worker may spend on trying other controllers, one second for each. */
const WORKER_RETRY_MS = 2_000;

/** A shard as its owner acquired it. */
export interface AcquiredShard {
  /** The shard's number. */
  readonly number: number;
  readonly teams: readonly string[];
  /** The fencing token that the acquiring transaction issued. */
  readonly fencingToken: number;
  /** The version of the shard's lease, for the conditions of transactions. */
  readonly leaseVersion: Uint64;
  /** The store revision of the transaction that acquired the lease. */
  readonly acquiredRevision: Uint64;
}

/** Timeouts for workers that send no heartbeats, in milliseconds. */
interface WorkerTiming {
  readonly heartbeatTimeoutMs: number;
  readonly unresponsiveReleaseMs: number;
  readonly leaseMs: number;
}

/** The state of a shard in its owner's memory: jobs with dispatch tables, machines with attempts, and its lease. */
export class Shard {
  readonly number: number;
  /** The current fencing token; `FencingTokenRaiser` raises it to invalidate commands that got no response. */
  fencingToken: number;
  leaseVersion: Uint64;
  readonly acquiredRevision: Uint64;
  readonly machines = new Map<string, Machine>();
  readonly tables = new Map<string, DispatchTable>();
  readonly usage = new ResourceUsage();
  readonly runTimes = new RunTimeEstimates();
  readonly teams: ReadonlyMap<string, TeamQuota>;
  readonly timing: WorkerTiming;
  isStopped = false;
  /** Whether a start command may have got no response, so that its attempt is unconfirmed. */
  hasUnconfirmedStarts = false;
  readonly #confirmation: MachineConfirmation;
  readonly #jobTiming: JobTiming;
  readonly #relayCheck: RelayCheck;
  #attemptCounter = 0;

  constructor(
    acquired: AcquiredShard,
    private readonly context: ControllerContext,
    /** Requests a scheduling round. */
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
      // A heartbeat may be late by a quarter of its interval, and 300 ms allow for its delivery.
      heartbeatTimeoutMs: operator.missed_reports * report_s * 1250 + 300,
      unresponsiveReleaseMs: (operator.silent_release_s ?? Math.max(4, 4 * report_s)) * 1000,
      leaseMs: lease_s * 1000,
    };
    this.#confirmation = new MachineConfirmation(context.clock.now(), report_s * 1250 + WORKER_RETRY_MS);
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

  /** Whether the owner may act for the shard now: it is not stopped, and the controller's session is valid. */
  get entitled(): boolean {
    return !this.isStopped && this.context.session.isValid;
  }

  /** The condition by which a transaction succeeds only while this owner still holds the shard's lease. */
  leaseCondition(): Condition {
    return { key: KEY.lease(this.number), version: this.leaseVersion };
  }

  /** The next attempt counter; combined with the fencing token it gives a unique attempt number. */
  nextAttemptCounter(): number {
    this.#attemptCounter += 1;
    return this.#attemptCounter;
  }

  /** The machines whose worker leases other controllers may renew, according to the watch cache. */
  get relayedMachines(): RelayedMachines {
    return this.#relayCheck.relayedMachines;
  }

  /** Whether the key-value store confirms the relay records of the watch cache; see `RelayCheck`. */
  confirmRelayRecords(): Promise<boolean> {
    return this.#relayCheck.confirmRelayRecords();
  }

  /** Adds the job of this record, if it belongs to this shard and is not known yet. */
  loadJob(value: unknown, version: Uint64): void {
    const record = read.job(value);
    if (!record || !this.teams.has(record.job.team) || this.tables.has(record.job.id)) return;
    this.tables.set(record.job.id, new DispatchTable(record, version));
  }

  #loadCompletions(key: string, value: unknown, version: Uint64): void {
    const stored = readCompletions(key, value);
    if (stored) this.tables.get(stored.job)?.mergeRecorded(key, stored, version);
  }

  /** Whether all dependencies of the job are recorded as done. */
  areDependenciesDone(table: DispatchTable): boolean {
    if (table.isReady) return true;
    const { dependencies } = this.context;
    const { id } = table.job;
    if (!dependencies.isReady(id)) return false;
    table.becomeReady(dependencies.graph.lastDependencyEndedAt(id) ?? 0);
    return true;
  }

  /** Updates the job's priority from those of the jobs that depend on it. */
  updatePriority(table: DispatchTable): void {
    table.setChainPriority(this.context.chainUrgency.of(table.job.id)?.priority);
  }

  /** Time for which the job has been waiting for machines. */
  waitedMs(table: DispatchTable): number {
    return this.#jobTiming.waitedMs(table);
  }

  /** Time for which the job's tasks can still wait without missing the job's due time, by their estimated run time. */
  slackMs(table: DispatchTable): number {
    return this.#jobTiming.slackMs(table);
  }

  /** Time left until the job misses its next wait objective; undefined if none is left. */
  startSlackMs(table: DispatchTable): number | undefined {
    return this.#jobTiming.startSlackMs(table);
  }

  /** Resources that each team's attempts occupy, including what they may occupy on unconfirmed machines. */
  usageByTeam(): Map<string, TeamUsage> {
    return usageByTeam(this, this.context);
  }

  /** Adds the machine of this record, if it belongs to this shard and is not known yet. */
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

  /** Machines whose workers may still execute earlier owners' start commands: they have not seen this owner's token. */
  get unconfirmedMachines(): ReadonlySet<Machine> {
    return this.#confirmation.unconfirmed;
  }

  /** Whether all machines are confirmed (token seen or lease expired) and the teams of all attempts are known. */
  get areAllMachinesConfirmed(): boolean {
    return this.unconfirmedMachines.size === 0 && this.usage.unattributedTasks === 0;
  }

  /** Records that no start command of an earlier owner can take effect on the machine any more. */
  confirm(machine: Machine): void {
    this.#confirmation.confirm(machine, this.context.clock.now());
  }

  /** Whether the shard was just acquired and many of its workers have not sent a heartbeat to this owner yet. */
  isAwaitingWorkers(now: number): boolean {
    return this.#confirmation.isAwaitingWorkers(now);
  }

  /** Whether tasks may be started on the machine. */
  isSchedulable(machine: Machine, now: number): boolean {
    return machine.isSchedulable(now, this.timing.leaseMs, this.timing.heartbeatTimeoutMs);
  }

  /** Whether the machine is up, but has missed its heartbeats. */
  isSilent(machine: Machine, now: number): boolean {
    const isUp = machine.isUp && !machine.isTerminated;
    return isUp && machine.hasMissedHeartbeats(now, this.timing.heartbeatTimeoutMs);
  }

  /** Number of machines that are up, and how many of them have missed their heartbeats. */
  workerReachability(now: number): { machines: number; unreachable: number } {
    const upMachines = [...this.machines.values()].filter((machine) => machine.isUp && !machine.isTerminated);
    const unreachable = upMachines.filter((machine) => this.isSilent(machine, now));
    return { machines: upMachines.length, unreachable: unreachable.length };
  }
}
