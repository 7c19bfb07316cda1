import * as protobuf from 'protobufjs';
import definition from './peer.proto';
import { codec } from './codec';
import type { Event } from './state';

export interface JobProgress {
  id: string;
  running: number;
  done: number;
}

export type PeerMessage =
  { kind: 'nudge'; event: Event } | { kind: 'progress'; fresh: boolean; jobs: JobProgress[] };

const type = protobuf.parse(definition).root.lookupType('PeerMessage');

export function writePeerMessage(message: PeerMessage): Uint8Array {
  if (message.kind === 'progress') {
    const { fresh, jobs } = message;
    return type.encode(type.fromObject({ progress: { fresh, jobs } })).finish();
  }
  const { key, version, deleted, value } = message.event;
  const nudge = { key, version, deleted, value: deleted ? undefined : codec.encode(value) };
  return type.encode(type.fromObject({ nudge })).finish();
}

/** Reads a peer's message; undefined when it is none of ours. */
export function readPeerMessage(bytes: Uint8Array): PeerMessage | undefined {
  try {
    const message = type.toObject(type.decode(bytes), { longs: Number, defaults: true }) as {
      nudge: { key: string; version: number; deleted: boolean; value: Uint8Array } | null;
      progress: { fresh: boolean; jobs: JobProgress[] } | null;
    };
    if (message.nudge) {
      const { key, version, deleted, value } = message.nudge;
      const event: Event = deleted
        ? { key, version, deleted }
        : { key, version, deleted, value: codec.decode(value) };
      return { kind: 'nudge', event };
    }
    return message.progress ? { kind: 'progress', ...message.progress } : undefined;
  } catch {
    return undefined;
  }
}
