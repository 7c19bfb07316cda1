/** @file A controller's copy of the cloud's list of machines. */
import type { Clock } from '../../base/clock';
import { PREFIX } from '../../bookkeeping/records';
import type { WatchCache } from '../../bookkeeping/watch-cache';
import { MACHINES_PER_PAGE, type Cloud } from '../../protocol/cloud';
import type { ListedMachine } from '../../protocol/model';

const MIN_POLL_INTERVAL_MS = 6_000;
/**
 * Minimum interval between reads of the cloud's list, per page. A large fleet's list takes many calls, and all
 * controllers share a few calls a second. Reads every six seconds would leave hardly any calls to rent and delete machines.
 */
const MIN_INTERVAL_PER_PAGE_MS = 2_000;
/** The cloud's list may lag by this multiple of the usual lag. */
const MAX_LAG_FACTOR = 2;
/** How long the deletion of a machine's record is remembered; the cloud's list lags by less than this. */
const DELETION_MEMORY_MS = 120_000;

/**
 * The cloud's list of machines. It lags, and may show an older state than the previous read. So a machine that is missing
 * from it may still exist, unless the list is certainly newer than the machine.
 */
export class CloudInventory {
  #listed: ListedMachine[] = [];
  #listedIds: ReadonlySet<string> = new Set();
  /** Monotonic time: the latest list describes the machines at some time after it. */
  #describesTimeAfter = -Infinity;
  /** Deletion times (monotonic) of machine records, by machine id. A lagging list may still contain these machines. */
  readonly #recordDeletedAt = new Map<string, number>();

  constructor(
    private readonly cloud: Cloud,
    private readonly clock: Clock,
    /** The usual lag of the list. */
    private readonly listLagMs: number,
  ) {}

  /** Tracks deletions of machine records. */
  subscribe(cache: WatchCache): void {
    cache.onChange((event) => {
      if (!event.deleted || !event.key.startsWith(PREFIX.machine)) return;
      this.#recordDeletedAt.set(event.key.slice(PREFIX.machine.length), this.clock.now());
    });
  }

  /** The machines in the latest list; empty before the list is first read. */
  machines(): readonly ListedMachine[] {
    return this.#listed;
  }

  /**
   * Whether the cloud no longer has a machine that existed at this monotonic time: the latest list describes a later time
   * and lacks the machine, and a machine stays listed until it is gone.
   */
  isGone(id: string, existedAt: number): boolean {
    return existedAt < this.#describesTimeAfter && !this.#listedIds.has(id);
  }

  /** Whether the machine's record was deleted so recently that a lagging list may still contain the machine. */
  wasRecordDeletedRecently(id: string): boolean {
    return this.#recordDeletedAt.has(id);
  }

  /** Reads the list if it is needed, and pauses; to be run in a loop. */
  async step(signal: AbortSignal, isNeeded: () => boolean): Promise<void> {
    if (isNeeded()) await this.#read();
    this.#forgetOldDeletions();
    const pages = Math.ceil(this.#listed.length / MACHINES_PER_PAGE);
    await this.clock.sleep(Math.max(MIN_POLL_INTERVAL_MS, pages * MIN_INTERVAL_PER_PAGE_MS), signal);
  }

  async #read(): Promise<void> {
    const requestedAt = this.clock.now();
    this.#listed = await this.cloud.listMachines();
    this.#listedIds = new Set(this.#listed.map(({ id }) => id));
    this.#describesTimeAfter = requestedAt - MAX_LAG_FACTOR * this.listLagMs;
  }

  #forgetOldDeletions(): void {
    const now = this.clock.now();
    for (const [id, at] of this.#recordDeletedAt) {
      if (now - at > DELETION_MEMORY_MS) this.#recordDeletedAt.delete(id);
    }
  }
}
