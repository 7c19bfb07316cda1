/** @file Randomness. */
import { randomBytes } from 'node:crypto';

const NAME_BYTES = 12;

/** Randomness as the service uses it; injected so that simulations repeat. */
export interface Random {
  /** A name that no controller ever gives twice. */
  uniqueName(): string;
}

/** The randomness of the system. */
export const systemRandom: Random = {
  uniqueName: () => randomBytes(NAME_BYTES).toString('hex'),
};
