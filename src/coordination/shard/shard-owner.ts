import { WakeSignal } from '../../base/clock';
import { runLoop } from '../../base/loop';
import { KEY, PREFIX, read } from '../../bookkeeping/records';
import type { WorkerCommand, WorkerHeartbeat } from '../../protocol/model';
import type { JobProgress } from '../../protocol/peers';
import type { ChangeEvent, Condition } from '../../protocol/state';
import type { HandoverTrace } from '../../suspicion/handover-trace';
import { Attempts } from './attempts';
import { Shard, type ShardTenure } from './shard';
import { summarizeShard } from './shard-summary';
import { Commander } from './commander';
import type { NodeContext } from '../node-context';
import type { FleetInput, RentOption } from '../fleet/fleet';
import { FleetManager } from '../fleet/fleet-manager';
import type { Machine } from './machine';
import { evictionsOfEndedJobs } from '../ownership/lease-relay';
import { UNDECIDED, type OwnerResponse } from './owner-response';
import { Recorder } from './recorder';
import { Scheduler } from '../scheduling/scheduler';
import { FencingTokenRaiser } from '../ownership/token';
import { UpRecords } from './up-records';

const TICK_MS = 250;
const EVENTS_GATHER_MS = 4;
/** Rounds get at most one part in so many of the time: reports, commands and users need the rest. */
const ROUND_PART = 4;
const SUMMARY_MS = 10_000;
/** So many reports of a machine are answered though they don't show the token that the answers carry. */
const MAX_UNPROVEN = 3;

/**
 * The owner of one shard. It holds what is wanted (jobs) and what is (machines and their attempts), and works out the
 * difference in rounds. It acts only while the session is valid.
 */
export class ShardOwner {
  readonly #shard: Shard;
  readonly #attempts: Attempts;
  readonly #commander: Commander;
  readonly #scheduler: Scheduler;
  readonly #fencingTokenRaiser: FencingTokenRaiser;
  readonly #upRecords: UpRecords;
  readonly #recorder: Recorder;
  readonly #fleet: FleetManager;
  readonly #wake: WakeSignal;
  readonly #stop = new AbortController();
  #handover: HandoverTrace | undefined;
  #housekeptAt = -Infinity;
  #summaryAt = -Infinity;

