/** @file A token-bucket rate limiter. */
import type { Clock } from '../base/clock';

const MS_PER_S = 1_000;

/** The wait for tokens would be longer than the caller accepts; no tokens were taken. */
export class RateLimitExceededError extends Error {
  override name = 'RateLimitExceededError';
}

/**
 * A token bucket. `take` waits for tokens, first come first served; `takeNow` doesn't wait, and makes later callers of
 * `take` wait longer. Tokens are taken before the wait, so that small requests can't overtake a large one repeatedly.
 */
export class RateLimit {
  #tokens: number;
  #refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.#tokens = burst;
    this.#refilledAt = clock.now();
  }

  /** Takes tokens without waiting; the number of tokens may become negative. */
  takeNow(count = 1): void {
    this.#refill();
    this.#tokens -= count;
  }

  /** Takes tokens and waits for them; if that would take too long, throws `RateLimitExceededError` and takes none. */
  async take(count = 1, maxWaitMs = Infinity): Promise<void> {
    this.#refill();
    const missing = Math.min(count, this.burst) - this.#tokens;
    const waitMs = (missing / this.perSecond) * MS_PER_S;
    if (waitMs > maxWaitMs) throw new RateLimitExceededError(`next token in ${Math.round(waitMs)} ms`);
    this.#tokens -= count;
    if (waitMs > 0) await this.clock.sleep(waitMs);
  }

  #refill(): void {
    const now = this.clock.now();
    this.#tokens = Math.min(
      this.burst,
      this.#tokens + ((now - this.#refilledAt) / MS_PER_S) * this.perSecond,
    );
    this.#refilledAt = now;
  }
}
