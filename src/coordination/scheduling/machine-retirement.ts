/** @file Drains machines that are of no more use, so that they are returned. */
import type { ControllerContext } from '../controller-context';
import type { AttemptManager } from '../shard/attempt-manager';
import type { DrainReason, Machine } from '../shard/machine';
import type { Shard } from '../shard/shard';

/** An unresponsive machine that a partition may have cut off from us is given up this long after its lease expired. */
const GIVE_UP_AFTER_LEASE_MS = 20_000;

/** Up to when a machine that isn't usable is waited for. */
export interface RetirementLimits {
  /** When it should have been up. */
  readonly bootDeadline: number;
  /** When an unresponsive machine is given up. */
  readonly giveUpAt: number;
}

/** Why a machine is of no more use; undefined when it is, or may still become so. */
export function retirementReason(
  machine: Pick<Machine, 'isUp' | 'hasSentHeartbeat' | 'isBusy'>,
  limits: RetirementLimits,
  now: number,
): DrainReason | undefined {
  // Within the limit on changes, recording thousands of machines as up takes minutes: those that send heartbeats aren't
  // late.
  if (!machine.isUp) return !machine.hasSentHeartbeat && now > limits.bootDeadline ? 'late boot' : undefined;
  return !machine.isBusy && now > limits.giveUpAt ? 'unresponsive' : undefined;
}

/** Drains machines that boot too late, that are unresponsive, or that hold cancelled tasks out of reach. */
export class MachineRetirement {
  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  run(now: number): void {
    this.#drainHoldersOfCancelledTasks(now);
    this.#drainUseless(now);
  }

  /**
   * A cancelled task on a machine that can't be reached is proved gone by returning the machine, also where many are
   * unresponsive at once, so that a partition is assumed, or other controllers relay the leases: a worker that hangs
   * receives neither the relay's commands nor ours.
   */
  #drainHoldersOfCancelledTasks(now: number): void {
    const { heartbeatTimeoutMs } = this.shard.timing;
    for (const [, machine] of this.attempts.overdueEvictions(now)) {
      if (machine.drainReason !== undefined) continue;
      if (!machine.hasMissedHeartbeats(now, heartbeatTimeoutMs)) continue;
      this.context.log.info({ machine: machine.id }, 'cancelled task cannot be stopped: machine unreachable');
      machine.drainAsUnresponsive();
    }
  }

  #drainUseless(now: number): void {
    const { leaseMs } = this.shard.timing;
    const { late_boot_factor } = this.context.settings.operator;
    for (const machine of this.shard.machines.values()) {
      if (machine.drainReason !== undefined) continue;
      const limits = {
        bootDeadline: machine.rentedSince + machine.type.bootS * late_boot_factor * 1000,
        giveUpAt: machine.leaseExpiresAt(leaseMs) + GIVE_UP_AFTER_LEASE_MS,
      };
      const reason = retirementReason(machine, limits, now);
      if (reason !== undefined) machine.drain(reason);
    }
  }
}
