import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Keeps this generator's numbers apart from those of the simulation with the same seed. */
const SEED_OFFSET = 0x5eed_c4a1;
const SHARE_WITH_DEPENDENCIES = 0.35;
const MOST_DEPENDENCIES = 3;
/** Dependencies are chosen among this many jobs accepted last: some are done, some cancelled, some run or wait. */
const CANDIDATES = 8;
const SHARE_NAMING_UNKNOWN = 0.02;

/**
 * Chooses the dependencies of submissions in the randomized simulation. It has a generator of its own, so that all other
 * draws of a seed are the same as without dependencies.
 */
export class DependencyChains {
  readonly #random;

  constructor(seed: number) {
    this.#random = xoroshiro128plus(seed + SEED_OFFSET);
  }

  /** The jobs that the next submission names, of those accepted so far; undefined: it has no such field. */
  next(accepted: readonly string[]): string[] | undefined {
    if (!this.#chance(SHARE_WITH_DEPENDENCIES)) return undefined;
    const candidates = accepted.slice(-CANDIDATES);
    const wanted = uniformInt(this.#random, 1, MOST_DEPENDENCIES);
    if (candidates.length === 0) return [];
    return Array.from({ length: wanted }, () => this.#one(candidates));
  }

  /** What an odd submission names: a job that nobody has submitted, among accepted ones; mostly undefined. */
  unknown(accepted: readonly string[], unknownId: string): string[] | undefined {
    if (!this.#chance(SHARE_NAMING_UNKNOWN)) return undefined;
    return [...accepted.slice(-2), unknownId];
  }

  /** The node that an odd submission goes to. */
  node(alive: readonly number[]): number {
    return alive.length === 0 ? 0 : (alive[uniformInt(this.#random, 0, alive.length - 1)] ?? 0);
  }

  #chance(share: number): boolean {
    return uniformInt(this.#random, 0, 9999) < share * 10_000;
  }

  #one(of: readonly string[]): string {
    return of[uniformInt(this.#random, 0, of.length - 1)] ?? '';
  }
}