  constructor(
    tenure: ShardTenure,
    private readonly deps: NodeContext,
  ) {
    this.#wake = new WakeSignal(deps.clock);
    const wake = (): void => {
      this.#wake.wake();
    };
    this.#shard = new Shard(tenure, deps, wake);
    this.#commander = new Commander(
      this.#shard,
      () => this.#attempts,
      deps,
      (machine, heartbeat) => {
        this.#reconcile(machine, heartbeat);
      },
    );
    this.#attempts = new Attempts(
      this.#shard,
      deps,
      () => {
        this.#recorder.wake();
      },
      (machine) => {
        this.#commander.due(machine);
        wake();
      },
    );
    this.#scheduler = new Scheduler(this.#shard, this.#attempts, deps);
    this.#fencingTokenRaiser = new FencingTokenRaiser(this.#shard, deps);
    this.#upRecords = new UpRecords(this.#shard, deps);
    this.#recorder = new Recorder(this, deps);
    this.#fleet = new FleetManager(this, deps);
    const { tables, machines } = this.#shard;
    deps.log.info(
      { shard: tenure.number, token: tenure.fencingToken, jobs: tables.size, machines: machines.size },
      'shard taken over',
    );
  }

  /** Begins to act; `handover` follows how the shard was taken over. */
  start(handover?: HandoverTrace): void {
    this.#handover = handover;
    const signal = this.#stop.signal;
    const loop = (name: string, step: () => Promise<void>): void => {
      const { clock, log } = this.deps;
      void runLoop(`${name} of shard ${this.shard}`, step, { clock, log, signal });
    };
    loop('rounds', () => this.#step(signal));
    loop('token', () => this.#fencingTokenRaiser.step(signal));
    loop('ends of leases', async () => {
      await this.deps.clock.sleep(TICK_MS, signal);
      if (this.entitled) await this.#scheduler.expire();
    });
    loop('records', () => this.#recorder.step(signal));
    loop('renting', () => this.#fleet.rentStep(signal));
    loop('records of machines', () => this.#fleet.recordStep(signal));
    loop('returning', () => this.#fleet.returnStep(signal));
    this.#commander.ask(this.deps.clock.now());
    this.#wake.wake();
  }

  stop(why: string): void {
    if (this.stopped) return;
    this.#shard.stopped = true;
    this.#stop.abort();
    this.#handover?.abandon();
    this.deps.log.info({ shard: this.shard, token: this.#shard.fencingToken, why }, 'shard given up');
  }

  get shard(): number {
    return this.#shard.number;
  }

  get machines(): ReadonlyMap<string, Machine> {
    return this.#shard.machines;
  }

  get tables(): Shard['tables'] {
    return this.#shard.tables;
  }

  /** Whether the machine belongs to this shard, recorded or just rented. */
  has(machine: string): boolean {
    return this.machines.has(machine) || this.#fleet.isUnrecorded(machine);
  }

  get awaitedUpRecords(): number {
    return this.#upRecords.size;
  }

  /** Commands that have left and are not answered. */
  get outstandingCommands(): number {
    return this.#commander.outstanding;
  }

  get stopped(): boolean {
    return this.#shard.stopped;
  }

  /** Whether we may act for the shard at this very moment. */
  get entitled(): boolean {
    return this.#shard.entitled;
  }

  leaseCondition(): Condition {
    return this.#shard.leaseCondition();
  }

  // What the state service tells us.

  onChange(event: ChangeEvent): void {
    const { key } = event;
    if (key.startsWith(PREFIX.job)) {
      if (event.deleted) this.closeJob(key.slice(PREFIX.job.length));
      else this.#shard.loadJob(event.value, event.version);
      this.#wake.wake();
    } else if (key.startsWith(PREFIX.machine)) {
      if (event.deleted) this.#removeMachine(key.slice(PREFIX.machine.length));
      else this.#shard.loadMachine(key, event.value);
    } else if (key.startsWith(`${PREFIX.relay}${this.shard}/`)) {
      // Up to the end of its record a relay may have answered.
      this.#scheduler.countAllAsAnswered(this.deps.clock.now());
    } else if (key === KEY.lease(this.shard)) {
      this.#onLease(event);
    }
  }

  #onLease(event: ChangeEvent): void {
    const lease = event.deleted ? undefined : read.lease(event.value);
    // Our own raise of the token may come back here before its answer does, or instead of it.
    if (lease?.owner === this.deps.node && lease.token >= this.#shard.fencingToken) {
      this.#shard.fencingToken = lease.token;
      this.#shard.leaseVersion = event.version;
    } else if (event.version > this.#shard.leaseVersion) {
      this.stop('its lease is gone');
    }
  }

  #removeMachine(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.machineGone(machine);
    this.#shard.machines.delete(id);
  }

  /** The last dependencies of some jobs are done. */
  jobsReady(): void {
    this.#wake.wake();
  }

  closeJob(id: string): void {
    this.#attempts.closeJob(id);
  }

  recordedMore(): void {
    this.#wake.wake();
  }

  // What workers tell us.

  /** Takes a report. Undecided: we are not entitled to answer. */
  onHeartbeat(heartbeat: WorkerHeartbeat): OwnerResponse | Promise<OwnerResponse> {
    const machine = this.machines.get(heartbeat.machine);
    if (!machine && this.entitled && this.#fleet.isUnrecorded(heartbeat.machine)) {
      return this.#recordRental(heartbeat);
    }
    // A report of a machine that the cloud has ended is a late copy: it brings nothing back.
    if (!machine || machine.gone || !this.entitled) return UNDECIDED;
    if (machine.up) return this.#answerHeartbeat(machine, heartbeat);
    machine.hasReported = true;
    return this.#upRecords
      .record(machine, heartbeat.address)
      .then((recorded) => (recorded ? this.#answerHeartbeat(machine, heartbeat) : UNDECIDED));
  }

  /** The first report of a machine whose rental is not recorded yet. */
  async #recordRental(heartbeat: WorkerHeartbeat): Promise<OwnerResponse> {
    const { machine: id, address } = heartbeat;
    const record = this.#fleet.beginRecording(id);
    if (!record) return UNDECIDED;
    const outcome = await this.#upRecords.recordRental(id, address, record);
    this.#fleet.endRecording(id, outcome);
    const machine = this.machines.get(id);
    return machine && outcome === 'recorded' ? this.#answerHeartbeat(machine, heartbeat) : UNDECIDED;
  }

  #answerHeartbeat(machine: Machine, heartbeat: WorkerHeartbeat): OwnerResponse {
    if (!this.entitled || machine.gone || this.machines.get(machine.id) !== machine) return UNDECIDED;
    const now = this.deps.clock.now();
    // One that we have taken for dead without ever having heard it proves its messages new like any other: else a report
    // that was held up would bring back what died with its session.
    const hasMet = machine.settled && (machine.incarnation > 0 || machine.wasNeverAnswered);
    if (!hasMet && heartbeat.fencingToken < this.#shard.fencingToken) {
      // It may be a copy from before we took the shard, held up for long: only our token, or the answer to a question
      // of ours, proves a message new.
      machine.unverifiedIncarnation = heartbeat.incarnation;
      if (!machine.settled) {
        machine.unproven += 1;
        // Answers don't reach it. Counted as answered again and again, its lease would never end for us.
        if (machine.unproven > MAX_UNPROVEN) return UNDECIDED;
      }
      machine.answeredAt = now;
      // The answer renews the worker's lease, so it must end what was cancelled, perhaps a lease ago, before we took the
      // shard: a worker that hears this one answer and no other would keep it for another lease.
      return this.#accept(evictionsOfEndedJobs(heartbeat, this.deps.cache));
    }
    const isNews = machine.isNewer(heartbeat);
    this.#reconcile(machine, heartbeat);
    if (isNews) machine.renewedAt = now;
    if (this.#attempts.mayStartEnded(machine, now)) return UNDECIDED;
    const commands = this.#commander.commandsFor(machine, false);
    // Counted from now, which is later than when the worker sent the report: its own lease ends before ours of it.
    machine.answeredAt = now;
    return this.#accept(commands);
  }

  #accept(commands: WorkerCommand[]): OwnerResponse {
    return { kind: 'accepted', fencingToken: this.#shard.fencingToken, commands };
  }

  #reconcile(machine: Machine, heartbeat: WorkerHeartbeat): void {
    const { shard } = this;
    const now = this.deps.clock.now();
    const { missedMs, leaseMs } = this.#shard.timing;
    const silentBefore = machine.heardAt === undefined || now - machine.heardAt > missedMs;
    const changes = machine.reconcile(heartbeat, now, leaseMs, (job) => this.#attempts.describe(job));
    const { fencingToken } = this.#shard;
    if (heartbeat.fencingToken > fencingToken) {
      this.deps.log.warn(
        { machine: machine.id, seen: heartbeat.fencingToken, token: fencingToken },
        'a worker saw a higher token',
      );
    }
    if (!machine.settled && machine.fencingTokenSeen >= fencingToken) {
      this.#shard.settle(machine);
      this.deps.log.debug({ shard, machine: machine.id, attempts: machine.attempts.size }, 'machine settled');
      this.#wake.wake();
    }
    if (silentBefore) {
      // Out of reach it was of no use to anybody: counted as idle all that time, the machines of a zone that had been cut
      // off were returned by the hundred the moment they came back, before any waiting task could be placed there.
      machine.idleSince = now;
      this.#wake.wake();
    }
    if (machine.leaving === 'silent' && !machine.releasing && machine.deafSince === undefined)
      machine.leaving = undefined;
    this.#attempts.apply(machine, changes);
  }

  /** How many machines should report here, and how many of them have not for a while. */
  hearing(): { machines: number; unheard: number } {
    return this.#shard.hearing(this.deps.clock.now());
  }

  // Rounds.

  async #step(signal: AbortSignal): Promise<void> {
    await this.#wake.wait(TICK_MS);
    await this.deps.clock.sleep(EVENTS_GATHER_MS, signal);
    if (signal.aborted || !this.entitled) return;
    const now = this.deps.clock.now();
    if (now - this.#housekeptAt >= TICK_MS) {
      this.#housekeptAt = now;
      this.#scheduler.housekeep(now);
      this.#commander.ask(now);
    }
    const goesOn = !this.#shard.workersAreComing(now) && this.#scheduler.round(now);
    this.#commander.flush();
    if (this.#handover) this.#followHandover(this.#handover, goesOn);
    if (now - this.#summaryAt >= SUMMARY_MS) {
      this.#summaryAt = now;
      this.#logSummary(now);
    }
    if (goesOn) this.#wake.wake();
    const pauseMs = (this.deps.clock.now() - now) * (ROUND_PART - 1);
    if (pauseMs > EVENTS_GATHER_MS)
      await this.deps.clock.sleep(Math.min(this.deps.settings.throttling.roundPauseMs, pauseMs), signal);
  }

  /** After a round: how far the takeover is. */
  #followHandover(handover: HandoverTrace, isRoundUnfinished: boolean): void {
    if (!this.#shard.allKnown) return;
    handover.reached('workers confirmed', { machines: this.machines.size });
    if (!isRoundUnfinished) handover.reached('orphaned jobs placed', { jobs: this.tables.size });
    if (handover.isOver) this.#handover = undefined;
  }

  /** One line every now and then, by which an operator sees how the shard does. */
  #logSummary(now: number): void {
    const summary = summarizeShard(this.#shard, this.#scheduler.unplaced, now);
    this.deps.log.info({ shard: this.shard, jobs: this.tables.size, ...summary }, 'shard');
  }

  // The fleet.

  fleetInput(refused: (option: RentOption) => boolean): FleetInput | undefined {
    return this.#scheduler.fleetInput(refused);
  }

  /** The cloud's list says that it stopped on its own. */
  machineFailed(id: string): void {
    const machine = this.machines.get(id);
    if (!machine || machine.leaving === 'silent') return;
    this.deps.log.info({ machine: id }, 'machine failed, by the list of the cloud');
    machine.leaving = 'silent';
  }

  /** The cloud confirmed its end. */
  machineGone(machine: Machine): void {
    machine.gone = true;
    this.#commander.forget(machine);
    this.#attempts.dropAll(machine);
  }

  /** How far each job is, for display. */
  progress(): JobProgress[] {
    return [...this.tables.values()].map((t) => ({
      id: t.job.id,
      running: this.#attempts.runningOf(t.job.id),
      done: t.recorded.count,
    }));
  }
}
