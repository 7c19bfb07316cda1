/** @file Structured log lines on standard error. */
import pino from 'pino';

/** The logger that the components of a controller use. */
export type Log = Pick<pino.Logger, 'error' | 'warn' | 'info' | 'debug'>;

/** Keys that the logger itself writes; `node` only if the log has a node name. */
const RESERVED_KEYS = ['level', 'time', 'node', 'msg'] as const;

/** The fields of a log call. */
type Fields = Record<string, unknown>;

/**
 * Renames fields with a reserved key to `field_<key>`, because JSON parsers disagree on duplicate keys. A `node` field
 * with the same value as the logger's own is dropped.
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
 * Creates a structured log. Timestamps contain date and time, so that the logs of several controllers can be merged.
 * Writes to standard error, unless a destination is given.
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

/** The log level from the environment variable; `info` unless it is `error` or `debug`. */
export function levelFromEnv(value: string | undefined): string {
  return value === 'error' || value === 'debug' ? value : 'info';
}
