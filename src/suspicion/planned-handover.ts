/** @file Decides when a controller hands its shards over before its lease expires. Pure functions. */
import type { SuspicionOptions } from './options';
import type { Pause } from './running-clock';

/** Why a controller hands its shards over. */
export type PlannedHandoverReason = 'it stalls again and again' | 'most peers suspect it';

/** A controller's observations of itself. Monotonic times in milliseconds. */
export interface SelfObservation {
  /** The pauses in the last `stall_window_s` seconds that count as stalls. */
  readonly stalls: readonly Pause[];
  /** Monotonic time since which most peers have suspected the controller without interruption; undefined if they don't. */
  readonly suspectedSince: number | undefined;
}

/** Whether these stalls are so many that the controller counts as stalled. */
export function isStalled(stalls: readonly Pause[], options: SuspicionOptions): boolean {
  return stalls.length >= options.stalls;
}

/** The reason for which the controller should hand its shards over now; undefined if it should keep them. */
export function plannedHandoverReason(
  { stalls, suspectedSince }: SelfObservation,
  options: SuspicionOptions,
  now: number,
): PlannedHandoverReason | undefined {
  if (isStalled(stalls, options)) return 'it stalls again and again';
  const isSuspectedForLong = suspectedSince !== undefined && now - suspectedSince >= options.giveUpAfterMs;
  return isSuspectedForLong ? 'most peers suspect it' : undefined;
}
