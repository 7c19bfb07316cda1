/** @file Which messages of peers are rejected; counts them, and logs the first of each kind. */
import type { Log } from '../base/log';
import type { PeerHeartbeat } from '../protocol/peers';
import type { PeerDetector } from './peer-detector';

/** Why a message is rejected, as the log and the answer to `GET /peers` give it. */
export type RejectionReason = 'malformed view' | 'unknown node' | 'earlier run' | 'earlier incarnation';

/** How many messages were rejected, by reason. */
export type RejectionCounts = Readonly<Partial<Record<RejectionReason, number>>>;

/** Why a heartbeat that reaches this controller can't be right; undefined: it can. */
export function rejectionReason(
  { from, view, isViewMalformed = false }: PeerHeartbeat,
  controllerId: string,
  detector: PeerDetector,
): RejectionReason | undefined {
  const isKnown = (controller: string): boolean => controller === controllerId || detector.has(controller);
  const sender = detector.state(from);
  if (!sender || view?.opinions.some(({ node }) => !isKnown(node))) return 'unknown node';
  if (isViewMalformed) return 'malformed view';
  // A sender without a session says nothing of its epoch.
  if (!view || view.run === 0) return undefined;
  if (view.run < sender.sessionEpoch) return 'earlier run';
  const isSameSession = view.run === sender.sessionEpoch;
  return isSameSession && view.incarnation < sender.incarnation ? 'earlier incarnation' : undefined;
}

/** Messages that were rejected, counted by reason. A peer that goes on sending them does not fill the log. */
export class RejectedMessages {
  readonly #counts = new Map<RejectionReason, number>();

  constructor(private readonly log: Log) {}

  /** How many were rejected so far, by reason. */
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
