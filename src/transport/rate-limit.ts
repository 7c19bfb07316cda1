/** @file A limit on the rate of requests. */
import type { Clock } from '../base/clock';

/** The wait for a token would be longer than the caller's patience. */
export class Busy extends Error {
  override name = 'Busy';
}

/**
 * A token bucket. `take` waits for its turn, first come first served; `takeNow` goes ahead at once and lets the others
 * wait longer. Tokens are taken before the wait, so that a large batch can't be overtaken for ever by small ones.
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

  #fill(): void {
    const now = this.clock.now();
    this.#tokens = Math.min(this.burst, this.#tokens + ((now - this.#filledAt) / 1000) * this.perSecond);
    this.#filledAt = now;
  }

  /** Takes tokens without waiting. */
  takeNow(count = 1): void {
    this.#fill();
    this.#tokens -= count;
  }

  /** Waits for its turn; refused at once, with nothing taken, when that would take too long. */
  async take(count = 1, patienceMs = Infinity): Promise<void> {
    this.#fill();
    const missing = Math.min(count, this.burst) - this.#tokens;
    const waitMs = (missing / this.perSecond) * 1000;
    if (waitMs > patienceMs) throw new Busy(`a turn is ${Math.round(waitMs)} ms away`);
    this.#tokens -= count;
    if (waitMs > 0) await this.clock.sleep(waitMs);
  }
}
