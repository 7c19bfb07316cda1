/** @file The workers of one shard whose leases a relay renews or is asked to renew. */
import type { Uint64 } from '../../base/uint64';

/** The machines that the relay's acknowledged record covers, and the session lease to which the record is bound. */
interface Coverage {
  readonly sessionLease: Uint64;
  readonly machines: ReadonlySet<string>;
  /** Whether the store's record is known to cover just these machines: no write or deletion without a response followed. */
  readonly isCurrent: boolean;
}

/** Tracks which workers of a shard rely on a relay, and which of them its acknowledged record covers. */
export class RelayedWorkers {
  /** Monotonic time of the last heartbeat of each worker that relies on the relay, by machine. */
  readonly #lastHeartbeatAt = new Map<string, number>();
  #coverage: Coverage | undefined;
  #waiting: (() => void)[] = [];

  /** Notes that the machine's worker sent its heartbeat to the relay. */
  heartbeatReceived(machine: string, now: number): void {
    this.#lastHeartbeatAt.set(machine, now);
  }

  /** The machines with a heartbeat within the last `leaseMs`; a worker without one has lost its lease. */
  active(now: number, leaseMs: number): string[] {
    for (const [machine, at] of this.#lastHeartbeatAt) {
      if (now - at > leaseMs) this.#lastHeartbeatAt.delete(machine);
    }
    return [...this.#lastHeartbeatAt.keys()];
  }

  /** Whether the relay may have a record in the store. */
  get hasRecord(): boolean {
    return this.#coverage !== undefined;
  }

  /** Whether an acknowledged record, bound to this session lease, covers the machine. */
  covers(machine: string, sessionLease: Uint64): boolean {
    return this.#coverage?.sessionLease === sessionLease && this.#coverage.machines.has(machine);
  }

  /** Whether the store's record covers these machines and no others. */
  coversExactly(machines: readonly string[], sessionLease: Uint64): boolean {
    const { isCurrent = false, machines: covered } = this.#coverage ?? {};
    return (
      isCurrent &&
      covered?.size === machines.length &&
      machines.every((machine) => this.covers(machine, sessionLease))
    );
  }

  /**
   * Notes that a record of these machines is being written. Only those that the previous record covers too may get
   * responses until the write is acknowledged.
   */
  recordWriteStarted(machines: readonly string[], sessionLease: Uint64): void {
    const covered = machines.filter((machine) => this.covers(machine, sessionLease));
    this.#coverage = { sessionLease, machines: new Set(covered), isCurrent: false };
  }

  /** Notes that the store acknowledged the record of these machines. */
  recordWritten(machines: readonly string[], sessionLease: Uint64): void {
    this.#coverage = { sessionLease, machines: new Set(machines), isCurrent: true };
  }

  /** Forgets all workers, because the relay ends or lost its session. No worker is covered from then on. */
  clear(): void {
    this.#coverage = undefined;
    this.#lastHeartbeatAt.clear();
  }

  /** Resolves once the record was next looked after, whether or not it covers the worker then. */
  nextUpdate(): Promise<void> {
    return new Promise((resolve) => {
      this.#waiting.push(resolve);
    });
  }

  /** Begins an update of the record; the returned function ends the waits that began before it. */
  beginUpdate(): () => void {
    const waiting = this.#waiting;
    this.#waiting = [];
    return () => {
      for (const resolve of waiting) resolve();
    };
  }
}
