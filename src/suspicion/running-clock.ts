/** @file Time during which this process was seen to run, and the pauses in between. */

/** How often the process notes that it runs, in milliseconds. */
export const TICK_INTERVAL_MS = 200;
/** A tick adds at most this much running time, however long ago the one before was. */
const MAX_RUNNING_MS_PER_TICK = 1.5 * TICK_INTERVAL_MS;
/** How many pauses are remembered. */
const MAX_PAUSES = 64;

/** A time during which the process did not run. Steady times in milliseconds. */
export interface Pause {
  readonly from: number;
  readonly to: number;
}

/**
 * Running time goes on only while the process runs: time in which it did not is no evidence against a peer, since what
 * the peer sent meanwhile could not be read. A process that wakes after eight seconds has aged by one tick, and one
 * whose event loop is slow ages slowly, so it takes longer to suspect others (Lifeguard's local health, without a
 * multiplier to be set).
 */
export class RunningClock {
  #lastTickAt: number;
  #runningMs = 0;
  #pauses: Pause[] = [];

  constructor(startedAt: number) {
    this.#lastTickAt = startedAt;
  }

  /** Notes that the process runs at this steady time. */
  tick(now: number): void {
    const elapsedMs = now - this.#lastTickAt;
    this.#runningMs += Math.min(elapsedMs, MAX_RUNNING_MS_PER_TICK);
    if (elapsedMs > MAX_RUNNING_MS_PER_TICK) {
      this.#pauses.push({ from: this.#lastTickAt + TICK_INTERVAL_MS, to: now });
      this.#pauses = this.#pauses.slice(-MAX_PAUSES);
    }
    this.#lastTickAt = now;
  }

  /** Running time in milliseconds, as of the last tick. */
  get runningMs(): number {
    return this.#runningMs;
  }

  /** The pauses of at least this length that ended after a steady time. */
  pausesSince(since: number, atLeastMs: number): Pause[] {
    return this.#pauses.filter(({ from, to }) => to > since && to - from >= atLeastMs);
  }
}
