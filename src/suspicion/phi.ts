/** @file Estimates from earlier intervals how unlikely a silence is: phi accrual detection (Hayashibara and others). */

/** The normal distribution of heartbeat intervals, in milliseconds. */
export interface IntervalDistribution {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** Number of standard deviations above the mean from which the continued fraction is used. */
const TAIL_FROM = 1.5;
/** Levels of the continued fraction, which is then accurate to a thousandth beyond `TAIL_FROM`. */
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
  // Laplace's continued fraction for the ratio of tail to density, evaluated from its last level.
  let fraction = deviations;
  for (let level = LEVELS; level > 0; level -= 1) fraction = deviations + level / fraction;
  return -0.5 * deviations * deviations - 0.5 * Math.log(2 * Math.PI) - Math.log(fraction);
}

/**
 * The negative decimal logarithm of the probability that a normally distributed interval exceeds the elapsed time. It
 * is about 0 for no time and 0.3 at the mean, and has no upper bound.
 */
export function phi(elapsedMs: number, { meanMs, deviationMs }: IntervalDistribution): number {
  return -logTail((elapsedMs - meanMs) / deviationMs) / Math.LN10;
}

const STEP_MS = 10;

/** The shortest silence whose phi reaches the threshold, in steps of 10 ms from the mean. */
export function silenceMsForThreshold(threshold: number, distribution: IntervalDistribution): number {
  let silentMs = distribution.meanMs;
  while (phi(silentMs, distribution) < threshold) silentMs += STEP_MS;
  return silentMs;
}
