import { Wake } from '../base/clock';
import { describe, runLoop } from '../base/loop';
import { KEY, PREFIX, read, type MachineRecord } from '../bookkeeping/records';
import type { JobProgress } from '../protocol/peers';
import type { Event, Guard } from '../protocol/state';
import { attemptKey, PRIORITY_RANK, type Job, type Order, type Report } from '../protocol/model';
import { sendCommand } from './commands';
import type { Deps } from './deps';
import { DispatchTable } from './dispatch-table';
import { eagerCandidates } from './eager';
import { Estimates } from './estimates';
import type { FleetInput, FleetMachine, RentOption } from './fleet';
import { FleetManager } from './fleet-manager';
import { Health } from './health';
import { attemptNumber, holdsRoom, issueToken, Machine, ranS, type Attempt, type Change } from './machine';
import {
  fits,
  mayUse,
  order,
  place,
  type Placement,
  type RoomyMachine,
  type TeamLimits,
  type TeamUse,
  type Turn,
  type WaitingJob,
} from './placement';
import { choosePreemptions, stopCost, type CrowdedMachine } from './preemption';
import { Recorder } from './recorder';

const TICK_MS = 250;
const EVENTS_GATHER_MS = 4;
const MAX_ORDERS = 200;
/** Between two raises of the token: when an unanswered start is in doubt, and for mere forgetting. */
const RAISE_IN_DOUBT_MS = 1_000;
const RAISE_TO_FORGET_MS = 8_000;
const AVOID_MS = 2_000;
const UNKNOWN_JOB_PAUSE_MS = 1_000;
/** A machine that stays silent although it may be a cut of ours is given up this long after its lease's end. */
const GIVE_UP_AFTER_LEASE_MS = 20_000;
const NOTICE_MARGIN_MS = 1_500;
/** A task that should end this soon is not stopped for others. */
const NEARLY_DONE_S = 5;
const SUMMARY_MS = 10_000;
const PROBE_EVERY_MS = 1_000;
/** How long a machine may hold up a block that was taken over before it is returned. */
const HELD_UP_MS = 5_000;

/**
 * The owner of one block. It holds what is wanted (jobs) and what is (machines and their attempts), and works out the
 * difference in rounds. It acts only while the session is valid.
 */
export class BlockOwner {
  readonly machines = new Map<string, Machine>();
  readonly tables = new Map<string, DispatchTable>();
  readonly #teams: ReadonlyMap<string, TeamLimits>;
  readonly #health = new Health();
  readonly #estimates = new Estimates();
  readonly #recorder: Recorder;
  readonly #fleet: FleetManager;
  readonly #wake: Wake;
  readonly #stop = new AbortController();
  readonly #upWrites = new Map<string, Promise<boolean>>();
  #counter = 0;
  #raisedAt: number;
  #cursor = 0;
  #unplaced = new Map<string, number>();
  #complete = false;
  #summedUpAt = -Infinity;

  constructor(
    readonly block: number,
    teams: readonly string[],
    private token: number,
    private leaseVersion: number,
    private readonly takenRevision: number,
    private readonly deps: Deps,
  ) {
    const all = deps.settings.platform.deployment.teams;
    this.#teams = new Map(all.filter((t) => teams.includes(t.name)).map((t) => [t.name, t]));
    this.#wake = new Wake(deps.clock);
    this.#raisedAt = deps.clock.now();
    this.#recorder = new Recorder(this, deps);
    this.#fleet = new FleetManager(this, deps);
    for (const entry of deps.cache.under(PREFIX.job)) this.#loadJob(entry.value, entry.version);
    for (const entry of deps.cache.under(PREFIX.done)) this.#loadDone(entry.key, entry.value, entry.version);
    for (const entry of deps.cache.under(PREFIX.machine)) this.#loadMachine(entry.key, entry.value);
    deps.log.info({ block, token, jobs: this.tables.size, machines: this.machines.size }, 'block taken over');
  }

