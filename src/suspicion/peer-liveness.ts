/** @file Whether heartbeats of a peer arrive: what relays, redirects and handovers ask of the failure detector. */
import type { Clock } from '../base/clock';
import type { PeerHeartbeat } from '../protocol/peers';

/** Peers send a heartbeat about once a second: one that sent none for longer may be unreachable. */
export const PEER_TIMEOUT_MS = 2_500;

/** A failure detector as seen by whoever asks after one peer. */
export interface PeerLiveness {
  /** A heartbeat of the peer arrived. */
  onHeartbeat(heartbeat: PeerHeartbeat): void;
  /** Whether the peer has been silent for so long that it may be unreachable; also when it never sent a heartbeat. */
  isUnresponsive(peer: string): boolean;
}

/** The detector with suspicion off: a fixed timeout on the steady clock. */
export class FixedTimeoutDetector implements PeerLiveness {
  readonly #lastHeartbeatAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  onHeartbeat({ from }: PeerHeartbeat): void {
    this.#lastHeartbeatAt.set(from, this.clock.now());
  }

  isUnresponsive(peer: string): boolean {
    const lastHeartbeatAt = this.#lastHeartbeatAt.get(peer);
    return lastHeartbeatAt === undefined || this.clock.now() - lastHeartbeatAt > PEER_TIMEOUT_MS;
  }
}
