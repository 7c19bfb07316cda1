import { randomBytes } from 'node:crypto';

/** Randomness as the service uses it; injected so that stories repeat. */
export interface Random {
  /** A name that is never given twice, by any node. */
  uniqueName(): string;
}

export const systemRandom: Random = {
  uniqueName: () => randomBytes(12).toString('hex'),
};
