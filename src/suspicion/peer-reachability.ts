/** @file Which peers, and which of their workers, this controller takes for reachable. */
import type { Clock } from '../base/clock';
import type { PeerHeartbeat } from '../protocol/peers';
import type { PeerLiveness } from './peer-liveness';

/** How long a redirected heartbeat of a worker counts. */
const REDIRECT_MEMORY_MS = 6_000;
/** An owner that receives nothing from this share of its workers, while a peer does, hands over its shard. */
const MIN_UNREACHABLE_SHARE = 0.7;
/** Fewer machines than this say nothing about the controller. */
const MIN_UNREACHABLE_MACHINES = 3;

/**
 * Which controller reaches which workers, as far as the controllers tell each other. A controller may be unreachable for
 * its workers alone, or for all. Its workers then send their heartbeats to its peers, and must not be redirected to it
 * while they can't reach it: their leases would expire.
 */
export class PeerReachability {
  readonly #heartbeats = new Map<string, PeerHeartbeat>();
  readonly #redirected = new Map<string, { shard: number; at: number }>();
  #lastHeartbeatAt = -Infinity;
  #lastFreshHeartbeatAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** Whether a peer's heartbeats arrive at all. */
    private readonly liveness: PeerLiveness,
  ) {}

  /** A machine sent its heartbeat to this controller although a peer owns its shard. */
  recordRedirect(machine: string, shard: number): void {
    this.#redirected.set(machine, { shard, at: this.clock.now() });
  }

  /** Takes in a peer's heartbeat. */
  onHeartbeat(heartbeat: PeerHeartbeat): void {
    const now = this.clock.now();
    this.#lastHeartbeatAt = now;
    if (heartbeat.isViewFresh) this.#lastFreshHeartbeatAt = now;
    this.#heartbeats.set(heartbeat.from, heartbeat);
    this.liveness.onHeartbeat(heartbeat);
  }

  /** Steady time of the latest heartbeat of any peer. */
  get lastHeartbeatAt(): number {
    return this.#lastHeartbeatAt;
  }

  /** Steady time of the latest heartbeat of a peer whose view of the key-value store was fresh. */
  get lastFreshHeartbeatAt(): number {
    return this.#lastFreshHeartbeatAt;
  }

  /** How many machines of each shard were redirected from here lately. */
  redirectedMachineCounts(): { shard: number; machines: number }[] {
    const now = this.clock.now();
    const counts = new Map<number, number>();
    for (const [machine, { shard, at }] of this.#redirected) {
      if (now - at > REDIRECT_MEMORY_MS) this.#redirected.delete(machine);
      else counts.set(shard, (counts.get(shard) ?? 0) + 1);
    }
    return [...counts].map(([shard, machines]) => ({ shard, machines }));
  }

  /** Whether a worker may be redirected to the owner of its shard. */
  isReachable(owner: string, shard: number): boolean {
    const heartbeat = this.#heartbeats.get(owner);
    if (!heartbeat || this.liveness.isUnresponsive(owner)) return false;
    return !heartbeat.unreachableShards.includes(shard);
  }

  /**
   * The peer to hand an owned shard over to, because its workers reach that peer and not this controller; undefined when
   * no peer qualifies.
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

/** Whether so many machines without a heartbeat mean that this controller itself is the one that is unreachable. */
export function areMostUnreachable(machines: number, unreachable: number): boolean {
  return unreachable >= MIN_UNREACHABLE_MACHINES && unreachable >= machines * MIN_UNREACHABLE_SHARE;
}
