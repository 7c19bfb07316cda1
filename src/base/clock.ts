import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/**
 * Time as the service sees it. `now` is steady (milliseconds) and is all that safety may rest on;
 * `date` is the time of day, which wanders, and serves submission times and ageing only.
 */
export interface Clock {
  now(): number;
  date(): Date;
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

export const systemClock: Clock = {
  now: () => performance.now(),
  date: () => new Date(),
  sleep: async (ms, signal) => {
    await delay(ms, undefined, signal ? { signal } : {}).catch((error: unknown) => {
      if (!signal?.aborted) throw error;
    });
  },
};

/** Resolves when woken, or after the given time; remembers a wake that came before the wait. */
export class Wake {
  #woken = false;
  #waiter: AbortController | undefined;

  constructor(private readonly clock: Clock) {}

  wake(): void {
    this.#woken = true;
    this.#waiter?.abort();
  }

  async wait(ms: number): Promise<void> {
    if (!this.#woken) {
      this.#waiter = new AbortController();
      await this.clock.sleep(ms, this.#waiter.signal);
      this.#waiter = undefined;
    }
    this.#woken = false;
  }
}
