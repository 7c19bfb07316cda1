/** @file Tracks which machines of a shard are confirmed, and how fast workers connect after a failover. */
import type { Machine } from './machine';

/** Rounds, probes and commands wait for workers to connect only while more machines than this are unconfirmed. */
const MAX_UNCONFIRMED_WITHOUT_WAIT = 64;
/** After a failover, the longest expected time until the first machine is confirmed, and between two confirmations. */
const MAX_CONFIRMATION_GAP_MS = 1_500;

/** Unconfirmed machines, whose workers may still execute an earlier owner's starts, and the last confirmation. */
export class MachineConfirmation {
  readonly #unconfirmed = new Set<Machine>();
  #lastConfirmationAt = -Infinity;

  constructor(
    private readonly acquiredAt: number,
    /** Time within which each worker sends a heartbeat to this owner. */
    private readonly heartbeatWindowMs: number,
  ) {}

  /** Machines whose workers may not have seen the owner's fencing token yet. */
  get unconfirmed(): ReadonlySet<Machine> {
    return this.#unconfirmed;
  }

  /** Adds a machine of the shard. */
  add(machine: Machine): void {
    if (!machine.isConfirmed) this.#unconfirmed.add(machine);
  }

  /** Marks the machine as confirmed: no command of an earlier owner can be executed there any more. */
  confirm(machine: Machine, now: number): void {
    machine.worker.confirm();
    if (this.#unconfirmed.delete(machine)) this.#lastConfirmationAt = now;
  }

  /**
   * Whether the shard was just acquired and the workers of a large fleet are still connecting. The event loop accepts
   * one connection per iteration: with rounds, probes and commands running meanwhile, workers could not connect for ten
   * seconds and more, and lost their leases. So all of these wait until the workers are connected, or no more connect.
   */
  isAwaitingWorkers(now: number): boolean {
    if (this.#unconfirmed.size <= MAX_UNCONFIRMED_WITHOUT_WAIT) return false;
    return (
      now < this.acquiredAt + this.heartbeatWindowMs &&
      now < Math.max(this.acquiredAt, this.#lastConfirmationAt) + MAX_CONFIRMATION_GAP_MS
    );
  }
}
