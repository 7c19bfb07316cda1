/** @file Drops the attempts on machines whose workers' leases have expired. */
import type { RelayedMachines } from '../../bookkeeping/relay-records';
import type { ControllerContext } from '../controller-context';
import type { AttemptManager } from '../shard/attempt-manager';
import type { Machine } from '../shard/machine';
import type { Shard } from '../shard/shard';

/** Tracks the latest possible renewal of workers' leases, by this owner or by a relay, and drops attempts on expiry. */
export class LeaseExpiry {
  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  /** Assumes that the leases of these machines were renewed just now, because relays may have renewed them until now. */
  assumeRenewed(relayed: RelayedMachines, now: number): void {
    if (relayed === 'all') {
      for (const machine of this.shard.machines.values()) assumeMachineRenewed(machine, now);
      return;
    }
    for (const id of relayed) {
      const machine = this.shard.machines.get(id);
      if (machine) assumeMachineRenewed(machine, now);
    }
  }

  /** Assumes that the leases that other controllers may relay were renewed just now. */
  assumeRenewedIfRelayed(now: number): void {
    this.assumeRenewed(this.shard.relayedMachines, now);
  }

  /**
   * Drops all attempts on machines whose workers' leases had expired before the relay records were confirmed. Neither
   * this owner nor a relay can have renewed these leases, so the workers have killed and forgotten their attempts. A
   * lease that expires during the check, which may take long if this process stalls, is left to the next check: a relay
   * may have renewed it since.
   */
  async dropExpired(): Promise<void> {
    const { store, clock, log } = this.context;
    const checkStartedAt = clock.now();
    // Without the store, relays can't be ruled out, so no attempt is dropped. Releasing a machine still ends its tasks.
    if (store.isUnavailable || this.#expired(checkStartedAt).length === 0) return;
    if (!(await this.shard.confirmRelayRecords())) return;
    // The watch cache now contains all relay records that were written before the check.
    this.assumeRenewedIfRelayed(clock.now());
    for (const machine of this.#expired(checkStartedAt)) {
      log.info({ machine: machine.id, attempts: machine.attempts.size }, 'worker lease expired');
      this.attempts.dropAllAttempts(machine);
    }
  }

  /** Machines with expired worker leases that have attempts, or may have unknown attempts as they are unconfirmed. */
  #expired(now: number): Machine[] {
    const { leaseMs } = this.shard.timing;
    return [...this.shard.machines.values()].filter(
      (machine) =>
        !(machine.isConfirmed && machine.attempts.size === 0) && now > machine.leaseExpiresAt(leaseMs),
    );
  }
}

function assumeMachineRenewed(machine: Machine, now: number): void {
  if (machine.isUp) machine.assumeHeartbeatAnswered(now);
}
