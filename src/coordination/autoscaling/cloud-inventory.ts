/** @file A node's copy of the cloud's list of machines. */
import type { Clock } from '../../base/clock';
import { PREFIX } from '../../bookkeeping/records';
import type { WatchCache } from '../../bookkeeping/watch-cache';
import { MACHINES_PER_PAGE, type Cloud } from '../../protocol/cloud';
import type { ListedMachine } from '../../protocol/model';

const POLL_MS = 6_000;
/**
 * Least time for each page of the list. The list of a large fleet takes many calls, of the few a second that the cloud
 * allows all controllers together: read every six seconds, it would leave hardly any for rentals and releases.
 */
const MS_PER_PAGE = 2_000;
const MEMORY_MS = 120_000;

/** The cloud's list of machines. It lags and may go back, so it serves to find strays and failures, never an end. */
export class CloudInventory {
  #listed: ListedMachine[] = [];
  /** Machines whose records were deleted: a list that lags still names them. */
  readonly #deleted = new Map<string, number>();

  constructor(
    private readonly cloud: Cloud,
    private readonly clock: Clock,
  ) {}

  watch(cache: WatchCache): void {
    cache.onChange((event) => {
      if (!event.deleted || !event.key.startsWith(PREFIX.machine)) return;
      this.#deleted.set(event.key.slice(PREFIX.machine.length), this.clock.now());
    });
  }

  machines(): readonly ListedMachine[] {
    return this.#listed;
  }

  isDeleted(id: string): boolean {
    return this.#deleted.has(id);
  }

  async step(signal: AbortSignal, needed: () => boolean): Promise<void> {
    if (needed()) this.#listed = await this.cloud.listMachines();
    const now = this.clock.now();
    for (const [id, at] of this.#deleted) if (now - at > MEMORY_MS) this.#deleted.delete(id);
    const pages = Math.ceil(this.#listed.length / MACHINES_PER_PAGE);
    await this.clock.sleep(Math.max(POLL_MS, pages * MS_PER_PAGE), signal);
  }
}
