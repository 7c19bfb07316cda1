/** @file Detects that more work has been accepted than the fleet can do in time. */

/** When overload begins and ends. */
export interface OverloadThresholds {
  readonly enterS: number;
  readonly leaveS: number;
  readonly stalledS: number;
}

/** Accepted work and the capacity for it, at one moment. */
export interface Load {
  /** CPU seconds of accepted, unfinished work that only a lack of capacity keeps from running. */
  readonly backlog: number;
  /** CPUs of all machines that are up or booting. */
  readonly capacity: number;
}

/** A fleet that grew by less than this share counts as not having grown. */
const MIN_GROWTH_SHARE = 0.05;
/** Capacity that is assumed where there is none, so that a drain time exists. */
const MIN_CAPACITY_CPUS = 1;

/** How long the backlog would keep the fleet busy, in seconds. */
export function drainTimeS({ backlog, capacity }: Load): number {
  return backlog / Math.max(capacity, MIN_CAPACITY_CPUS);
}

/**
 * Whether the fleet still grows, as seen by one observer. A backlog alone is no overload: machines may just be
 * booting. How many more the cloud would rent is not published, so a fleet that has stopped growing although work waits is
 * assumed to be as large as it can be.
 */
export class FleetGrowthTracker {
  #baseline: { at: number; capacity: number } | undefined;

  /** Takes in the capacity seen at a steady time in milliseconds. */
  observe(capacity: number, now: number): void {
    const grew = !this.#baseline || capacity > this.#baseline.capacity * (1 + MIN_GROWTH_SHARE);
    if (grew) this.#baseline = { at: now, capacity };
  }

  /** For how many seconds the fleet has not grown; 0 before anything was observed. */
  stalledForS(now: number): number {
    return this.#baseline ? (now - this.#baseline.at) / 1000 : 0;
  }
}

/** What an observer knows when it judges whether there is an overload. */
export interface OverloadState {
  readonly wasOverloaded: boolean;
  /** A flow has used up what it was granted: more jobs may be waiting to be admitted. */
  readonly isAnyGrantExhausted: boolean;
  readonly load: Load;
  readonly stalledForS: number;
}

/** While jobs may be held back, an overload goes on down to this part of the backlog that otherwise ends it. */
const EXHAUSTED_GRANT_LEAVE_FACTOR = 0.25;

/**
 * Whether there is an overload. It ends at a smaller backlog than it begins at, and not while flows are held back: then
 * grants grow faster than the fleet works, and the jobs that are held back are admitted without a burst.
 */
export function isOverloaded(state: OverloadState, thresholds: OverloadThresholds): boolean {
  const { wasOverloaded, isAnyGrantExhausted, load, stalledForS } = state;
  const drainS = drainTimeS(load);
  if (!wasOverloaded) return drainS > thresholds.enterS && stalledForS >= thresholds.stalledS;
  return drainS > thresholds.leaveS * (isAnyGrantExhausted ? EXHAUSTED_GRANT_LEAVE_FACTOR : 1);
}
