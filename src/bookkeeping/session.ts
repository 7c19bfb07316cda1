/** @file The node's own lease in the state service. */
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';
import type { KeyValueStore } from '../protocol/key-value-store';
import { KEY, read } from './records';
import type { WatchCache } from './watch-cache';

/** Largest relative drift of one node's steady clock against another's; each drifts by up to 0.05%. */
export const DRIFT = 0.001;
/** How long before the end of its lease a node stops acting, because messages may still be on their way. */
const STOP_MARGIN_MS = 400;
const RENEWALS_PER_LEASE = 6;

/**
 * This node's lease in the state service. Everything that the node holds (membership, leadership, shards) is bound to
 * it. The node may act while `valid`: both its last renewal and its view of the records are recent enough.
 */
export class Session {
  #lease: number | undefined;
  #renewedAt = -Infinity;
  #extendedUntil = -Infinity;

  constructor(
    private readonly node: string,
    private readonly ttlMs: number,
    private readonly store: KeyValueStore,
    private readonly cache: WatchCache,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** The id of the current lease, if there is one. */
  get lease(): number | undefined {
    return this.#lease;
  }

  /** The steady time up to which this node may act. */
  get validUntil(): number {
    if (this.#lease === undefined) return -Infinity;
    return Math.max(this.#ownUntil, this.#extendedUntil);
  }

  get #ownUntil(): number {
    // The lease is counted from when the renewal was sent. A view that is older than the lease could miss a
    // cancellation, so it bounds the node's right to act just the same.
    const base = Math.min(this.#renewedAt, this.cache.freshAt);
    return base + this.ttlMs * (1 - DRIFT) - STOP_MARGIN_MS;
  }

  /** Whether the node may act by its lease in the state service alone, without an extension by its peers. */
  get validByOwnLease(): boolean {
    return this.#lease !== undefined && this.clock.now() < this.#ownUntil;
  }

  /** All peers granted to acquire nothing that this node holds until then. Has no effect once the right to act ended. */
  extendUntil(until: number): void {
    if (this.valid) this.#extendedUntil = Math.max(this.#extendedUntil, until);
  }

  /** Whether the right to act is running out because the state service doesn't answer. */
  get isNearExpiry(): boolean {
    return this.#lease !== undefined && this.validUntil - this.clock.now() < this.ttlMs / 2;
  }

  /** Whether the node may act at this moment. */
  get valid(): boolean {
    return this.clock.now() < this.validUntil;
  }

  /** One step: gets a lease, or renews it. To be run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    if (!this.cache.loaded) {
      await this.clock.sleep(20, signal);
      return;
    }
    if (this.#lease === undefined) await this.#open();
    else await this.#renew();
    const pause = this.ttlMs / RENEWALS_PER_LEASE;
    await this.clock.sleep(pause, signal);
  }

  async #open(): Promise<void> {
    const key = KEY.controller(this.node);
    const previous = read.controller((await this.store.get(key))?.value);
    if (previous) {
      // The previous process of this node is dead, for this one replaced it. Its lease is revoked, so that nobody has to
      // wait for its end.
      await this.store.revokeLease(previous.lease);
      this.log.info({ lease: previous.lease }, 'revoked the lease of the previous process');
    }
    const sentAt = this.clock.now();
    const lease = await this.store.grantLease(this.ttlMs);
    // Guarded, so that a late copy from an earlier life of this node can't replace the record.
    const result = await this.store.compareAndSwap(
      [{ key, version: 0 }],
      [{ put: key, value: { lease }, lease }],
      'urgent',
    );
    if (!result.ok) return;
    this.#renewedAt = sentAt;
    this.#extendedUntil = -Infinity;
    this.#lease = lease;
    this.log.info({ lease, ttlMs: this.ttlMs }, 'controller lease granted');
  }

  async #renew(): Promise<void> {
    const lease = this.#lease;
    if (lease === undefined) return;
    const sentAt = this.clock.now();
    if (await this.store.renewLease(lease)) {
      this.#renewedAt = sentAt;
    } else {
      this.#lease = undefined;
      this.log.warn({ lease }, 'controller lease expired');
    }
  }
}
