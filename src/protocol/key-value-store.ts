/** @file The key-value store as the controllers use it: their only durable, shared state. */
import type { Uint64 } from '../base/uint64';

/** A key with its value. */
export interface Entry {
  key: string;
  value: unknown;
  /** The revision of the key's last change. */
  version: Uint64;
}

/** A condition of a compare-and-swap: the version that a key must have. */
export interface Condition {
  key: string;
  /** 0: the key must not exist. */
  version: Uint64;
}

/** A change of a key. A key that is put with a lease is deleted when the lease ends; without a lease it stays. */
export type Change = { put: string; value: unknown; lease?: Uint64 } | { delete: string };

/** The outcome of a compare-and-swap; `failed` names the keys whose conditions don't hold. */
export type CompareAndSwapResult =
  { ok: true; revision: Uint64 } | { ok: false; failed: string[]; revision: Uint64 };

/** A change that was made to a key. */
export type ChangeEvent = { key: string; version: Uint64; value?: unknown; deleted: boolean };

/** One page of the entries under a prefix. */
export interface EntryPage {
  entries: Entry[];
  /** Whether entries follow after the last of this page. */
  hasMore: boolean;
  revision: Uint64;
}

/** The changes under a prefix up to a revision. */
export interface ChangeList {
  revision: Uint64;
  events: ChangeEvent[];
}

/** An urgent request doesn't wait for the rate limits; the other requests wait longer instead. */
export type RequestPriority = 'normal' | 'urgent';

/** The store did not execute the request. A request without a usable response throws `NoResponseError` instead. */
export abstract class StoreError extends Error {}

/** The key-value store refused the request (429, 503): it was not executed. */
export class StoreRejectedError extends StoreError {
  override name = 'StoreRejectedError';
}

/** The lease that a put was to be attached to has ended. */
export class LeaseExpiredError extends StoreError {
  override name = 'LeaseExpiredError';
}

/** A small, strongly consistent store in which every change has a revision. */
export interface KeyValueStore {
  /** Whether the last request failed, so that the key-value store is considered unavailable. */
  readonly isUnavailable: boolean;
  /** Returns the entry with the key; null when the key does not exist. */
  get(key: string): Promise<Entry | null>;
  /** Returns one page of the entries under a prefix, in the order of their keys, starting after the given key. */
  list(prefix: string, after?: string): Promise<EntryPage>;
  /** Executes all changes atomically if all conditions hold, and otherwise none. */
  compareAndSwap(
    conditions: Condition[],
    changes: Change[],
    priority?: RequestPriority,
  ): Promise<CompareAndSwapResult>;
  /** Grants a lease, and returns its id. */
  grantLease(ttlMs: number): Promise<Uint64>;
  /** Renews a lease; false when it has ended. */
  renewLease(lease: Uint64): Promise<boolean>;
  /** Ends a lease at once. */
  revokeLease(lease: Uint64): Promise<void>;
  /**
   * Waits until a key with the prefix has changed after a revision, or until the time has passed. Undefined when the
   * changes can't be listed, because the revision is too old or there are too many changes.
   */
  changes(prefix: string, since: Uint64, waitMs: number): Promise<ChangeList | undefined>;
}
