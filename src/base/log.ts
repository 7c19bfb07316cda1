/** @file Structured log lines on standard error. */
import pino from 'pino';

/** Where the parts of a controller write their log lines. */
export type Log = Pick<pino.Logger, 'error' | 'warn' | 'info' | 'debug'>;

/** Keys that every line has already, apart from its fields. */
const RESERVED_KEYS = ['level', 'time', 'node', 'msg'] as const;

/** The fields of a line, apart from its message. */
type Fields = Record<string, unknown>;

/**
 * The fields of a line without the reserved keys: JSON with a key twice means different things to different readers. A
 * field of such a name with another value is kept under a name of its own.
 */
function withoutReservedKeys(fields: Fields, node: string | undefined): Fields {
  const reserved = RESERVED_KEYS.filter((key) => key in fields && (key !== 'node' || node !== undefined));
  if (reserved.length === 0) return fields;
  const kept = Object.fromEntries(
    Object.entries(fields).filter(([key]) => !reserved.some((name) => name === key)),
  );
  for (const key of reserved) {
    if (key !== 'node' || fields[key] !== node) kept[`field_${key}`] = fields[key];
  }
  return kept;
}

/**
 * Creates a log of structured lines. Times of day are written in full, so that lines of several controllers can be
 * merged. Writes to standard error, unless a destination is given.
 */
export function createLog(
  level: string,
  node?: string,
  destination: pino.DestinationStream = pino.destination({ dest: 2, sync: true }),
): pino.Logger {
  return pino(
    {
      level,
      base: node ? { node } : null,
      timestamp: pino.stdTimeFunctions.isoTime,
      formatters: { log: (fields) => withoutReservedKeys(fields, node) },
    },
    destination,
  );
}

/** The level that the environment asks for; `info` where it asks for no known one. */
export function levelFromEnv(value: string | undefined): string {
  return value === 'error' || value === 'debug' ? value : 'info';
}
