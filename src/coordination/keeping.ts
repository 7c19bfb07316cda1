import { blockCount } from '../bookkeeping/block-count';
import { KEY, read } from '../bookkeeping/records';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { Order, Report } from '../protocol/model';
import type { Deps } from './deps';
import { SILENT_MS, type Reach } from './reach';

/** How long a node goes on keeping after it last had a reason to. */
const LINGER_MS = 3_000;

/** Stops for what the report shows of jobs that are over: whoever renews a worker's lease sends them along. */
export function stopsOfEnded(report: Report, cache: WatchCache): Order[] {
  return report.attempts
    .filter((a) => a.phase !== 'exited' && !cache.get(KEY.job(a.job)))
    .map(({ job, task, attempt }) => ({ op: 'stop', job, task, attempt, graceS: 0 }));
}

/**
 * Keeps the leases of another node's workers while they reach this node and not their owner: zones cut from each
 * other, or a takeover. A keeper answers reports with the block's current token and starts nothing; all it orders is
 * to stop tasks of jobs that are over. The owner must not take such workers for dead, so a keeper first writes that it
 * keeps, in a record that hangs on its own lease, and answers only while that lease is valid; the owner declares a
 * silent worker dead only when the state service says that nobody keeps.
 */
export class Keeping {
  /**
   * Blocks that our record, acknowledged and never taken back since, says we keep, and the lease that it hangs on: with
   * the next lease it is gone, also when no step ran in between.
   */
  readonly #kept = new Map<number, number>();
  readonly #neededAt = new Map<number, number>();
  readonly #startedAt: number;

  constructor(
    private readonly deps: Deps,
    private readonly reach: Reach,
  ) {
    this.#startedAt = deps.clock.now();
  }

  /** One step: writes or deletes our records. To be run in a loop, and whenever a peer may have become unreachable. */
  async step(): Promise<void> {
    const { cache, session, node, settings, clock, store } = this.deps;
    const { lease: ownLease } = session;
    if (!cache.loaded || !session.valid || ownLease === undefined) {
      this.#kept.clear();
      return;
    }
    const now = clock.now();
    for (let block = 0; block < blockCount(cache, settings); block += 1) {
      const lease = read.lease(cache.get(KEY.lease(block))?.value);
      const key = KEY.keep(block, node);
      // A node that starts has heard nobody yet. Kept for nothing, silent workers would count as answered just now, and
      // a block that was taken over lately would wait for them for another lease.
      const hasListened = now - this.#startedAt > SILENT_MS;
      if (lease && lease.owner !== node && hasListened && !this.reach.reaches(lease.owner, block)) {
        this.#neededAt.set(block, now);
      }
      const needed =
        lease !== undefined &&
        lease.owner !== node &&
        now - (this.#neededAt.get(block) ?? -Infinity) < LINGER_MS;
      if (needed && this.#kept.get(block) !== ownLease) {
        const result = await store.txn(
          [{ key, version: cache.version(key) }],
          [{ put: key, value: {}, lease: ownLease }],
          true,
        );
        if (result.ok) this.#kept.set(block, ownLease);
      } else if (!needed && (this.#kept.has(block) || cache.get(key))) {
        // In this order: nothing is answered any more when the record goes.
        this.#kept.delete(block);
        await store.txn([{ key, version: cache.version(key) }], [{ delete: key }], true);
      }
    }
  }

  /**
   * The answer to a worker's report, if we keep its block; only for a machine that holds tasks. Never by promises: while
   * the state service is out nobody raises the token, and a start of the owner's that is held up beyond the cut could
   * be carried out for as long as we answered, though its job was cancelled long ago.
   */
  answer(report: Report, block: number): { token: number; orders: Order[] } | undefined {
    const { cache, session, node } = this.deps;
    const isKept = session.lease !== undefined && this.#kept.get(block) === session.lease;
    if (!isKept || !session.validByOwnLease || report.attempts.length === 0) return undefined;
    const lease = read.lease(cache.get(KEY.lease(block))?.value);
    if (!lease || lease.owner === node || this.reach.reaches(lease.owner, block)) return undefined;
    return { token: lease.token, orders: stopsOfEnded(report, cache) };
  }
}
