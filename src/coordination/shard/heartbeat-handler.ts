/** @file Answers the heartbeats of a shard's workers, which renews their leases. */
import type { WorkerCommand, WorkerHeartbeat } from '../../protocol/model';
import type { Autoscaler } from '../autoscaling/autoscaler';
import type { ControllerContext } from '../controller-context';
import { evictionsOfEndedJobs } from '../ownership/lease-relay';
import type { AttemptManager } from './attempt-manager';
import type { HeartbeatReconciler } from './heartbeat-reconciler';
import type { Machine } from './machine';
import type { MachineRegistration } from './machine-registration';
import { UNDECIDED, type OwnerResponse } from './owner-response';
import type { Shard } from './shard';
import { commandsFor } from './worker-commands';

/** So many heartbeats of a machine are answered though they don't show the token that the answers carry. */
const MAX_UNVERIFIED_HEARTBEATS = 3;

/** The parts of a shard's owner that the handler works with. */
export interface HeartbeatHandlerParts {
  readonly attempts: AttemptManager;
  readonly reconciler: HeartbeatReconciler;
  readonly registration: MachineRegistration;
  readonly autoscaler: Autoscaler;
}

/** Takes in heartbeats of workers and decides what they are answered. */
export class HeartbeatHandler {
  readonly #attempts: AttemptManager;
  readonly #reconciler: HeartbeatReconciler;
  readonly #registration: MachineRegistration;
  readonly #autoscaler: Autoscaler;

  constructor(
    private readonly shard: Shard,
    private readonly context: ControllerContext,
    { attempts, reconciler, registration, autoscaler }: HeartbeatHandlerParts,
  ) {
    this.#attempts = attempts;
    this.#reconciler = reconciler;
    this.#registration = registration;
    this.#autoscaler = autoscaler;
  }

  /** Takes in a heartbeat. Undecided: this controller is not entitled to answer. */
  onHeartbeat(heartbeat: WorkerHeartbeat): OwnerResponse | Promise<OwnerResponse> {
    const { shard } = this;
    const machine = shard.machines.get(heartbeat.machine);
    if (!machine && shard.entitled && this.#autoscaler.isUnrecorded(heartbeat.machine)) {
      return this.#registerUnrecorded(heartbeat);
    }
    // A heartbeat of a machine that the cloud has ended is a late copy: it brings nothing back.
    if (!machine || machine.isTerminated || !shard.entitled) return UNDECIDED;
    if (machine.isUp) return this.#answer(machine, heartbeat);
    machine.firstHeartbeatReceived();
    return this.#registration
      .register(machine, heartbeat.address)
      .then((recorded) => (recorded ? this.#answer(machine, heartbeat) : UNDECIDED));
  }

  /** The first heartbeat of a machine whose rental is not recorded yet. */
  async #registerUnrecorded(heartbeat: WorkerHeartbeat): Promise<OwnerResponse> {
    const { machine: id, address } = heartbeat;
    const record = this.#autoscaler.beginRegistration(id);
    if (!record) return UNDECIDED;
    const outcome = await this.#registration.registerUnrecorded(id, address, record);
    this.#autoscaler.endRegistration(id, outcome);
    const machine = this.shard.machines.get(id);
    return machine && outcome === 'recorded' ? this.#answer(machine, heartbeat) : UNDECIDED;
  }

  #answer(machine: Machine, heartbeat: WorkerHeartbeat): OwnerResponse {
    const { shard } = this;
    if (!shard.entitled || machine.isTerminated || shard.machines.get(machine.id) !== machine)
      return UNDECIDED;
    // It may be a copy from before this owner acquired the shard, held up for long: only the owner's token, or the answer
    // to a command, proves a message new.
    const mayBeCopy = !machine.worker.areHeartbeatsVerified && heartbeat.fencingToken < shard.fencingToken;
    return mayBeCopy ? this.#answerUnverified(machine, heartbeat) : this.#answerVerified(machine, heartbeat);
  }

  #answerUnverified(machine: Machine, heartbeat: WorkerHeartbeat): OwnerResponse {
    const count = machine.worker.unverifiedHeartbeatReceived(heartbeat.incarnation);
    // The answers don't reach it. Counted as answered again and again, its lease would never end by our count.
    if (!machine.isConfirmed && count > MAX_UNVERIFIED_HEARTBEATS) return UNDECIDED;
    machine.worker.heartbeatAnswered(this.context.clock.now());
    // The answer renews the worker's lease, so it must end what was cancelled, perhaps a lease ago, before this owner
    // acquired the shard: a worker that receives this one answer and no other would keep it for another lease.
    return this.#accept(evictionsOfEndedJobs(heartbeat, this.context.cache));
  }

  #answerVerified(machine: Machine, heartbeat: WorkerHeartbeat): OwnerResponse {
    const now = this.context.clock.now();
    const isNews = machine.worker.isNewer(heartbeat);
    this.#reconciler.reconcile(machine, heartbeat);
    if (isNews) machine.worker.leaseRenewed(now);
    if (this.#attempts.hasUnconfirmedStartOfEndedJob(machine, now)) return UNDECIDED;
    const commands = commandsFor(machine, this.shard.tables, 'without starts');
    // Counted from now, which is later than when the worker sent the heartbeat: its own lease ends before ours of it.
    machine.worker.heartbeatAnswered(now);
    return this.#accept(commands);
  }

  #accept(commands: WorkerCommand[]): OwnerResponse {
    return { kind: 'accepted', fencingToken: this.shard.fencingToken, commands };
  }
}
