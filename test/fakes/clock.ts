/** @file Simulated time that tests advance, and the clock of a simulated process. */
import TinyQueue from 'tinyqueue';
import type { Clock } from '../../src/base/clock';

interface Timer {
  at: number;
  order: number;
  isCancelled: boolean;
  fire(): void;
}

/** The part of a clock that the fakes use: simulated in tests, real in load tests. */
export interface TimerClock extends Pick<Clock, 'now' | 'sleep'> {
  after(ms: number, fire: () => void): unknown;
}

/** A clock that moves only when a test advances it. */
export class FakeClock implements Clock, TimerClock {
  #now = 0;
  #order = 0;
  /** Ordered by due time; timers due at the same time fire in the order in which they were set. */
  readonly #timers = new TinyQueue<Timer>([], (a, b) => a.at - b.at || a.order - b.order);

  now(): number {
    return this.#now;
  }

  date(): Date {
    return new Date(1_700_000_000_000 + this.#now);
  }

  after(ms: number, fire: () => void): Timer {
    this.#order += 1;
    const timer = { at: this.#now + Math.max(0, ms), order: this.#order, isCancelled: false, fire };
    this.#timers.push(timer);
    return timer;
  }

  cancel(timer: Timer): void {
    timer.isCancelled = true;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const onAbort = (): void => {
        this.cancel(timer);
        resolve();
      };
      const timer = this.after(ms, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      });
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }

  /** Advances the time and fires the timers that become due, in order. */
  async advance(ms: number): Promise<void> {
    const end = this.#now + ms;
    for (;;) {
      await drainEventLoop();
      const next = this.#nextUntil(end);
      if (!next) break;
      this.#now = Math.max(this.#now, next.at);
      next.fire();
    }
    this.#now = end;
  }

  #nextUntil(end: number): Timer | undefined {
    for (let next = this.#timers.peek(); next && next.at <= end; next = this.#timers.peek()) {
      this.#timers.pop();
      if (!next.isCancelled) return next;
    }
    return undefined;
  }
}

/**
 * The clock of a process that tests can freeze, delay and kill. Time goes on while the process is frozen; timers that
 * become due and messages that arrive meanwhile take effect when it resumes.
 */
export class FakeProcess implements Clock {
  #resumed: Promise<void> | undefined;
  #killed = false;
  /** Delay that is added to every timer and every message. */
  delayMs = 0;

  constructor(private readonly clock: FakeClock) {}

  now(): number {
    return this.clock.now();
  }

  date(): Date {
    return this.clock.date();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(ms, signal);
    await this.#untilRunning();
  }

  /** Kills the process: its pending timers and requests never complete. */
  kill(): void {
    this.#killed = true;
  }

  get isKilled(): boolean {
    return this.#killed;
  }

  get isFrozen(): boolean {
    return this.#resumed !== undefined;
  }

  async #untilRunning(): Promise<void> {
    if (this.delayMs > 0) await this.clock.sleep(this.delayMs);
    await this.#resumed;
    if (this.#killed) await new Promise(() => undefined);
  }

  /** Freezes the process. Returns a function that resumes it. */
  freeze(): () => void {
    let resume: () => void = () => undefined;
    this.#resumed = new Promise((resolve) => {
      resume = resolve;
    });
    return () => {
      this.#resumed = undefined;
      resume();
    };
  }

  /** Waits for a message or response, and then until the process runs. */
  async whenRunning<T>(from: Promise<T>): Promise<T> {
    try {
      return await from;
    } finally {
      await this.#untilRunning();
    }
  }
}

/** Runs all microtasks and immediates that don't wait for a timer of this clock. */
async function drainEventLoop(): Promise<void> {
  for (let iteration = 0; iteration < 3; iteration += 1)
    await new Promise((resolve) => setImmediate(resolve));
}
