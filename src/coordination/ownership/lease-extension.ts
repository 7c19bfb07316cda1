/** @file Extension of a shard owner's lease by its peers during an outage of the key-value store. */
import { LEASE_EXTENSION_MS } from '../../base/settings';
import { KEY, PREFIX, read } from '../../bookkeeping/records';
import { MAX_CLOCK_DRIFT } from '../../bookkeeping/session';
import { shardCount } from '../../bookkeeping/shard-count';
import type { LeaseExtensionGrant, LeaseExtensionRequest, PeerMessage } from '../../protocol/peers';
import type { ControllerContext } from '../controller-context';

/** A controller stops relying on a peer's grant this long before the grant ends. */
const SAFETY_MARGIN_MS = 400;
const REQUEST_INTERVAL_MS = 400;
/** Number of latest requests for which a late grant is accepted. */
const REMEMBERED_REQUESTS = 10;

/**
 * Extends a shard owner's lease while no controller can reach the key-value store.
 *
 * An owner that can't renew its lease can't tell whether the store is unreachable for all controllers or for itself
 * alone. Without an extension it has to stop when its lease ends by its own clock, although in an outage for all no
 * other controller could acquire its shards. It therefore requests an extension from all peers. A peer that can't reach
 * the key-value store either grants the request, and then acquires no shard for `LEASE_EXTENSION_MS`. The owner goes
 * on only with grants of all peers: one peer that doesn't respond, or can reach the key-value store, is enough to stop it.
 */
export class LeaseExtension {
  /** Monotonic send times of the latest requests, by request number. */
  readonly #requestedAt = new Map<number, number>();
  /** Monotonic send time of the latest request that a peer granted, by the peer's id. */
  readonly #grantedRequestAt = new Map<string, number>();
  #requestNumber = 0;
  /** Whether this controller may have an acquisition in progress. */
  #isAcquiring = false;
  /** Monotonic time until which grants given by this controller forbid it to acquire a shard. */
  #acquisitionForbiddenUntil: number;

  constructor(
    private readonly context: ControllerContext,
    private readonly broadcast: (message: PeerMessage) => void,
    /** Monotonic time at which this process began. */
    startedAt: number,
  ) {
    // The previous process of this controller may have granted a request that this process doesn't know of.
    this.#acquisitionForbiddenUntil = startedAt + LEASE_EXTENSION_MS * (1 + MAX_CLOCK_DRIFT);
  }

  /** Whether no grant given by this controller forbids it to acquire a shard. */
  get mayAcquireShards(): boolean {
    return this.context.clock.now() > this.#acquisitionForbiddenUntil;
  }

  /** Stops granting requests until `endAcquisition`, because this controller may acquire a shard meanwhile. */
  beginAcquisition(): void {
    this.#isAcquiring = true;
  }

  /** Allows requests to be granted again, because the acquisition is no longer in progress. */
  endAcquisition(): void {
    this.#isAcquiring = false;
  }

  /** Asks all peers for an extension if the session is near its expiry and the store unavailable. Run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    const { clock, session, store, controllerId, cache } = this.context;
    await clock.sleep(REQUEST_INTERVAL_MS, signal);
    if (!session.isNearExpiry || !session.isValid || !store.isUnavailable) return;
    this.#requestNumber += 1;
    this.#requestedAt.set(this.#requestNumber, clock.now());
    this.#requestedAt.delete(this.#requestNumber - REMEMBERED_REQUESTS);
    this.broadcast({
      kind: 'lease extension request',
      request: { from: controllerId, number: this.#requestNumber, revision: cache.revision },
    });
  }

  /** Grants a peer's request unless the store is available, an acquisition is in progress, or the peer lost a shard. */
  onRequest(request: LeaseExtensionRequest): void {
    const { clock, store, cache, controllerId } = this.context;
    if (!store.isUnavailable || this.#isAcquiring || this.#hasLostShard(request.from)) return;
    // The grant has to list the ended jobs that the requester may have missed, since the requester receives no change
    // events during the outage. If this controller no longer remembers all these jobs, it must not grant the request.
    const ended = cache.deletedSince(PREFIX.job, request.revision);
    if (!ended) return;
    this.#acquisitionForbiddenUntil = Math.max(
      this.#acquisitionForbiddenUntil,
      clock.now() + LEASE_EXTENSION_MS * (1 + MAX_CLOCK_DRIFT),
    );
    const grant: LeaseExtensionGrant = {
      from: controllerId,
      to: request.from,
      number: request.number,
      endedJobs: ended.map(({ key, version }) => ({ id: key.slice(PREFIX.job.length), version })),
    };
    this.broadcast({ kind: 'lease extension grant', grant });
  }

  /** Records a peer's grant, and extends the session once all peers have granted. */
  onGrant(grant: LeaseExtensionGrant): void {
    const { clock, session, cache, controllerId, log } = this.context;
    const requestedAt = this.#requestedAt.get(grant.number);
    if (grant.to !== controllerId || requestedAt === undefined) return;
    for (const { id, version } of grant.endedJobs)
      cache.applyNotification({ key: KEY.job(id), version, deleted: true });
    const previous = this.#grantedRequestAt.get(grant.from) ?? 0;
    this.#grantedRequestAt.set(grant.from, Math.max(previous, requestedAt));
    const until = this.#grantedUntil();
    if (until <= clock.now()) return;
    if (until - session.validUntil > LEASE_EXTENSION_MS / 2) {
      log.info({ until }, 'all peers extended the lease');
    }
    session.extendUntil(until);
  }

  /** Monotonic time until which the grants of all peers are valid; -Infinity while a peer has granted no request. */
  #grantedUntil(): number {
    const { others } = this.context.settings.platform;
    // A grant counts from the send time of its request, because the peer can't have granted the request earlier.
    const oldest = Math.min(...others.map(({ node }) => this.#grantedRequestAt.get(node) ?? -Infinity));
    return oldest + LEASE_EXTENSION_MS * (1 - MAX_CLOCK_DRIFT) - SAFETY_MARGIN_MS;
  }

  /** Whether the controller lacks the lease of a shard assigned to it; the controller may not know of the loss yet. */
  #hasLostShard(controller: string): boolean {
    const { cache, settings } = this.context;
    for (let shard = 0; shard < shardCount(cache, settings); shard += 1) {
      const lease = read.lease(cache.get(KEY.lease(shard))?.value);
      const assigned = read.shard(cache.get(KEY.shard(shard))?.value);
      if (assigned?.owner === controller && lease?.owner !== controller) return true;
    }
    return false;
  }
}
