/** @file The lease of a controller in the key-value store. */
import type { Uint64 } from '../base/uint64';
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';
import type { KeyValueStore } from '../protocol/key-value-store';
import { KEY, read } from './records';
import type { WatchCache } from './watch-cache';

/** Largest relative drift of one controller's monotonic clock against another's; each drifts by up to 0.05%. */
export const MAX_CLOCK_DRIFT = 0.001;
/** A session ends this long before its lease expires, because messages may still be in flight. */
const STOP_MARGIN_MS = 400;
const RENEWALS_PER_LEASE = 6;
const LOAD_POLL_MS = 20;

/** The services and settings that a session uses. */
export interface SessionContext {
  /** The id of the controller that the session belongs to. */
  readonly controllerId: string;
  /** The time to live of the lease. */
  readonly ttlMs: number;
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * This controller's lease in the key-value store. The controller's membership, leadership and shards are bound to it. The
 * session is valid while both the last renewal and the watch cache are recent enough, or while all peers have extended
 * the lease.
 */
export class Session {
  #lease: Uint64 | undefined;
  #renewedAt = -Infinity;
  #extendedUntil = -Infinity;

  constructor(private readonly context: SessionContext) {}

  /** The id of the current lease, if there is one. */
  get lease(): Uint64 | undefined {
    return this.#lease;
  }

  /** The monotonic time until which the session is valid. */
  get validUntil(): number {
    if (this.#lease === undefined) return -Infinity;
    return Math.max(this.#validByOwnLeaseUntil, this.#extendedUntil);
  }

  get #validByOwnLeaseUntil(): number {
    const { cache, ttlMs } = this.context;
    // The validity counts from the time at which the last renewal was sent. The watch cache's age has the same limit,
    // because a cache that is older than the lease could lack a cancellation.
    const base = Math.min(this.#renewedAt, cache.freshAt);
    return base + ttlMs * (1 - MAX_CLOCK_DRIFT) - STOP_MARGIN_MS;
  }

  /** Whether the session is valid by the lease in the key-value store alone, without an extension by the peers. */
  get isValidByOwnLease(): boolean {
    return this.#lease !== undefined && this.context.clock.now() < this.#validByOwnLeaseUntil;
  }

  /**
   * Extends the validity of the session to `until`. Before that time no peer acquires anything that this controller
   * holds, because all peers granted a lease extension. Has no effect on a session that is no longer valid.
   */
  extendUntil(until: number): void {
    if (this.isValid) this.#extendedUntil = Math.max(this.#extendedUntil, until);
  }

  /** Whether less than half the lease's time to live is left, as happens if the key-value store doesn't respond. */
  get isNearExpiry(): boolean {
    const { clock, ttlMs } = this.context;
    return this.#lease !== undefined && this.validUntil - clock.now() < ttlMs / 2;
  }

  /** Whether the session is valid now. Only then may the controller act as leader or shard owner. */
  get isValid(): boolean {
    return this.context.clock.now() < this.validUntil;
  }

  /** Gets a lease, or renews the current one. Run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    const { cache, clock, ttlMs } = this.context;
    if (!cache.isLoaded) {
      await clock.sleep(LOAD_POLL_MS, signal);
      return;
    }
    if (this.#lease === undefined) await this.#open();
    else await this.#renew(this.#lease);
    await clock.sleep(ttlMs / RENEWALS_PER_LEASE, signal);
  }

  async #open(): Promise<void> {
    const { controllerId, ttlMs, store, clock, log } = this.context;
    const key = KEY.controller(controllerId);
    const previous = read.controller((await store.get(key))?.value);
    if (previous) {
      // This process replaced the previous process of this controller, which has ended. The previous lease is revoked, so
      // that other controllers don't have to wait for its expiry.
      await store.revokeLease(previous.lease);
      log.info({ lease: previous.lease }, 'controller lease of the previous process revoked');
    }
    const sentAt = clock.now();
    const lease = await store.grantLease(ttlMs);
    // The condition that no record exists prevents a delayed write of a previous process from replacing this record.
    const result = await store.compareAndSwap(
      [{ key, version: 0 }],
      [{ put: key, value: { lease }, lease }],
      'urgent',
    );
    if (!result.ok) return;
    this.#renewedAt = sentAt;
    this.#extendedUntil = -Infinity;
    this.#lease = lease;
    log.info({ lease, ttlMs }, 'controller lease granted');
  }

  async #renew(lease: Uint64): Promise<void> {
    const { store, clock, log } = this.context;
    const sentAt = clock.now();
    if (await store.renewLease(lease)) {
      this.#renewedAt = sentAt;
    } else {
      this.#lease = undefined;
      log.warn({ lease }, 'controller lease expired');
    }
  }
}
