/** @file Reconciles the state that a worker reports with the state that the shard's owner tracks. */
import type { WorkerHeartbeat } from '../../protocol/model';
import type { ControllerContext } from '../controller-context';
import type { AttemptManager } from './attempt-manager';
import type { Machine } from './machine';
import type { Shard } from './shard';

/** Applies workers' heartbeats, and the heartbeats in responses to commands, to the machines of a shard. */
export class HeartbeatReconciler {
  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  /** Applies a message of the machine's worker. */
  reconcile(machine: Machine, heartbeat: WorkerHeartbeat): void {
    const { shard } = this;
    const now = this.context.clock.now();
    const { heartbeatTimeoutMs, leaseMs } = shard.timing;
    const hadMissedHeartbeats = !machine.worker.hasRecentHeartbeat(now, heartbeatTimeoutMs);
    const changes = machine.reconcile(heartbeat, now, leaseMs, (job) => this.attempts.describe(job));
    this.#checkFencingToken(machine, heartbeat);
    if (hadMissedHeartbeats) {
      // An unreachable machine can't be used, so the unreachable time isn't counted as idle. When it was, hundreds of
      // machines of a partitioned zone were released when the partition ended, before pending tasks could use them.
      machine.restartIdleTime(now);
      shard.wake();
    }
    machine.cancelDrainIfResponsive();
    this.attempts.apply(machine, changes);
  }

  /** Confirms the machine once its worker has seen this owner's token and so rejects commands of earlier owners. */
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
