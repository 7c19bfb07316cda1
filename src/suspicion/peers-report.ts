/** @file What a controller and its peers hold of each other, as operators are shown it. */
import type { PeerReason, PeerStatus, PeerView } from '../protocol/peer-view';

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
  /** Messages of peers that were dropped, by reason. */
  readonly rejected: Readonly<Record<string, number>>;
  readonly rows: readonly PeerRow[];
}

/** What a report is made of. */
export interface PeersReportFacts {
  readonly node: string;
  readonly view: PeerView;
  /** The views of peers that count, by their senders. */
  readonly views: ReadonlyMap<string, PeerView>;
  silenceOf(peer: string): { phi: number | undefined };
  readonly stalls: number;
  readonly suspectedForMs: number | undefined;
  readonly rejected: Readonly<Record<string, number>>;
}

const PHI_DIGITS = 2;

function rowsOf(from: string, view: PeerView, phiOf: (peer: string) => number | undefined): PeerRow[] {
  return view.opinions.map(({ node, status, reason, forMs, heardMsAgo, run, incarnation }) => {
    const phi = phiOf(node);
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
  });
}

/** Puts the report together: the opinions of this controller first, then those of its peers by their names. */
export function peersReport(facts: PeersReportFacts): PeersReport {
  const { node, view, views } = facts;
  const own = rowsOf(node, view, (peer) => facts.silenceOf(peer).phi);
  const others = [...views]
    .sort(([a], [b]) => a.localeCompare(b))
    .flatMap(([from, theirs]) => rowsOf(from, theirs, () => undefined));
  return {
    node,
    run: view.run,
    incarnation: view.incarnation,
    isStalled: view.isStalled,
    stalls: facts.stalls,
    suspectedForMs: facts.suspectedForMs === undefined ? null : Math.round(facts.suspectedForMs),
    rejected: facts.rejected,
    rows: [...own, ...others],
  };
}
