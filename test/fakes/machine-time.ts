/** @file The time of a machine, which stands still while the machine hangs. */
import type { TimerClock } from './clock';

/** Timers of a machine, and what waits until it resumes after a hang. */
export class MachineTime {
  #isHanging = false;
  #hungAt = 0;
  /** How long it has stood still before the hang that lasts, if one does. */
  #stoodMs = 0;
  /** What goes on when it resumes, in order. */
  #onResume: (() => void)[] = [];

  constructor(private readonly clock: TimerClock) {}

  get isHanging(): boolean {
    return this.#isHanging;
  }

  hang(): void {
    this.#hungAt = this.clock.now();
    this.#isHanging = true;
  }

  /** Lets time pass again; what has waited goes on only with `runQueued`. */
  resume(): void {
    this.#stoodMs += this.clock.now() - this.#hungAt;
    this.#isHanging = false;
  }

  runQueued(): void {
    const queued = this.#onResume;
    this.#onResume = [];
    for (const goOn of queued) goOn();
  }

  /** Drops what has waited. */
  clear(): void {
    this.#onResume = [];
  }

  /** Queues what goes on when the machine resumes. */
  onResume(goOn: () => void): void {
    this.#onResume.push(goOn);
  }

  /** A timer in the machine's own time. */
  after(ms: number, fire: () => void): void {
    const stood = this.#stoodMs;
    this.clock.after(ms, () => {
      const goOn = (): void => {
        const missed = this.#stoodMs - stood;
        if (missed > 0) this.after(missed, fire);
        else fire();
      };
      if (this.#isHanging) this.#onResume.push(goOn);
      else goOn();
    });
  }
}
