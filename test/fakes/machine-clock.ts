/** @file The time of a machine, which stops while the machine hangs. */
import type { TimerClock } from './clock';

/** Timers of a machine, and what waits until it resumes after a hang. */
export class MachineClock {
  #isHanging = false;
  #hungAt = 0;
  /** How long it has hung before the present hang, if any. */
  #hungMs = 0;
  /** What continues when it resumes, in order. */
  #onResume: (() => void)[] = [];

  constructor(private readonly clock: TimerClock) {}

  get isHanging(): boolean {
    return this.#isHanging;
  }

  hang(): void {
    this.#hungAt = this.clock.now();
    this.#isHanging = true;
  }

  /** Lets time pass again; what has waited continues only with `runQueued`. */
  resume(): void {
    this.#hungMs += this.clock.now() - this.#hungAt;
    this.#isHanging = false;
  }

  runQueued(): void {
    const queued = this.#onResume;
    this.#onResume = [];
    for (const proceed of queued) proceed();
  }

  /** Drops what has waited. */
  clear(): void {
    this.#onResume = [];
  }

  /** Queues what continues when the machine resumes. */
  onResume(proceed: () => void): void {
    this.#onResume.push(proceed);
  }

  /** A timer in the machine's own time. */
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
