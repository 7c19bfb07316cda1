import type { Clock } from '../base/clock';
import type { Progress } from '../protocol/peers';

/** How long what a peer said, or a report that was turned away, counts. */
const MEMORY_MS = 6_000;
/** Peers speak about once a second: one that was silent for longer may be cut off. */
export const SILENT_MS = 2_500;
/** An owner that does not hear this part of its workers, while another node does, gives its block to that node. */
const MOST = 0.7;

/**
 * Who reaches whom, as far as the nodes can tell each other. A node may be cut from the workers alone, or from all:
 * then its workers come to the others, and must not be sent back to it for as long as their leases last.
 */
export class Reach {
  readonly #peers = new Map<string, { at: number; progress: Progress }>();
  readonly #turnedAway = new Map<string, { block: number; at: number }>();

  constructor(private readonly clock: Clock) {}

  /** A machine reported here although another node owns its block. */
  turnAway(machine: string, block: number): void {
    this.#turnedAway.set(machine, { block, at: this.clock.now() });
  }

  onProgress(progress: Progress): void {
    this.#peers.set(progress.from, { at: this.clock.now(), progress });
  }

  /** How many machines of each block were turned away here lately. */
  turnedAway(): { block: number; machines: number }[] {
    const now = this.clock.now();
    const counts = new Map<number, number>();
    for (const [machine, { block, at }] of this.#turnedAway) {
      if (now - at > MEMORY_MS) this.#turnedAway.delete(machine);
      else counts.set(block, (counts.get(block) ?? 0) + 1);
    }
    return [...counts].map(([block, machines]) => ({ block, machines }));
  }

  /** Whether a worker may be sent to the owner of its block. */
  reaches(owner: string, block: number): boolean {
    const peer = this.#peers.get(owner);
    if (!peer || this.clock.now() - peer.at > SILENT_MS) return false;
    return !peer.progress.unheard.includes(block);
  }

  /** The node that hears the workers of a block which we own and don't hear; undefined when no node does. */
  heir(block: number, machines: number, unheard: number): string | undefined {
    if (!isUnheard(machines, unheard)) return undefined;
    const now = this.clock.now();
    let best: { node: string; heard: number } | undefined;
    let heard = 0;
    for (const [node, { at, progress }] of this.#peers) {
      if (now - at > SILENT_MS || !progress.fresh) continue;
      const here = progress.turnedAway.find((t) => t.block === block)?.machines ?? 0;
      heard += here;
      if (here > (best?.heard ?? 0)) best = { node, heard: here };
    }
    return heard >= machines / 2 ? best?.node : undefined;
  }
}

/** Whether so many silent machines are likely our own fault. */
export function isUnheard(machines: number, unheard: number): boolean {
  return unheard > 2 && unheard >= machines * MOST;
}
