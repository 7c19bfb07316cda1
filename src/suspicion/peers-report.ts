/** @file The report of the controllers' opinions on each other, for operators. */
import type { Uint64 } from '../base/uint64';
import type { PeerOpinion, PeerReason, PeerStatus, PeerView } from '../protocol/peer-view';
import type { RejectionCounts } from './rejected-messages';

/** The opinion of one controller on another. Times in milliseconds. */
export interface PeerRow {
  /** The controller that holds the opinion. */
  readonly from: string;
  readonly peer: string;
  readonly status: PeerStatus;
  readonly reason: PeerReason;
  readonly forMs: number;
  readonly heardMsAgo: number | null;
  readonly run: Uint64;
  readonly incarnation: number;
  /** The phi estimate; only in the opinions of the controller that sent the report. */
  readonly phi: number | null;
}

/** The response to `GET /peers`. */
export interface PeersReport {
  readonly node: string;
  readonly run: Uint64;
  readonly incarnation: number;
  readonly isStalled: boolean;
  /** Number of stalls of this process in the last `stall_window_s` seconds. */
  readonly stalls: number;
  /** Time for which most peers have suspected this controller; null if they don't. */
  readonly suspectedForMs: number | null;
  /** Number of rejected messages of peers, by reason. */
  readonly rejected: RejectionCounts;
  readonly rows: readonly PeerRow[];
}

/** The input of `peersReport`. */
export interface PeersReportInput {
  readonly controllerId: string;
  readonly view: PeerView;
  /** The views that have not expired, by the peers that sent them. */
  readonly views: ReadonlyMap<string, PeerView>;
  /** The phi estimate of a peer's silence; undefined if none can be made. */
  phiOf(peer: string): number | undefined;
  readonly stalls: number;
  readonly suspectedForMs: number | undefined;
  readonly rejected: RejectionCounts;
}

const PHI_DIGITS = 2;

function rowOf(from: string, opinion: PeerOpinion, phi: number | undefined): PeerRow {
  const { node, status, reason, forMs, heardMsAgo, run, incarnation } = opinion;
  return {
    from,
    peer: node,
    status,
    reason,
    forMs: Math.round(forMs),
    heardMsAgo: heardMsAgo === undefined ? null : Math.round(heardMsAgo),
    run,
    incarnation,
    phi: phi === undefined ? null : Number(phi.toFixed(PHI_DIGITS)),
  };
}

/** Builds the report: first the opinions of this controller, then those of its peers, ordered by name. */
export function peersReport(input: PeersReportInput): PeersReport {
  const { controllerId, view, views } = input;
  const own = view.opinions.map((opinion) => rowOf(controllerId, opinion, input.phiOf(opinion.node)));
  const others = [...views]
    .sort(([a], [b]) => a.localeCompare(b))
    .flatMap(([from, { opinions }]) => opinions.map((opinion) => rowOf(from, opinion, undefined)));
  return {
    node: controllerId,
    run: view.run,
    incarnation: view.incarnation,
    isStalled: view.isStalled,
    stalls: input.stalls,
    suspectedForMs: input.suspectedForMs === undefined ? null : Math.round(input.suspectedForMs),
    rejected: input.rejected,
    rows: [...own, ...others],
  };
}
