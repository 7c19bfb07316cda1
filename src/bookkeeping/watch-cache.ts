import type { Clock } from '../base/clock';
import type { Entry, Event, StateStore } from '../protocol/state';

const REMEMBERED_DELETES = 2000;
const KEPT_DELETES = 1000;

/** Told of a change, and of the value that was there before. */
type Listener = (event: Event, before: unknown) => void;

/**
 * A copy of all live records, kept by one watch. `freshAt` is the steady time at which the last answered watch was
 * sent: everything that was written before it is in the copy.
 */
export class WatchCache {
  readonly #entries = new Map<string, Entry>();
  /** The same by the first two parts of the key, as they are asked for. */
  readonly #kinds = new Map<string, Map<string, Entry>>();
  /** Deletions that a nudge told us of ahead of the watch; a nudge that comes later must not bring the key back. */
  readonly #deletedAt = new Map<string, number>();
  readonly #listeners: Listener[] = [];
  #revision = 0;
  /** Deletions after this revision are all remembered. */
  #deletesFrom = Infinity;
  #loaded = false;
  #openedAt = -Infinity;
  freshAt = -Infinity;
  /** Steady time since when every change has come here. */
  loadedAt = Infinity;

  constructor(
    private readonly store: StateStore,
    private readonly prefix: string,
    private readonly clock: Clock,
    /** How long a watch waits for news; the copy is never known to be fresher than that. */
    private readonly holdMs: number,
    /** Least time between two watches; nudges are quicker. */
    private readonly paceMs: number,
  ) {}

  get loaded(): boolean {
    return this.#loaded;
  }

  get revision(): number {
    return this.#revision;
  }

  onChange(listener: Listener): void {
    this.#listeners.push(listener);
  }

  get(key: string): Entry | undefined {
    return this.#entries.get(key);
  }

  version(key: string): number {
    return this.#entries.get(key)?.version ?? 0;
  }

  /** All entries of a kind; the prefix is two parts of a key, as `PREFIX` names them. */
  under(prefix: string): Iterable<Entry> {
    return this.#kinds.get(prefix)?.values() ?? [];
  }

  #kind(key: string): Map<string, Entry> {
    const prefix = key.slice(0, key.indexOf('/', this.prefix.length) + 1);
    const kind = this.#kinds.get(prefix) ?? new Map<string, Entry>();
    this.#kinds.set(prefix, kind);
    return kind;
  }

  /** Deletions under a prefix after a revision, or undefined when not all of them are remembered. */
  deletedSince(prefix: string, revision: number): { key: string; version: number }[] | undefined {
    if (!this.#loaded || revision < this.#deletesFrom) return undefined;
    return [...this.#deletedAt]
      .filter(([key, version]) => version > revision && key.startsWith(prefix))
      .map(([key, version]) => ({ key, version }));
  }

  /** One step of the watch; to be run in a loop. */
  async step(): Promise<void> {
    if (!this.#loaded) {
      await this.#load();
      return;
    }
    // A watch ends with the next change of anything. Opened again at once, with hundreds of changes a second, all
    // watches together would use up the limit on requests.
    await this.clock.sleep(this.#openedAt + this.paceMs - this.clock.now());
    const sentAt = this.clock.now();
    this.#openedAt = sentAt;
    const news = await this.store.changes(this.prefix, this.#revision, this.holdMs);
    if (!news) {
      this.#loaded = false;
      this.loadedAt = Infinity;
      return;
    }
    for (const event of news.events) this.#apply(event);
    this.#revision = Math.max(this.#revision, news.revision);
    this.freshAt = sentAt;
    this.#forgetDeletes();
  }

  /**
   * Forgets the oldest deletions. Never one that is ahead of the watch: an owner whose view is as old as ours would be
   * promised that nothing else had ended, and a late nudge could bring the key back.
   */
  #forgetDeletes(): void {
    if (this.#deletedAt.size <= REMEMBERED_DELETES) return;
    for (const [key, version] of this.#deletedAt) {
      if (this.#deletedAt.size <= KEPT_DELETES) return;
      if (version > this.#revision) continue;
      this.#deletedAt.delete(key);
      this.#deletesFrom = Math.max(this.#deletesFrom, version);
    }
  }

  /** Takes a change that somebody told us of ahead of the watch. */
  offer(event: Event): void {
    // What the watch has passed already is either here or was changed again since. Before the copy is loaded, or while it
    // is read again, changes count all the same: a deletion that was left out then, and a page read before it, would be
    // missing from a promise given before the next watch is answered.
    if (event.version <= this.#revision) return;
    this.#apply(event);
  }

  async #load(): Promise<void> {
    const sentAt = this.clock.now();
    const seen = new Set<string>();
    let after: string | undefined;
    let first = -1;
    for (;;) {
      const page = await this.store.list(this.prefix, after);
      if (first < 0) first = page.revision;
      for (const entry of page.entries) {
        seen.add(entry.key);
        this.#apply({ key: entry.key, version: entry.version, value: entry.value, deleted: false });
      }
      after = page.entries.at(-1)?.key;
      if (!page.more || after === undefined) break;
    }
    for (const entry of [...this.#entries.values()]) {
      if (!seen.has(entry.key) && entry.version <= first) {
        this.#apply({ key: entry.key, version: first, deleted: true });
      }
    }
    // Pages are of different moments: the watch goes on from the first and brings all of them to one.
    this.#revision = first;
    this.#deletesFrom = first;
    this.freshAt = sentAt;
    this.#loaded = true;
    this.loadedAt = this.clock.now();
  }

  #apply(event: Event): void {
    const held = this.#entries.get(event.key);
    if (held && held.version >= event.version) return;
    const deletedAt = this.#deletedAt.get(event.key) ?? 0;
    if (deletedAt >= event.version) {
      // A nudge told of the end before anything told of the beginning: only now is it known what it was that ended.
      const deletion = { key: event.key, version: deletedAt, deleted: true };
      if (!event.deleted) for (const listener of this.#listeners) listener(deletion, event.value);
      return;
    }
    if (event.deleted) {
      this.#deletedAt.set(event.key, event.version);
      if (!held) return;
      this.#entries.delete(event.key);
      this.#kind(event.key).delete(event.key);
    } else {
      const entry = { key: event.key, value: event.value, version: event.version };
      this.#entries.set(event.key, entry);
      this.#kind(event.key).set(event.key, entry);
    }
    for (const listener of this.#listeners) listener(event, held?.value);
  }
}
