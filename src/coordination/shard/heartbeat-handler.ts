/** @file Responds to the heartbeats of a shard's workers; each response renews the worker's lease. */
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

/** Maximum number of unverified heartbeats of an unconfirmed machine that get a response; see `#answerUnverified`. */
const MAX_UNVERIFIED_HEARTBEATS = 3;

/** Components of the shard's owner that the handler uses. */
export interface HeartbeatHandlerParts {
  readonly attempts: AttemptManager;
  readonly reconciler: HeartbeatReconciler;
  readonly registration: MachineRegistration;
  readonly autoscaler: Autoscaler;
}

/** Applies workers' heartbeats to the shard's state and builds the responses. */
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

  /** Handles a heartbeat. Returns `UNDECIDED` if this controller must not renew the worker's lease. */
  onHeartbeat(heartbeat: WorkerHeartbeat): OwnerResponse | Promise<OwnerResponse> {
    const { shard } = this;
    const machine = shard.machines.get(heartbeat.machine);
    if (!machine && shard.entitled && this.#autoscaler.isUnrecorded(heartbeat.machine)) {
      return this.#registerUnrecorded(heartbeat);
    }
    // A heartbeat from a machine that the cloud has terminated is a delayed message and must change nothing.
    if (!machine || machine.isTerminated || !shard.entitled) return UNDECIDED;
    if (machine.isUp) return this.#answer(machine, heartbeat);
    machine.firstHeartbeatReceived();
    return this.#registration
      .register(machine, heartbeat.address)
      .then((recorded) => (recorded ? this.#answer(machine, heartbeat) : UNDECIDED));
  }

  /** Handles the first heartbeat of a machine that has no record yet: records it as up before responding. */
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
    // The heartbeat may have been sent before this owner acquired the shard, and delayed. A message was certainly sent
    // later only if it contains this owner's fencing token, or is the response to a command.
    const mayPredateOwner =
      !machine.worker.areHeartbeatsVerified && heartbeat.fencingToken < shard.fencingToken;
    return mayPredateOwner
      ? this.#answerUnverified(machine, heartbeat)
      : this.#answerVerified(machine, heartbeat);
  }

  #answerUnverified(machine: Machine, heartbeat: WorkerHeartbeat): OwnerResponse {
    const count = machine.worker.unverifiedHeartbeatReceived(heartbeat.incarnation);
    // The worker seems to receive no responses, so further heartbeats get none. Each response would count as a renewal
    // of the worker's lease, which would then never count as expired.
    if (!machine.isConfirmed && count > MAX_UNVERIFIED_HEARTBEATS) return UNDECIDED;
    machine.worker.heartbeatAnswered(this.context.clock.now());
    // The response renews the worker's lease, so it must stop attempts of cancelled jobs. A job may have been cancelled
    // a lease duration ago, and a worker that receives no later response would run its attempts for another lease.
    return this.#accept(evictionsOfEndedJobs(heartbeat, this.context.cache));
  }

  #answerVerified(machine: Machine, heartbeat: WorkerHeartbeat): OwnerResponse {
    const now = this.context.clock.now();
    const isNew = machine.worker.isNewer(heartbeat);
    this.#reconciler.reconcile(machine, heartbeat);
    if (isNew) machine.worker.leaseRenewed(now);
    if (this.#attempts.hasUnconfirmedStartOfEndedJob(machine, now)) return UNDECIDED;
    const commands = commandsFor(machine, this.shard.tables, 'without starts');
    // The worker counts its lease from sending the heartbeat, so it ends the lease earlier than by this owner's count.
    machine.worker.heartbeatAnswered(now);
    return this.#accept(commands);
  }

  #accept(commands: WorkerCommand[]): OwnerResponse {
    return { kind: 'accepted', fencingToken: this.shard.fencingToken, commands };
  }
}
