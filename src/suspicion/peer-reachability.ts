/** @file Which peers, and which of their workers, this node takes for reachable. */
import type { Clock } from '../base/clock';
import type { PeerHeartbeat } from '../protocol/peers';
import type { PeerLiveness } from './peer-liveness';

/** How long a peer's message, or a report that was redirected, counts. */
const MEMORY_MS = 6_000;
/** An owner that receives nothing from this share of its workers, while another node does, hands over its shard. */
const UNREACHABLE_SHARE = 0.7;
/** Fewer machines than this say nothing about the node. */
const MIN_UNREACHABLE = 3;

/**
 * Which node reaches which workers, as far as the nodes tell each other. A node may be unreachable for its workers
 * alone, or for everybody. Its workers then report to its peers, and must not be redirected to it while they can't reach
 * it: their leases would run out.
 */
export class PeerReachability {
  readonly #peers = new Map<string, PeerHeartbeat>();
  readonly #redirected = new Map<string, { shard: number; at: number }>();
  #heardAt = -Infinity;
  #freshPeerAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** Whether a peer is heard at all. */
    private readonly liveness: PeerLiveness,
  ) {}

  /** A machine reported here although another node owns its shard. */
  recordRedirect(machine: string, shard: number): void {
    this.#redirected.set(machine, { shard, at: this.clock.now() });
  }

  /** Takes in a peer's periodic message. */
  onHeartbeat(heartbeat: PeerHeartbeat): void {
    const now = this.clock.now();
    this.#heardAt = now;
    if (heartbeat.isViewFresh) this.#freshPeerAt = now;
    this.#peers.set(heartbeat.from, heartbeat);
    this.liveness.onHeartbeat(heartbeat);
  }

  /** Steady time of the latest periodic message of any peer. */
  get heardAt(): number {
    return this.#heardAt;
  }

  /** Steady time of the latest message of a peer whose view of the state service was fresh. */
  get freshPeerAt(): number {
    return this.#freshPeerAt;
  }

  /** How many machines of each shard were redirected from here lately. */
  redirected(): { shard: number; machines: number }[] {
    const now = this.clock.now();
    const counts = new Map<number, number>();
    for (const [machine, { shard, at }] of this.#redirected) {
      if (now - at > MEMORY_MS) this.#redirected.delete(machine);
      else counts.set(shard, (counts.get(shard) ?? 0) + 1);
    }
    return [...counts].map(([shard, machines]) => ({ shard, machines }));
  }

  /** Whether a worker may be redirected to the owner of its shard. */
  reaches(owner: string, shard: number): boolean {
    const heartbeat = this.#peers.get(owner);
    if (!heartbeat || this.liveness.isSilent(owner)) return false;
    return !heartbeat.unreachableShards.includes(shard);
  }

  /**
   * The node to hand a shard of ours over to, because its workers reach that node and not this one; undefined when no
   * node qualifies.
   */
  successor(shard: number, machines: number, unreachable: number): string | undefined {
    if (!areMostUnreachable(machines, unreachable)) return undefined;
    let best: { node: string; heard: number } | undefined;
    let heard = 0;
    for (const [node, heartbeat] of this.#peers) {
      if (this.liveness.isSilent(node) || !heartbeat.isViewFresh) continue;
      const here = heartbeat.redirected.find((t) => t.shard === shard)?.machines ?? 0;
      heard += here;
      if (here > (best?.heard ?? 0)) best = { node, heard: here };
    }
    return heard >= machines / 2 ? best?.node : undefined;
  }
}

/** Whether so many machines without a report mean that this node itself is the one that is unreachable. */
export function areMostUnreachable(machines: number, unreachable: number): boolean {
  return unreachable >= MIN_UNREACHABLE && unreachable >= machines * UNREACHABLE_SHARE;
}
