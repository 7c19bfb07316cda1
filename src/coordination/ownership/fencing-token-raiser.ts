import { KEY, read } from '../../bookkeeping/records';
import type { Shard } from '../shard/shard';
import type { ControllerContext } from '../controller-context';
import { fencingTokenOf } from '../shard/attempt';

const LOOK_MS = 250;
/** Between two raises of the token: when an unanswered start is in doubt, and for mere forgetting. */
const RAISE_IN_DOUBT_MS = 1_000;
const RAISE_TO_FORGET_MS = 8_000;

/** Raises the shard's token: every worker then refuses what was sent under the lower ones and never answered. */
export class FencingTokenRaiser {
  #raisedAt: number;

  constructor(
    private readonly shard: Shard,
    private readonly context: ControllerContext,
  ) {
    this.#raisedAt = context.clock.now();
  }

  /** One step; to be run in a loop of its own, so that no round waits for the state service. */
  async step(signal: AbortSignal): Promise<void> {
    await this.context.clock.sleep(LOOK_MS, signal);
    const now = this.context.clock.now();
    if (signal.aborted || !this.shard.entitled || !this.#isNeeded(now - this.#raisedAt)) return;
    const { cache, store, session } = this.context;
    const { shard } = this;
    const next = (read.fencingToken(cache.get(KEY.fencingToken)?.value)?.next ?? 0) + 1;
    if (session.lease === undefined || next <= shard.fencingToken) return;
    const result = await store.compareAndSwap(
      [shard.leaseCondition(), { key: KEY.fencingToken, version: cache.version(KEY.fencingToken) }],
      [
        { put: KEY.fencingToken, value: { next } },
        {
          put: KEY.lease(shard.number),
          value: { owner: this.context.controllerId, token: next },
          lease: session.lease,
        },
      ],
    );
    if (result.ok && next > shard.fencingToken) {
      shard.fencingToken = next;
      shard.leaseVersion = result.revision;
      this.#raisedAt = now;
      this.context.log.debug({ shard: shard.number, fencingToken: next }, 'fencing token raised');
    }
  }

  #isNeeded(sinceMs: number): boolean {
    if (sinceMs < RAISE_IN_DOUBT_MS) return false;
    // Nearly always there is nothing to find: walking over all attempts of a thousand machines four times a second took a
    // twentieth of the owner's time (docs/PERFORMANCE.md).
    if (!this.shard.hasUnconfirmedStarts && sinceMs < RAISE_TO_FORGET_MS) return false;
    const inDoubt = this.#find(sinceMs);
    if (!inDoubt) this.shard.hasUnconfirmedStarts = false;
    return inDoubt;
  }

  #find(sinceMs: number): boolean {
    for (const machine of this.shard.machines.values()) {
      for (const a of machine.attempts.values()) {
        if (fencingTokenOf(a.number) < this.shard.fencingToken || a.isStartInFlight || !a.wasSent) continue;
        if (a.phase === 'starting' || (a.phase === 'exited' && sinceMs >= RAISE_TO_FORGET_MS)) return true;
      }
    }
    return false;
  }
}
