/** @file The intervals between a peer's heartbeats, kept in a quantile sketch of bounded size. */
import { LogCollapsingLowestDenseDDSketch } from '@datadog/sketches-js';
import type { IntervalDistribution } from './phi';

const RELATIVE_ACCURACY = 0.02;
const MAX_BINS = 256;
/** Intervals in a generation: with one heartbeat a second, about four minutes. */
const INTERVALS_PER_GENERATION = 256;
/** Fewer intervals than this say nothing about their distribution. */
const MIN_INTERVALS = 8;
/** Longer intervals count as this long: an outage says nothing about how regular heartbeats are. */
const MAX_INTERVAL_MS = 5_000;
const MEDIAN_QUANTILE = 0.5;
const TAIL_QUANTILE = 0.95;
/** How many standard deviations the tail's quantile lies above the median of a normal distribution. */
const TAIL_DEVIATIONS = 1.645;

/**
 * Two generations of intervals: the one that is being filled and the one before, so that what happened long ago is
 * forgotten. A sketch rather than a list of samples, since its size doesn't depend on how many intervals it holds and
 * its quantiles are not moved by a single outlier as mean and variance are.
 */
export class HeartbeatIntervals {
  #current = newSketch();
  #previous: LogCollapsingLowestDenseDDSketch | undefined;
  #distribution: IntervalDistribution | undefined;

  /** Takes in an interval in milliseconds. */
  add(intervalMs: number): void {
    if (this.#current.count >= INTERVALS_PER_GENERATION) {
      this.#previous = this.#current;
      this.#current = newSketch();
    }
    this.#current.accept(Math.min(Math.max(intervalMs, 1), MAX_INTERVAL_MS));
    this.#distribution = undefined;
  }

  /** How the intervals are distributed; undefined while too few are known. */
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
