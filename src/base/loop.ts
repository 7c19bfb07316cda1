/** @file Loops that run until they are aborted, even if an iteration throws. */
import type { Clock } from './clock';
import type { Log } from './log';

/** The services that a loop uses. */
export interface LoopContext {
  readonly clock: Clock;
  readonly log: Log;
  /** When aborted, ends the loop after the current iteration. */
  readonly signal: AbortSignal;
}

const PAUSE_AFTER_ERROR_MS = 500;

/** Calls `step` repeatedly until the signal is aborted. An error is logged, and the loop continues after a pause. */
export async function runLoop(
  name: string,
  step: () => Promise<void>,
  { clock, log, signal }: LoopContext,
  pauseAfterErrorMs = PAUSE_AFTER_ERROR_MS,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await step();
    } catch (error) {
      log.warn({ loop: name, err: describeError(error) }, 'loop step failed');
      await clock.sleep(pauseAfterErrorMs, signal);
    }
  }
}

/** Describes an error as the value of a log field. */
export function describeError(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}
