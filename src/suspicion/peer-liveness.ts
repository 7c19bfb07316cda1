/** @file Whether a peer is heard: the question that relays, redirects and handovers ask of the failure detector. */
import type { Clock } from '../base/clock';
import type { PeerHeartbeat } from '../protocol/peers';

/** Peers send a message about once a second: one that sent none for longer may be unreachable. */
export const PEER_TIMEOUT_MS = 2_500;

/** A failure detector as seen by whoever asks after one peer. */
export interface PeerLiveness {
  /** A periodic message of the peer came. */
  onHeartbeat(heartbeat: PeerHeartbeat): void;
  /** Whether the peer has been silent for so long that it may be unreachable; also when it was never heard. */
  isSilent(node: string): boolean;
}

/** The detector with suspicion off: a fixed timeout on the steady clock. */
export class FixedTimeout implements PeerLiveness {
  readonly #heardAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  onHeartbeat({ from }: PeerHeartbeat): void {
    this.#heardAt.set(from, this.clock.now());
  }

  isSilent(node: string): boolean {
    const heardAt = this.#heardAt.get(node);
    return heardAt === undefined || this.clock.now() - heardAt > PEER_TIMEOUT_MS;
  }
}
