/** @file Random numbers of the randomized simulation: the same seed gives the same numbers in the same order. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Chances are drawn in steps of a ten-thousandth. */
const CHANCE_STEPS = 10_000;

/** An alternative and how often it is chosen, as its part of the sum of all weights. */
export interface Weighted {
  readonly weight: number;
}

/** A generator of reproducible random numbers. */
export class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A whole number; both bounds are included. */
  between(least: number, most: number): number {
    return uniformInt(this.#generator, least, most);
  }

  /** Whether something with this probability happens. */
  chance(probability: number): boolean {
    return this.between(0, CHANCE_STEPS - 1) < probability * CHANCE_STEPS;
  }

  /** One of the items; undefined, without a draw, when there is none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.between(0, items.length - 1)];
  }

  /** One of the alternatives, by their weights. */
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
