/** @file Time budgets and intervals derived from a controller's share of a core. */

/**
 * Limits derived from a controller's share of a core: how long it computes at a time, and into how many shards the work
 * is split. Monotonic time passes while a process is throttled: with 6.8% of a core, 1 ms of computing takes 15 ms. A
 * time budget that suffices with an eighth of a core would then be used up before any work is done.
 */
export interface Throttling {
  /** Number of shards into which teams and machines are split, unless the operators set it. */
  readonly shards: number;
  /** Monotonic time that a placement round may take, unless the operators set it. */
  readonly roundBudgetMs: number;
  /** The longest pause after a placement round. Up to this limit, a pause is three times as long as the round. */
  readonly roundPauseMs: number;
  /** Shortest interval between two watch requests. Peers' change notifications and own writes don't wait for it. */
  readonly watchPaceMs: number;
}

/** From this share of a core on, the base values apply: with it, owners of about 200 and 1,000 machines kept up. */
const UNTHROTTLED_CPU = 1 / 8;
const BASE_ROUND_BUDGET_MS = 40;
const BASE_ROUND_PAUSE_MS = 200;
const BASE_WATCH_INTERVAL_MS = 100;

/** Derives the limits from a share of a core and the number of controllers. */
export function throttlingFor(cpu: number, controllers: number): Throttling {
  const slowdown = Math.max(1, UNTHROTTLED_CPU / cpu);
  return {
    // One shard pools all free resources; several shards spread heartbeats, rounds and failovers (docs/EXPERIMENTS.md).
    shards: Math.min(controllers, Math.ceil(slowdown)),
    roundBudgetMs: Math.round(BASE_ROUND_BUDGET_MS * slowdown),
    roundPauseMs: Math.round(BASE_ROUND_PAUSE_MS * slowdown),
    watchPaceMs: Math.round(BASE_WATCH_INTERVAL_MS * slowdown),
  };
}
