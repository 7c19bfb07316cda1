/** @file The effective limits of the key-value store. */

/**
 * Limits of the key-value store. The platform may announce lower ones that come into force at an unknown time, so a
 * controller applies the lower of the current and the announced limit from its start.
 */
export interface StateLimits {
  /** Maximum number of requests a second, for all controllers together. */
  rps: number;
  /** Maximum number of changes (puts and deletes) a second, for all controllers together. */
  write_rps: number;
  /** Maximum size of a value, in KiB of JSON text. */
  value_kb: number;
  /** Maximum number of changes in one transaction. */
  txn_ops: number;
}

type LimitName = keyof StateLimits;

const BYTES_PER_KB = 1024;
/** Maximum size of the values of one transaction; the rest of its 64 KiB is for keys and conditions. */
export const MAX_TRANSACTION_BYTES = 48 * BYTES_PER_KB;
/** The key-value store's limit on conditions is this multiple of its limit on changes. */
export const CONDITIONS_PER_CHANGE = 4;
/** The acquisition of a shard needs this many changes in one transaction. */
const MIN_TRANSACTION_CHANGES = 3;
/** Maximum share of `write_rps` that one transaction may use; a transaction that needs all of it may wait forever. */
const MAX_TRANSACTION_SHARE = 0.5;

/** Reads a limit from the announcement; undefined when the field is invalid. */
const readLimit: Record<LimitName, (value: unknown) => number | undefined> = {
  rps: positive,
  write_rps: positive,
  value_kb: positive,
  txn_ops: (value) => positive(Math.floor(positive(value) ?? 0)),
};

const LIMIT_NAMES = Object.keys(readLimit) as LimitName[];

/** The valid limits of an announcement, and the names of the invalid fields. */
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

/** Reads announced limits, and skips invalid ones; undefined when the announcement is missing or not a table. */
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

/** The limits to apply: for each field the lower of the current and the announced limit. */
export function effectiveLimits(current: StateLimits, next: Partial<StateLimits> = {}): StateLimits {
  const smaller = (name: LimitName): number => Math.min(current[name], next[name] ?? Infinity);
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

/** Splits a list into lists of up to `maxBytes` bytes of JSON text each; undefined if a single item is larger. */
export function splitBySize<T>(items: readonly T[], maxBytes: number): T[][] | undefined {
  const emptyBytes = jsonBytes([]);
  const lists: T[][] = [];
  let list: T[] = [];
  let listBytes = emptyBytes;
  for (const item of items) {
    const itemBytes = jsonBytes(item);
    if (emptyBytes + itemBytes > maxBytes) return undefined;
    const separatorBytes = list.length > 0 ? 1 : 0;
    if (listBytes + separatorBytes + itemBytes > maxBytes) {
      lists.push(list);
      list = [];
      listBytes = emptyBytes;
    }
    listBytes += itemBytes + (list.length > 0 ? 1 : 0);
    list.push(item);
  }
  lists.push(list);
  return lists;
}

/** The maximum size of a value, in bytes of JSON text. */
export function maxValueBytes({ value_kb }: StateLimits): number {
  return Math.floor(value_kb * BYTES_PER_KB);
}

/** The maximum number of changes in one transaction under these limits; `wanted` if that is lower. */
export function maxChangesPerTransaction({ txn_ops, write_rps }: StateLimits, wanted = Infinity): number {
  const withinRate = Math.max(MIN_TRANSACTION_CHANGES, Math.floor(write_rps * MAX_TRANSACTION_SHARE));
  return Math.min(wanted, txn_ops, withinRate);
}
