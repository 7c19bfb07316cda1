import type { Clock } from '../base/clock';

/** A token bucket. `take` waits for its turn; `takeNow` goes ahead at once and lets the others wait longer. */
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

  takeNow(count = 1): void {
    this.#fill();
    this.#tokens -= count;
  }

  /** Takes the tokens if they are there. */
  tryTake(count = 1): boolean {
    this.#fill();
    if (this.#tokens < Math.min(count, this.burst)) return false;
    this.#tokens -= count;
    return true;
  }

  async take(count = 1): Promise<void> {
    while (!this.tryTake(count)) {
      const missing = Math.min(count, this.burst) - this.#tokens;
      await this.clock.sleep(Math.max(5, (missing / this.perSecond) * 1000));
    }
  }
}
