/** @file Estimates how unlikely a silence is, by heartbeat intervals: phi accrual detection (Hayashibara and others). */

/** A normal distribution fitted to heartbeat intervals, in milliseconds. */
export interface IntervalDistribution {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** The continued fraction is used for values that exceed the mean by at least this many standard deviations. */
const TAIL_FROM = 1.5;
/** Number of levels of the continued fraction, enough for an accuracy of a thousandth beyond `TAIL_FROM`. */
const LEVELS = 12;
/** Coefficients of the logistic approximation of the normal distribution (Bowling and others, 2009). */
const LINEAR = 1.5976;
const CUBIC = 0.07056;

/** Natural logarithm of the probability that a normal variable exceeds its mean by this many standard deviations. */
function logTail(deviations: number): number {
  if (deviations < TAIL_FROM) {
    const exponent = deviations * (LINEAR + CUBIC * deviations * deviations);
    return -Math.log1p(Math.exp(exponent));
  }
  // Laplace's continued fraction for the ratio of the normal distribution's tail to its density, from the last level up.
  let fraction = deviations;
  for (let level = LEVELS; level > 0; level -= 1) fraction = deviations + level / fraction;
  return -0.5 * deviations * deviations - 0.5 * Math.log(2 * Math.PI) - Math.log(fraction);
}

/**
 * The negative decimal logarithm of the probability that a normally distributed interval exceeds the elapsed time. The
 * result is about 0 for no elapsed time and 0.3 for the mean interval, and has no upper bound.
 */
export function phi(elapsedMs: number, { meanMs, deviationMs }: IntervalDistribution): number {
  return -logTail((elapsedMs - meanMs) / deviationMs) / Math.LN10;
}

const STEP_MS = 10;

/** The shortest silence whose phi reaches the threshold, searched from the mean interval in steps of 10 ms. */
export function silenceMsForThreshold(threshold: number, distribution: IntervalDistribution): number {
  let silentMs = distribution.meanMs;
  while (phi(silentMs, distribution) < threshold) silentMs += STEP_MS;
  return silentMs;
}
