/** @file Time, and a signal that wakes a loop ahead of its time. */
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/**
 * Time as the service sees it. `now` is steady (milliseconds) and is all that safety may rest on;
 * `date` is the time of day, which wanders, and serves submission times and ageing only.
 */
export interface Clock {
  now(): number;
  date(): Date;
  /** Resolves after the time, or as soon as the signal is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the system. */
export const systemClock: Clock = {
  now: () => performance.now(),
  date: () => new Date(),
  sleep: async (ms, signal) => {
    await delay(ms, undefined, signal ? { signal } : {}).catch((error: unknown) => {
      if (!signal?.aborted) throw error;
    });
  },
};

/**
 * Resolves when woken, or after the given time at the latest; remembers a wake that came before the wait. A sleep that a
 * wake cut short goes on and serves the next wait: ended and begun anew for each of the hundreds of wakes a second, its
 * timer and the error of its end cost more than what the wake was for (docs/PERFORMANCE.md).
 */
export class WakeSignal {
  #isWoken = false;
  #isSleeping = false;
  /** Ends the present wait. */
  #resolve: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Ends the present wait, or the next one at once. */
  wake(): void {
    this.#isWoken = true;
    this.#resolve?.();
  }

  /** Waits to be woken; for one caller at a time. */
  async wait(ms: number): Promise<void> {
    if (!this.#isWoken) {
      if (!this.#isSleeping) void this.#sleep(ms);
      await new Promise<void>((resolve) => {
        this.#resolve = resolve;
      });
      this.#resolve = undefined;
    }
    this.#isWoken = false;
  }

  async #sleep(ms: number): Promise<void> {
    this.#isSleeping = true;
    await this.clock.sleep(ms);
    this.#isSleeping = false;
    this.#resolve?.();
  }
}
