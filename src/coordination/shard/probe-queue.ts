/** @file Chooses the machines to probe and limits the rate of probes. */
import { isRelayed } from '../../bookkeeping/relay-records';
import type { Machine } from './machine';
import type { Shard } from './shard';

/** Least time between two probes of a machine. */
const PROBE_INTERVAL_MS = 1_000;
/**
 * Limit on in-flight probes that were sent since the last `fill`, because a response costs ten times as much as a
 * heartbeat. Older probes are to machines behind a network partition and don't count. When they did, probing a third of
 * a fleet, a few dozen at a time, took half a minute.
 */
const MAX_RECENT_PROBES = 24;

/**
 * Machines to probe, that is, to request the state of their workers by a command: unconfirmed machines, because their
 * workers may be sending heartbeats to other controllers, and unresponsive machines.
 */
export class ProbeQueue {
  /** Machines still to be probed, in reverse order: the next one is last. */
  #machines: Machine[] = [];
  #filledAt = -Infinity;
  /** Machines probed since `#filledAt` whose probes are in flight. */
  readonly #recent = new Set<Machine>();

  constructor(private readonly shard: Shard) {}

  /** Refills the queue; the machine that was probed least recently comes first. */
  fill(now: number): void {
    const { shard } = this;
    const due = new Set(shard.isAwaitingWorkers(now) ? [] : shard.unconfirmedMachines);
    // A worker whose lease another controller relays sends its heartbeats to that controller. It is probed, because
    // this owner may still be able to reach it.
    const relayed = shard.relayedMachines;
    for (const machine of shard.machines.values()) {
      if (
        machine.unresponsiveSince !== undefined ||
        (isRelayed(relayed, machine.id) && machine.hasMissedHeartbeats(now, shard.timing.heartbeatTimeoutMs))
      )
        due.add(machine);
    }
    this.#filledAt = now;
    this.#recent.clear();
    this.#machines = [...due].sort((a, b) => b.worker.lastProbeAt - a.worker.lastProbeAt);
  }

  /** Returns the next machine to probe; undefined if there is none, or if `MAX_RECENT_PROBES` is reached. */
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

  /** Notes that a command to the machine, perhaps its probe, got a response or failed. */
  onCommandEnded(machine: Machine): void {
    this.#recent.delete(machine);
  }

  #needsProbe(machine: Machine): boolean {
    if (!machine.isUp || machine.isTerminated) return false;
    // A heartbeat since the last `fill` makes the probe unnecessary if the machine is confirmed and responsive.
    const hasSentHeartbeat = (machine.lastHeartbeatAt ?? -1) >= this.#filledAt;
    return !(machine.isConfirmed && machine.unresponsiveSince === undefined && hasSentHeartbeat);
  }
}
