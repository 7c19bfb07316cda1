/** @file Time budgets and intervals that follow from a controller's share of a core. */

/**
 * Limits that follow from a controller's share of a core: how long it computes at a time, and into how many shards the
 * work is split. Steady time goes on while a process waits for its share of the core: at 6.8%, a millisecond of
 * computing takes fifteen. A budget of steady time that suffices at an eighth of a core would then be used up before any
 * work is done.
 */
export interface Throttling {
  /** Into how many shards teams and machines are split, unless the operators set it. */
  readonly shards: number;
  /** Steady time that a round of placement may take, unless the operators set it. */
  readonly roundBudgetMs: number;
  /** The longest pause after a round, which gets a quarter of the time. */
  readonly roundPauseMs: number;
  /** Least time between two watches. The peers' change notifications, and this controller's own writes, arrive sooner. */
  readonly watchPaceMs: number;
}

/** From this share of a core on, nothing is throttled: owners of about 200 and 1,000 machines kept up with it. */
const UNTHROTTLED_CPU = 1 / 8;
const BASE_ROUND_BUDGET_MS = 40;
const BASE_ROUND_PAUSE_MS = 200;
const BASE_WATCH_PACE_MS = 100;

/** The limits for a share of a core, in a deployment of so many controllers. */
export function throttlingFor(cpu: number, controllers: number): Throttling {
  const slowdown = Math.max(1, UNTHROTTLED_CPU / cpu);
  return {
    // One shard pools spare room; more of them spread heartbeats, rounds and failovers (docs/EXPERIMENTS.md).
    shards: Math.min(controllers, Math.ceil(slowdown)),
    roundBudgetMs: Math.round(BASE_ROUND_BUDGET_MS * slowdown),
    roundPauseMs: Math.round(BASE_ROUND_PAUSE_MS * slowdown),
    watchPaceMs: Math.round(BASE_WATCH_PACE_MS * slowdown),
  };
}
