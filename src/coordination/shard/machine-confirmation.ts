/** @file Tracks which machines of a shard are confirmed, and how fast workers connect after a failover. */
import type { Machine } from './machine';

/** Scheduling rounds and probes wait for workers to connect only while more machines than this are unconfirmed. */
const MAX_UNCONFIRMED_WITHOUT_WAIT = 64;
/** After a failover, the wait for workers ends when no machine was confirmed for this long. */
const MAX_CONFIRMATION_GAP_MS = 1_500;

/** Tracks machines whose workers may still execute earlier owners' start commands, and whether to wait for them. */
export class MachineConfirmation {
  readonly #unconfirmed = new Set<Machine>();
  #lastConfirmationAt = -Infinity;

  constructor(
    private readonly acquiredAt: number,
    /** Time after the shard's acquisition within which each worker sends a heartbeat to this owner. */
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

  /** Marks the machine as confirmed: its worker can't execute commands of earlier owners any more. */
  confirm(machine: Machine, now: number): void {
    machine.worker.confirm();
    if (this.#unconfirmed.delete(machine)) this.#lastConfirmationAt = now;
  }

  /**
   * Whether the shard was just acquired and the workers of a large fleet are still connecting. The event loop accepts
   * one connection per iteration: with rounds, probes and commands running meanwhile, workers could not connect for ten
   * seconds and more, and lost their leases. So rounds and probes wait, and few commands are sent, until no more
   * workers connect.
   */
  isAwaitingWorkers(now: number): boolean {
    if (this.#unconfirmed.size <= MAX_UNCONFIRMED_WITHOUT_WAIT) return false;
    return (
      now < this.acquiredAt + this.heartbeatWindowMs &&
      now < Math.max(this.acquiredAt, this.#lastConfirmationAt) + MAX_CONFIRMATION_GAP_MS
    );
  }
}
