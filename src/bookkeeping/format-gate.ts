/** @file When records that the previous version cannot read may be written. */
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';
import type { KeyValueStore } from '../protocol/key-value-store';
import { FORMAT, KEY, read, RECORD_FORMAT } from './records';
import type { WatchCache } from './watch-cache';

const CHECK_INTERVAL_MS = 1_000;
const MARK_RETRY_MS = 300;
const REPORT_INTERVAL_MS = 10_000;

/** What the format gate works on. */
export interface FormatGateContext {
  /** This controller. */
  readonly controllerId: string;
  /** All controllers that the settings name, this one included. */
  readonly controllers: readonly string[];
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Decides when records that the previous version can't read may be written. Every controller leaves a durable mark of
 * the newest record format that it understands; the gate is open for a format once the marks of all controllers named in
 * the settings say that or a newer one. Marks are never deleted and no lease holds them, so an open gate stays open,
 * whichever controllers restart.
 */
export class FormatGate {
  readonly #openFor = new Set<number>();
  #isMarked = false;
  #isReported = false;
  #reportedAt = -Infinity;

  constructor(private readonly context: FormatGateContext) {}

  /** One step: writes this controller's mark, and logs the progress of the upgrade. To be run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    if (!this.#isMarked) this.#isMarked = await this.writeFormatRecord();
    this.#report();
    await this.context.clock.sleep(this.#isMarked ? CHECK_INTERVAL_MS : MARK_RETRY_MS, signal);
  }

  /** Logs once when the gate opens, and at intervals while it is closed. */
  #report(): void {
    if (this.#isReported || !this.context.cache.isLoaded) return;
    const now = this.context.clock.now();
    if (this.isOpenFor(RECORD_FORMAT)) {
      this.#isReported = true;
      this.context.log.info({ format: RECORD_FORMAT }, 'all controllers understand the record format');
    } else if (now - this.#reportedAt >= REPORT_INTERVAL_MS) {
      this.#reportedAt = now;
      this.context.log.info(
        { format: RECORD_FORMAT, missing: this.controllersWithout() },
        'not all controllers are upgraded',
      );
    }
  }

  /** Whether every controller understands dependencies and records in parts. */
  get isOpenForFormat2(): boolean {
    return this.isOpenFor(FORMAT.dependencies);
  }

  /** Whether every controller understands a format, as far as this controller's copy of the records shows. */
  isOpenFor(format: number): boolean {
    if (this.#openFor.has(format)) return true;
    if (this.controllersWithout(format).length > 0) return false;
    this.#openFor.add(format);
    return true;
  }

  /** Controllers whose marks do not say that they understand a format. */
  controllersWithout(format: number = RECORD_FORMAT): string[] {
    return this.context.controllers.filter(
      (controller) => !understands(this.context.cache.get(KEY.format(controller))?.value, format),
    );
  }

  /** Like `isOpen`, but reads the marks from the key-value store: the copy may lag behind a mark just written. */
  async confirmOpenForFormat2(): Promise<boolean> {
    if (this.isOpenForFormat2) return true;
    for (const controller of this.controllersWithout(FORMAT.dependencies)) {
      const entry = await this.context.store.get(KEY.format(controller));
      if (!understands(entry?.value, FORMAT.dependencies)) return false;
    }
    this.#openFor.add(FORMAT.dependencies);
    return true;
  }

  /** Writes this controller's mark, unless it is there. True: it is there now. */
  async writeFormatRecord(): Promise<boolean> {
    const key = KEY.format(this.context.controllerId);
    const entry = await this.context.store.get(key);
    if (understands(entry?.value, RECORD_FORMAT)) return true;
    // On the condition of its version, so that a write carried out late can't replace the mark of a newer version.
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
