/** @file Random names. */
import { randomBytes } from 'node:crypto';

const NAME_BYTES = 12;

/** The source of randomness; injected so that simulations are reproducible. */
export interface Random {
  /** Creates a name that is unique among all controllers, at all times. */
  uniqueName(): string;
}

/** The system's cryptographic source of randomness. */
export const systemRandom: Random = {
  uniqueName: () => randomBytes(NAME_BYTES).toString('hex'),
};
