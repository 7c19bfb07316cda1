/** @file The events that describe acknowledged changes and entries of the key-value store. */
import type { Uint64 } from '../base/uint64';
import type { Change, ChangeEvent, Entry } from '../protocol/key-value-store';

/** The event of a change that was made by a compare-and-swap with this revision. */
export function eventOfChange(change: Change, revision: Uint64): ChangeEvent {
  return 'put' in change
    ? { key: change.put, version: revision, value: change.value, deleted: false }
    : { key: change.delete, version: revision, deleted: true };
}

/** The event of the change that wrote the current version of an entry. */
export function eventOfEntry({ key, version, value }: Entry): ChangeEvent {
  return { key, version, value, deleted: false };
}
