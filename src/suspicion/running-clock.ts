/** @file Measures the time during which this process runs, and records its pauses. */

/** Interval of the ticks by which the process records that it is running. */
export const TICK_INTERVAL_MS = 200;
/** Maximum running time that a tick adds, however long ago the previous tick was. */
const MAX_RUNNING_MS_PER_TICK = 1.5 * TICK_INTERVAL_MS;
/** Maximum number of pauses that are kept. */
const MAX_PAUSES = 64;

/** A period during which the process did not run. Monotonic times in milliseconds. */
export interface Pause {
  readonly from: number;
  readonly to: number;
}

/**
 * A clock that advances only while the process runs. A pause of the process is no evidence against a peer, since
 * messages that the peer sent meanwhile could not be read. Even a pause of eight seconds advances running time by at
 * most 1.5 tick intervals. In a process with a slow event loop, running time advances slowly, so the process takes
 * longer to suspect its peers (as with Lifeguard's local health, but without a multiplier that has to be configured).
 */
export class RunningClock {
  #lastTickAt: number;
  #runningMs = 0;
  #pauses: Pause[] = [];

  constructor(startedAt: number) {
    this.#lastTickAt = startedAt;
  }

  /** Records that the process runs at the monotonic time `now`. */
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

  /** The pauses of at least this length that ended after the monotonic time `since`. */
  pausesSince(since: number, atLeastMs: number): Pause[] {
    return this.#pauses.filter(({ from, to }) => to > since && to - from >= atLeastMs);
  }
}
