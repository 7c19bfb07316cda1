/** @file Notifies the components of a controller of changed records. */
import { isCompletionKey } from '../bookkeeping/completion-records';
import { KEY, PREFIX } from '../bookkeeping/records';
import { isTypesKey } from '../bookkeeping/type-records';
import type { ChangeEvent } from '../protocol/key-value-store';
import type { ControllerComponents } from './controller-components';

const PREFIXES_WITHOUT_WAKE = [
  PREFIX.machine,
  PREFIX.dependencyPart,
  PREFIX.admissionClass,
  PREFIX.admissionFlow,
] as const;

/** Whether a change of the record wakes neither the leader's loop nor the shard acquisition loop. */
function wakesNoLoop(key: string): boolean {
  return (
    isCompletionKey(key) ||
    key === KEY.admission ||
    PREFIXES_WITHOUT_WAKE.some((prefix) => key.startsWith(prefix))
  );
}

/** Notifies the components that a record has changed from `previousValue`, which is undefined if it was not known. */
export function onRecordChange(
  components: ControllerComponents,
  event: ChangeEvent,
  previousValue: unknown,
): void {
  const { acquisition, progress, machineTypes, leaderWake, acquisitionWake } = components;
  const { key, deleted } = event;
  for (const owner of acquisition.owners.values()) owner.onChange(event, previousValue);
  if (key.startsWith(PREFIX.relay)) return;
  if (key.startsWith(PREFIX.job)) {
    if (deleted) progress.delete(key.slice(PREFIX.job.length));
    return;
  }
  if (wakesNoLoop(key)) return;
  if (isTypesKey(key)) machineTypes.onRecordChanged();
  leaderWake.wake();
  acquisitionWake.wake();
}
