import type { Clock } from './clock';
import type { Log } from './log';

/** Runs a step again and again until the signal. A step that throws is logged; the loop goes on after a pause. */
export async function runLoop(
  name: string,
  step: () => Promise<void>,
  context: { clock: Clock; log: Log; signal: AbortSignal },
  pauseAfterErrorMs = 500,
): Promise<void> {
  while (!context.signal.aborted) {
    try {
      await step();
    } catch (error) {
      context.log.warn({ loop: name, err: describeError(error) }, 'a loop step failed; it goes on');
      await context.clock.sleep(pauseAfterErrorMs, context.signal);
    }
  }
}

export function describeError(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}
