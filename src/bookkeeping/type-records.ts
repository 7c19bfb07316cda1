/**
 * @file The stored list of machine types, for controllers that start while the cloud is unavailable.
 *
 * The list is stored in one record or, if it would not fit one value, in several parts. Parts that were written together
 * have the same edition; they are used only if all parts of the edition exist.
 */
import { jsonBytes, splitBySize } from '../base/state-limits';
import type { MachineType } from '../protocol/model';
import type { Change, Condition, KeyValueStore } from '../protocol/key-value-store';
import { KEY, PREFIX, read } from './records';
import type { WatchCache } from './watch-cache';

/** Bytes of a value that are reserved for the JSON around the list of types. */
const OVERHEAD_BYTES = 64;

/** The limits on records of machine types. */
export interface TypeRecordLimits {
  valueBytes: number;
  /** Maximum number of changes in a transaction. */
  changes: number;
  /** Whether every controller understands parts. */
  mayUseParts: boolean;
}

interface TypesPart {
  edition: number;
  of: number;
  types: MachineType[];
}

/** One of the transactions that write the types. */
export interface TypesTransaction {
  conditions: Condition[];
  changes: Change[];
}

type Records = Pick<WatchCache, 'get' | 'under' | 'version'>;

/** Whether a key belongs to a record of machine types, either the single record or a part. */
export function isTypesKey(key: string): boolean {
  return key === KEY.types || key.startsWith(PREFIX.typesPart);
}

/** The stored types: from the parts if all exist, else from the single record. */
export function readTypes(records: Records): readonly MachineType[] | undefined {
  return readParts(records)?.types ?? read.types(records.get(KEY.types)?.value)?.types;
}

/** Writes the types unless they are stored already. */
export async function storeTypes(
  types: readonly MachineType[],
  records: Records,
  store: KeyValueStore,
  limits: TypeRecordLimits,
): Promise<void> {
  for (const { conditions, changes } of machineTypeTransactions(types, records, limits)) {
    const result = await store.compareAndSwap(conditions, changes);
    if (!result.ok) return;
  }
}

/** The transactions that store the types; none if they are stored already, or can't be stored. */
export function machineTypeTransactions(
  types: readonly MachineType[],
  records: Records,
  limits: TypeRecordLimits,
): TypesTransaction[] {
  if (types.length === 0) return [];
  const stored = readParts(records);
  const current = stored ?? read.types(records.get(KEY.types)?.value);
  if (JSON.stringify(current?.types) === JSON.stringify(types)) return [];
  const fitsOneValue = jsonBytes({ types }) <= limits.valueBytes;
  // Readers prefer existing parts to the single record, so once parts exist the types have to be written as parts.
  if (stored === undefined && (fitsOneValue || !limits.mayUseParts)) {
    const condition = { key: KEY.types, version: records.version(KEY.types) };
    return [{ conditions: [condition], changes: [{ put: KEY.types, value: { types } }] }];
  }
  const lists = splitBySize(types, limits.valueBytes - OVERHEAD_BYTES);
  if (lists === undefined) return [];
  return partTransactions(lists, records, limits.changes);
}

function readParts(records: Records): TypesPart | undefined {
  const first = read.typesPart(records.get(KEY.typesPart(0))?.value);
  if (!first) return undefined;
  const types: MachineType[] = [];
  for (let number = 0; number < first.of; number += 1) {
    const part = read.typesPart(records.get(KEY.typesPart(number))?.value);
    if (part?.edition !== first.edition) return undefined;
    types.push(...part.types);
  }
  return { edition: first.edition, of: first.of, types };
}

function partTransactions(
  lists: readonly MachineType[][],
  records: Records,
  maxChanges: number,
): TypesTransaction[] {
  const stored = [...records.under(PREFIX.typesPart)];
  const editions = stored.map((entry) => read.typesPart(entry.value)?.edition ?? 0);
  const edition = Math.max(0, ...editions) + 1;
  const puts = lists.map((types, number) => ({
    put: KEY.typesPart(number),
    value: { edition, of: lists.length, types } satisfies TypesPart,
  }));
  const written = new Set(puts.map(({ put }) => put));
  const surplus = stored.filter(({ key }) => !written.has(key));
  const changes: Change[] = [...puts, ...surplus.map(({ key }) => ({ delete: key }))];
  const transactions: TypesTransaction[] = [];
  for (let from = 0; from < changes.length; from += maxChanges) {
    const batch = changes.slice(from, from + maxChanges);
    const conditions = batch.map((change) => conditionFor(change, records));
    transactions.push({ conditions, changes: batch });
  }
  return transactions;
}

function conditionFor(change: Change, records: Records): Condition {
  const key = 'put' in change ? change.put : change.delete;
  return { key, version: records.version(key) };
}
