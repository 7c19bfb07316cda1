/** @file The events that describe acknowledged changes and entries of the key-value store. */
import type { Change, ChangeEvent, Entry } from '../protocol/key-value-store';

/** The event of a change that a compare-and-swap with this revision made. */
export function eventOfChange(change: Change, revision: number): ChangeEvent {
  return 'put' in change
    ? { key: change.put, version: revision, value: change.value, deleted: false }
    : { key: change.delete, version: revision, deleted: true };
}

/** The event that brought an entry into its present state. */
export function eventOfEntry({ key, version, value }: Entry): ChangeEvent {
  return { key, version, value, deleted: false };
}
