/** @file The controller's own lease in the key-value store. */
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';
import type { KeyValueStore } from '../protocol/key-value-store';
import { KEY, read } from './records';
import type { WatchCache } from './watch-cache';

/** Largest relative drift of one controller's steady clock against another's; each drifts by up to 0.05%. */
export const MAX_CLOCK_DRIFT = 0.001;
/** How long before the expiry of its lease a controller stops acting, because messages may still be in flight. */
const STOP_MARGIN_MS = 400;
const RENEWALS_PER_LEASE = 6;
const LOAD_POLL_MS = 20;

/** What a session works on. */
export interface SessionContext {
  /** The controller that the session belongs to. */
  readonly controllerId: string;
  /** The time to live of the lease. */
  readonly ttlMs: number;
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * This controller's lease in the key-value store. Everything that the controller holds (membership, leadership, shards)
 * is bound to it. The controller may act while `valid`: both its last renewal and its copy of the records are recent
 * enough.
 */
export class Session {
  #lease: number | undefined;
  #renewedAt = -Infinity;
  #extendedUntil = -Infinity;

  constructor(private readonly context: SessionContext) {}

  /** The id of the current lease, if there is one. */
  get lease(): number | undefined {
    return this.#lease;
  }

  /** The steady time up to which this controller may act. */
  get validUntil(): number {
    if (this.#lease === undefined) return -Infinity;
    return Math.max(this.#validByOwnLeaseUntil, this.#extendedUntil);
  }

  get #validByOwnLeaseUntil(): number {
    const { cache, ttlMs } = this.context;
    // The lease is counted from when the renewal was sent. A copy of the records that is older than the lease could miss
    // a cancellation, so it bounds the controller's right to act just the same.
    const base = Math.min(this.#renewedAt, cache.freshAt);
    return base + ttlMs * (1 - MAX_CLOCK_DRIFT) - STOP_MARGIN_MS;
  }

  /** Whether the controller may act by its lease in the key-value store alone, without an extension by its peers. */
  get isValidByOwnLease(): boolean {
    return this.#lease !== undefined && this.context.clock.now() < this.#validByOwnLeaseUntil;
  }

  /**
   * Extends the right to act, because all peers granted to acquire nothing that this controller holds until then. Has no
   * effect once the right to act has ended.
   */
  extendUntil(until: number): void {
    if (this.isValid) this.#extendedUntil = Math.max(this.#extendedUntil, until);
  }

  /** Whether the right to act is running out because the key-value store doesn't respond. */
  get isNearExpiry(): boolean {
    const { clock, ttlMs } = this.context;
    return this.#lease !== undefined && this.validUntil - clock.now() < ttlMs / 2;
  }

  /** Whether the controller may act at this moment. */
  get isValid(): boolean {
    return this.context.clock.now() < this.validUntil;
  }

  /** One step: gets a lease, or renews it. To be run in a loop. */
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
      // The previous process of this controller is dead, for this one replaced it. Its lease is revoked, so that no
      // controller has to wait for its expiry.
      await store.revokeLease(previous.lease);
      log.info({ lease: previous.lease }, 'revoked the lease of the previous process');
    }
    const sentAt = clock.now();
    const lease = await store.grantLease(ttlMs);
    // On the condition that there is no record: a late copy from a previous process must not replace it.
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

  async #renew(lease: number): Promise<void> {
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
