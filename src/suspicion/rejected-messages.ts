/** @file Rejects invalid heartbeats of peers, counts them, and logs the first one for each reason. */
import type { Log } from '../base/log';
import type { PeerHeartbeat } from '../protocol/peers';
import type { PeerDetector } from './peer-detector';

/** The reason for a rejection, as written to the log and to the response to `GET /peers`. */
export type RejectionReason = 'malformed view' | 'unknown node' | 'earlier run' | 'earlier incarnation';

/** Number of rejected messages, by reason. */
export type RejectionCounts = Readonly<Partial<Record<RejectionReason, number>>>;

/** The reason for which a received heartbeat is invalid; undefined if it is valid. */
export function rejectionReason(
  { from, view, isViewMalformed = false }: PeerHeartbeat,
  controllerId: string,
  detector: PeerDetector,
): RejectionReason | undefined {
  const isKnown = (controller: string): boolean => controller === controllerId || detector.has(controller);
  const sender = detector.state(from);
  if (!sender || view?.opinions.some(({ node }) => !isKnown(node))) return 'unknown node';
  if (isViewMalformed) return 'malformed view';
  // A sender without a session has no session epoch to compare.
  if (!view || view.run === 0) return undefined;
  if (view.run < sender.sessionEpoch) return 'earlier run';
  const isSameSession = view.run === sender.sessionEpoch;
  return isSameSession && view.incarnation < sender.incarnation ? 'earlier incarnation' : undefined;
}

/** Counts rejected messages by reason. Only the first for each reason is logged, so that a peer can't flood the log. */
export class RejectedMessages {
  readonly #counts = new Map<RejectionReason, number>();

  constructor(private readonly log: Log) {}

  /** Number of messages rejected so far, by reason. */
  get counts(): RejectionCounts {
    return Object.fromEntries(this.#counts);
  }

  /** Counts a rejected message. */
  add(reason: RejectionReason, from: string): void {
    const count = (this.#counts.get(reason) ?? 0) + 1;
    this.#counts.set(reason, count);
    if (count === 1) this.log.warn({ reason, from }, 'peer message rejected; further ones are only counted');
  }
}
