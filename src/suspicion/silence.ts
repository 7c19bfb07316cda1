/** @file How suspicious the silence of a peer is. A pure function. */
import type { SuspicionOptions } from './options';
import { phi, type IntervalDistribution } from './phi';

/**
 * However irregular a peer's heartbeats were, it is suspected after so many times the fixed timeout: a suspicion that comes
 * after the lease has expired, which is the verdict, is of no use.
 */
const MAX_SILENCE_TIMEOUTS = 1.5;

/** How suspicious the silence of a peer is. */
export interface SilenceAssessment {
  /** The accrual estimate; undefined while too few heartbeats are known, or with the fixed timeout. */
  readonly phi: number | undefined;
  readonly isSuspicious: boolean;
}

/** Assesses a silence of so much running time, by the distribution of the intervals before it. */
export function assessSilence(
  silentMs: number,
  distribution: IntervalDistribution | undefined,
  options: SuspicionOptions,
): SilenceAssessment {
  if (options.detector === 'fixed' || distribution === undefined) {
    return { phi: undefined, isSuspicious: silentMs > options.timeoutMs };
  }
  const deviationMs = Math.max(distribution.deviationMs, options.minDeviationMs);
  const estimate = phi(silentMs, { meanMs: distribution.meanMs, deviationMs });
  const isSuspicious =
    estimate >= options.phiThreshold || silentMs > MAX_SILENCE_TIMEOUTS * options.timeoutMs;
  return { phi: estimate, isSuspicious };
}
