import { WakeSignal } from '../../base/clock';
import { runLoop } from '../../base/loop';
import { KEY, PREFIX, read } from '../../bookkeeping/records';
import type { WorkerCommand, WorkerHeartbeat } from '../../protocol/model';
import type { JobProgress } from '../../protocol/peers';
import type { ChangeEvent, Condition } from '../../protocol/key-value-store';
import type { HandoverTrace } from '../../suspicion/handover-trace';
import { AttemptManager } from './attempt-manager';
import { Shard, type ShardTenure } from './shard';
import { summarizeShard } from './shard-summary';
import { CommandDispatcher } from './command-dispatcher';
import type { ControllerContext } from '../controller-context';
import type { ScalingInput, InstanceOption } from '../autoscaling/scaling-plan';
import { Autoscaler } from '../autoscaling/autoscaler';
import { HeartbeatReconciler } from './heartbeat-reconciler';
import type { Machine } from './machine';
import { evictionsOfEndedJobs } from '../ownership/lease-relay';
import { UNDECIDED, type OwnerResponse } from './owner-response';
import { CompletionRecorder } from './completion-recorder';
import { Scheduler } from '../scheduling/scheduler';
import { FencingTokenRaiser } from '../ownership/fencing-token-raiser';
import { MachineRegistration } from './machine-registration';

const TICK_MS = 250;
const EVENTS_GATHER_MS = 4;
/** Rounds get at most one part in so many of the time: reports, commands and users need the rest. */
const ROUND_PART = 4;
const SUMMARY_MS = 10_000;
/** So many reports of a machine are answered though they don't show the token that the answers carry. */
const MAX_UNVERIFIED_HEARTBEATS = 3;

/**
 * The owner of one shard. It holds what is wanted (jobs) and what is (machines and their attempts), and works out the
 * difference in rounds. It acts only while the session is valid.
 */
export class ShardOwner {
  readonly #shard: Shard;
  readonly #attempts: AttemptManager;
  readonly #commandDispatcher: CommandDispatcher;
  readonly #reconciler: HeartbeatReconciler;
  readonly #scheduler: Scheduler;
  readonly #fencingTokenRaiser: FencingTokenRaiser;
  readonly #registration: MachineRegistration;
  readonly #recorder: CompletionRecorder;
  readonly #autoscaler: Autoscaler;
  readonly #wake: WakeSignal;
  readonly #stop = new AbortController();
  #handover: HandoverTrace | undefined;
  #housekeptAt = -Infinity;
  #summaryAt = -Infinity;

