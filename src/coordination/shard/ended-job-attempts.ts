/** @file Attempts of ended jobs, until each is confirmed to be gone. */
import type { Attempt } from './attempt';
import type { Machine } from './machine';

/** Tracks attempts of ended jobs until they are gone. Most are gone within the round trip of one stop command. */
export class EndedJobAttempts {
  readonly #machines = new Map<Attempt, Machine>();

  /** An attempt that is not confirmed gone `evictionTimeoutMs` after its job ended counts as overdue. */
  constructor(private readonly evictionTimeoutMs: number) {}

  /** Tracks an attempt whose job has ended. */
  add(attempt: Attempt, machine: Machine, now: number): void {
    attempt.markJobEnded(now);
    this.#machines.set(attempt, machine);
  }

  /** Yields the overdue attempts with their machines, and stops tracking the attempts that are gone. */
  *overdue(now: number): Iterable<[Attempt, Machine]> {
    for (const [attempt, machine] of this.#machines) {
      const isGone = attempt.phase === 'exited' || machine.attempts.get(attempt.key) !== attempt;
      if (isGone) this.#machines.delete(attempt);
      else if (now - (attempt.jobEndedAt ?? now) > this.evictionTimeoutMs) yield [attempt, machine];
    }
  }

  /** Whether the machine's worker may still execute the start command of an overdue attempt. */
  hasUnconfirmedStartOn(machine: Machine, now: number): boolean {
    if (this.#machines.size === 0) return false;
    for (const [attempt, attemptMachine] of this.overdue(now)) {
      if (attemptMachine === machine && machine.worker.isStartUnconfirmed(attempt)) return true;
    }
    return false;
  }
}
