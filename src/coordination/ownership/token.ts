import { KEY, read } from '../../bookkeeping/records';
import type { Block } from '../block/block';
import type { NodeContext } from '../node-context';
import { issueToken } from '../block/machine';

const LOOK_MS = 250;
/** Between two raises of the token: when an unanswered start is in doubt, and for mere forgetting. */
const RAISE_IN_DOUBT_MS = 1_000;
const RAISE_TO_FORGET_MS = 8_000;

/** Raises the block's token: every worker then refuses what was sent under the lower ones and never answered. */
export class TokenRaiser {
  #raisedAt: number;

  constructor(
    private readonly block: Block,
    private readonly deps: NodeContext,
  ) {
    this.#raisedAt = deps.clock.now();
  }

  /** One step; to be run in a loop of its own, so that no round waits for the state service. */
  async step(signal: AbortSignal): Promise<void> {
    await this.deps.clock.sleep(LOOK_MS, signal);
    const now = this.deps.clock.now();
    if (signal.aborted || !this.block.entitled || !this.#isNeeded(now - this.#raisedAt)) return;
    const { cache, store, session } = this.deps;
    const { block } = this;
    const next = (read.baton(cache.get(KEY.baton)?.value)?.next ?? 0) + 1;
    if (session.lease === undefined || next <= block.token) return;
    const result = await store.txn(
      [block.leaseGuard(), { key: KEY.baton, version: cache.version(KEY.baton) }],
      [
        { put: KEY.baton, value: { next } },
        {
          put: KEY.lease(block.number),
          value: { owner: this.deps.node, token: next },
          lease: session.lease,
        },
      ],
    );
    if (result.ok && next > block.token) {
      block.token = next;
      block.leaseVersion = result.revision;
      this.#raisedAt = now;
      this.deps.log.debug({ block: block.number, token: next }, 'token raised');
    }
  }

  #isNeeded(sinceMs: number): boolean {
    if (sinceMs < RAISE_IN_DOUBT_MS) return false;
    // Nearly always there is nothing to find: walking over all attempts of a thousand machines four times a second took a
    // twentieth of the owner's time (docs/PERFORMANCE.md).
    if (!this.block.startsInDoubt && sinceMs < RAISE_TO_FORGET_MS) return false;
    const inDoubt = this.#find(sinceMs);
    if (!inDoubt) this.block.startsInDoubt = false;
    return inDoubt;
  }

  #find(sinceMs: number): boolean {
    for (const machine of this.block.machines.values()) {
      for (const a of machine.attempts.values()) {
        if (issueToken(a.attempt) < this.block.token || a.inFlight || !a.posted) continue;
        if (a.phase === 'sent' || (a.phase === 'exited' && sinceMs >= RAISE_TO_FORGET_MS)) return true;
      }
    }
    return false;
  }
}
