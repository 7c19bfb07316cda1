/** @file The faults that are in force in the randomized simulation, and when each of them ends. */
import type { TimerClock } from '../fakes/clock';

interface ActiveFault {
  readonly description: string;
  readonly endsAt: number;
  end(): void;
}

/** Keeps the faults that were injected until their time is up. */
export class ActiveFaults {
  #faults: ActiveFault[] = [];

  constructor(
    private readonly clock: TimerClock,
    private readonly note: (step: string) => void,
  ) {}

  get count(): number {
    return this.#faults.length;
  }

  /** A fault that was injected and lasts for a time; `end` removes it. */
  start(description: string, forMs: number, end: () => void): void {
    this.note(`${description} for ${forMs} ms`);
    this.#faults.push({ description, endsAt: this.clock.now() + forMs, end });
  }

  /** A fault that lasts until the function that is returned is called, or all faults are ended. */
  startOpenEnded(description: string, end: () => void): () => void {
    const fault: ActiveFault = { description, endsAt: Infinity, end };
    this.note(description);
    this.#faults.push(fault);
    return () => {
      this.#endMatching((other) => other === fault);
    };
  }

  /** Ends the faults whose time is up. */
  endExpired(): void {
    this.#endMatching(({ endsAt }) => endsAt <= this.clock.now());
  }

  endAll(): void {
    this.#endMatching(() => true);
  }

  #endMatching(isMeant: (fault: ActiveFault) => boolean): void {
    const ending = this.#faults.filter(isMeant);
    this.#faults = this.#faults.filter((fault) => !ending.includes(fault));
    for (const { description, end } of ending) {
      this.note(`ends: ${description}`);
      end();
    }
  }
}
