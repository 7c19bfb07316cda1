/** @file Raises a shard's fencing token while start commands without a response leave attempts unconfirmed. */
import { KEY, read } from '../../bookkeeping/records';
import type { ControllerContext } from '../controller-context';
import { fencingTokenOf } from '../shard/attempt';
import type { Shard } from '../shard/shard';

const CHECK_INTERVAL_MS = 250;
/** Minimum interval between two raises while a start command without a response leaves an attempt unconfirmed. */
const MIN_RAISE_INTERVAL_MS = 1_000;
/** Minimum interval between two raises that only make exited attempts safe to forget. */
const MIN_EXITED_RAISE_INTERVAL_MS = 8_000;

/**
 * Raises the shard's fencing token: every worker then refuses the commands that were sent under lower tokens and never
 * got a response.
 */
export class FencingTokenRaiser {
  #raisedAt: number;

  constructor(
    private readonly shard: Shard,
    private readonly context: ControllerContext,
  ) {
    this.#raisedAt = context.clock.now();
  }

  /** Raises the token if needed. Run in a loop of its own, so that no scheduling round waits for the store. */
  async step(signal: AbortSignal): Promise<void> {
    await this.context.clock.sleep(CHECK_INTERVAL_MS, signal);
    const now = this.context.clock.now();
    if (signal.aborted || !this.shard.entitled || !this.#isNeeded(now - this.#raisedAt)) return;
    const { cache, store, session, controllerId, log } = this.context;
    const { shard } = this;
    const next = (read.fencingToken(cache.get(KEY.fencingToken)?.value)?.next ?? 0) + 1;
    if (session.lease === undefined || next <= shard.fencingToken) return;
    const lease = { owner: controllerId, token: next };
    const result = await store.compareAndSwap(
      [shard.leaseCondition(), { key: KEY.fencingToken, version: cache.version(KEY.fencingToken) }],
      [
        { put: KEY.fencingToken, value: { next } },
        { put: KEY.lease(shard.number), value: lease, lease: session.lease },
      ],
    );
    if (!result.ok || next <= shard.fencingToken) return;
    shard.fencingToken = next;
    shard.leaseVersion = result.revision;
    this.#raisedAt = now;
    log.debug({ shard: shard.number, fencingToken: next }, 'fencing token raised');
  }

  #isNeeded(sinceRaiseMs: number): boolean {
    if (sinceRaiseMs < MIN_RAISE_INTERVAL_MS) return false;
    // Usually no start is unconfirmed, so a flag is checked first: iterating over all attempts of a thousand machines
    // four times a second took a twentieth of the owner's time (docs/PERFORMANCE.md).
    if (!this.shard.hasUnconfirmedStarts && sinceRaiseMs < MIN_EXITED_RAISE_INTERVAL_MS) return false;
    const hasUnconfirmed = this.#hasUnconfirmedAttempt(sinceRaiseMs);
    if (!hasUnconfirmed) this.shard.hasUnconfirmedStarts = false;
    return hasUnconfirmed;
  }

  #hasUnconfirmedAttempt(sinceRaiseMs: number): boolean {
    for (const machine of this.shard.machines.values()) {
      for (const attempt of machine.attempts.values()) {
        if (fencingTokenOf(attempt.number) < this.shard.fencingToken) continue;
        if (attempt.isStartInFlight || !attempt.wasStartSent) continue;
        if (attempt.phase === 'starting') return true;
        if (attempt.phase === 'exited' && sinceRaiseMs >= MIN_EXITED_RAISE_INTERVAL_MS) return true;
      }
    }
    return false;
  }
}
