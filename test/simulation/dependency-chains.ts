/** @file Dependencies of the jobs that the randomized simulation submits. */
import { RandomSource } from './random-source';

/** Keeps this generator's numbers apart from those of the simulation with the same seed. */
const SEED_OFFSET = 0x5eed_c4a1;
const SHARE_WITH_DEPENDENCIES = 0.35;
const MAX_DEPENDENCIES = 3;
/** Dependencies are chosen among this many jobs accepted last: some are done, some cancelled, some run or wait. */
const CANDIDATE_COUNT = 8;
const SHARE_NAMING_UNKNOWN = 0.02;

/**
 * Chooses the dependencies of submissions in the randomized simulation. It has a generator of its own, so that all other
 * draws of a seed are the same as without dependencies.
 */
export class RandomDependencies {
  readonly #random;

  constructor(seed: number) {
    this.#random = new RandomSource(seed + SEED_OFFSET);
  }

  /** The jobs that the next submission names, of those accepted so far; undefined: it has no such field. */
  nextDependencies(accepted: readonly string[]): string[] | undefined {
    if (!this.#random.chance(SHARE_WITH_DEPENDENCIES)) return undefined;
    const candidates = accepted.slice(-CANDIDATE_COUNT);
    const count = this.#random.between(1, MAX_DEPENDENCIES);
    if (candidates.length === 0) return [];
    return Array.from({ length: count }, () => this.#random.pick(candidates) ?? '');
  }

  /** What an invalid submission names: a job that was never submitted, after accepted ones; mostly undefined. */
  nextInvalidDependencies(accepted: readonly string[], unknownId: string): string[] | undefined {
    if (!this.#random.chance(SHARE_NAMING_UNKNOWN)) return undefined;
    return [...accepted.slice(-2), unknownId];
  }

  /** The controller that an invalid submission is sent to. */
  pickController(alive: readonly number[]): number {
    return this.#random.pick(alive) ?? 0;
  }
}
