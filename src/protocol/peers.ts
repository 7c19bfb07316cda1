/**
 * @file Messages between controllers: their types, and their encoding with protobuf (`peer.proto`). All of them are hints:
 * only the key-value store is authoritative.
 */
import { fromBigInt, replaceBigInts, type Uint64 } from '../base/uint64';
import * as protobuf from 'protobufjs';
import { readPeerView, writePeerView, type PeerView } from './peer-view';
import definition from './peer.proto';
import { codec } from './codec';
import type { ChangeEvent } from './key-value-store';
import { checkProtobuf } from './protobuf-check';

/** The progress of a live job, for display: the numbers of its running and done tasks. */
export interface JobProgress {
  id: string;
  running: number;
  done: number;
}

/** A shard owner that can't reach the key-value store asks its peers to extend its lease. */
export interface LeaseExtensionRequest {
  from: string;
  /** The sequence number of the request at its sender. */
  number: number;
  /** The revision up to which the sender has received changes. */
  revision: Uint64;
}

/**
 * The grant of a lease extension: its sender acquires no shard until the extension ends. The grant lists the jobs
 * whose end the requester may not have received.
 */
export interface LeaseExtensionGrant {
  from: string;
  to: string;
  /** The number of the request. */
  number: number;
  endedJobs: { id: string; version: Uint64 }[];
}

/** The periodic message of a controller to its peers. */
export interface PeerHeartbeat {
  from: string;
  /** Whether the sender's watch cache is up to date. */
  isViewFresh: boolean;
  jobs: JobProgress[];
  /** The sender's shards of which most workers can't reach the sender. */
  unreachableShards: number[];
  /** For each shard of another owner, the number of machines that recently sent heartbeats to the sender. */
  redirected: { shard: number; machines: number }[];
  /** Absent when suspicion is off at the sender, and from versions without it. */
  view?: PeerView;
  /** Set by the receiver: the message contained a malformed view. */
  isViewMalformed?: boolean;
}

/** A message between controllers. */
export type PeerMessage =
  | { kind: 'change notification'; event: ChangeEvent }
  | { kind: 'heartbeat'; heartbeat: PeerHeartbeat }
  | { kind: 'lease extension request'; request: LeaseExtensionRequest }
  | { kind: 'lease extension grant'; grant: LeaseExtensionGrant };

/** A heartbeat in its protobuf form. */
type EncodedHeartbeat = Omit<PeerHeartbeat, 'view'> & { view: unknown };

/** A change notification in its protobuf form. */
interface EncodedNotification {
  key: string;
  version: Uint64;
  deleted: boolean;
  /** MessagePack; empty for a deletion. */
  value: Uint8Array;
}

/** A peer message in its protobuf form: exactly one field is set. */
interface EncodedMessage {
  changeNotification: EncodedNotification | null;
  heartbeat: EncodedHeartbeat | null;
  leaseExtensionRequest: LeaseExtensionRequest | null;
  leaseExtensionGrant: LeaseExtensionGrant | null;
}

const messageType = protobuf.parse(definition).root.lookupType('PeerMessage');

function encode(message: Record<string, unknown>): Uint8Array {
  return messageType.encode(messageType.fromObject(message)).finish();
}

/** Integers of 64 bits as the library reads them: from text, not from bigints. */
function writeIntegers(value: unknown): unknown {
  return replaceBigInts(value, String);
}

function readIntegers<T>(value: T): T {
  return replaceBigInts(value, fromBigInt) as T;
}

function encodeNotification({ key, version, deleted, value }: ChangeEvent): Uint8Array {
  const changeNotification = { key, version, deleted, value: deleted ? undefined : codec.encode(value) };
  return encode({ changeNotification: writeIntegers(changeNotification) });
}

/** Of a heartbeat only the view has integers of 64 bits; the others may be many. */
function encodeHeartbeat({ view, ...heartbeat }: PeerHeartbeat): Uint8Array {
  const fields = view === undefined ? heartbeat : { ...heartbeat, view: writeIntegers(writePeerView(view)) };
  return encode({ heartbeat: fields });
}

/** Encodes a message as the content of a frame. */
export function writePeerMessage(message: PeerMessage): Uint8Array {
  switch (message.kind) {
    case 'change notification':
      return encodeNotification(message.event);
    case 'heartbeat':
      return encodeHeartbeat(message.heartbeat);
    case 'lease extension request':
      return encode({ leaseExtensionRequest: writeIntegers(message.request) });
    case 'lease extension grant':
      return encode({ leaseExtensionGrant: writeIntegers(message.grant) });
  }
}

function readHeartbeat({ view: raw, ...heartbeat }: EncodedHeartbeat): PeerHeartbeat {
  if (raw === null || raw === undefined) return heartbeat;
  const view = readPeerView(readIntegers(raw));
  return view ? { ...heartbeat, view } : { ...heartbeat, isViewMalformed: true };
}

function readNotification({ key, version, deleted, value }: EncodedNotification): ChangeEvent {
  return deleted ? { key, version, deleted } : { key, version, deleted, value: codec.decode(value) };
}

function toMessage(encoded: EncodedMessage): PeerMessage | undefined {
  const { changeNotification, heartbeat, leaseExtensionRequest, leaseExtensionGrant } = encoded;
  if (leaseExtensionRequest) {
    return { kind: 'lease extension request', request: readIntegers(leaseExtensionRequest) };
  }
  if (leaseExtensionGrant) return { kind: 'lease extension grant', grant: readIntegers(leaseExtensionGrant) };
  if (changeNotification) {
    return { kind: 'change notification', event: readNotification(readIntegers(changeNotification)) };
  }
  return heartbeat ? { kind: 'heartbeat', heartbeat: readHeartbeat(heartbeat) } : undefined;
}

/** Decodes a peer's message; undefined when it is of a kind that this version doesn't know. Throws if it is malformed. */
export function decodePeerMessage(bytes: Uint8Array): PeerMessage | undefined {
  checkProtobuf(bytes, messageType);
  const encoded = messageType.toObject(messageType.decode(bytes), { longs: BigInt, defaults: true });
  return toMessage(encoded as EncodedMessage);
}

/** Reads a peer's message; undefined when it is malformed, or of a kind that this version doesn't know. */
export function readPeerMessage(bytes: Uint8Array): PeerMessage | undefined {
  try {
    return decodePeerMessage(bytes);
  } catch {
    return undefined;
  }
}
