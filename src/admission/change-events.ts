/** @file What the changes of a transaction look like to those that watch the records. */
import type { Change, ChangeEvent } from '../protocol/key-value-store';

/** The events of changes that the transaction with this revision carried out, in the order of the changes. */
export function changeEvents(changes: readonly Change[], revision: number): ChangeEvent[] {
  return changes.map((change) =>
    'put' in change
      ? { key: change.put, version: revision, value: change.value, deleted: false }
      : { key: change.delete, version: revision, deleted: true },
  );
}
