import pino from 'pino';

export type Log = Pick<pino.Logger, 'error' | 'warn' | 'info' | 'debug'>;

/** Structured lines on standard error. Times of day are written in full, so that lines of several nodes merge. */
export function createLog(level: string, node?: string): pino.Logger {
  return pino(
    { level, base: node ? { node } : null, timestamp: pino.stdTimeFunctions.isoTime },
    pino.destination({ dest: 2, sync: true }),
  );
}

export function levelFromEnv(value: string | undefined): string {
  return value === 'error' || value === 'debug' ? value : 'info';
}
