/** @file When a controller gives its shards up in order, rather than by the end of its lease. Pure functions. */
import type { PeerView } from '../protocol/peer-view';
import type { SuspicionOptions } from './options';
import { isSuspect } from './peer-record';
import type { Pause } from './running-clock';

/** Why a controller gives its shards up. */
export type GiveUpReason = 'it stalls again and again' | 'most peers suspect it';

/** What a controller knows of itself. Steady times in milliseconds. */
export interface SelfFacts {
  readonly node: string;
  /** Its pauses that count as stalls, within the window. */
  readonly stalls: readonly Pause[];
  /** Since when most peers have suspected it without a break; undefined: they don't. */
  readonly suspectedSince: number | undefined;
}

/** Whether so many stalls make a controller a stalled one. */
export function isStalled(stalls: readonly Pause[], options: SuspicionOptions): boolean {
  return stalls.length >= options.stalls;
}

/** A controller and its run: opinions of an earlier run of it say nothing about this one. */
export interface Subject {
  readonly node: string;
  readonly run: number;
}

/**
 * Whether more than half of all other controllers suspect one. Those that are away, or of a version without views, don't
 * vote and count all the same: the word of a single controller is not that of most. Views of stalled controllers don't
 * count either.
 */
export function isSuspectedByMost(
  { node, run }: Subject,
  views: ReadonlyMap<string, PeerView>,
  otherControllers: number,
): boolean {
  const against = [...views].filter(
    ([from, view]) =>
      from !== node &&
      !view.isStalled &&
      view.opinions.some(
        (opinion) => opinion.node === node && opinion.run >= run && isSuspect(opinion.status),
      ),
  );
  return against.length * 2 > otherControllers;
}

/** Why the controller should give its shards up at this time; undefined: it should keep them. */
export function whyGiveUp(
  { stalls, suspectedSince }: SelfFacts,
  options: SuspicionOptions,
  now: number,
): GiveUpReason | undefined {
  if (isStalled(stalls, options)) return 'it stalls again and again';
  if (suspectedSince !== undefined && now - suspectedSince >= options.giveUpAfterMs)
    return 'most peers suspect it';
  return undefined;
}