  start(): void {
    const signal = this.#stop.signal;
    const loop = (name: string, step: () => Promise<void>): void => {
      void runLoop(`${name} of block ${this.block}`, step, {
        clock: this.deps.clock,
        log: this.deps.log,
        signal,
      });
    };
    loop('rounds', () => this.#step(signal));
    loop('records', () => this.#recorder.step(signal));
    loop('renting', () => this.#fleet.rentStep(signal));
    loop('returning', () => this.#fleet.returnStep(signal));
    for (const machine of this.machines.values()) if (machine.up) this.#command(machine, true);
    this.#wake.wake();
  }

  stop(why: string): void {
    if (this.#stop.signal.aborted) return;
    this.#stop.abort();
    this.deps.log.info({ block: this.block, token: this.token, why }, 'block given up');
  }

  get stopped(): boolean {
    return this.#stop.signal.aborted;
  }

  /** Whether we may act for the block at this very moment. */
  get entitled(): boolean {
    return !this.stopped && this.deps.session.valid;
  }

  leaseGuard(): Guard {
    return { key: KEY.lease(this.block), version: this.leaseVersion };
  }

  // What the state service tells us.

  onChange(event: Event): void {
    const { key } = event;
    if (key.startsWith(PREFIX.job)) {
      if (event.deleted) this.closeJob(key.slice(PREFIX.job.length));
      else this.#loadJob(event.value, event.version);
      this.#wake.wake();
    } else if (key.startsWith(PREFIX.machine)) {
      if (event.deleted) this.#removeMachine(key.slice(PREFIX.machine.length));
      else this.#loadMachine(key, event.value);
    } else if (key === KEY.lease(this.block)) {
      const lease = event.deleted ? undefined : read.lease(event.value);
      // Our own raise of the token may come back here before its answer does, or instead of it.
      if (lease?.owner === this.deps.node && lease.token >= this.token) {
        this.token = lease.token;
        this.leaseVersion = event.version;
      } else if (event.version > this.leaseVersion) {
        this.stop('its lease is gone');
      }
    }
  }

  #loadJob(value: unknown, version: number): void {
    const record = read.job(value);
    if (!record || !this.#teams.has(record.job.team) || this.tables.has(record.job.id)) return;
    this.tables.set(record.job.id, new DispatchTable(record, version));
  }

  #loadDone(key: string, value: unknown, version: number): void {
    const [id, chunk] = key.slice(PREFIX.done.length).split('/');
    const bits = read.done(value)?.bits;
    const table = this.tables.get(id ?? '');
    if (bits !== undefined) table?.mergeRecorded(Number(chunk), bits, version);
  }

  #loadMachine(key: string, value: unknown): void {
    const id = key.slice(PREFIX.machine.length);
    const record = read.machine(value);
    const type = this.deps.types().find((t) => t.name === record?.type);
    if (record?.block !== this.block || !type || this.machines.has(id)) return;
    const now = this.deps.clock.now();
    const ageMs = Math.max(0, this.deps.clock.date().getTime() - record.rentedAt);
    this.machines.set(id, new Machine(id, record, type, now, now - ageMs));
  }

  #removeMachine(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.#apply(machine, machine.dropAll());
    this.machines.delete(id);
  }

  closeJob(id: string): void {
    if (!this.tables.delete(id)) return;
    for (const machine of this.machines.values()) {
      let touched = false;
      for (const attempt of machine.attempts.values()) {
        if (attempt.job !== id) continue;
        this.#want(attempt, 0);
        touched = true;
      }
      if (touched) this.#command(machine);
    }
    this.#wake.wake();
  }

  recordedMore(): void {
    this.#wake.wake();
  }

  // What workers tell us.

  /** Takes a report; returns the answer's token and orders, or undefined if we are not entitled to answer. */
  async report(report: Report): Promise<{ token: number; orders: Order[] } | undefined> {
    const machine = this.machines.get(report.machine);
    if (!machine || !this.entitled) return undefined;
    if (!machine.up && !(await this.#setUp(machine, report))) return undefined;
    if (!this.entitled || this.machines.get(machine.id) !== machine) return undefined;
    this.#absorb(machine, report);
    const orders = this.#orders(machine, false);
    // Counted from now, which is later than when the worker sent the report: its own lease ends before ours of it.
    machine.answeredAt = this.deps.clock.now();
    return { token: this.token, orders };
  }

  /** Before a machine gets its first answer it is recorded as up: a takeover then knows that it may hold tasks. */
  #setUp(machine: Machine, report: Report): Promise<boolean> {
    const pending = this.#upWrites.get(machine.id);
    if (pending) return pending;
    const key = KEY.machine(machine.id);
    const write = async (): Promise<boolean> => {
      try {
        const value: MachineRecord = { ...machine.record, address: report.address, up: true };
        const guards = [this.leaseGuard(), { key, version: this.deps.cache.version(key) }];
        const result = await this.deps.store.txn(guards, [{ put: key, value }]);
        if (!result.ok) return false;
        machine.up = true;
        machine.record.address = report.address;
        machine.idleSince = this.deps.clock.now();
        const ageS = Math.round((machine.idleSince - machine.knownSince) / 1000);
        this.deps.log.info(
          { machine: machine.id, type: machine.type.name, zone: machine.record.zone, ageS },
          'machine up',
        );
        return true;
      } catch (error) {
        this.deps.log.info(
          { machine: machine.id, err: describe(error) },
          'machine could not be recorded as up',
        );
        return false;
      } finally {
        this.#upWrites.delete(machine.id);
      }
    };
    const started = write();
    this.#upWrites.set(machine.id, started);
    return started;
  }

  #absorb(machine: Machine, report: Report): void {
    const now = this.deps.clock.now();
    const silentBefore = machine.heardAt === undefined || now - machine.heardAt > this.#missedMs;
    const changes = machine.absorb(report, now, (job) => this.#describe(job));
    if (report.token > this.token) {
      this.deps.log.warn(
        { machine: machine.id, seen: report.token, token: this.token },
        'a worker saw a higher token',
      );
    }
    if (!machine.settled && machine.tokenSeen >= this.token) {
      machine.settled = true;
      this.deps.log.debug({ machine: machine.id, attempts: machine.attempts.size }, 'machine settled');
      this.#wake.wake();
    }
    if (silentBefore) this.#wake.wake();
    if (machine.leaving === 'silent' && !machine.releasing) machine.leaving = undefined;
    this.#apply(machine, changes);
  }

  #describe(id: string): { needs: Job; team: string; image: string } | UnknownNeeds {
    const job = this.tables.get(id)?.job;
    return job ? { needs: job, team: job.team, image: job.image } : NO_NEEDS;
  }

  #apply(machine: Machine, changes: readonly Change[]): void {
    for (const { kind, attempt } of changes) {
      const table = this.tables.get(attempt.job);
      if (kind === 'found') this.#found(machine, attempt, table);
      else if (kind === 'exited') this.#exited(machine, attempt, table);
      else if (kind === 'gone' && table) this.#lost(table, attempt);
    }
    if (changes.length > 0) {
      if (!machine.busy) machine.idleSince = this.deps.clock.now();
      this.#wake.wake();
    }
  }

  #found(machine: Machine, attempt: Attempt, table: DispatchTable | undefined): void {
    if (attempt.phase === 'exited') return;
    if (!table) {
      this.#want(attempt, 0);
    } else if (
      !table.issued.has(attempt.task) &&
      !table.isDone(attempt.task) &&
      attempt.task < table.job.tasks
    ) {
      table.issue(attempt.task, machine.id, attempt.key);
    }
  }

