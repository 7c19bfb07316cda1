/**
 * What follows from a controller's share of a core: how much it computes at a time, and how the work is spread. Steady
 * time goes on while a process waits for its share, so a millisecond of computing takes fifteen at 6.8% of a core; a
 * budget of steady time that does for an eighth of a core would then be spent before anything is done.
 */
export interface Pace {
  /** Into how many blocks teams and machines are split, unless the operator says so. */
  readonly blocks: number;
  /** Steady time that a round of placement may take, unless the operator says so. */
  readonly roundBudgetMs: number;
  /** The longest pause after a round, which gets a quarter of the time. */
  readonly roundPauseMs: number;
  /** Least time between two watches; what peers and own writes tell comes sooner. */
  readonly watchPaceMs: number;
}

/** The share of a core from which on nothing is changed: the owner of some 200 or 1,000 machines did well on it. */
const ENOUGH_CPU = 1 / 8;
const ROUND_BUDGET_MS = 40;
const ROUND_PAUSE_MS = 200;
const WATCH_PACE_MS = 100;

export function paceFor(cpu: number, controllers: number): Pace {
  const slower = Math.max(1, ENOUGH_CPU / cpu);
  return {
    // One block pools spare room; more of them spread reports, rounds and takeovers (docs/EXPERIMENTS.md).
    blocks: Math.min(controllers, Math.ceil(slower)),
    roundBudgetMs: Math.round(ROUND_BUDGET_MS * slower),
    roundPauseMs: Math.round(ROUND_PAUSE_MS * slower),
    watchPaceMs: Math.round(WATCH_PACE_MS * slower),
  };
}
