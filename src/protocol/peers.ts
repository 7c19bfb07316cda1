import * as protobuf from 'protobufjs';
import { readPeerView, writePeerView, type PeerView } from './peer-view';
import definition from './peer.proto';
import { codec } from './codec';
import type { Event } from './state';

export interface JobProgress {
  id: string;
  running: number;
  done: number;
}

/** An owner without the state service asks its peers to extend its lease. `Ask` on the wire. */
export interface LeaseExtensionRequest {
  from: string;
  number: number;
  revision: number;
}

/** A peer will acquire no shard for a while, and names what ended meanwhile. `Promise` on the wire. */
export interface LeaseExtensionGrant {
  from: string;
  to: string;
  number: number;
  ended: { id: string; version: number }[];
}

export interface Progress {
  from: string;
  fresh: boolean;
  jobs: JobProgress[];
  unheard: number[];
  turnedAway: { shard: number; machines: number }[];
  /** Absent with suspicion off at the sender, and from versions that know none. */
  view?: PeerView;
  /** The message held a view that can't be read. */
  isViewMalformed?: boolean;
}

export type PeerMessage =
  | { kind: 'nudge'; event: Event }
  | { kind: 'progress'; progress: Progress }
  | { kind: 'ask'; ask: LeaseExtensionRequest }
  | { kind: 'promise'; promise: LeaseExtensionGrant };

const type = protobuf.parse(definition).root.lookupType('PeerMessage');

export function writePeerMessage(message: PeerMessage): Uint8Array {
  if (message.kind === 'progress') {
    const { view, ...progress } = message.progress;
    const fields = view === undefined ? progress : { ...progress, view: writePeerView(view) };
    return type.encode(type.fromObject({ progress: fields })).finish();
  }
  if (message.kind === 'ask') return type.encode(type.fromObject({ ask: message.ask })).finish();
  if (message.kind === 'promise') return type.encode(type.fromObject({ promise: message.promise })).finish();
  const { key, version, deleted, value } = message.event;
  const nudge = { key, version, deleted, value: deleted ? undefined : codec.encode(value) };
  return type.encode(type.fromObject({ nudge })).finish();
}

function readProgress({ view: raw, ...progress }: Omit<Progress, 'view'> & { view: unknown }): Progress {
  if (raw === null || raw === undefined) return progress;
  const view = readPeerView(raw);
  return view ? { ...progress, view } : { ...progress, isViewMalformed: true };
}

/** Reads a peer's message; undefined when it is none of ours. */
export function readPeerMessage(bytes: Uint8Array): PeerMessage | undefined {
  try {
    const message = type.toObject(type.decode(bytes), { longs: Number, defaults: true }) as {
      nudge: { key: string; version: number; deleted: boolean; value: Uint8Array } | null;
      progress: (Omit<Progress, 'view'> & { view: unknown }) | null;
      ask: LeaseExtensionRequest | null;
      promise: LeaseExtensionGrant | null;
    };
    if (message.ask) return { kind: 'ask', ask: message.ask };
    if (message.promise) return { kind: 'promise', promise: message.promise };
    if (message.nudge) {
      const { key, version, deleted, value } = message.nudge;
      const event: Event = deleted
        ? { key, version, deleted }
        : { key, version, deleted, value: codec.decode(value) };
      return { kind: 'nudge', event };
    }
    return message.progress ? { kind: 'progress', progress: readProgress(message.progress) } : undefined;
  } catch {
    return undefined;
  }
}
