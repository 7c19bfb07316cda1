/** @file The random numbers of the randomized simulation: the same seed gives the same sequence. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** The resolution of probabilities: 1/10,000. */
const CHANCE_STEPS = 10_000;

/** An alternative that is chosen with the probability `weight` divided by the sum of all weights. */
export interface Weighted {
  readonly weight: number;
}

/** A generator of reproducible random numbers. */
export class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A random integer between `min` and `max`, both inclusive. */
  between(min: number, max: number): number {
    return uniformInt(this.#generator, min, max);
  }

  /** Draws true with the given probability. */
  chance(probability: number): boolean {
    return this.between(0, CHANCE_STEPS - 1) < probability * CHANCE_STEPS;
  }

  /** A random item; undefined, without a draw, when there are no items. */
  pick<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.between(0, items.length - 1)];
  }

  /** A random alternative, according to the weights. */
  pickWeighted<T extends Weighted>(alternatives: readonly T[]): T {
    const total = alternatives.reduce((sum, { weight }) => sum + weight, 0);
    let rest = this.between(0, total - 1);
    for (const alternative of alternatives) {
      if (rest < alternative.weight) return alternative;
      rest -= alternative.weight;
    }
    throw new Error('there are no alternatives');
  }
}
