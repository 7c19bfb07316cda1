/** @file The random dependencies of the jobs that the randomized simulation submits. */
import { RandomSource } from './random-source';

/** Gives this generator a different sequence from the simulation's generator, which has the same seed. */
const SEED_OFFSET = 0x5eed_c4a1;
const SHARE_WITH_DEPENDENCIES = 0.35;
const MAX_DEPENDENCIES = 3;
/** Dependencies are chosen among this many most recently accepted jobs: done, cancelled, running and queued ones. */
const CANDIDATE_COUNT = 8;
const SHARE_NAMING_UNKNOWN = 0.02;

/**
 * Chooses the dependencies of submissions. A separate random generator ensures that all other draws of a seed are the
 * same as without dependencies.
 */
export class RandomDependencies {
  readonly #random;

  constructor(
    seed: number,
    /** Whether any submission names dependencies. */
    private readonly isEnabled: boolean,
  ) {
    this.#random = new RandomSource(seed + SEED_OFFSET);
  }

  /** The dependencies of the next submission among the accepted jobs; undefined: the submission omits the field. */
  nextDependencies(accepted: readonly string[]): string[] | undefined {
    if (!this.isEnabled || !this.#random.chance(SHARE_WITH_DEPENDENCIES)) return undefined;
    const candidates = accepted.slice(-CANDIDATE_COUNT);
    const count = this.#random.between(1, MAX_DEPENDENCIES);
    if (candidates.length === 0) return [];
    return Array.from({ length: count }, () => this.#random.pick(candidates) ?? '');
  }

  /** The dependencies of an invalid submission, the last one unknown; mostly undefined, for no such submission. */
  nextInvalidDependencies(accepted: readonly string[], unknownId: string): string[] | undefined {
    if (!this.isEnabled || !this.#random.chance(SHARE_NAMING_UNKNOWN)) return undefined;
    return [...accepted.slice(-2), unknownId];
  }

  /** Picks the controller that receives the invalid submission. */
  pickController(alive: readonly number[]): number {
    return this.#random.pick(alive) ?? 0;
  }
}
