/** @file Damping: a bound on how many shards suspicion moves in a minute. */

const WINDOW_MS = 60_000;
/** A shard that moved is not handed over again by choice for so long. */
const SHARD_COOLDOWN_MS = 15_000;

/**
 * Counts the changes of owner that this controller sees in the records, whoever made them, so that a controller that
 * flaps does not move shards to and fro. What follows from the expiry of a lease is not bounded: a shard without an owner
 * always gets one.
 */
export class MoveLimiter {
  /** Steady times of the moves within the window. */
  #moves: number[] = [];
  readonly #movedAt = new Map<number, number>();
  readonly #owners = new Map<number, string>();

  constructor(private readonly movesPerMinute: number) {}

  /** The record of a shard names an owner. */
  recordOwner(shard: number, owner: string, now: number): void {
    const previousOwner = this.#owners.get(shard);
    this.#owners.set(shard, owner);
    if (previousOwner === undefined || previousOwner === owner) return;
    this.#movedAt.set(shard, now);
    this.#moves = this.#moves.filter((at) => now - at < WINDOW_MS);
    this.#moves.push(now);
  }

  /** Whether suspicion may take this shard from its owner now. */
  allowsMove(shard: number, now: number): boolean {
    const hasCooledDown = now - (this.#movedAt.get(shard) ?? -Infinity) >= SHARD_COOLDOWN_MS;
    return hasCooledDown && this.allowsAnyMove(now);
  }

  /** Whether suspicion may move any shard now: one whose lease is free needs no time to settle. */
  allowsAnyMove(now: number): boolean {
    return this.#moves.filter((at) => now - at < WINDOW_MS).length < this.movesPerMinute;
  }
}
