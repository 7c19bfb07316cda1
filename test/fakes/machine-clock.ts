/** @file The clock of a machine, which stops while the machine hangs. */
import type { TimerClock } from './clock';

/** Timers of a machine, and a queue of the callbacks that run when it resumes after a hang. */
export class MachineClock {
  #isHanging = false;
  #hungAt = 0;
  /** Total duration of earlier hangs. */
  #hungMs = 0;
  /** Callbacks to run after the machine resumes, in order. */
  #onResume: (() => void)[] = [];

  constructor(private readonly clock: TimerClock) {}

  get isHanging(): boolean {
    return this.#isHanging;
  }

  hang(): void {
    this.#hungAt = this.clock.now();
    this.#isHanging = true;
  }

  /** Ends the hang. Queued callbacks run only when `runQueued` is called. */
  resume(): void {
    this.#hungMs += this.clock.now() - this.#hungAt;
    this.#isHanging = false;
  }

  runQueued(): void {
    const queued = this.#onResume;
    this.#onResume = [];
    for (const proceed of queued) proceed();
  }

  /** Drops the queued callbacks. */
  clear(): void {
    this.#onResume = [];
  }

  /** Queues a callback to run after the machine resumes. */
  onResume(proceed: () => void): void {
    this.#onResume.push(proceed);
  }

  /** Sets a timer that doesn't count the time of hangs. */
  after(ms: number, fire: () => void): void {
    const hungBefore = this.#hungMs;
    this.clock.after(ms, () => {
      const proceed = (): void => {
        const missed = this.#hungMs - hungBefore;
        if (missed > 0) this.after(missed, fire);
        else fire();
      };
      if (this.#isHanging) this.#onResume.push(proceed);
      else proceed();
    });
  }
}
