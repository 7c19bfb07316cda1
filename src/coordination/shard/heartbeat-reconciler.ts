/** @file Reconciles what a worker says of its machine with what the shard's owner knows. */
import type { WorkerHeartbeat } from '../../protocol/model';
import type { ControllerContext } from '../controller-context';
import type { AttemptManager } from './attempt-manager';
import type { Machine } from './machine';
import type { Shard } from './shard';

/** Reconciles the messages of workers, heartbeats and answers to commands alike, with the machines of a shard. */
export class HeartbeatReconciler {
  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  /** Takes in a message of the machine's worker. */
  reconcile(machine: Machine, heartbeat: WorkerHeartbeat): void {
    const { shard } = this;
    const now = this.context.clock.now();
    const { heartbeatTimeoutMs, leaseMs } = shard.timing;
    const wasSilent = !machine.worker.hasRecentHeartbeat(now, heartbeatTimeoutMs);
    const changes = machine.reconcile(heartbeat, now, leaseMs, (job) => this.attempts.describe(job));
    this.#checkFencingToken(machine, heartbeat);
    if (wasSilent) {
      // Out of reach it could not be used: counted as idle all that time, the machines of a zone that had been cut off
      // were returned by the hundred the moment they came back, before any waiting task could be placed there.
      machine.restartIdleTime(now);
      shard.wake();
    }
    machine.cancelDrainIfResponsive();
    this.attempts.apply(machine, changes);
  }

  /** The first message that shows the owner's token proves that nothing from before can start here any more. */
  #checkFencingToken(machine: Machine, heartbeat: WorkerHeartbeat): void {
    const { shard } = this;
    const { number, fencingToken } = shard;
    const { log } = this.context;
    if (heartbeat.fencingToken > fencingToken) {
      log.warn(
        { machine: machine.id, seen: heartbeat.fencingToken, fencingToken },
        'worker has seen a higher fencing token',
      );
    }
    if (machine.isConfirmed || machine.worker.fencingTokenSeen < fencingToken) return;
    shard.confirm(machine);
    log.debug({ shard: number, machine: machine.id, attempts: machine.attempts.size }, 'machine confirmed');
    shard.wake();
  }
}
