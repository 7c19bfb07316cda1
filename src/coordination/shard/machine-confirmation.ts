/** @file Which machines of a shard are confirmed, and how their workers come in after a failover. */
import type { Machine } from './machine';

/** So many machines that are not confirmed yet hold nothing up: they are probed. */
const MAX_UNCONFIRMED_WITHOUT_WAIT = 64;
/** After a failover the first workers come within this time, and each next one. */
const MAX_CONFIRMATION_GAP_MS = 1_500;

/** Machines that an earlier owner's starts may still reach, and when the last of them was confirmed. */
export class MachineConfirmation {
  readonly #unconfirmed = new Set<Machine>();
  #lastConfirmationAt = -Infinity;

  constructor(
    private readonly acquiredAt: number,
    /** Each worker sends a heartbeat here within this time. */
    private readonly heartbeatWindowMs: number,
  ) {}

  /** Machines none of whose messages has shown the owner's fencing token. */
  get unconfirmed(): ReadonlySet<Machine> {
    return this.#unconfirmed;
  }

  /** A machine becomes known. */
  add(machine: Machine): void {
    if (!machine.isConfirmed) this.#unconfirmed.add(machine);
  }

  /** Nothing that an earlier owner sent can still start on the machine. */
  confirm(machine: Machine, now: number): void {
    machine.worker.confirm();
    if (this.#unconfirmed.delete(machine)) this.#lastConfirmationAt = now;
  }

  /**
   * Whether the shard was acquired just now, and the workers of a large fleet are on their way here. Each turn of the
   * event loop accepts but one connection: with rounds, probes and commands going on meanwhile, workers could not get
   * through for ten seconds and more, and lost their leases. So all else waits until they are here, or until no more of
   * them come.
   */
  isAwaitingWorkers(now: number): boolean {
    if (this.#unconfirmed.size <= MAX_UNCONFIRMED_WITHOUT_WAIT) return false;
    return (
      now < this.acquiredAt + this.heartbeatWindowMs &&
      now < Math.max(this.acquiredAt, this.#lastConfirmationAt) + MAX_CONFIRMATION_GAP_MS
    );
  }
}
