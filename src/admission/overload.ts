/** @file Detects an overload: more work has been accepted than the fleet can do in time. */

/** The thresholds at which an overload begins and ends, in seconds. */
export interface OverloadThresholds {
  readonly enterS: number;
  readonly leaveS: number;
  readonly stalledS: number;
}

/** Accepted work and the capacity for it, at one moment. */
export interface Load {
  /** CPU seconds of accepted, unfinished work that could run if there were enough capacity. */
  readonly backlog: number;
  /** CPUs of all machines that are up or booting. */
  readonly capacity: number;
}

/** A smaller relative increase in the number of machines does not count as growth of the fleet. */
const MIN_GROWTH_SHARE = 0.05;
/** Capacity that is assumed for an empty fleet, to avoid a division by zero. */
const MIN_CAPACITY_CPUS = 1;

/** Time in which the fleet would complete the backlog, in seconds. */
export function drainTimeS({ backlog, capacity }: Load): number {
  return backlog / Math.max(capacity, MIN_CAPACITY_CPUS);
}

/**
 * Tracks on one controller whether the fleet is still growing. A backlog alone is no overload, since machines may just
 * be booting. The cloud does not publish how many more machines it would rent. So a fleet that has stopped growing
 * although there is a backlog is assumed to have its maximum size.
 */
export class FleetGrowthTracker {
  #baseline: { at: number; capacity: number } | undefined;

  /** Records the number of machines at the monotonic time `now` in milliseconds. */
  observe(capacity: number, now: number): void {
    const grew = !this.#baseline || capacity > this.#baseline.capacity * (1 + MIN_GROWTH_SHARE);
    if (grew) this.#baseline = { at: now, capacity };
  }

  /** Seconds since the fleet last grew; 0 before the first observation. */
  stalledForS(now: number): number {
    return this.#baseline ? (now - this.#baseline.at) / 1000 : 0;
  }
}

/** The input of `isOverloaded`. */
export interface OverloadState {
  readonly wasOverloaded: boolean;
  /** Whether a flow has exhausted its grant, so that more of its jobs may be deferred. */
  readonly isAnyGrantExhausted: boolean;
  readonly load: Load;
  readonly stalledForS: number;
}

/** While a flow's grant is exhausted, an overload ends only at a drain time of at most this fraction of `leaveS`. */
const EXHAUSTED_GRANT_LEAVE_FACTOR = 0.25;

/**
 * Whether there is an overload. It ends at a lower threshold than it begins, and at a still lower one while a flow's
 * grant is exhausted. With so small a backlog, grants grow faster than the fleet works, so deferred jobs cause no burst.
 */
export function isOverloaded(state: OverloadState, thresholds: OverloadThresholds): boolean {
  const { wasOverloaded, isAnyGrantExhausted, load, stalledForS } = state;
  const drainS = drainTimeS(load);
  if (!wasOverloaded) return drainS > thresholds.enterS && stalledForS >= thresholds.stalledS;
  return drainS > thresholds.leaveS * (isAnyGrantExhausted ? EXHAUSTED_GRANT_LEAVE_FACTOR : 1);
}
