/** @file The machine types that the cloud offers, shared among the controllers through the key-value store. */
import type { Clock } from '../base/clock';
import type { Settings } from '../base/settings';
import { maxChangesPerTransaction, maxValueBytes } from '../base/state-limits';
import type { FormatGate } from '../bookkeeping/format-gate';
import { readTypes, storeTypes } from '../bookkeeping/type-records';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { Cloud } from '../protocol/cloud';
import type { MachineType } from '../protocol/model';
import type { KeyValueStore } from '../protocol/key-value-store';

const REFRESH_INTERVAL_MS = 60_000;
const CACHE_LOAD_POLL_MS = 20;

/** The services and settings that `MachineTypes` uses. */
export interface MachineTypesContext {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly cache: WatchCache;
  readonly store: KeyValueStore;
  readonly formatGate: FormatGate;
  readonly cloud: Cloud;
}

/**
 * The machine types that the cloud offers. The leader queries the cloud and records the response, so that a controller
 * that starts while the cloud is down can read the types, too.
 */
export class MachineTypes {
  #types: readonly MachineType[] = [];

  constructor(private readonly context: MachineTypesContext) {}

  /** The latest known types; empty before they are first read. */
  get all(): readonly MachineType[] {
    return this.#types;
  }

  /** Reads the types again after a change of their records. */
  onRecordChanged(): void {
    this.#types = readTypes(this.context.cache) ?? this.#types;
  }

  /** Refreshes the types if this controller leads or has none, and calls `onRefreshed` after that. Run in a loop. */
  async refresh(isLeader: boolean, onRefreshed: () => void, signal: AbortSignal): Promise<void> {
    const { cache, store, clock, cloud, formatGate, settings } = this.context;
    if (!cache.isLoaded) {
      await clock.sleep(CACHE_LOAD_POLL_MS, signal);
      return;
    }
    if (this.#types.length === 0 || isLeader) {
      const types = await cloud.listMachineTypes();
      this.#types = types;
      const { state } = settings.platform.deployment;
      await storeTypes(types, cache, store, {
        valueBytes: maxValueBytes(state),
        changes: maxChangesPerTransaction(state),
        mayUseParts: formatGate.isOpenForFormat2,
      });
      onRefreshed();
    }
    await clock.sleep(REFRESH_INTERVAL_MS, signal);
  }
}
