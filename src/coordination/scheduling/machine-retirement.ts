/** @file Drains machines that booted too late or are unresponsive, so that they are released. */
import { areMostUnreachable } from '../../suspicion/peer-reachability';
import type { ControllerContext } from '../controller-context';
import type { AttemptManager } from '../shard/attempt-manager';
import type { DrainReason, Machine } from '../shard/machine';
import type { Shard } from '../shard/shard';

/** Time from the expiry of a worker's lease until the unresponsive machine is drained; a partition may end before. */
const GIVE_UP_AFTER_LEASE_MS = 20_000;

/** The monotonic times after which an unusable machine is drained. */
export interface RetirementLimits {
  /** The latest time by which the machine should have booted. */
  readonly bootDeadline: number;
  /** The time after which the machine is drained as unresponsive, unless it is busy. */
  readonly giveUpAt: number;
}

/** The reason to drain a machine; undefined if it is in use, or may still become usable. */
export function retirementReason(
  machine: Pick<Machine, 'isUp' | 'hasSentHeartbeat' | 'isBusy'>,
  limits: RetirementLimits,
  now: number,
): DrainReason | undefined {
  // Writes to the key-value store are rate-limited, so recording thousands of machines as up takes minutes. Therefore a
  // machine that has sent a heartbeat is not late.
  if (!machine.isUp) return !machine.hasSentHeartbeat && now > limits.bootDeadline ? 'late boot' : undefined;
  return !machine.isBusy && now > limits.giveUpAt ? 'unresponsive' : undefined;
}

/** Drains machines that boot too late, that are unresponsive, or whose cancelled tasks can't be stopped. */
export class MachineRetirement {
  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  run(now: number): void {
    this.#drainUnreachableWithCancelledTasks(now);
    this.#drainUnusable(now);
  }

  /**
   * Drains unreachable machines with cancelled tasks, because their release confirms that these tasks have ended. They
   * are drained even if so many machines are unresponsive that a partition is assumed, or if other controllers relay the
   * leases: a stalled worker receives no commands from a relay or the owner.
   */
  #drainUnreachableWithCancelledTasks(now: number): void {
    const { heartbeatTimeoutMs } = this.shard.timing;
    for (const [, machine] of this.attempts.overdueEvictions(now)) {
      if (machine.drainReason !== undefined) continue;
      if (!machine.hasMissedHeartbeats(now, heartbeatTimeoutMs)) continue;
      this.context.log.info({ machine: machine.id }, 'cancelled task cannot be stopped: machine unreachable');
      machine.drainAsUnresponsive();
    }
  }

  #drainUnusable(now: number): void {
    const { leaseMs } = this.shard.timing;
    const { late_boot_factor } = this.context.settings.operator;
    // If hardly any machine reaches this owner, the fault is likely the owner's, and the machines will be back. Their tasks
    // are issued again once their leases have expired, but the machines are kept.
    const { machines, unreachable } = this.shard.workerReachability(now);
    const isLikelyOwnFault = areMostUnreachable(machines, unreachable);
    for (const machine of this.shard.machines.values()) {
      if (machine.drainReason !== undefined) continue;
      const limits = {
        bootDeadline: machine.rentedSince + machine.type.bootS * late_boot_factor * 1000,
        giveUpAt: isLikelyOwnFault ? Infinity : machine.leaseExpiresAt(leaseMs) + GIVE_UP_AFTER_LEASE_MS,
      };
      const reason = retirementReason(machine, limits, now);
      if (reason !== undefined) machine.drain(reason);
    }
  }
}
