/** @file Measures the event-loop delay, and decides which work to shed under overload. */
import type { Clock } from './clock';

const PROBE_INTERVAL_MS = 100;
/** Factor by which the delay decays per probe, because one short delay does not mean that the overload has ended. */
const DECAY_FACTOR = 0.7;
/** From this delay on, consolidation and eager re-issue are shed. */
const SHED_OPTIMIZATION_MS = 250;
/** From this delay on, there is no scale-out. */
const SHED_SCALE_OUT_MS = 1_000;
/** From this delay on, submissions are refused, since users wait only 5 s and would get the response too late. */
const SHED_SUBMISSIONS_MS = 2_000;

/**
 * The event-loop delay of this process: how late a timer fires. When the process gets too little CPU, load is shed in
 * this order: work that only saves money or time (consolidation, eager re-issue), then scale-out, then new submissions,
 * which are answered at once with the time after which to retry. Placement rounds are bounded by their time budget. Lease
 * renewals, workers' heartbeats, commands, the health endpoint `/up` and peer messages are never shed.
 */
export class EventLoopDelay {
  #delayMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Measures the delay once; run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    const startedAt = this.clock.now();
    await this.clock.sleep(PROBE_INTERVAL_MS, signal);
    this.#delayMs = Math.max(this.clock.now() - startedAt - PROBE_INTERVAL_MS, this.#delayMs * DECAY_FACTOR);
  }

  /** The measured delay, which decays after an overload. */
  get delayMs(): number {
    return this.#delayMs;
  }

  /** Whether the delay is short enough for consolidation and eager re-issue. */
  get allowsOptimization(): boolean {
    return this.#delayMs < SHED_OPTIMIZATION_MS;
  }

  /** Whether the delay is short enough for scale-out. */
  get allowsScaleOut(): boolean {
    return this.#delayMs < SHED_SCALE_OUT_MS;
  }

  /** Whether the delay is short enough for new submissions. */
  get allowsSubmissions(): boolean {
    return this.#delayMs < SHED_SUBMISSIONS_MS;
  }
}