  constructor(
    tenure: ShardTenure,
    private readonly context: ControllerContext,
  ) {
    this.#wake = new WakeSignal(context.clock);
    const wake = (): void => {
      this.#wake.wake();
    };
    this.#shard = new Shard(tenure, context, wake);
    this.#commandDispatcher = new CommandDispatcher(
      this.#shard,
      () => this.#attempts,
      context,
      (machine, heartbeat) => this.#reconciler.reconcile(machine, heartbeat),
    );
    this.#attempts = new AttemptManager(
      this.#shard,
      context,
      () => this.#recorder.wake(),
      (machine) => {
        this.#commandDispatcher.schedule(machine);
        wake();
      },
    );
    this.#reconciler = new HeartbeatReconciler(this.#shard, this.#attempts, context);
    this.#scheduler = new Scheduler(this.#shard, this.#attempts, context);
    this.#fencingTokenRaiser = new FencingTokenRaiser(this.#shard, context);
    this.#registration = new MachineRegistration(this.#shard, context);
    this.#recorder = new CompletionRecorder(this, context);
    this.#autoscaler = new Autoscaler(this, context);
    const { tables, machines } = this.#shard;
    context.log.info(
      { shard: tenure.number, fencingToken: tenure.fencingToken, jobs: tables.size, machines: machines.size },
      'shard acquired',
    );
  }

  /** Begins to act; `handover` follows how the shard was taken over. */
  start(handover?: HandoverTrace): void {
    this.#handover = handover;
    const signal = this.#stop.signal;
    const loop = (name: string, step: () => Promise<void>): void => {
      const { clock, log } = this.context;
      void runLoop(`${name} of shard ${this.shard}`, step, { clock, log, signal });
    };
    loop('scheduling rounds', () => this.#step(signal));
    loop('fencing token', () => this.#fencingTokenRaiser.step(signal));
    loop('lease expiry', async () => {
      await this.context.clock.sleep(TICK_MS, signal);
      if (this.entitled) await this.#scheduler.expireLeases();
    });
    loop('completion records', () => this.#recorder.step(signal));
    loop('scale-out', () => this.#autoscaler.scaleOutStep(signal));
    loop('machine records', () => this.#autoscaler.recordStep(signal));
    loop('scale-in', () => this.#autoscaler.scaleInStep(signal));
    this.#commandDispatcher.probe(this.context.clock.now());
    this.#wake.wake();
  }

  stop(why: string): void {
    if (this.stopped) return;
    this.#shard.stopped = true;
    this.#stop.abort();
    this.#handover?.abandon();
    this.context.log.info(
      { shard: this.shard, fencingToken: this.#shard.fencingToken, why },
      'shard released',
    );
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
  ownsMachine(machine: string): boolean {
    return this.machines.has(machine) || this.#autoscaler.isUnrecorded(machine);
  }

  get pendingRegistrations(): number {
    return this.#registration.size;
  }

  /** Commands that have left and are not answered. */
  get commandsInFlight(): number {
    return this.#commandDispatcher.inFlightCount;
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
      this.#scheduler.assumeAllLeasesRenewed(this.context.clock.now());
    } else if (key === KEY.lease(this.shard)) {
      this.#onLease(event);
    }
  }

  #onLease(event: ChangeEvent): void {
    const lease = event.deleted ? undefined : read.lease(event.value);
    // Our own raise of the token may come back here before its answer does, or instead of it.
    if (lease?.owner === this.context.controllerId && lease.token >= this.#shard.fencingToken) {
      this.#shard.fencingToken = lease.token;
      this.#shard.leaseVersion = event.version;
    } else if (event.version > this.#shard.leaseVersion) {
      this.stop('lease lost');
    }
  }

  #removeMachine(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.onMachineTerminated(machine);
    this.#shard.machines.delete(id);
  }

  /** The last dependencies of some jobs are done. */
  onJobsReady(): void {
    this.#wake.wake();
  }

  closeJob(id: string): void {
    this.#attempts.closeJob(id);
  }

  onCompletionsRecorded(): void {
    this.#wake.wake();
  }

  // What workers tell us.

  /** Takes a report. Undecided: we are not entitled to answer. */
  onHeartbeat(heartbeat: WorkerHeartbeat): OwnerResponse | Promise<OwnerResponse> {
    const machine = this.machines.get(heartbeat.machine);
    if (!machine && this.entitled && this.#autoscaler.isUnrecorded(heartbeat.machine)) {
      return this.#registerUnrecorded(heartbeat);
    }
    // A report of a machine that the cloud has ended is a late copy: it brings nothing back.
    if (!machine || machine.isTerminated || !this.entitled) return UNDECIDED;
    if (machine.isUp) return this.#answerHeartbeat(machine, heartbeat);
    machine.hasSentHeartbeat = true;
    return this.#registration
      .register(machine, heartbeat.address)
      .then((recorded) => (recorded ? this.#answerHeartbeat(machine, heartbeat) : UNDECIDED));
  }

  /** The first report of a machine whose rental is not recorded yet. */
  async #registerUnrecorded(heartbeat: WorkerHeartbeat): Promise<OwnerResponse> {
    const { machine: id, address } = heartbeat;
    const record = this.#autoscaler.beginRecording(id);
    if (!record) return UNDECIDED;
    const outcome = await this.#registration.registerUnrecorded(id, address, record);
    this.#autoscaler.endRecording(id, outcome);
    const machine = this.machines.get(id);
    return machine && outcome === 'recorded' ? this.#answerHeartbeat(machine, heartbeat) : UNDECIDED;
  }

  #answerHeartbeat(machine: Machine, heartbeat: WorkerHeartbeat): OwnerResponse {
    if (!this.entitled || machine.isTerminated || this.machines.get(machine.id) !== machine) return UNDECIDED;
    const now = this.context.clock.now();
    // One that we have taken for dead without ever having heard it proves its messages new like any other: else a report
    // that was held up would bring back what died with its session.
    const hasMet = machine.isConfirmed && (machine.incarnation > 0 || machine.wasNeverAnswered);
    if (!hasMet && heartbeat.fencingToken < this.#shard.fencingToken) {
      // It may be a copy from before we took the shard, held up for long: only our token, or the answer to a question
      // of ours, proves a message new.
      machine.unverifiedIncarnation = heartbeat.incarnation;
      if (!machine.isConfirmed) {
        machine.unverifiedHeartbeats += 1;
        // Answers don't reach it. Counted as answered again and again, its lease would never end for us.
        if (machine.unverifiedHeartbeats > MAX_UNVERIFIED_HEARTBEATS) return UNDECIDED;
      }
      machine.latestLeaseStart = now;
      // The answer renews the worker's lease, so it must end what was cancelled, perhaps a lease ago, before we took the
      // shard: a worker that hears this one answer and no other would keep it for another lease.
      return this.#accept(evictionsOfEndedJobs(heartbeat, this.context.cache));
    }
    const isNews = machine.isNewer(heartbeat);
    this.#reconciler.reconcile(machine, heartbeat);
    if (isNews) machine.lastRenewalAt = now;
    if (this.#attempts.mayStillStartEndedJob(machine, now)) return UNDECIDED;
    const commands = this.#commandDispatcher.commandsFor(machine, false);
    // Counted from now, which is later than when the worker sent the report: its own lease ends before ours of it.
    machine.latestLeaseStart = now;
    return this.#accept(commands);
  }

  #accept(commands: WorkerCommand[]): OwnerResponse {
    return { kind: 'accepted', fencingToken: this.#shard.fencingToken, commands };
  }

  /** How many machines should report here, and how many of them have not for a while. */
  workerReachability(): { machines: number; unheard: number } {
    return this.#shard.workerReachability(this.context.clock.now());
  }

  // Rounds.

  async #step(signal: AbortSignal): Promise<void> {
    await this.#wake.wait(TICK_MS);
    await this.context.clock.sleep(EVENTS_GATHER_MS, signal);
    if (signal.aborted || !this.entitled) return;
    const now = this.context.clock.now();
    if (now - this.#housekeptAt >= TICK_MS) {
      this.#housekeptAt = now;
      this.#scheduler.runPeriodicTasks(now);
      this.#commandDispatcher.probe(now);
    }
    const goesOn = !this.#shard.isAwaitingWorkers(now) && this.#scheduler.round(now);
    this.#commandDispatcher.flush();
    if (this.#handover) this.#followHandover(this.#handover, goesOn);
    if (now - this.#summaryAt >= SUMMARY_MS) {
      this.#summaryAt = now;
      this.#logSummary(now);
    }
    if (goesOn) this.#wake.wake();
    const pauseMs = (this.context.clock.now() - now) * (ROUND_PART - 1);
    if (pauseMs > EVENTS_GATHER_MS)
      await this.context.clock.sleep(
        Math.min(this.context.settings.throttling.roundPauseMs, pauseMs),
        signal,
      );
  }

  /** After a round: how far the takeover is. */
  #followHandover(handover: HandoverTrace, isRoundUnfinished: boolean): void {
    if (!this.#shard.areAllMachinesConfirmed) return;
    handover.reached('workers confirmed', { machines: this.machines.size });
    if (!isRoundUnfinished) handover.reached('orphaned jobs placed', { jobs: this.tables.size });
    if (handover.isOver) this.#handover = undefined;
  }

  /** One line every now and then, by which an operator sees how the shard does. */
  #logSummary(now: number): void {
    const summary = summarizeShard(this.#shard, this.#scheduler.unplaced, now);
    this.context.log.info({ shard: this.shard, jobs: this.tables.size, ...summary }, 'shard');
  }

  // The fleet.

  scalingInput(refused: (option: InstanceOption) => boolean): ScalingInput | undefined {
    return this.#scheduler.scalingInput(refused);
  }

  /** The cloud's list says that it stopped on its own. */
  onMachineFailed(id: string): void {
    const machine = this.machines.get(id);
    if (!machine || machine.drainReason === 'unresponsive') return;
    this.context.log.info({ machine: id }, 'cloud lists machine as failed');
    machine.drainAsUnresponsive();
  }

  /** The cloud confirmed its end. */
  onMachineTerminated(machine: Machine): void {
    machine.isTerminated = true;
    this.#commandDispatcher.cancel(machine);
    this.#attempts.dropAllAttempts(machine);
  }

  /** How far each job is, for display. */
  progress(): JobProgress[] {
    return [...this.tables.values()].map((t) => ({
      id: t.job.id,
      running: this.#attempts.runningCount(t.job.id),
      done: t.recorded.count,
    }));
  }
}
