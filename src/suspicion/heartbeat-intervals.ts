/** @file The intervals between a peer's heartbeats, kept in a quantile sketch of bounded size. */
import { LogCollapsingLowestDenseDDSketch } from '@datadog/sketches-js';
import type { IntervalDistribution } from './phi';

const RELATIVE_ACCURACY = 0.02;
const MAX_BINS = 256;
/** Number of intervals in a generation: about four minutes of heartbeats, at one a second. */
const INTERVALS_PER_GENERATION = 256;
/** Minimum number of intervals from which their distribution is estimated. */
const MIN_INTERVALS = 8;
/** Longer intervals are truncated to this, because an outage says nothing about the regularity of heartbeats. */
const MAX_INTERVAL_MS = 5_000;
const MEDIAN_QUANTILE = 0.5;
const TAIL_QUANTILE = 0.95;
/** Distance from the median to the quantile `TAIL_QUANTILE` of a normal distribution, in standard deviations. */
const TAIL_DEVIATIONS = 1.645;

/**
 * Estimates the distribution of heartbeat intervals. Keeps only the current and the previous generation of intervals, so
 * that older ones are forgotten. Each generation is a sketch rather than a list, since a sketch's size doesn't depend on
 * the number of intervals. A sketch's quantiles, unlike mean and variance, are hardly affected by a single outlier.
 */
export class HeartbeatIntervals {
  #current = newSketch();
  #previous: LogCollapsingLowestDenseDDSketch | undefined;
  #distribution: IntervalDistribution | undefined;

  /** Adds an interval in milliseconds. */
  add(intervalMs: number): void {
    if (this.#current.count >= INTERVALS_PER_GENERATION) {
      this.#previous = this.#current;
      this.#current = newSketch();
    }
    this.#current.accept(Math.min(Math.max(intervalMs, 1), MAX_INTERVAL_MS));
    this.#distribution = undefined;
  }

  /** The estimated distribution of the intervals; undefined while there are too few. */
  get distribution(): IntervalDistribution | undefined {
    this.#distribution ??= this.#estimate();
    return this.#distribution;
  }

  #estimate(): IntervalDistribution | undefined {
    const sketch = this.#current.count >= MIN_INTERVALS ? this.#current : this.#previous;
    if (!sketch || sketch.count < MIN_INTERVALS) return undefined;
    const median = sketch.getValueAtQuantile(MEDIAN_QUANTILE);
    const tail = sketch.getValueAtQuantile(TAIL_QUANTILE);
    return { meanMs: median, deviationMs: (tail - median) / TAIL_DEVIATIONS };
  }
}

function newSketch(): LogCollapsingLowestDenseDDSketch {
  return new LogCollapsingLowestDenseDDSketch({ relativeAccuracy: RELATIVE_ACCURACY, binLimit: MAX_BINS });
}
