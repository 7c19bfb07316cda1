/** @file Damping: limits the number of shards that suspicion moves per minute. */

const WINDOW_MS = 60_000;
/** Time after a change of owner during which a shard is not moved away from an owner that holds its lease. */
const SHARD_COOLDOWN_MS = 15_000;

/**
 * Counts the changes of owner in the shard records, whichever controller made them, so that a flapping controller does
 * not cause shards to move back and forth. Failovers after the expiry of a lease are not limited: a shard without an
 * owner is always assigned an owner.
 */
export class MoveLimiter {
  /** Monotonic times of the changes of owner in the last `WINDOW_MS`. */
  #moves: number[] = [];
  readonly #movedAt = new Map<number, number>();
  readonly #owners = new Map<number, string>();

  constructor(private readonly movesPerMinute: number) {}

  /** Records the owner from a shard's record; counts a move if the shard had another owner before. */
  recordOwner(shard: number, owner: string, now: number): void {
    const previousOwner = this.#owners.get(shard);
    this.#owners.set(shard, owner);
    if (previousOwner === undefined || previousOwner === owner) return;
    this.#movedAt.set(shard, now);
    this.#moves = this.#moves.filter((at) => now - at < WINDOW_MS);
    this.#moves.push(now);
  }

  /** Whether suspicion may move a shard now from an owner that holds its lease. */
  allowsMove(shard: number, now: number): boolean {
    const hasCooledDown = now - (this.#movedAt.get(shard) ?? -Infinity) >= SHARD_COOLDOWN_MS;
    return hasCooledDown && this.allowsAnyMove(now);
  }

  /** Whether the limit per minute allows another move. Ignores `SHARD_COOLDOWN_MS`: it protects only lease holders. */
  allowsAnyMove(now: number): boolean {
    return this.#moves.filter((at) => now - at < WINDOW_MS).length < this.movesPerMinute;
  }
}
