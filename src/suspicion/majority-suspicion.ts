/** @file Whether most controllers suspect one of them. A pure function of the views that they sent. */
import type { PeerView } from '../protocol/peer-view';
import { isSuspect } from './peer-state';

/** A controller and its session epoch: opinions of an earlier session of it say nothing about this one. */
export interface ControllerSession {
  readonly controller: string;
  readonly sessionEpoch: number;
}

/**
 * Whether more than half of all other controllers suspect one. Those that are down, or of a version without views, don't
 * vote and count all the same: the opinion of a single controller is not that of most. Views of stalled controllers don't
 * count either.
 */
export function isSuspectedByMajority(
  { controller, sessionEpoch }: ControllerSession,
  views: ReadonlyMap<string, PeerView>,
  otherControllers: number,
): boolean {
  const isAgainst = (view: PeerView): boolean =>
    view.opinions.some(
      ({ node, run, status }) => node === controller && run >= sessionEpoch && isSuspect(status),
    );
  const votes = [...views].filter(
    ([voter, view]) => voter !== controller && !view.isStalled && isAgainst(view),
  );
  return votes.length * 2 > otherControllers;
}
