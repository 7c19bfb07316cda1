/** @file The clock, and a signal that ends the wait of a loop early. */
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/**
 * The time source of the service. `now` is monotonic, in milliseconds; every safety guarantee uses it alone. `date` is
 * the wall clock, which drifts and may jump; it is used only for stored times, such as a job's submission, and for ages.
 */
export interface Clock {
  now(): number;
  date(): Date;
  /** Resolves after the given time, or as soon as the signal is aborted. */
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
 * Ends the wait of a loop when woken, or after a timeout; a wait that follows a wake ends at once. A wake doesn't cancel
 * the timer of the wait: the timer keeps running as the timeout of the next wait. With hundreds of wakes a second,
 * aborting and restarting the timer cost more than the work that followed the wakes (docs/PERFORMANCE.md).
 */
export class WakeSignal {
  #isWoken = false;
  #isSleeping = false;
  /** Ends the current wait; undefined when there is none. */
  #resolve: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Ends the current wait, or the next one immediately. */
  wake(): void {
    this.#isWoken = true;
    this.#resolve?.();
  }

  /** Waits for a wake, at most the given time. Only one caller may wait at a time. */
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
