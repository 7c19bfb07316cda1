/** @file The owner of one shard: its components, their loops, and the interface that the controller uses. */
import { WakeSignal } from '../../base/clock';
import { runLoop } from '../../base/loop';
import type { ChangeEvent, Condition } from '../../protocol/key-value-store';
import type { WorkerHeartbeat } from '../../protocol/model';
import type { JobProgress } from '../../protocol/peers';
import type { HandoverTrace } from '../../suspicion/handover-trace';
import { Autoscaler } from '../autoscaling/autoscaler';
import type { AutoscalerShard } from '../autoscaling/autoscaler-shard';
import type { CloudInventory } from '../autoscaling/cloud-inventory';
import type { InstanceOption, ScalingInput } from '../autoscaling/scaling-plan';
import type { ControllerContext } from '../controller-context';
import { FencingTokenRaiser } from '../ownership/fencing-token-raiser';
import { Scheduler } from '../scheduling/scheduler';
import { AttemptManager } from './attempt-manager';
import { CommandDispatcher } from './command-dispatcher';
import { CommandQueue } from './command-queue';
import { CompletionRecorder, type RecorderShard } from './completion-recorder';
import { HeartbeatHandler } from './heartbeat-handler';
import { HeartbeatReconciler } from './heartbeat-reconciler';
import type { Machine } from './machine';
import { MachineRegistration } from './machine-registration';
import type { OwnerResponse } from './owner-response';
import { RecordChangeHandler, type RecordChangeListener } from './record-change-handler';
import { RoundLoop } from './round-loop';
import { Shard, type AcquiredShard } from './shard';

const LEASE_EXPIRY_INTERVAL_MS = 250;

/**
 * The owner of one shard. It tracks the desired state (jobs) and the actual state (machines and their attempts), and
 * reconciles them in scheduling rounds. It acts only while the controller's session is valid.
 */
export class ShardOwner implements RecorderShard, AutoscalerShard, RecordChangeListener {
  readonly #shard: Shard;
  readonly #commands = new CommandQueue();
  readonly #attempts: AttemptManager;
  readonly #dispatcher: CommandDispatcher;
  readonly #scheduler: Scheduler;
  readonly #fencingTokenRaiser: FencingTokenRaiser;
  readonly #registration: MachineRegistration;
  readonly #recorder: CompletionRecorder;
  readonly #autoscaler: Autoscaler;
  readonly #heartbeats: HeartbeatHandler;
  readonly #records: RecordChangeHandler;
  readonly #rounds: RoundLoop;
  readonly #wake: WakeSignal;
  readonly #stop = new AbortController();

  constructor(
    acquired: AcquiredShard,
    private readonly context: ControllerContext,
  ) {
    const wake = new WakeSignal(context.clock);
    const completions = new WakeSignal(context.clock);
    const shard = new Shard(acquired, context, () => {
      wake.wake();
    });
    const attempts = new AttemptManager(shard, context, { commands: this.#commands, completions });
    const reconciler = new HeartbeatReconciler(shard, attempts, context);
    const dispatcher = new CommandDispatcher(shard, context, {
      queue: this.#commands,
      attempts,
      reconciler,
    });
    const scheduler = new Scheduler(shard, attempts, context);
    const registration = new MachineRegistration(shard, context);
    this.#wake = wake;
    this.#shard = shard;
    this.#attempts = attempts;
    this.#dispatcher = dispatcher;
    this.#scheduler = scheduler;
    this.#registration = registration;
    this.#fencingTokenRaiser = new FencingTokenRaiser(shard, context);
    this.#rounds = new RoundLoop(shard, context, { wake, scheduler, dispatcher });
    this.#recorder = new CompletionRecorder(this, context, completions);
    this.#records = new RecordChangeHandler(shard, context, scheduler, this);
    const autoscaler = new Autoscaler(this, context);
    this.#autoscaler = autoscaler;
    this.#heartbeats = new HeartbeatHandler(shard, context, {
      attempts,
      reconciler,
      registration,
      autoscaler,
    });
    context.log.info(
      {
        shard: acquired.number,
        fencingToken: acquired.fencingToken,
        jobs: shard.tables.size,
        machines: shard.machines.size,
      },
      'shard acquired',
    );
  }

  /** Starts the loops; `handover` traces the acquisition of the shard. */
  start(handover?: HandoverTrace): void {
    this.#rounds.traceHandover(handover);
    const { signal } = this.#stop;
    this.#loop('scheduling rounds', () => this.#rounds.step(signal));
    this.#loop('fencing token', () => this.#fencingTokenRaiser.step(signal));
    this.#loop('lease expiry', () => this.#leaseExpiryStep(signal));
    this.#loop('completion records', () => this.#recorder.step(signal));
    this.#loop('scale-out', () => this.#autoscaler.scaleOutStep(signal));
    this.#loop('machine records', () => this.#autoscaler.recordRentalsStep(signal));
    this.#loop('scale-in', () => this.#autoscaler.scaleInStep(signal));
    this.#dispatcher.probe(this.context.clock.now());
    this.#wake.wake();
  }

