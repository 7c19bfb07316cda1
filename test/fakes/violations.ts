/** @file Violations of the invariants. */
import type { TimerClock } from './clock';

/** The invariant that is violated. */
export type ViolationKind =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'too_early'
  | 'orphaned'
  | 'forgotten'
  | 'invented'
  | 'not_done'
  | 'went_back'
  | 'bad_accepted'
  | 'waits';

/** Collects violations with the times at which they were detected. */
export class Violations {
  readonly all: string[] = [];

  constructor(private readonly clock: TimerClock) {}

  report(kind: ViolationKind, what: string): void {
    this.all.push(`${kind}: ${what} at ${this.clock.now()} ms`);
  }
}
