/** @file Time that scenarios control. */
import TinyQueue from 'tinyqueue';
import type { Clock } from '../../src/base/clock';

interface Timer {
  at: number;
  order: number;
  isCancelled: boolean;
  fire(): void;
}

/** What the stand-ins need of time: a scenario's, or the real one's under load. */
export interface TimerClock extends Pick<Clock, 'now' | 'sleep'> {
  after(ms: number, fire: () => void): unknown;
}

/** Time that moves only when a scenario says so. */
export class FakeClock implements Clock, TimerClock {
  #now = 0;
  #order = 0;
  /** The next to fall due first; those of one moment in the order in which they were set. */
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

  /** Lets time pass, firing what falls due, in order. */
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
 * A process's view of the simulated time, with the process standing still now and then: what falls due meanwhile happens
 * all at once afterwards, and time has gone on.
 */
export class FakeProcess implements Clock {
  #resumed: Promise<void> | undefined;
  #killed = false;
  /** How much longer every timer and every message takes. */
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

  /** Nothing that the process began continues. */
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

  /** The process resumes when the function that is returned is called. */
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

  /** What comes from outside waits until the process resumes. */
  async whenRunning<T>(from: Promise<T>): Promise<T> {
    try {
      return await from;
    } finally {
      await this.#untilRunning();
    }
  }
}

/** Lets everything run that waits for nothing but its turn. */
async function drainEventLoop(): Promise<void> {
  for (let iteration = 0; iteration < 3; iteration += 1)
    await new Promise((resolve) => setImmediate(resolve));
}
