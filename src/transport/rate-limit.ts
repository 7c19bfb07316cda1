/** @file A limit on the rate of requests. */
import type { Clock } from '../base/clock';

const MS_PER_S = 1_000;

/** The wait for a turn would be longer than the caller accepts; nothing was taken. */
export class RateLimitExceededError extends Error {
  override name = 'RateLimitExceededError';
}

/**
 * A token bucket. `take` waits for its turn, first come first served; `takeNow` goes ahead at once and lets the others
 * wait longer. Tokens are taken before the wait, so that small batches can't overtake a large one again and again.
 */
export class RateLimit {
  #tokens: number;
  #filledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.#tokens = burst;
    this.#filledAt = clock.now();
  }

  /** Takes tokens without waiting; the bucket may become overdrawn. */
  takeNow(count = 1): void {
    this.#fill();
    this.#tokens -= count;
  }

  /** Takes tokens and waits for their turn. Throws `RateLimitExceededError` at once, with nothing taken, when the wait would be too long. */
  async take(count = 1, maxWaitMs = Infinity): Promise<void> {
    this.#fill();
    const missing = Math.min(count, this.burst) - this.#tokens;
    const waitMs = (missing / this.perSecond) * MS_PER_S;
    if (waitMs > maxWaitMs) throw new RateLimitExceededError(`a turn is ${Math.round(waitMs)} ms away`);
    this.#tokens -= count;
    if (waitMs > 0) await this.clock.sleep(waitMs);
  }

  #fill(): void {
    const now = this.clock.now();
    this.#tokens = Math.min(this.burst, this.#tokens + ((now - this.#filledAt) / MS_PER_S) * this.perSecond);
    this.#filledAt = now;
  }
}
