/** @file What a controller tells its peers of their liveness: its view, a field of the periodic message. */
import * as z from 'zod';

/** What a controller holds of another, by its number on the wire. Numbers are never reused. */
export const PEER_STATUSES = ['unknown', 'alive', 'suspected', 'refuted', 'failed', 'returned'] as const;
/** What a controller holds of another. */
export type PeerStatus = (typeof PEER_STATUSES)[number];

/** Why a status is held, by its number on the wire. Numbers are never reused. */
export const PEER_REASONS = ['none', 'no heartbeat', 'lease ended', 'heard by others'] as const;
/** Why a status is held. */
export type PeerReason = (typeof PEER_REASONS)[number];

/** What the sender holds of one of its peers. */
export interface PeerOpinion {
  readonly node: string;
  readonly status: PeerStatus;
  readonly reason: PeerReason;
  /** For how long it has held this status, in milliseconds. */
  readonly forMs: number;
  /** The run and incarnation of the peer that this is about. */
  readonly run: number;
  readonly incarnation: number;
  /** How long ago it heard the peer, in milliseconds; undefined: never. */
  readonly heardMsAgo: number | undefined;
}

/** A controller's view of its peers, and which of its own lives it speaks for. */
export interface PeerView {
  /** The revision at which the sender's node record was written; 0 while it has none. Rises with every session. */
  readonly run: number;
  /** Raised by the sender, within a run, to refute a suspicion. */
  readonly incarnation: number;
  /** Whether the sender has stalled again and again of late: its opinions don't count. */
  readonly isStalled: boolean;
  readonly opinions: readonly PeerOpinion[];
}

const MAX_NAME_LENGTH = 256;
const count = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
const wireOpinion = z.object({
  node: z.string().min(1).max(MAX_NAME_LENGTH),
  status: z
    .int()
    .min(0)
    .max(PEER_STATUSES.length - 1),
  reason: z
    .int()
    .min(0)
    .max(PEER_REASONS.length - 1),
  forMs: count,
  run: count,
  incarnation: count,
  wasHeard: z.boolean(),
  heardMsAgo: count,
});
const wireView = z.object({
  run: count,
  incarnation: count,
  isStalled: z.boolean(),
  opinions: z.array(wireOpinion),
});

/** The view as protobuf has it. */
export function writePeerView(view: PeerView): z.infer<typeof wireView> {
  return {
    ...view,
    opinions: view.opinions.map((opinion) => ({
      ...opinion,
      status: PEER_STATUSES.indexOf(opinion.status),
      reason: PEER_REASONS.indexOf(opinion.reason),
      forMs: Math.round(opinion.forMs),
      wasHeard: opinion.heardMsAgo !== undefined,
      heardMsAgo: Math.round(opinion.heardMsAgo ?? 0),
    })),
  };
}

/** Reads a view from what protobuf gives; undefined when it is malformed. */
export function readPeerView(raw: unknown): PeerView | undefined {
  const parsed = wireView.safeParse(raw);
  if (!parsed.success) return undefined;
  const opinions = parsed.data.opinions.map(({ wasHeard, heardMsAgo, status, reason, ...opinion }) => ({
    ...opinion,
    status: PEER_STATUSES[status] ?? 'unknown',
    reason: PEER_REASONS[reason] ?? 'none',
    heardMsAgo: wasHeard ? heardMsAgo : undefined,
  }));
  return { ...parsed.data, opinions };
}
