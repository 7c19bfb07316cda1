/** @file The phi accrual estimate (Hayashibara and others): how unlikely a silence is, given the intervals before. */

/** How heartbeat intervals are distributed, in milliseconds. */
export interface IntervalDistribution {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** From so many deviations above the mean on, the continued fraction is used. */
const TAIL_FROM = 1.5;
/** Levels of the continued fraction; beyond `TAIL_FROM` they are exact to a thousandth. */
const LEVELS = 12;
/** Coefficients of the logistic approximation of the normal distribution (Bowling and others, 2009). */
const LINEAR = 1.5976;
const CUBIC = 0.07056;

/** The natural logarithm of the chance that a normal variable lies so many deviations above its mean, or higher. */
function logTail(deviations: number): number {
  if (deviations < TAIL_FROM) {
    const exponent = deviations * (LINEAR + CUBIC * deviations * deviations);
    return -Math.log1p(Math.exp(exponent));
  }
  // Laplace's continued fraction of the ratio of tail and density, from its end.
  let fraction = deviations;
  for (let level = LEVELS; level > 0; level -= 1) fraction = deviations + level / fraction;
  return -0.5 * deviations * deviations - 0.5 * Math.log(2 * Math.PI) - Math.log(fraction);
}

/**
 * The negative decimal logarithm of the chance that an interval is longer than the elapsed time, for normally
 * distributed intervals. 0 for no time, 0.3 at the mean, and it grows without bound.
 */
export function phi(elapsedMs: number, { meanMs, deviationMs }: IntervalDistribution): number {
  return -logTail((elapsedMs - meanMs) / deviationMs) / Math.LN10;
}

const STEP_MS = 10;

/** The shortest silence, in steps of 10 ms, that is as suspicious as a threshold asks for. */
export function silenceMsForThreshold(threshold: number, distribution: IntervalDistribution): number {
  let silentMs = distribution.meanMs;
  while (phi(silentMs, distribution) < threshold) silentMs += STEP_MS;
  return silentMs;
}
