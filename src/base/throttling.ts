/** @file Derives time budgets and intervals from a controller's share of a core. */

/**
 * Limits that follow from a controller's share of a core: how long it computes at a time, and into how many shards the
 * work is split. Steady time goes on while a process waits for its share of the core: at 6.8%, a millisecond of
 * computing takes fifteen. A budget of steady time that suffices at an eighth of a core would then be used up before any
 * work is done.
 */
export interface Throttling {
  /** Into how many shards teams and machines are split, unless the operator says so. */
  readonly shards: number;
  /** Steady time that a round of placement may take, unless the operator says so. */
  readonly roundBudgetMs: number;
  /** The longest pause after a round, which gets a quarter of the time. */
  readonly roundPauseMs: number;
  /** Least time between two watches. Changes told by peers, and this node's own writes, arrive sooner. */
  readonly watchPaceMs: number;
}

/** From this share of a core on, nothing is throttled: owners of about 200 and 1,000 machines kept up with it. */
const ENOUGH_CPU = 1 / 8;
const ROUND_BUDGET_MS = 40;
const ROUND_PAUSE_MS = 200;
const WATCH_PACE_MS = 100;

/** The limits for a share of a core, in a deployment of so many controllers. */
export function throttlingFor(cpu: number, controllers: number): Throttling {
  const slower = Math.max(1, ENOUGH_CPU / cpu);
  return {
    // One shard pools spare room; more of them spread reports, rounds and takeovers (docs/EXPERIMENTS.md).
    shards: Math.min(controllers, Math.ceil(slower)),
    roundBudgetMs: Math.round(ROUND_BUDGET_MS * slower),
    roundPauseMs: Math.round(ROUND_PAUSE_MS * slower),
    watchPaceMs: Math.round(WATCH_PACE_MS * slower),
  };
}
