/** @file The machines that are to be probed, at a pace that leaves time for all else. */
import type { Machine } from './machine';
import type { Shard } from './shard';

/** Between two probes of a machine. */
const PROBE_INTERVAL_MS = 1_000;
/**
 * Probes that may be in flight and answered soon: each answer costs ten times a heartbeat. Those that have been in flight
 * for longer, to machines beyond a network partition, hold up no others: a few dozen at a time took half a minute for a
 * third of a fleet.
 */
const MAX_RECENT_PROBES = 24;

/**
 * Machines whose workers are asked directly for their state: those that have not shown the owner's fencing token yet, for
 * their heartbeats may be on their way elsewhere, and those that seem to receive no messages.
 */
export class ProbeQueue {
  /** The next one last. */
  #machines: Machine[] = [];
  #filledAt = -Infinity;
  /** Those probed since then whose answers may still come soon. */
  readonly #recent = new Set<Machine>();

  constructor(private readonly shard: Shard) {}

  /** Fills the queue anew; those that were not probed for the longest time go first. */
  fill(now: number): void {
    const { shard } = this;
    const due = new Set(shard.isAwaitingWorkers(now) ? [] : shard.unconfirmedMachines);
    // Workers whose leases another controller relays may be within our reach all the same: their heartbeats go there, so
    // they are probed.
    const { isRelayed } = shard;
    for (const machine of shard.machines.values()) {
      if (
        machine.unresponsiveSince !== undefined ||
        (isRelayed && machine.hasMissedHeartbeats(now, shard.timing.heartbeatTimeoutMs))
      )
        due.add(machine);
    }
    this.#filledAt = now;
    this.#recent.clear();
    this.#machines = [...due].sort((a, b) => b.worker.lastProbeAt - a.worker.lastProbeAt);
  }

  /** The next machine to probe; undefined when there is none, or too many were probed just now. */
  next(now: number, commandsInFlight: ReadonlySet<Machine>): Machine | undefined {
    while (this.#recent.size < MAX_RECENT_PROBES) {
      const machine = this.#machines.pop();
      if (!machine) return undefined;
      if (!this.#needsProbe(machine)) continue;
      if (now - machine.worker.lastProbeAt < PROBE_INTERVAL_MS || commandsInFlight.has(machine)) continue;
      machine.worker.probed(now);
      this.#recent.add(machine);
      return machine;
    }
    return undefined;
  }

  /** The machine's probe has ended, answered or not. */
  onCommandEnded(machine: Machine): void {
    this.#recent.delete(machine);
  }

  #needsProbe(machine: Machine): boolean {
    if (!machine.isUp || machine.isTerminated) return false;
    // A heartbeat that came meanwhile may have shown what the probe was for.
    const hasSentHeartbeat = (machine.lastHeartbeatAt ?? -1) >= this.#filledAt;
    return !(machine.isConfirmed && machine.unresponsiveSince === undefined && hasSentHeartbeat);
  }
}
