/** @file A controller's view of its peers' liveness: a field of the heartbeat between controllers. */
import * as z from 'zod';

/** What a controller holds of a peer, by its number on the wire. Numbers are never reused. */
export const PEER_STATUSES = ['unknown', 'alive', 'suspected', 'refuted', 'failed', 'returned'] as const;
/** What a controller holds of a peer. */
export type PeerStatus = (typeof PEER_STATUSES)[number];

/** Why a status is held, by its number on the wire. Numbers are never reused. */
export const PEER_REASONS = ['none', 'no heartbeat', 'lease ended', 'heard by others'] as const;
/** Why a status is held. */
export type PeerReason = (typeof PEER_REASONS)[number];

/** What the sender holds of one of its peers. */
export interface PeerOpinion {
  /** The peer. */
  readonly node: string;
  readonly status: PeerStatus;
  readonly reason: PeerReason;
  /** For how long the sender has held this status, in milliseconds. */
  readonly forMs: number;
  /** The run and incarnation of the peer that this is about. */
  readonly run: number;
  readonly incarnation: number;
  /** Time since the peer's last message arrived, in milliseconds; undefined: none ever did. */
  readonly heardMsAgo: number | undefined;
}

/** A controller's view of its peers, and the run and incarnation of its own that it speaks for. */
export interface PeerView {
  /** The revision at which the sender's controller record was written; 0 while it has none. Rises with every session. */
  readonly run: number;
  /** Raised by the sender, within a run, to refute a suspicion. */
  readonly incarnation: number;
  /** Whether the sender has stalled repeatedly in a short time: its opinions don't count. */
  readonly isStalled: boolean;
  readonly opinions: readonly PeerOpinion[];
}

const MAX_NAME_LENGTH = 256;
const count = z.number().min(0).max(Number.MAX_SAFE_INTEGER);

/** The number of an item of the list, as the wire has it. */
function indexOf(list: readonly string[]): z.ZodInt {
  return z
    .int()
    .min(0)
    .max(list.length - 1);
}

const opinionSchema = z.object({
  node: z.string().min(1).max(MAX_NAME_LENGTH),
  status: indexOf(PEER_STATUSES),
  reason: indexOf(PEER_REASONS),
  forMs: count,
  run: count,
  incarnation: count,
  wasHeard: z.boolean(),
  heardMsAgo: count,
});
const viewSchema = z.object({
  run: count,
  incarnation: count,
  isStalled: z.boolean(),
  opinions: z.array(opinionSchema),
});

function writeOpinion(opinion: PeerOpinion): z.infer<typeof opinionSchema> {
  return {
    node: opinion.node,
    status: PEER_STATUSES.indexOf(opinion.status),
    reason: PEER_REASONS.indexOf(opinion.reason),
    forMs: Math.round(opinion.forMs),
    run: opinion.run,
    incarnation: opinion.incarnation,
    wasHeard: opinion.heardMsAgo !== undefined,
    heardMsAgo: Math.round(opinion.heardMsAgo ?? 0),
  };
}

function toOpinion(wire: z.infer<typeof opinionSchema>): PeerOpinion {
  return {
    node: wire.node,
    status: PEER_STATUSES[wire.status] ?? 'unknown',
    reason: PEER_REASONS[wire.reason] ?? 'none',
    forMs: wire.forMs,
    run: wire.run,
    incarnation: wire.incarnation,
    heardMsAgo: wire.wasHeard ? wire.heardMsAgo : undefined,
  };
}

/** The view as protobuf has it. */
export function writePeerView(view: PeerView): z.infer<typeof viewSchema> {
  return {
    run: view.run,
    incarnation: view.incarnation,
    isStalled: view.isStalled,
    opinions: view.opinions.map(writeOpinion),
  };
}

/** Reads a view from what protobuf gives; undefined when it is malformed. */
export function readPeerView(raw: unknown): PeerView | undefined {
  const parsed = viewSchema.safeParse(raw);
  if (!parsed.success) return undefined;
  const { run, incarnation, isStalled, opinions } = parsed.data;
  return { run, incarnation, isStalled, opinions: opinions.map(toOpinion) };
}
