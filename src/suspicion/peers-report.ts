/** @file What a controller and its peers hold of each other, as operators are shown it. */
import type { PeerOpinion, PeerReason, PeerStatus, PeerView } from '../protocol/peer-view';
import type { RejectionCounts } from './rejected-messages';

/** What one controller holds of another. Times in milliseconds. */
export interface PeerRow {
  /** Whose opinion it is. */
  readonly from: string;
  readonly peer: string;
  readonly status: PeerStatus;
  readonly reason: PeerReason;
  readonly forMs: number;
  readonly heardMsAgo: number | null;
  readonly run: number;
  readonly incarnation: number;
  /** The accrual estimate; only for the opinions of the controller that was asked. */
  readonly phi: number | null;
}

/** The answer to `GET /peers`. */
export interface PeersReport {
  readonly node: string;
  readonly run: number;
  readonly incarnation: number;
  readonly isStalled: boolean;
  /** Stalls of this process within the window. */
  readonly stalls: number;
  /** For how long most peers have suspected this controller; null: they don't. */
  readonly suspectedForMs: number | null;
  /** Messages of peers that were rejected, by reason. */
  readonly rejected: RejectionCounts;
  readonly rows: readonly PeerRow[];
}

/** What a report is made of. */
export interface PeersReportInput {
  readonly controllerId: string;
  readonly view: PeerView;
  /** The views of peers that count, by their senders. */
  readonly views: ReadonlyMap<string, PeerView>;
  /** The accrual estimate of a peer's silence; undefined where none is made. */
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

/** Puts the report together: the opinions of this controller first, then those of its peers by their names. */
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
