/** @file Tracks which controllers are reachable for this controller and for the workers of their shards. */
import type { Clock } from '../base/clock';
import type { PeerHeartbeat } from '../protocol/peers';
import type { PeerLiveness } from './peer-liveness';

/** A worker counts as redirected for this long after its last redirected heartbeat. */
const REDIRECT_MEMORY_MS = 6_000;
/** If at least this share of a shard's machines can't reach its owner, the fault is likely the owner's. */
const MIN_UNREACHABLE_SHARE = 0.7;
/** Minimum number of unreachable machines that indicates a fault of the owner. */
const MIN_UNREACHABLE_MACHINES = 3;

/**
 * Tracks which controllers are reachable for which workers, from the controllers' heartbeats. A controller may be
 * unreachable for its workers only, or for its peers, too. The workers then send their heartbeats to peers of the
 * controller. A worker must not be redirected to a controller that it can't reach, or the worker's lease would expire.
 */
export class PeerReachability {
  readonly #heartbeats = new Map<string, PeerHeartbeat>();
  readonly #redirected = new Map<string, { shard: number; at: number }>();
  #lastHeartbeatAt = -Infinity;
  #lastFreshHeartbeatAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** Detects peers whose heartbeats don't arrive. */
    private readonly liveness: PeerLiveness,
  ) {}

  /** Records that a machine sent its heartbeat to this controller although a peer owns its shard. */
  recordRedirect(machine: string, shard: number): void {
    this.#redirected.set(machine, { shard, at: this.clock.now() });
  }

  /** Applies a peer's heartbeat. */
  onHeartbeat(heartbeat: PeerHeartbeat): void {
    const now = this.clock.now();
    this.#lastHeartbeatAt = now;
    if (heartbeat.isViewFresh) this.#lastFreshHeartbeatAt = now;
    this.#heartbeats.set(heartbeat.from, heartbeat);
    this.liveness.onHeartbeat(heartbeat);
  }

  /** Monotonic time of the latest heartbeat of any peer. */
  get lastHeartbeatAt(): number {
    return this.#lastHeartbeatAt;
  }

  /** Monotonic time of the latest heartbeat of a peer whose watch cache was up to date. */
  get lastFreshHeartbeatAt(): number {
    return this.#lastFreshHeartbeatAt;
  }

  /** Counts, for each shard of another owner, the machines that recently sent heartbeats to this controller. */
  redirectedMachineCounts(): { shard: number; machines: number }[] {
    const now = this.clock.now();
    const counts = new Map<number, number>();
    for (const [machine, { shard, at }] of this.#redirected) {
      if (now - at > REDIRECT_MEMORY_MS) this.#redirected.delete(machine);
      else counts.set(shard, (counts.get(shard) ?? 0) + 1);
    }
    return [...counts].map(([shard, machines]) => ({ shard, machines }));
  }

  /** Whether workers may be redirected to a shard's owner: this controller and the shard's workers can reach the owner. */
  isReachable(owner: string, shard: number): boolean {
    const heartbeat = this.#heartbeats.get(owner);
    if (!heartbeat || this.liveness.isUnresponsive(owner)) return false;
    return !heartbeat.unreachableShards.includes(shard);
  }

  /**
   * The peer to which this controller should hand over a shard: the one that the largest number of the shard's
   * machines reach. Undefined unless most of them can't reach this controller and at least half of them reach a peer.
   */
  successor(shard: number, machines: number, unreachable: number): string | undefined {
    if (!areMostUnreachable(machines, unreachable)) return undefined;
    let best: { peer: string; reached: number } | undefined;
    let reachedByPeers = 0;
    for (const [peer, heartbeat] of this.#heartbeats) {
      if (this.liveness.isUnresponsive(peer) || !heartbeat.isViewFresh) continue;
      const reached = heartbeat.redirected.find((entry) => entry.shard === shard)?.machines ?? 0;
      reachedByPeers += reached;
      if (reached > (best?.reached ?? 0)) best = { peer, reached };
    }
    return reachedByPeers >= machines / 2 ? best?.peer : undefined;
  }
}

/** Whether so many machines are unreachable that the fault is likely this controller's. */
export function areMostUnreachable(machines: number, unreachable: number): boolean {
  return unreachable >= MIN_UNREACHABLE_MACHINES && unreachable >= machines * MIN_UNREACHABLE_SHARE;
}
