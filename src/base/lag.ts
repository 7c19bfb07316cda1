import type { Clock } from './clock';

const PROBE_MS = 100;
/** What is left of an earlier delay in the next probe's figure: one quick turn does not mean that all is well again. */
const MEMORY = 0.7;
const NO_MEASURING_MS = 250;
const NO_RENTING_MS = 1_000;
/** Users wait 5 s for an answer, and would get it later than they hoped anyway. */
const NO_SUBMISSIONS_MS = 2_000;

/**
 * How late this process is: by how much a timer fires after its time. When the share of a core does not suffice, work
 * gives way in this order: what only saves money or measures (consolidation, eager re-issue), then renting, then new
 * submissions, which are told at once when to come back. Rounds have their part of the time and no more. Renewals,
 * workers' leases, commands, `/up` and peers never give way.
 */
export class Lag {
  #lateMs = 0;

  constructor(private readonly clock: Clock) {}

  /** One probe; to be run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    const from = this.clock.now();
    await this.clock.sleep(PROBE_MS, signal);
    this.#lateMs = Math.max(this.clock.now() - from - PROBE_MS, this.#lateMs * MEMORY);
  }

  get lateMs(): number {
    return this.#lateMs;
  }

  get mayMeasure(): boolean {
    return this.#lateMs < NO_MEASURING_MS;
  }

  get mayRent(): boolean {
    return this.#lateMs < NO_RENTING_MS;
  }

  get maySubmit(): boolean {
    return this.#lateMs < NO_SUBMISSIONS_MS;
  }
}