  #loop(name: string, step: () => Promise<void>): void {
    const { clock, log } = this.context;
    const { signal } = this.#stop;
    void runLoop(`${name} of shard ${this.shard}`, step, { clock, log, signal });
  }

  async #leaseExpiryStep(signal: AbortSignal): Promise<void> {
    await this.context.clock.sleep(LEASE_EXPIRY_INTERVAL_MS, signal);
    if (this.entitled) await this.#scheduler.expireLeases();
  }

  /** Stops the loops of the owner; `entitled` is false from then on. */
  stop(why: string): void {
    if (this.isStopped) return;
    this.#shard.isStopped = true;
    this.#stop.abort();
    this.#rounds.abandonHandover();
    this.context.log.info(
      { shard: this.shard, fencingToken: this.#shard.fencingToken, why },
      'shard released',
    );
  }

  /** The shard's number. */
  get shard(): number {
    return this.#shard.number;
  }

  /** The shard's machines by their ids. */
  get machines(): ReadonlyMap<string, Machine> {
    return this.#shard.machines;
  }

  /** The dispatch tables of the shard's jobs by the jobs' ids. */
  get tables(): Shard['tables'] {
    return this.#shard.tables;
  }

  get isStopped(): boolean {
    return this.#shard.isStopped;
  }

  /** Whether this owner may act for the shard now: it is not stopped, and the controller's session is valid. */
  get entitled(): boolean {
    return this.#shard.entitled;
  }

  /** The condition by which a transaction succeeds only while this owner still holds the shard's lease. */
  leaseCondition(): Condition {
    return this.#shard.leaseCondition();
  }

  /** Whether the machine belongs to this shard: it has a record, or was rented by this owner and has no record yet. */
  ownsMachine(machine: string): boolean {
    return this.machines.has(machine) || this.#autoscaler.isUnrecorded(machine);
  }

  /** Number of machines that send heartbeats, but are not yet recorded as up. */
  get pendingRegistrations(): number {
    return this.#registration.size;
  }

  /** Number of command requests that were sent to workers and got no response yet. */
  get commandsInFlight(): number {
    return this.#dispatcher.inFlightCount;
  }

  /** Number of machines that are up, and how many of them have missed their heartbeats. */
  workerReachability(): { machines: number; unreachable: number } {
    return this.#shard.workerReachability(this.context.clock.now());
  }

  /** Input for scaling decisions: the tasks that the last round could not place, and the current machines. */
  scalingInput(refused: (option: InstanceOption) => boolean): ScalingInput | undefined {
    return this.#scheduler.scalingInput(refused);
  }

  /** Running and completed tasks of each job, for status queries. */
  progress(): JobProgress[] {
    return [...this.tables.values()].map((table) => ({
      id: table.job.id,
      running: this.#attempts.runningCount(table.job.id),
      done: table.recorded.count,
    }));
  }

  /** Applies the change of a record in the key-value store; `previousValue` is undefined if it was not known. */
  onChange(event: ChangeEvent, previousValue?: unknown): void {
    this.#records.onChange(event, previousValue);
  }

  /** Applies a worker's heartbeat. If the result is undecided, the worker's lease is not renewed. */
  onHeartbeat(heartbeat: WorkerHeartbeat): OwnerResponse | Promise<OwnerResponse> {
    return this.#heartbeats.onHeartbeat(heartbeat);
  }

  /** Requests a scheduling round, because all dependencies of some jobs have completed. */
  onJobsReady(): void {
    this.#wake.wake();
  }

  /** Closes a job that has ended: it is done or cancelled. */
  closeJob(id: string): void {
    this.#attempts.closeJob(id);
  }

  /** Handles the recording of completions: workers can now be told to forget the completed attempts. */
  onCompletionsRecorded(): void {
    this.#wake.wake();
  }

  /** Drains machines that the cloud lists as failed or no longer has, though no controller terminated them. */
  onMachinesListed(inventory: Pick<CloudInventory, 'machines' | 'isGone'>): void {
    for (const { id, state } of inventory.machines()) {
      const machine = state === 'failed' ? this.machines.get(id) : undefined;
      if (machine) this.#drainLost(machine, 'cloud lists machine as failed');
    }
    for (const machine of this.machines.values()) {
      const isGone = inventory.isGone(machine.id, machine.lastHeartbeatAt ?? machine.firstSeenAt);
      if (isGone) this.#drainLost(machine, 'cloud no longer has machine');
    }
  }

  #drainLost(machine: Machine, message: string): void {
    if (machine.isTerminated || machine.drainReason === 'unresponsive') return;
    this.context.log.info({ machine: machine.id }, message);
    machine.drainAsUnresponsive();
  }

  /** Handles the termination of a machine, confirmed by the cloud, which ends every attempt on it. */
  onMachineTerminated(machine: Machine): void {
    machine.markTerminated();
    this.#commands.delete(machine);
    this.#attempts.dropAllAttempts(machine);
  }
}
