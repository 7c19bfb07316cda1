/** @file Messages between controllers: their types, and their encoding with protobuf (`peer.proto`). */
import * as protobuf from 'protobufjs';
import { readPeerView, writePeerView, type PeerView } from './peer-view';
import definition from './peer.proto';
import { codec } from './codec';
import type { ChangeEvent } from './key-value-store';

/** How far a live job is, for display. */
export interface JobProgress {
  id: string;
  running: number;
  done: number;
}

/** The owner of a shard that can't reach the key-value store asks its peers to extend its lease. */
export interface LeaseExtensionRequest {
  from: string;
  /** Counts the requests of this sender. */
  number: number;
  /** How far the sender's view of the records reaches. */
  revision: number;
}

/** The sender will acquire no shard for a while, and names jobs that the requester may not know to have ended. */
export interface LeaseExtensionGrant {
  from: string;
  to: string;
  /** The number of the request. */
  number: number;
  endedJobs: { id: string; version: number }[];
}

/** The periodic message of a controller to its peers. */
export interface PeerHeartbeat {
  from: string;
  /** Whether the sender's view of the key-value store is recent. */
  isViewFresh: boolean;
  jobs: JobProgress[];
  /** Shards that the sender owns and most of whose workers don't reach it. */
  unreachableShards: number[];
  /** Machines of other owners' shards whose heartbeats came to the sender lately, by shard. */
  redirected: { shard: number; machines: number }[];
  /** Absent with suspicion off at the sender, and from versions that know none. */
  view?: PeerView;
  /** The message held a view that can't be read. */
  isViewMalformed?: boolean;
}

/** A message between controllers. */
export type PeerMessage =
  | { kind: 'change notification'; event: ChangeEvent }
  | { kind: 'heartbeat'; heartbeat: PeerHeartbeat }
  | { kind: 'lease extension request'; request: LeaseExtensionRequest }
  | { kind: 'lease extension grant'; grant: LeaseExtensionGrant };

/** A heartbeat as protobuf has it. */
type EncodedHeartbeat = Omit<PeerHeartbeat, 'view'> & { view: unknown };

/** A peer message as protobuf has it: one of the fields is there. */
interface EncodedMessage {
  changeNotification: { key: string; version: number; deleted: boolean; value: Uint8Array } | null;
  heartbeat: EncodedHeartbeat | null;
  leaseExtensionRequest: LeaseExtensionRequest | null;
  leaseExtensionGrant: LeaseExtensionGrant | null;
}

const type = protobuf.parse(definition).root.lookupType('PeerMessage');

function encode(message: object): Uint8Array {
  return type.encode(type.fromObject(message)).finish();
}

function encodeNotification({ key, version, deleted, value }: ChangeEvent): Uint8Array {
  const changeNotification = { key, version, deleted, value: deleted ? undefined : codec.encode(value) };
  return encode({ changeNotification });
}

function encodeHeartbeat({ view, ...heartbeat }: PeerHeartbeat): Uint8Array {
  const fields = view === undefined ? heartbeat : { ...heartbeat, view: writePeerView(view) };
  return encode({ heartbeat: fields });
}

/** The message as the bytes of a frame. */
export function writePeerMessage(message: PeerMessage): Uint8Array {
  switch (message.kind) {
    case 'change notification':
      return encodeNotification(message.event);
    case 'heartbeat':
      return encodeHeartbeat(message.heartbeat);
    case 'lease extension request':
      return encode({ leaseExtensionRequest: message.request });
    case 'lease extension grant':
      return encode({ leaseExtensionGrant: message.grant });
  }
}

function readHeartbeat({ view: raw, ...heartbeat }: EncodedHeartbeat): PeerHeartbeat {
  if (raw === null || raw === undefined) return heartbeat;
  const view = readPeerView(raw);
  return view ? { ...heartbeat, view } : { ...heartbeat, isViewMalformed: true };
}

/** Reads a peer's message; undefined when it is none of ours. */
export function readPeerMessage(bytes: Uint8Array): PeerMessage | undefined {
  try {
    const message = type.toObject(type.decode(bytes), { longs: Number, defaults: true }) as EncodedMessage;
    const { changeNotification, heartbeat, leaseExtensionRequest, leaseExtensionGrant } = message;
    if (leaseExtensionRequest) return { kind: 'lease extension request', request: leaseExtensionRequest };
    if (leaseExtensionGrant) return { kind: 'lease extension grant', grant: leaseExtensionGrant };
    if (changeNotification) {
      const { key, version, deleted, value } = changeNotification;
      const event: ChangeEvent = deleted
        ? { key, version, deleted }
        : { key, version, deleted, value: codec.decode(value) };
      return { kind: 'change notification', event };
    }
    return heartbeat ? { kind: 'heartbeat', heartbeat: readHeartbeat(heartbeat) } : undefined;
  } catch {
    return undefined;
  }
}
