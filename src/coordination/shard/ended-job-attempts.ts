/** @file Attempts of jobs that are over, until each is known to be gone. */
import type { Attempt } from './attempt';
import type { Machine } from './machine';

/** Attempts of jobs that are over: most take no longer to go than a command does. */
export class EndedJobAttempts {
  readonly #machines = new Map<Attempt, Machine>();

  /** `uncertaintyMs`: how long a cancellation leaves room for doubt. */
  constructor(private readonly uncertaintyMs: number) {}

  /** The job of the attempt is over. */
  add(attempt: Attempt, machine: Machine, now: number): void {
    attempt.markJobEnded(now);
    this.#machines.set(attempt, machine);
  }

  /** Those whose jobs ended longer ago than a cancellation leaves room for doubt, and that are not known gone. */
  *overdue(now: number): Iterable<[Attempt, Machine]> {
    for (const [attempt, machine] of this.#machines) {
      const isGone = attempt.phase === 'exited' || machine.attempts.get(attempt.key) !== attempt;
      if (isGone) this.#machines.delete(attempt);
      else if (now - (attempt.jobEndedAt ?? now) > this.uncertaintyMs) yield [attempt, machine];
    }
  }

  /** Whether an overdue one may still start on the machine. */
  hasUnconfirmedStartOn(machine: Machine, now: number): boolean {
    if (this.#machines.size === 0) return false;
    for (const [attempt, attemptMachine] of this.overdue(now)) {
      if (attemptMachine === machine && machine.worker.isStartUnconfirmed(attempt)) return true;
    }
    return false;
  }
}
