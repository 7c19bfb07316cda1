import { randomBytes, randomInt } from 'node:crypto';

/** Randomness as the service uses it; injected so that stories repeat. */
export interface Random {
  /** A name that is never given twice, by any node. */
  uniqueName(): string;
  /** A number from 0 up to, not including, 1. */
  fraction(): number;
}

export const systemRandom: Random = {
  uniqueName: () => randomBytes(12).toString('hex'),
  fraction: () => randomInt(0, 2 ** 32) / 2 ** 32,
};
