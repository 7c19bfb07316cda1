/** @file The limits of the key-value store that are to be obeyed. */

/**
 * Limits of the key-value store. The platform may announce lower ones that come into force at an unknown moment; a
 * controller therefore obeys the smaller of the two from its start.
 */
export interface StateLimits {
  /** Requests a second, all controllers together. */
  rps: number;
  /** Changes (puts and deletes) a second, all controllers together. */
  write_rps: number;
  /** KiB of one value as JSON text. */
  value_kb: number;
  /** Changes of one transaction. */
  txn_ops: number;
}

type LimitName = keyof StateLimits;

const BYTES_PER_KB = 1024;
/** The acquisition of a shard needs this many changes in one transaction. */
const MIN_CHANGES = 3;
/** Part of one second's changes that a transaction may take: one that needs all of them may never get its turn. */
const TRANSACTION_PART = 0.5;

/** How a limit is read from the announcement; undefined when the field can't be used. */
const readLimit: Record<LimitName, (value: unknown) => number | undefined> = {
  rps: positive,
  write_rps: positive,
  value_kb: positive,
  txn_ops: (value) => positive(Math.floor(positive(value) ?? 0)),
};

const LIMIT_NAMES = Object.keys(readLimit) as LimitName[];

/** The part of an announcement that can be used, and the names of the fields that can't. */
export interface NextLimits {
  limits: Partial<StateLimits>;
  unusable: string[];
}

function positive(value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) && value > 0 ? value : undefined;
}

function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Date);
}

/** Reads announced limits leniently; undefined when there is no table of them. */
export function readNextLimits(announced: unknown): NextLimits | undefined {
  if (!isTable(announced)) return undefined;
  const next: NextLimits = { limits: {}, unusable: [] };
  for (const name of LIMIT_NAMES) {
    if (announced[name] === undefined) continue;
    const limit = readLimit[name](announced[name]);
    if (limit === undefined) next.unusable.push(name);
    else next.limits[name] = limit;
  }
  return next;
}

/** The limits to obey: field by field the smaller of those of now and those announced. */
export function effectiveLimits(now: StateLimits, next: Partial<StateLimits> = {}): StateLimits {
  const smaller = (name: LimitName): number => Math.min(now[name], next[name] ?? Infinity);
  return {
    rps: smaller('rps'),
    write_rps: smaller('write_rps'),
    value_kb: smaller('value_kb'),
    txn_ops: smaller('txn_ops'),
  };
}

/** The size of a value as the key-value store counts it: bytes of JSON text. */
export function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** The largest value in bytes of JSON text. */
export function maxValueBytes({ value_kb }: StateLimits): number {
  return Math.floor(value_kb * BYTES_PER_KB);
}

/** How many changes one transaction may hold, of those that its writer wants to make at once. */
export function maxChangesPerTransaction({ txn_ops, write_rps }: StateLimits, wanted = Infinity): number {
  const withinRate = Math.max(MIN_CHANGES, Math.floor(write_rps * TRANSACTION_PART));
  return Math.min(wanted, txn_ops, withinRate);
}
