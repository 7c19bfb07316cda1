/** @file Random integers that are the same for the same seed. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns a random integer between two bounds, both inclusive. */
export type RandomBetween = (from: number, to: number) => number;

/** Creates the generator of a seed. */
export function createRandom(seed: number): RandomBetween {
  const generator = xoroshiro128plus(seed);
  return (from, to) => uniformInt(generator, from, to);
}
