/** @file Drops the attempts of machines whose workers' leases expired. */
import type { ControllerContext } from '../controller-context';
import type { AttemptManager } from '../shard/attempt-manager';
import type { Machine } from '../shard/machine';
import type { Shard } from '../shard/shard';

/** Follows up to when workers' leases may have been renewed, by this owner or by a relay, and what ends with them. */
export class LeaseExpiry {
  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  /** Some controller relays leases, or has until now: any unresponsive worker may have been answered just now. */
  assumeAllRenewed(now: number): void {
    for (const machine of this.shard.machines.values()) {
      if (machine.isUp) machine.assumeHeartbeatAnswered(now);
    }
  }

  /** The same, if a controller relays leases of the shard. */
  assumeRenewedIfRelayed(now: number): void {
    if (this.shard.isRelayed) this.assumeAllRenewed(now);
  }

  /**
   * Drops all that was on machines whose workers' leases expired: those workers have killed and forgotten it, for neither
   * we nor a relay can have answered them since.
   */
  async dropExpired(): Promise<void> {
    // Without the key-value store it can't be found out who relays; returning a machine proves its end all the same.
    if (this.context.store.isUnavailable || this.#expired(this.context.clock.now()).length === 0) return;
    if (!(await this.shard.confirmNotRelayed())) return;
    // What was relayed until a moment ago is in our view by now.
    const now = this.context.clock.now();
    this.assumeRenewedIfRelayed(now);
    for (const machine of this.#expired(now)) {
      this.context.log.info({ machine: machine.id, attempts: machine.attempts.size }, 'worker lease expired');
      this.attempts.dropAllAttempts(machine);
    }
  }

  /** Machines whose leases expired while something was, or may have been, on them. */
  #expired(now: number): Machine[] {
    const { leaseMs } = this.shard.timing;
    return [...this.shard.machines.values()].filter(
      (machine) =>
        !(machine.isConfirmed && machine.attempts.size === 0) && now > machine.leaseExpiresAt(leaseMs),
    );
  }
}
