/** @file A controller's view of its peers' liveness: a field of the heartbeat between controllers. */
import type { Uint64 } from '../base/uint64';
import * as z from 'zod';
import { listOf, parseValue, uint64 } from './schemas';

/** The statuses of a peer; the index is the number on the wire. Numbers are never reused. */
export const PEER_STATUSES = ['unknown', 'alive', 'suspected', 'refuted', 'failed', 'returned'] as const;
/** The status of a peer as seen by a controller. */
export type PeerStatus = (typeof PEER_STATUSES)[number];

/** The reasons for a status; the index is the number on the wire. Numbers are never reused. */
export const PEER_REASONS = ['none', 'no heartbeat', 'lease ended', 'heard by others'] as const;
/** The reason for a status. */
export type PeerReason = (typeof PEER_REASONS)[number];

/** The sender's opinion on one of its peers. */
export interface PeerOpinion {
  /** The peer. */
  readonly node: string;
  readonly status: PeerStatus;
  readonly reason: PeerReason;
  /** Time for which the sender has assigned this status to the peer, in milliseconds. */
  readonly forMs: number;
  /** The session and incarnation of the peer to which the opinion refers. */
  readonly run: Uint64;
  readonly incarnation: number;
  /** Time since the sender received the peer's last message, in milliseconds; undefined: it received none. */
  readonly heardMsAgo: number | undefined;
}

/** A controller's view of its peers, with the controller's own session and incarnation. */
export interface PeerView {
  /** The sender's session: the revision at which its controller record was written, 0 without one. Only increases. */
  readonly run: Uint64;
  /** Increased by the sender, within a session, to refute a suspicion. */
  readonly incarnation: number;
  /** Whether the sender has stalled repeatedly in a short time; its opinions are then ignored. */
  readonly isStalled: boolean;
  readonly opinions: readonly PeerOpinion[];
}

const MAX_NAME_LENGTH = 256;
const count = z.number().min(0).max(Number.MAX_SAFE_INTEGER);

/** A schema for indices into the list. */
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
  run: uint64,
  incarnation: count,
  wasHeard: z.boolean(),
  heardMsAgo: count,
});
const viewSchema = z.object({
  run: uint64,
  incarnation: count,
  isStalled: z.boolean(),
  opinions: listOf(opinionSchema),
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

/** Converts a view to its protobuf form. */
export function writePeerView(view: PeerView): z.infer<typeof viewSchema> {
  return {
    run: view.run,
    incarnation: view.incarnation,
    isStalled: view.isStalled,
    opinions: view.opinions.map(writeOpinion),
  };
}

/** Reads a view from its protobuf form; undefined when it is malformed. */
export function readPeerView(raw: unknown): PeerView | undefined {
  const parsed = parseValue(viewSchema, raw);
  if (!parsed.ok) return undefined;
  const { run, incarnation, isStalled, opinions } = parsed.value;
  return { run, incarnation, isStalled, opinions: opinions.map(toOpinion) };
}
