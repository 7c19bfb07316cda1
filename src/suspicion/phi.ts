/** @file The phi accrual estimate (Hayashibara and others): how unlikely a silence is, given the intervals before. */

/** How heartbeat intervals are distributed, in milliseconds. */
export interface IntervalDistribution {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** Coefficients of the logistic approximation of the normal distribution (Bowling and others, 2009). */
const LINEAR = 1.5976;
const CUBIC = 0.07056;

/**
 * The negative decimal logarithm of the chance that an interval is longer than the elapsed time, for normally
 * distributed intervals. 0 for no time, 0.3 at the mean, and it grows without bound.
 */
export function phi(elapsedMs: number, { meanMs, deviationMs }: IntervalDistribution): number {
  const deviations = (elapsedMs - meanMs) / deviationMs;
  const exponent = deviations * (LINEAR + CUBIC * deviations * deviations);
  // log10(1 + e^x) without an overflow for large x.
  return (Math.max(exponent, 0) + Math.log1p(Math.exp(-Math.abs(exponent)))) / Math.LN10;
}