  /**
   * The attempt is no more. Its task is issued again only if no other attempt of it is left anywhere: after a
   * takeover a report that was held up may show one that has long been replaced, and what the table then held for
   * the task was the wrong one of two.
   */
  #lost(table: DispatchTable, attempt: Attempt): void {
    if (!table.lost(attempt.task, attempt.key)) return;
    for (const machine of this.machines.values()) {
      for (const other of machine.attempts.values()) {
        if (other.job !== attempt.job || other.task !== attempt.task || !holdsRoom(other)) continue;
        if (other.key === attempt.key) continue;
        table.issue(other.task, machine.id, other.key);
        return;
      }
    }
  }

  /** Once every machine is known, attempts that nobody has any use for are stopped. */
  #stopSurplus(): void {
    if (!this.#allSettled) return;
    for (const machine of this.machines.values()) {
      for (const attempt of machine.attempts.values()) {
        const table = this.tables.get(attempt.job);
        if (attempt.stop || !holdsRoom(attempt) || !table) continue;
        if (table.issued.get(attempt.task)?.key !== attempt.key) this.#want(attempt, 0);
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
          this.#estimates.learn(table.job, (now - attempt.runningSince) / 1000);
        this.#recorder.wake();
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
      machine.avoidUntil = now + AVOID_MS;
    } else if (cause === 'unknown') {
      table.retryAt = now + UNKNOWN_JOB_PAUSE_MS;
    }
  }

  #want(attempt: Attempt, graceS: number): void {
    if (attempt.phase === 'exited') return;
    if (attempt.stop && attempt.stop.graceS <= graceS) return;
    attempt.stop = { graceS, since: this.deps.clock.now() };
  }

  // Orders: the difference between what is wanted of a machine and what is on it.

  #orders(machine: Machine, withStarts: boolean): Order[] {
    const orders: Order[] = [];
    for (const attempt of machine.attempts.values()) {
      if (orders.length >= MAX_ORDERS) break;
      const { job, task, attempt: number } = attempt;
      if (attempt.phase === 'exited') {
        const table = this.tables.get(job);
        // A completion is forgotten only once it is recorded: until then the worker is who remembers it.
        const settled = attempt.cause !== 'done' || !table || table.recorded.has(task);
        if (settled && machine.mayForget(attempt)) orders.push({ op: 'forget', job, task, attempt: number });
      } else if (attempt.stop) {
        const saving = attempt.phase === 'saving' && attempt.stop.graceS > 0;
        if (attempt.posted && !saving) {
          orders.push({ op: 'stop', job, task, attempt: number, graceS: attempt.stop.graceS });
        }
      } else if (withStarts && !attempt.posted) {
        orders.push({ op: 'start', job, task, attempt: number });
      }
    }
    return orders;
  }

  /** Sends the difference straight to the worker; with `probe` also when there is none, to settle it. */
  #command(machine: Machine, probe = false): void {
    if (machine.commandOut || machine.record.address === '' || !this.entitled) return;
    for (const attempt of [...machine.attempts.values()]) {
      // A start that has not left and is no longer wanted never will. Nor will one that was numbered under an
      // earlier token: its number must name the token that it is sent with, for that is what ends all doubt about it.
      if (!attempt.posted && (attempt.stop || issueToken(attempt.attempt) !== this.token))
        this.#apply(machine, this.#neverStarted(machine, attempt.key));
    }
    const orders = this.#orders(machine, true);
    if (orders.length === 0 && !probe) return;
    const starts = [...machine.attempts.values()].filter((a) => !a.posted && !a.stop);
    const sent = starts.slice(0, orders.filter((o) => o.op === 'start').length);
    for (const attempt of sent) {
      attempt.posted = true;
      attempt.inFlight = true;
    }
    machine.commandOut = true;
    const { token } = this;
    const { session } = machine;
    void sendCommand(this.deps.workers, machine.record.address, token, session, orders)
      .then((result) => {
        machine.commandOut = false;
        if (this.machines.get(machine.id) !== machine) return;
        for (const attempt of sent) attempt.inFlight = false;
        if (result.kind === 'done' || result.kind === 'refused') {
          if (result.report) this.#absorb(machine, result.report);
        }
        if (result.kind === 'refused' || result.kind === 'not sent') {
          for (const attempt of sent) this.#apply(machine, this.#neverStarted(machine, attempt.key));
          machine.avoidUntil = this.deps.clock.now() + (result.kind === 'refused' ? 0 : AVOID_MS);
        }
        if (result.kind === 'unknown' || result.kind === 'not sent') {
          this.deps.log.debug(
            { machine: machine.id, orders: orders.length, result: result.kind },
            'command unanswered',
          );
          if (result.kind === 'unknown') machine.avoidUntil = this.deps.clock.now() + AVOID_MS;
          // What was placed here meanwhile goes elsewhere: the machine may be hanging.
          const waiting = [...machine.attempts.values()].filter((a) => !a.posted);
          for (const attempt of waiting) this.#apply(machine, this.#neverStarted(machine, attempt.key));
          this.#wake.wake();
          return;
        }
        // The first command to a machine whose session we did not know yet is refused; the answer tells it.
        const again = probe && !machine.settled && machine.session !== session;
        this.#command(machine, again);
      })
      .catch((error: unknown) => {
        this.deps.log.error({ machine: machine.id, err: describe(error) }, 'a command failed');
      });
  }

  /** A machine that has not shown our token yet is asked directly, for its report may be on its way elsewhere. */
  #probeDue(machine: Machine, now: number): boolean {
    if (machine.settled || !machine.up || now - machine.probedAt < PROBE_EVERY_MS) return false;
    machine.probedAt = now;
    return true;
  }

  #neverStarted(machine: Machine, key: string): Change[] {
    const change = machine.neverStarted(key);
    return change ? [change] : [];
  }

  // Rounds.

  get #missedMs(): number {
    const { operator, platform } = this.deps.settings;
    // A report may come a quarter late, and takes a while to get here.
    return operator.missed_reports * platform.deployment.workers.report_s * 1250 + 300;
  }

  get #silentReleaseMs(): number {
    const { operator, platform } = this.deps.settings;
    return (operator.silent_release_s ?? Math.max(4, 4 * platform.deployment.workers.report_s)) * 1000;
  }

  get #leaseMs(): number {
    return this.deps.settings.platform.deployment.workers.lease_s * 1000;
  }

  /** Every machine of the block is known: it reported to us, or its lease from before has run out. */
  get #allSettled(): boolean {
    for (const machine of this.machines.values()) if (!this.#isKnown(machine)) return false;
    return true;
  }

  #isKnown(machine: Machine): boolean {
    if (!machine.settled) return false;
    // A task of a job that is over, found after a takeover: whose limit it fills is not known until it is gone.
    for (const attempt of machine.attempts.values())
      if (attempt.team === '' && holdsRoom(attempt)) return false;
    return true;
  }

  async #step(signal: AbortSignal): Promise<void> {
    await this.#wake.wait(TICK_MS);
    await this.deps.clock.sleep(EVENTS_GATHER_MS, signal);
    if (signal.aborted || !this.entitled) return;
    const now = this.deps.clock.now();
    this.#expire(now);
    this.#stopSurplus();
    this.#heedNotices(now);
    this.#placeAndPreempt(now);
    this.#eager(now);
    this.#retire(now);
    for (const machine of this.machines.values()) this.#command(machine, this.#probeDue(machine, now));
    await this.#raiseIfNeeded(now);
    if (now - this.#summedUpAt >= SUMMARY_MS) {
      this.#summedUpAt = now;
      this.#sumUp(now);
    }
  }

  /** One line every now and then, by which an operator sees how the block does. */
  #sumUp(now: number): void {
    const sum = {
      machines: 0,
      booting: 0,
      unusable: 0,
      spot: 0,
      cpus: 0,
      usedCpus: 0,
      runningCpus: 0,
      waiting: 0,
      unplaced: 0,
    };
    for (const m of this.machines.values()) {
      sum.machines += 1;
      if (m.record.spot) sum.spot += 1;
      sum.cpus += m.type.cpus;
      if (!m.up) sum.booting += 1;
      else if (!this.#usable(m, now)) sum.unusable += 1;
      for (const a of m.attempts.values()) {
        if (!holdsRoom(a)) continue;
        sum.usedCpus += a.needs.cpus;
        if (a.phase === 'running') sum.runningCpus += a.needs.cpus;
      }
    }
    for (const table of this.tables.values()) sum.waiting += table.unassigned;
    for (const count of this.#unplaced.values()) sum.unplaced += count;
    this.deps.log.info({ block: this.block, jobs: this.tables.size, ...sum }, 'block');
  }

  #expire(now: number): void {
    for (const machine of this.machines.values()) {
      if (now <= machine.deadAt(this.#leaseMs)) continue;
      if (machine.settled && machine.attempts.size === 0) continue;
      // Its worker has killed and forgotten all it had: nobody can have answered it since.
      this.deps.log.info(
        { machine: machine.id, attempts: machine.attempts.size },
        'lease of a silent machine ran out',
      );
      const changes = machine.dropAll();
      machine.settled = true;
      this.#apply(machine, changes);
    }
  }

  #heedNotices(now: number): void {
    for (const machine of this.machines.values()) {
      if (machine.noticeUntil === undefined) continue;
      machine.leaving ??= 'notice';
      for (const attempt of machine.attempts.values()) {
        const table = this.tables.get(attempt.job);
        if (!table || attempt.stop || !holdsRoom(attempt)) continue;
        const leftMs = machine.noticeUntil - now;
        const neededMs = (this.#estimates.runS(table.job) - ranS(attempt, now)) * 1000;
        const fetching = attempt.phase !== 'running';
        if (!fetching && neededMs < leftMs - NOTICE_MARGIN_MS) continue;
        const { checkpointS, saveS } = table.job;
        const graceS = checkpointS > 0 && !fetching ? saveS : 0;
        // A task that can save works on until just before it must; any other is issued again at once.
        if (graceS > 0 && leftMs > saveS * 1000 + 2 * NOTICE_MARGIN_MS) continue;
        this.#want(attempt, graceS);
      }
    }
  }

  #usable(machine: Machine, now: number): boolean {
    return machine.mayStart(now, this.#leaseMs, this.#missedMs);
  }

  /** What each team's tasks use, or may use: from before a start leaves until the attempt is known gone. */
  #use(): Map<string, TeamUse> {
    const use = new Map<string, { cpus: number; gpus: number }>();
    for (const machine of this.machines.values()) {
      for (const attempt of machine.attempts.values()) {
        if (!holdsRoom(attempt)) continue;
        const team = use.get(attempt.team) ?? { cpus: 0, gpus: 0 };
        team.cpus += attempt.needs.cpus;
        team.gpus += attempt.needs.gpus;
        use.set(attempt.team, team);
      }
    }
    // What can't be seen yet may all belong to any one team.
    for (const machine of this.machines.values()) {
      if (this.#isKnown(machine)) continue;
      for (const name of this.#teams.keys()) {
        const team = use.get(name) ?? { cpus: 0, gpus: 0 };
        use.set(name, { cpus: team.cpus + machine.type.cpus, gpus: team.gpus + machine.type.gpus });
      }
    }
    return use;
  }

  #waitingJobs(now: number): WaitingJob[] {
    const allSettled = this.#allSettled;
    const zones = new Map<string, Map<string, number>>();
    for (const machine of this.machines.values()) {
      for (const attempt of machine.attempts.values()) {
        if (!holdsRoom(attempt)) continue;
        const count = zones.get(attempt.job) ?? new Map<string, number>();
        count.set(machine.record.zone, (count.get(machine.record.zone) ?? 0) + 1);
        zones.set(attempt.job, count);
      }
    }
    const waiting: WaitingJob[] = [];
    for (const table of this.tables.values()) {
      if (table.unassigned === 0 || table.retryAt > now) continue;
      const { job } = table;
      // A task may still be on a machine that we have not heard of since we took the block. Only a job that was
      // accepted after we took it can't be; what its team may use there is counted against its limit.
      if (!allSettled && table.version <= this.takenRevision) continue;
      waiting.push({
        job,
        waiting: table.unassigned,
        zones: zones.get(job.id) ?? NO_ZONES,
        slackMs: this.#slackMs(table),
        work: table.remaining * job.cpus * this.#estimates.runS(job),
        avoid: table.errorMachines,
        runS: this.#estimates.runS(job),
      });
    }
    return waiting;
  }

  #busyForS(machine: Machine, now: number): number {
    let longest = 0;
    for (const attempt of machine.attempts.values()) {
      const table = this.tables.get(attempt.job);
      if (!table || !holdsRoom(attempt) || attempt.stop) continue;
      longest = Math.max(longest, this.#estimates.runS(table.job) - ranS(attempt, now), 1);
    }
    return longest;
  }

  /** When a job should be done, on the time-of-day clock: its deadline, or what the aims say of its class. */
  #dueAt(table: DispatchTable): number {
    const { job } = table;
    if (job.deadlineS !== null) return table.submittedAt + job.deadlineS * 1000;
    const { objectives } = this.deps.settings.platform.deployment;
    const within = objectives.find((o) => o.kind === 'finished' && o.class === job.jobClass)?.within_s;
    return table.submittedAt + (within ?? 4 * this.#estimates.runS(job)) * 1000;
  }

  /** How long the job's tasks can still wait and be in time, as far as estimates tell. */
  #slackMs(table: DispatchTable): number {
    return this.#dueAt(table) - this.#estimates.runS(table.job) * 1000 - this.deps.clock.date().getTime();
  }

  #placeAndPreempt(now: number): void {
    const jobs = this.#waitingJobs(now);
    if (jobs.length === 0) {
      this.#unplaced.clear();
      this.#complete = true;
      this.#cursor = 0;
      return;
    }
    const use = this.#use();
    const turns = order(jobs, this.#teams);
    const usable = [...this.machines.values()].filter((m) => this.#usable(m, now));
    const machines: RoomyMachine[] = usable.map((m) => ({
      id: m.id,
      type: m.type,
      zone: m.record.zone,
      spot: m.record.spot,
      free: m.free(),
      images: m.images,
      busyForS: this.#busyForS(m, now),
    }));
    const from = this.#cursor < turns.length ? this.#cursor : 0;
    const endAt = this.deps.clock.now() + this.deps.settings.operator.round_budget_ms;
    const result = place(
      { turns, machines, teams: this.#teams, use, from },
      () => this.deps.clock.now() > endAt,
    );
    for (const placement of result.placements) this.#issue(placement, now);
    if (from === 0) this.#unplaced = result.unplaced;
    else for (const [job, count] of result.unplaced) this.#unplaced.set(job, count);
    this.#cursor = result.cursor ?? 0;
    this.#complete = result.cursor === undefined;
    if (result.cursor !== undefined) {
      this.#wake.wake();
      return;
    }
    this.#preempt(turns, usable, now);
  }

  #issue({ job, machine: id }: Placement, now: number): void {
    const table = this.tables.get(job);
    const machine = this.machines.get(id);
    const task = table?.nextUnassigned() ?? -1;
    if (!table || !machine || task < 0) return;
    this.#counter += 1;
    const number = attemptNumber(this.token, this.#counter);
    const key = attemptKey(job, task, number);
    machine.attempts.set(key, {
      ...{ key, job, task, attempt: number, needs: table.job, team: table.job.team, image: table.job.image },
      ...{ phase: 'sent', cause: null, saved: false, sentAt: now, runningSince: undefined },
      ...{ posted: false, inFlight: false, stop: undefined },
    });
    machine.images.set(table.job.image, now);
    table.issue(task, machine.id, key);
    this.deps.log.debug({ job, task, machine: id, attempt: number }, 'task issued');
  }

  #preempt(turns: readonly Turn[], usable: readonly Machine[], now: number): void {
    const unplaced = turns
      .filter((turn) => !turn.owed)
      .map(({ waiting }) => ({ waiting, count: this.#unplaced.get(waiting.job.id) ?? 0 }))
      .filter(({ count }) => count > 0);
    if (unplaced.length === 0) return;
    const machines: CrowdedMachine[] = usable.map((m) => ({
      id: m.id,
      type: m.type,
      zone: m.record.zone,
      spot: m.record.spot,
      free: m.free(),
      tasks: [...m.attempts.values()].flatMap((a) => {
        const job = this.tables.get(a.job)?.job;
        // What was issued a moment ago is left alone: stopping it would only chase tasks about.
        if (!job || !holdsRoom(a) || a.phase === 'sent') return [];
        const ran = ranS(a, now);
        // It will have made room by itself before a stop would pay.
        if (this.#estimates.runS(job) - ran < job.saveS + NEARLY_DONE_S && a.runningSince !== undefined)
          return [];
        const { lossS } = stopCost(job, ran);
        return [{ key: a.key, job, lossS, stopping: a.stop !== undefined }];
      }),
    }));
    const victims = new Set(choosePreemptions({ unplaced, machines, teams: this.#teams, use: this.#use() }));
    for (const machine of usable) {
      for (const attempt of machine.attempts.values()) {
        if (!victims.has(attempt.key)) continue;
        const job = this.tables.get(attempt.job)?.job;
        this.#want(attempt, job ? stopCost(job, ranS(attempt, now)).graceS : 0);
        this.deps.log.debug(
          { job: attempt.job, task: attempt.task, machine: machine.id },
          'stopped for others',
        );
      }
    }
  }

  /**
   * Eager scheduling: the tasks of a machine that misses reports are stopped and issued again, into room that no
   * waiting task can use. The stop is confirmed by the worker, by the end of its lease, or by returning the machine.
   */
  #eager(now: number): void {
    const up = [...this.machines.values()].filter((m) => m.up && !m.releasing);
    const { candidates, release } = eagerCandidates({
      machines: up.map((m) => ({
        id: m.id,
        zone: m.record.zone,
        heardAt: m.heardAt ?? m.firstSeenAt,
        busy: m.busy,
        // All that waits in the block waits for it: it was asked directly again and again, and gave no answer.
        holdsUp: !m.settled,
      })),
      now,
      missedMs: this.#missedMs,
      releaseMs: this.#silentReleaseMs,
      heldUpMs: HELD_UP_MS,
    });
    for (const id of release) {
      const machine = this.machines.get(id);
      if (machine) machine.leaving ??= 'silent';
    }
    if (!this.#complete || this.#unplaced.size > 0) return;
    const rooms = [...this.machines.values()]
      .filter((m) => this.#usable(m, now))
      .map((m) => ({ m, room: m.free() }));
    for (const id of candidates) {
      const machine = this.machines.get(id);
      for (const attempt of machine?.attempts.values() ?? []) {
        const job = this.tables.get(attempt.job)?.job;
        if (!job || attempt.stop || !holdsRoom(attempt)) continue;
        const found = rooms.find(
          ({ m, room }) =>
            fits(job, room) && mayUse(job, { type: m.type, zone: m.record.zone, spot: m.record.spot }),
        );
        if (!found) continue;
        found.room.cpus -= job.cpus;
        found.room.gpus -= job.gpus;
        found.room.memoryGb -= job.memoryGb;
        this.deps.log.info({ job: job.id, task: attempt.task, machine: id }, 'eager re-issue: stop first');
        this.#want(attempt, job.checkpointS > 0 ? job.saveS : 0);
      }
    }
  }

  /** Machines that are of no more use. */
  #retire(now: number): void {
    const lateFactor = this.deps.settings.operator.late_boot_factor;
    for (const machine of this.machines.values()) {
      if (machine.leaving !== undefined) continue;
      const lateAt = machine.knownSince + machine.type.bootS * lateFactor * 1000;
      if (!machine.up && now > lateAt) machine.leaving = 'late';
      else if (machine.up && !machine.busy && now > machine.deadAt(this.#leaseMs) + GIVE_UP_AFTER_LEASE_MS) {
        machine.leaving = 'silent';
      }
    }
  }

  /** The cloud's list says that it stopped on its own. */
  machineFailed(id: string): void {
    const machine = this.machines.get(id);
    if (!machine || machine.leaving === 'silent') return;
    this.deps.log.info({ machine: id }, 'machine failed, by the list of the cloud');
    machine.leaving = 'silent';
  }

  machineGone(machine: Machine): void {
    const changes = machine.dropAll();
    machine.settled = true;
    this.#apply(machine, changes);
  }

  /** A higher token makes every worker refuse what was sent under the lower ones and never answered. */
  async #raiseIfNeeded(now: number): Promise<void> {
    const since = now - this.#raisedAt;
    if (since < RAISE_IN_DOUBT_MS) return;
    let needed = false;
    for (const machine of this.machines.values()) {
      for (const a of machine.attempts.values()) {
        if (issueToken(a.attempt) < this.token || a.inFlight || !a.posted) continue;
        if (a.phase === 'sent') needed = true;
        else if (a.phase === 'exited' && since >= RAISE_TO_FORGET_MS) needed = true;
      }
    }
    if (!needed) return;
    const { cache, store, session } = this.deps;
    const next = (read.baton(cache.get(KEY.baton)?.value)?.next ?? 0) + 1;
    if (session.lease === undefined || next <= this.token) return;
    const result = await store.txn(
      [this.leaseGuard(), { key: KEY.baton, version: cache.version(KEY.baton) }],
      [
        { put: KEY.baton, value: { next } },
        { put: KEY.lease(this.block), value: { owner: this.deps.node, token: next }, lease: session.lease },
      ],
    );
    if (result.ok && next > this.token) {
      this.token = next;
      this.leaseVersion = result.revision;
      this.#raisedAt = now;
      this.deps.log.debug({ block: this.block, token: next }, 'token raised');
    }
  }

  // For the fleet.

  fleetInput(refused: (option: RentOption) => boolean): FleetInput | undefined {
    if (!this.#complete || (!this.#allSettled && this.#unplaced.size === 0)) return undefined;
    const { clock, settings } = this.deps;
    const now = clock.now();
    const machines: FleetMachine[] = [];
    let freeCpus = 0;
    let totalCpus = 0;
    let freeingCpus = 0;
    for (const m of this.machines.values()) {
      if (m.leaving !== undefined || m.releasing) continue;
      const idle = m.up && m.attempts.size === 0 && this.#usable(m, now);
      machines.push({
        ...{ id: m.id, type: m.type, zone: m.record.zone, spot: m.record.spot, booting: !m.up },
        ageMs: now - m.knownSince,
        idleMs: idle ? now - m.idleSince : 0,
      });
      if (!m.up) continue;
      totalCpus += m.type.cpus;
      if (this.#usable(m, now)) freeCpus += Math.max(0, m.free().cpus);
      for (const a of m.attempts.values()) {
        const table = this.tables.get(a.job);
        if (!holdsRoom(a) || !table) continue;
        const endsMs = (this.#estimates.runS(table.job) - ranS(a, now)) * 1000;
        if (endsMs < m.type.bootS * 1000 * settings.operator.rent_patience) freeingCpus += a.needs.cpus;
      }
    }
    const unplaced = [...this.#unplaced].flatMap(([id, count]) => {
      const table = this.tables.get(id);
      const urgent = table !== undefined && PRIORITY_RANK[table.job.priority] <= PRIORITY_RANK.high;
      if (!table) return [];
      const slackMs = this.#slackMs(table);
      return [{ job: table.job, count: Math.min(count, table.unassigned), urgent, slackMs }];
    });
    const warmCpus = totalCpus * settings.operator.warm_share;
    const idleReleaseMs = settings.operator.idle_release_s * 1000;
    const types = this.deps.types();
    return { unplaced, machines, types, refused, freeingCpus, idleReleaseMs, warmCpus, freeCpus };
  }

  /** How far each job is, for display. */
  progress(): JobProgress[] {
    const running = new Map<string, number>();
    for (const machine of this.machines.values()) {
      for (const a of machine.attempts.values()) {
        if (a.phase === 'running' || a.phase === 'saving') running.set(a.job, (running.get(a.job) ?? 0) + 1);
      }
    }
    return [...this.tables.values()].map((t) => ({
      id: t.job.id,
      running: running.get(t.job.id) ?? 0,
      done: t.recorded.count,
    }));
  }
}

interface UnknownNeeds {
  needs: { cpus: number; gpus: number; memoryGb: number };
  team: string;
  image: string;
}

const NO_NEEDS: UnknownNeeds = { needs: { cpus: 0, gpus: 0, memoryGb: 0 }, team: '', image: '' };
const NO_ZONES: ReadonlyMap<string, number> = new Map();
