/** @file A digest of all messages on the simulated network, to compare the behaviour of two versions of the sources. */
import { createHash } from 'node:crypto';
import type { Message } from './network';

function canonicalNumber(value: number): string {
  return Number.isFinite(value) ? JSON.stringify(value) : String(value);
}

/**
 * JSON with sorted keys. Undefined fields are omitted, as on the wire. Bytes, and numbers that JSON can't express, get a
 * representation that differs from any JSON text. Throws on values that messages can't contain, such as a Map.
 */
export function canonicalJson(value: unknown): string {
  if (value === undefined) return 'undefined';
  if (typeof value === 'number') return canonicalNumber(value);
  if (value === null || typeof value === 'string' || typeof value === 'boolean') return JSON.stringify(value);
  if (value instanceof Uint8Array) return `bytes:${Buffer.from(value).toString('hex')}`;
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join()}]`;
  if (typeof value !== 'object' || ![Object.prototype, null].includes(Object.getPrototypeOf(value) as null)) {
    throw new Error(`a message can't contain this value: ${Object.prototype.toString.call(value)}`);
  }
  const fields = Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, field]) => `${JSON.stringify(key)}:${canonicalJson(field)}`);
  return `{${fields.join()}}`;
}

/** A hash over all messages in order, each with the simulated time at which it was sent or received. */
export class TrafficDigest {
  readonly #hash = createHash('sha256');
  #count = 0;

  /** Adds a message to the digest. */
  readonly add = (message: Message, at: number): void => {
    this.#count += 1;
    this.#hash.update(`${canonicalJson({ at, message })}\n`);
  };

  /** Number of messages added; a request and its response count as two. */
  get count(): number {
    return this.#count;
  }

  /** The hash of the messages so far, as hexadecimal text. */
  hex(): string {
    return this.#hash.copy().digest('hex');
  }
}
