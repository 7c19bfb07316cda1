/** @file Decides whether the time since a peer's last heartbeat, its silence, is suspicious. A pure function. */
import type { SuspicionOptions } from './options';
import { phi, type IntervalDistribution } from './phi';

/**
 * With `phi`, a peer is suspected at the latest after this multiple of `timeout_s`, however irregular its heartbeats
 * were, because a peer whose lease has expired counts as failed, so that a later suspicion would have no effect.
 */
const MAX_SILENCE_TIMEOUTS = 1.5;

/** The assessment of a peer's silence. */
export interface SilenceAssessment {
  /** The phi estimate; undefined with the fixed timeout, or while too few heartbeats were received. */
  readonly phi: number | undefined;
  readonly isSuspicious: boolean;
}

/** Assesses a silence, measured in running time, by the distribution of earlier heartbeat intervals. */
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
