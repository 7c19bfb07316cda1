/**
 * @file The records by which a relay names the machines whose worker leases it may renew.
 *
 * The machines are listed in one record or, if they don't fit one value, in several parts with consecutive numbers, which
 * are written together. A record without a list covers all machines of its shard: earlier versions write no lists, and a
 * list that would not fit one transaction is left out.
 */
import type { Uint64 } from '../base/uint64';
import { jsonBytes, MAX_TRANSACTION_BYTES, splitBySize } from '../base/state-limits';
import type { Change, Condition, Entry } from '../protocol/key-value-store';
import { KEY, read, type RelayRecord } from './records';
import type { WatchCache } from './watch-cache';

/** The machines whose worker leases may be renewed by relays, or all machines of the shard. */
export type RelayedMachines = 'all' | ReadonlySet<string>;

/** The limits on relay records. */
export interface RelayRecordLimits {
  /** Maximum size of a value, in bytes of JSON text. */
  readonly valueBytes: number;
  /** Maximum number of changes in a transaction. */
  readonly changes: number;
}

/** A relay: a controller that renews worker leases of another controller's shard. */
export interface RelayId {
  readonly shard: number;
  readonly controller: string;
}

type Records = Pick<WatchCache, 'get'>;

/** The machines that one record covers. A value that can't be read may cover any machine. */
export function machinesOfRecord(value: unknown): RelayedMachines {
  const machines = read.relay(value)?.machines;
  return machines ? new Set(machines) : 'all';
}

/** Whether the relays may renew the lease of this machine's worker. */
export function isRelayed(relayed: RelayedMachines, machine: string): boolean {
  return relayed === 'all' || relayed.has(machine);
}

/** The machines that any of the relays may renew the worker leases of. */
export function relayedMachines(records: Records, relays: readonly RelayId[]): RelayedMachines {
  const machines = new Set<string>();
  for (const { value } of relays.flatMap((relay) => relayEntries(records, relay))) {
    const covered = machinesOfRecord(value);
    if (covered === 'all') return 'all';
    for (const machine of covered) machines.add(machine);
  }
  return machines;
}

/**
 * The condition by which a transaction succeeds only if the records of the relay are those of the cache. Each write puts
 * all parts, and each deletion deletes all, so the version of the first part is that of the list.
 */
export function unchangedRelayCondition(records: Records, { shard, controller }: RelayId): Condition {
  const key = KEY.relay(shard, controller);
  return { key, version: records.get(key)?.version ?? 0 };
}

/** The changes by which the records of the relay list these machines, bound to the relay's session lease. */
export function relayRecordChanges(
  records: Records,
  { shard, controller }: RelayId,
  { machines, lease, limits }: { machines: readonly string[]; lease: Uint64; limits: RelayRecordLimits },
): Change[] {
  const puts = valuesOf(machines, limits).map((value, part) => ({
    put: KEY.relay(shard, controller, part),
    value,
    lease,
  }));
  const surplus = relayEntries(records, { shard, controller }).slice(puts.length);
  return [...puts, ...surplus.map(({ key }) => ({ delete: key }))];
}

/** The changes that delete all records of the relay. */
export function relayRecordDeletions(records: Records, relay: RelayId): Change[] {
  return relayEntries(records, relay).map(({ key }) => ({ delete: key }));
}

/** The records of the relay, in the order of their parts. */
function relayEntries(records: Records, { shard, controller }: RelayId): Entry[] {
  const entries: Entry[] = [];
  for (;;) {
    const entry = records.get(KEY.relay(shard, controller, entries.length));
    if (!entry) return entries;
    entries.push(entry);
  }
}

function valuesOf(machines: readonly string[], limits: RelayRecordLimits): RelayRecord[] {
  const listBytes = limits.valueBytes - jsonBytes({ machines: '' });
  const values = splitBySize(machines, listBytes)?.map((part) => ({ machines: part }));
  const fitsTransaction =
    values !== undefined && values.length <= limits.changes && jsonBytes(values) <= MAX_TRANSACTION_BYTES;
  return fitsTransaction ? values : [{}];
}
