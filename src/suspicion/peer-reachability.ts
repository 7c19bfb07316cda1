/** @file Tracks which controllers are reachable for this controller and for the workers of their shards. */
import type { Clock } from '../base/clock';
import type { PeerHeartbeat } from '../protocol/peers';
import type { PeerLiveness } from './peer-liveness';

/** A worker counts as redirected for this long after its last redirected heartbeat. */
const REDIRECT_MEMORY_MS = 6_000;
/** A shard is handed over if at least this share of its workers can't reach its owner, but enough reach peers. */
const MIN_UNREACHABLE_SHARE = 0.7;
/** Fewer unreachable machines than this don't indicate a fault of the controller. */
const MIN_UNREACHABLE_MACHINES = 3;

/**
 * Tracks which controllers are reachable for which workers, from the controllers' heartbeats. A controller may be
 * unreachable for its workers only, or for its peers, too. Its workers then send their heartbeats to its peers. They
 * must not be redirected to a controller that they can't reach, or their leases would expire.
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

  /** For each shard of another owner, how many of its machines recently sent heartbeats to this controller. */
  redirectedMachineCounts(): { shard: number; machines: number }[] {
    const now = this.clock.now();
    const counts = new Map<number, number>();
    for (const [machine, { shard, at }] of this.#redirected) {
      if (now - at > REDIRECT_MEMORY_MS) this.#redirected.delete(machine);
      else counts.set(shard, (counts.get(shard) ?? 0) + 1);
    }
    return [...counts].map(([shard, machines]) => ({ shard, machines }));
  }

  /** Whether the owner is reachable for this controller and for the shard's workers, so that they may be redirected. */
  isReachable(owner: string, shard: number): boolean {
    const heartbeat = this.#heartbeats.get(owner);
    if (!heartbeat || this.liveness.isUnresponsive(owner)) return false;
    return !heartbeat.unreachableShards.includes(shard);
  }

  /**
   * The peer to which this controller should hand over a shard because most of the shard's workers reach that peer, but
   * not this controller; undefined if there is none.
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
