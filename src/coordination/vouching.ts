import { PROMISE_MS } from '../base/settings';
import { blockCount } from '../bookkeeping/block-count';
import { KEY, PREFIX, read } from '../bookkeeping/records';
import { DRIFT } from '../bookkeeping/session';
import type { Ask, PeerMessage, PeerPromise } from '../protocol/peers';
import type { Deps } from './deps';

/** What of a promise the asker leaves unused. */
const UNUSED_MS = 400;
const ASK_EVERY_MS = 400;

/**
 * An owner can't tell an outage of the state service from a refusal of itself alone, so it has to stop when its lease
 * ends by its own clock, though in an outage nobody could take its blocks. The other nodes can tell it: each that
 * can't reach the state service either promises to take no block for a short time. With promises of all others the
 * owner goes on; one that is silent, or that can reach the state service, is enough to stop it.
 */
export class Vouching {
  readonly #asked = new Map<number, number>();
  readonly #promised = new Map<string, number>();
  #number = 0;
  #boundUntil: number;

  constructor(
    private readonly deps: Deps,
    private readonly broadcast: (message: PeerMessage) => void,
    /** Whether this node is taking a block at this moment. */
    private readonly isTaking: () => boolean,
    /** Steady time at which this process began. */
    startedAt: number,
  ) {
    // A node that starts may have promised something before it died, which it no longer knows.
    this.#boundUntil = startedAt + PROMISE_MS * (1 + DRIFT);
  }

  /** Whether no promise keeps this node from taking a block. */
  get mayTake(): boolean {
    return this.deps.clock.now() > this.#boundUntil;
  }

  /** One step of the asker; to be run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    const { clock, session, store, node, cache } = this.deps;
    await clock.sleep(ASK_EVERY_MS, signal);
    if (!session.waning || !session.valid || !store.troubled) return;
    this.#number += 1;
    this.#asked.set(this.#number, clock.now());
    this.#asked.delete(this.#number - 10);
    this.broadcast({ kind: 'ask', ask: { from: node, number: this.#number, revision: cache.revision } });
  }

  onAsk(ask: Ask): void {
    const { clock, store, cache, node, settings } = this.deps;
    if (!store.troubled || this.isTaking()) return;
    for (let block = 0; block < blockCount(cache, settings); block += 1) {
      // What it asks for may be ours by now, though it can't know.
      const lease = read.lease(cache.get(KEY.lease(block))?.value);
      const assigned = read.block(cache.get(KEY.block(block))?.value);
      if (assigned?.owner === ask.from && lease?.owner !== ask.from) return;
    }
    const ended = cache.deletedSince(PREFIX.job, ask.revision);
    // Cancellations that we know of and it doesn't would go unheard for as long as it is vouched for.
    if (!ended) return;
    this.#boundUntil = Math.max(this.#boundUntil, clock.now() + PROMISE_MS * (1 + DRIFT));
    const promise: PeerPromise = {
      ...{ from: node, to: ask.from, number: ask.number },
      ended: ended.map(({ key, version }) => ({ id: key.slice(PREFIX.job.length), version })),
    };
    this.broadcast({ kind: 'promise', promise });
  }

  onPromise(promise: PeerPromise): void {
    const { clock, session, cache, node, settings, log } = this.deps;
    const askedAt = this.#asked.get(promise.number);
    if (promise.to !== node || askedAt === undefined) return;
    for (const { id, version } of promise.ended) cache.offer({ key: KEY.job(id), version, deleted: true });
    this.#promised.set(promise.from, Math.max(this.#promised.get(promise.from) ?? 0, askedAt));
    // Counted from when we asked, which is before any of them can have promised.
    const oldest = Math.min(...settings.platform.others.map((o) => this.#promised.get(o.node) ?? -Infinity));
    const until = oldest + PROMISE_MS * (1 - DRIFT) - UNUSED_MS;
    if (until <= clock.now()) return;
    if (until - session.validUntil > PROMISE_MS / 2)
      log.info({ until }, 'the others vouch for what this node holds');
    session.prolong(until);
  }
}
