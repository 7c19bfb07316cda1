/** @file Random numbers that repeat with their seed. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Whole numbers between two bounds, both included. */
export type RandomBetween = (from: number, to: number) => number;

/** The numbers of a seed. */
export function createRandom(seed: number): RandomBetween {
  const generator = xoroshiro128plus(seed);
  return (from, to) => uniformInt(generator, from, to);
}
