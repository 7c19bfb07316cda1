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
      const aborted = (): void => {
        this.cancel(timer);
        resolve();
      };
      const timer = this.after(ms, () => {
        signal?.removeEventListener('abort', aborted);
        resolve();
      });
      signal?.addEventListener('abort', aborted, { once: true });
    });
  }

  /** Lets time pass, firing what falls due, in order. */
  async advance(ms: number): Promise<void> {
    const end = this.#now + ms;
    for (;;) {
      await settle();
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
  #thaw: Promise<void> | undefined;
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
    await this.#goesOn();
  }

  /** Nothing that the process began continues. */
  kill(): void {
    this.#killed = true;
  }

  get isKilled(): boolean {
    return this.#killed;
  }

  get isFrozen(): boolean {
    return this.#thaw !== undefined;
  }

  async #goesOn(): Promise<void> {
    if (this.delayMs > 0) await this.clock.sleep(this.delayMs);
    await this.#thaw;
    if (this.#killed) await new Promise(() => undefined);
  }

  /** The process resumes when the function that is returned is called. */
  freeze(): () => void {
    let thaw: () => void = () => undefined;
    this.#thaw = new Promise((resolve) => {
      thaw = resolve;
    });
    return () => {
      this.#thaw = undefined;
      thaw();
    };
  }

  /** What comes from outside waits until the process resumes. */
  async whenRunning<T>(from: Promise<T>): Promise<T> {
    try {
      return await from;
    } finally {
      await this.#goesOn();
    }
  }
}

/** Lets everything run that waits for nothing but its turn. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) await new Promise((resolve) => setImmediate(resolve));
}
