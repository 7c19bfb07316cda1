/** @file The active faults of the randomized simulation, each with the time at which it ends. */
import type { TimerClock } from '../fakes/clock';

interface ActiveFault {
  readonly description: string;
  readonly endsAt: number;
  end(): void;
}

/** Tracks active faults and ends each of them when its duration has passed. */
export class ActiveFaults {
  #faults: ActiveFault[] = [];

  constructor(
    private readonly clock: TimerClock,
    private readonly note: (step: string) => void,
  ) {}

  get count(): number {
    return this.#faults.length;
  }

  /** Registers an injected fault that lasts for `forMs`; `end` removes the fault. */
  start(description: string, forMs: number, end: () => void): void {
    this.note(`${description} for ${forMs} ms`);
    this.#faults.push({ description, endsAt: this.clock.now() + forMs, end });
  }

  /** Registers an injected fault that lasts until the caller calls the returned function, or until `endAll`. */
  startOpenEnded(description: string, end: () => void): () => void {
    const fault: ActiveFault = { description, endsAt: Infinity, end };
    this.note(description);
    this.#faults.push(fault);
    return () => {
      this.#endMatching((other) => other === fault);
    };
  }

  /** Ends the faults whose duration has passed. */
  endExpired(): void {
    this.#endMatching(({ endsAt }) => endsAt <= this.clock.now());
  }

  endAll(): void {
    this.#endMatching(() => true);
  }

  #endMatching(matches: (fault: ActiveFault) => boolean): void {
    const ending = this.#faults.filter(matches);
    this.#faults = this.#faults.filter((fault) => !ending.includes(fault));
    for (const { description, end } of ending) {
      this.note(`ends: ${description}`);
      end();
    }
  }
}
