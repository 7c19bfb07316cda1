/** @file When a controller hands its shards over by itself, rather than by the expiry of its lease. Pure functions. */
import type { SuspicionOptions } from './options';
import type { Pause } from './running-clock';

/** Why a controller hands its shards over. */
export type PlannedHandoverReason = 'it stalls again and again' | 'most peers suspect it';

/** What a controller knows of itself. Steady times in milliseconds. */
export interface SelfObservation {
  /** Its pauses that count as stalls, within the window. */
  readonly stalls: readonly Pause[];
  /** Since when most peers have suspected it without a break; undefined: they don't. */
  readonly suspectedSince: number | undefined;
}

/** Whether so many stalls make a controller a stalled one. */
export function isStalled(stalls: readonly Pause[], options: SuspicionOptions): boolean {
  return stalls.length >= options.stalls;
}

/** Why the controller should hand its shards over at this time; undefined: it should keep them. */
export function plannedHandoverReason(
  { stalls, suspectedSince }: SelfObservation,
  options: SuspicionOptions,
  now: number,
): PlannedHandoverReason | undefined {
  if (isStalled(stalls, options)) return 'it stalls again and again';
  const isSuspectedForLong = suspectedSince !== undefined && now - suspectedSince >= options.giveUpAfterMs;
  return isSuspectedForLong ? 'most peers suspect it' : undefined;
}
