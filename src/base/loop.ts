/** @file Loops that run until a signal, whatever their steps throw. */
import type { Clock } from './clock';
import type { Log } from './log';

/** What a loop is given. */
export interface LoopContext {
  readonly clock: Clock;
  readonly log: Log;
  /** Ends the loop after the step that runs. */
  readonly signal: AbortSignal;
}

const PAUSE_AFTER_ERROR_MS = 500;

/** Repeats a step until the signal. A step that throws is logged; the loop goes on after a pause. */
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
      log.warn({ loop: name, err: describeError(error) }, 'a loop step failed; it goes on');
      await clock.sleep(pauseAfterErrorMs, signal);
    }
  }
}

/** An error as one line of a log. */
export function describeError(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}
