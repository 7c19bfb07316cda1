/** @file Decides when records may be written in a format that the previous version can't read. */
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';
import type { KeyValueStore } from '../protocol/key-value-store';
import { FORMAT, KEY, read, RECORD_FORMAT } from './records';
import type { WatchCache } from './watch-cache';

const CHECK_INTERVAL_MS = 1_000;
const WRITE_RETRY_MS = 300;
const LOG_INTERVAL_MS = 10_000;

/** The services and settings that the format gate uses. */
export interface FormatGateContext {
  /** The id of this controller. */
  readonly controllerId: string;
  /** The ids of all controllers in the settings, including this one. */
  readonly controllers: readonly string[];
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Decides when records may be written in a format that the previous version can't read. Every controller writes a format
 * record: the newest record format that it understands. The gate is open for a format once the format records of all
 * controllers in the settings contain that format or a newer one. Format records are never deleted and not bound to a
 * lease, so an open gate stays open when controllers restart.
 */
export class FormatGate {
  readonly #openFor = new Set<number>();
  #isRecordWritten = false;
  #isOpeningLogged = false;
  #progressLoggedAt = -Infinity;

  constructor(private readonly context: FormatGateContext) {}

  /** Writes this controller's format record, and logs the progress of the upgrade. Run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    if (!this.#isRecordWritten) this.#isRecordWritten = await this.writeFormatRecord();
    this.#logProgress();
    await this.context.clock.sleep(this.#isRecordWritten ? CHECK_INTERVAL_MS : WRITE_RETRY_MS, signal);
  }

  /** Logs once that the gate is open for the newest format, and at intervals while it is closed. */
  #logProgress(): void {
    if (this.#isOpeningLogged || !this.context.cache.isLoaded) return;
    const now = this.context.clock.now();
    if (this.isOpenFor(RECORD_FORMAT)) {
      this.#isOpeningLogged = true;
      this.context.log.info({ format: RECORD_FORMAT }, 'all controllers understand the record format');
    } else if (now - this.#progressLoggedAt >= LOG_INTERVAL_MS) {
      this.#progressLoggedAt = now;
      this.context.log.info(
        { format: RECORD_FORMAT, missing: this.controllersWithout() },
        'not all controllers are upgraded',
      );
    }
  }

  /** Whether every controller understands format 2: dependencies among jobs, and records in parts. */
  get isOpenForFormat2(): boolean {
    return this.isOpenFor(FORMAT.dependencies);
  }

  /** Whether every controller understands a format, according to the watch cache. */
  isOpenFor(format: number): boolean {
    if (this.#openFor.has(format)) return true;
    if (this.controllersWithout(format).length > 0) return false;
    this.#openFor.add(format);
    return true;
  }

  /** Controllers that, according to the watch cache, have no format record with this format or a newer one. */
  controllersWithout(format: number = RECORD_FORMAT): string[] {
    return this.context.controllers.filter(
      (controller) => !understands(this.context.cache.get(KEY.format(controller))?.value, format),
    );
  }

  /** Like `isOpenForFormat2`, but also reads the format records in the store: the watch cache may lag behind them. */
  async confirmOpenForFormat2(): Promise<boolean> {
    if (this.isOpenForFormat2) return true;
    for (const controller of this.controllersWithout(FORMAT.dependencies)) {
      const entry = await this.context.store.get(KEY.format(controller));
      if (!understands(entry?.value, FORMAT.dependencies)) return false;
    }
    this.#openFor.add(FORMAT.dependencies);
    return true;
  }

  /** Writes this controller's format record, unless it is stored already. True: the record is stored now. */
  async writeFormatRecord(): Promise<boolean> {
    const key = KEY.format(this.context.controllerId);
    const entry = await this.context.store.get(key);
    if (understands(entry?.value, RECORD_FORMAT)) return true;
    // The condition on the version prevents a delayed write from replacing the format record of a newer version.
    const result = await this.context.store.compareAndSwap(
      [{ key, version: entry?.version ?? 0 }],
      [{ put: key, value: { format: RECORD_FORMAT } }],
      'urgent',
    );
    return result.ok;
  }
}

function understands(value: unknown, format: number): boolean {
  return (read.format(value)?.format ?? 0) >= format;
}
