/** @file Detects that heartbeats of a peer don't arrive, for lease relays, redirects and handovers. */
import type { Clock } from '../base/clock';
import type { PeerHeartbeat } from '../protocol/peers';

/** A peer without a heartbeat for this long may be unreachable. Peers send heartbeats about once a second. */
export const PEER_TIMEOUT_MS = 2_500;

/** A failure detector for peers. */
export interface PeerLiveness {
  /** Applies a received heartbeat. */
  onHeartbeat(heartbeat: PeerHeartbeat): void;
  /** Whether no heartbeat of the peer has arrived for so long that it may be unreachable, or none has ever arrived. */
  isUnresponsive(peer: string): boolean;
}

/** The detector that is used when suspicion is off: a fixed timeout on the monotonic clock. */
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
