/** @file Counts messages of peers that are dropped, and logs the first of each kind. */
import type { Log } from '../base/log';

/** Why a message is dropped. */
export type RejectionReason = 'malformed view' | 'unknown node' | 'earlier run' | 'earlier incarnation';

/** Messages that were dropped, counted by reason. A peer that goes on sending them fills no log. */
export class RejectedMessages {
  readonly #counts = new Map<RejectionReason, number>();

  constructor(private readonly log: Log) {}

  /** How many were dropped so far, by reason. */
  get counts(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#counts);
  }

  /** Notes a dropped message. */
  add(reason: RejectionReason, from: string): void {
    const count = (this.#counts.get(reason) ?? 0) + 1;
    this.#counts.set(reason, count);
    if (count === 1) this.log.warn({ reason, from }, 'peer message rejected; further ones are only counted');
  }
}
