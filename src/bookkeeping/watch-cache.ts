/** @file A copy of the live records, kept up to date by a watch. */
import type { Clock } from '../base/clock';
import type { Entry, ChangeEvent, KeyValueStore } from '../protocol/key-value-store';
import { DeletionLog, type Deletion } from './deletion-log';

/** Told of a change, and of the value that was there before. */
type Listener = (event: ChangeEvent, before: unknown) => void;

/**
 * A copy of all live records, kept by one watch. `freshAt` is the steady time at which the last answered watch was
 * sent: everything that was written before it is in the copy.
 */
export class WatchCache {
  readonly #entries = new Map<string, Entry>();
  /** The same by the first two parts of the key, as they are asked for. */
  readonly #kinds = new Map<string, Map<string, Entry>>();
  /** Deletions that a notification told us of ahead of the watch; one that comes later must not bring the key back. */
  readonly #deletions = new DeletionLog();
  readonly #listeners: Listener[] = [];
  #revision = 0;
  #loaded = false;
  #openedAt = -Infinity;
  freshAt = -Infinity;
  /** Steady time since when every change has come here. */
  loadedAt = Infinity;

  constructor(
    private readonly store: KeyValueStore,
    private readonly prefix: string,
    private readonly clock: Clock,
    /** How long a watch waits for news; the copy is never known to be fresher than that. */
    private readonly holdMs: number,
    /** Least time between two watches; change notifications are quicker. */
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

  /** The first two parts of the key, as `PREFIX` names them. */
  #kindOf(key: string): string {
    return key.slice(0, key.indexOf('/', this.prefix.length) + 1);
  }

  #entriesLike(key: string): Map<string, Entry> {
    const prefix = this.#kindOf(key);
    const kind = this.#kinds.get(prefix) ?? new Map<string, Entry>();
    this.#kinds.set(prefix, kind);
    return kind;
  }

  /** Deletions of a kind of key after a revision, or undefined when not all of them are remembered. */
  deletedSince(prefix: string, revision: number): Deletion[] | undefined {
    return this.#loaded ? this.#deletions.since(prefix, revision) : undefined;
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
    // Never a deletion that is ahead of the watch: an owner whose view is as old as ours would be granted that nothing
    // else had ended, and a late notification could bring the key back.
    this.#deletions.trim(this.#revision);
  }

  /** Takes a change that somebody told us of ahead of the watch. */
  offer(event: ChangeEvent): void {
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
    this.#deletions.startAt(first);
    this.freshAt = sentAt;
    this.#loaded = true;
    this.loadedAt = this.clock.now();
  }

  #apply(event: ChangeEvent): void {
    const held = this.#entries.get(event.key);
    if (held && held.version >= event.version) return;
    const kind = this.#kindOf(event.key);
    const deletedAt = this.#deletions.versionOf(kind, event.key);
    if (deletedAt >= event.version) {
      // A notification told of the end before anything told of the beginning: only now is it known what ended.
      const deletion = { key: event.key, version: deletedAt, deleted: true };
      if (!event.deleted) for (const listener of this.#listeners) listener(deletion, event.value);
      return;
    }
    if (event.deleted) {
      this.#deletions.add(kind, event.key, event.version);
      if (!held) return;
      this.#entries.delete(event.key);
      this.#entriesLike(event.key).delete(event.key);
    } else {
      const entry = { key: event.key, value: event.value, version: event.version };
      this.#entries.set(event.key, entry);
      this.#entriesLike(event.key).set(event.key, entry);
    }
    for (const listener of this.#listeners) listener(event, held?.value);
  }
}
