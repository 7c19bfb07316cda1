/** @file The key-value store as the controllers use it: their only durable, shared state. */

/** A key with its value. */
export interface Entry {
  key: string;
  value: unknown;
  /** The revision of the key's last change. */
  version: number;
}

/** What must hold of a key for a compare-and-swap to be executed. */
export interface Condition {
  key: string;
  /** 0: the key must not exist. */
  version: number;
}

/** A change of a key. A key that is put with a lease is deleted when the lease ends; put without one, it stays. */
export type Change = { put: string; value: unknown; lease?: number } | { delete: string };

/** The outcome of a compare-and-swap; `failed` names the keys whose conditions don't hold. */
export type CompareAndSwapResult =
  { ok: true; revision: number } | { ok: false; failed: string[]; revision: number };

/** A change that was made to a key. */
export type ChangeEvent = { key: string; version: number; value?: unknown; deleted: boolean };

/** One page of the entries under a prefix. */
export interface EntryPage {
  entries: Entry[];
  /** Whether entries follow after the last of this page. */
  hasMore: boolean;
  revision: number;
}

/** The changes under a prefix up to a revision. */
export interface ChangeList {
  revision: number;
  events: ChangeEvent[];
}

/** An urgent request goes ahead of the others inside the rate limits, instead of waiting for its turn. */
export type RequestPriority = 'normal' | 'urgent';

/** A request that is known not to have been executed. One without a usable response is a `NoResponseError`. */
export abstract class StoreError extends Error {}

/** The key-value store refused the request (429, 503): it was not executed. */
export class StoreRejectedError extends StoreError {
  override name = 'StoreRejectedError';
}

/** The lease that a put was to be attached to has ended. */
export class LeaseExpiredError extends StoreError {
  override name = 'LeaseExpiredError';
}

/** A small store with strong consistency, whose every change has a revision. */
export interface KeyValueStore {
  /** The last request failed: as far as this controller can tell, the key-value store can't be reached. */
  readonly isUnavailable: boolean;
  /** Null when the key does not exist. */
  get(key: string): Promise<Entry | null>;
  /** One page of the entries under a prefix, in the order of their keys, beginning after a key. */
  list(prefix: string, after?: string): Promise<EntryPage>;
  /** Makes all the changes, provided that all the conditions hold. */
  compareAndSwap(
    conditions: Condition[],
    changes: Change[],
    priority?: RequestPriority,
  ): Promise<CompareAndSwapResult>;
  /** Grants a lease, and returns its id. */
  grantLease(ttlMs: number): Promise<number>;
  /** False when the lease has ended. */
  renewLease(lease: number): Promise<boolean>;
  /** Ends a lease at once. */
  revokeLease(lease: number): Promise<void>;
  /**
   * Waits until a key with the prefix has changed after a revision, or until the time is over. Undefined when the changes
   * can't be listed, as the revision is too old or the changes are too many.
   */
  changes(prefix: string, since: number, waitMs: number): Promise<ChangeList | undefined>;
}
