/** @file Decides whether a majority suspects a controller. A pure function of the views in the controllers' heartbeats. */
import type { Uint64 } from '../base/uint64';
import type { PeerView } from '../protocol/peer-view';
import { isSuspect } from './peer-state';

/** A controller and its session epoch. Opinions on an earlier session of the controller are ignored. */
export interface ControllerSession {
  readonly controller: string;
  readonly sessionEpoch: Uint64;
}

/**
 * Whether more than half of all other controllers suspect a controller. Other controllers that are down, stalled, or of a
 * version without views have no vote, but still count in the total. So one of two others is never a majority.
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
