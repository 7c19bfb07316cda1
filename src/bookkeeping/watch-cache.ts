/** @file A cache of the live records that is kept up to date by a watch. */
import { maxUint64, type Uint64 } from '../base/uint64';
import type { Clock } from '../base/clock';
import type { ChangeEvent, Entry, KeyValueStore } from '../protocol/key-value-store';
import { eventOfEntry } from './change-events';
import { DeletionLog, type Deletion } from './deletion-log';

/** Called with a change, and what the cache kept of the previous value of the key. */
type Listener = (event: ChangeEvent, previousValue: unknown) => void;

/** The services and settings that a watch cache uses. */
export interface WatchCacheContext {
  readonly store: KeyValueStore;
  /** The prefix of the keys that are cached. */
  readonly prefix: string;
  readonly clock: Clock;
  /** Longest time that a watch request waits for changes; `freshAt` lags behind the clock by up to this time. */
  readonly waitMs: number;
  /** Minimum time between the starts of two watch requests; notifications by peers bring changes sooner. */
  readonly minWatchIntervalMs: number;
  /** What the cache keeps of a value; listeners get all of it. By default the whole value is kept. */
  readonly valueToKeep?: (key: string, value: unknown) => unknown;
}

/** Caches all live records, and keeps the cache up to date with one watch request after another. */
export class WatchCache {
  readonly #entries = new Map<string, Entry>();
  /** The entries by kind (the first two parts of their keys, as listed in `PREFIX`), and then by key. */
  readonly #entriesByKind = new Map<string, Map<string, Entry>>();
  /** Deletions, including those received ahead of the watch, so that a delayed older event can't restore a deleted key. */
  readonly #deletions = new DeletionLog();
  readonly #listeners: Listener[] = [];
  #revision: Uint64 = 0;
  #loaded = false;
  #watchStartedAt = -Infinity;
  #freshAt = -Infinity;
  #loadedAt = Infinity;

  constructor(private readonly context: WatchCacheContext) {}

  /** Whether the cache contains all live records. */
  get isLoaded(): boolean {
    return this.#loaded;
  }

  /** The revision up to which the cache contains every change. */
  get revision(): Uint64 {
    return this.#revision;
  }

  /** Monotonic time at which the last successful request was sent: the cache contains all earlier changes. */
  get freshAt(): number {
    return this.#freshAt;
  }

  /** Monotonic time since which the cache has received every change; Infinity while it isn't loaded. */
  get loadedAt(): number {
    return this.#loadedAt;
  }

  /** Registers a listener that is called after each change of the cache. */
  onChange(listener: Listener): void {
    this.#listeners.push(listener);
  }

  /** The entry of a key; undefined if the cache has none. */
  get(key: string): Entry | undefined {
    return this.#entries.get(key);
  }

  /** The revision of the key's last change, for a condition; 0 if the cache has no entry. */
  version(key: string): Uint64 {
    return this.#entries.get(key)?.version ?? 0;
  }

  /** All entries of a kind; the prefix is the first two parts of their keys, as listed in `PREFIX`. */
  under(prefix: string): Iterable<Entry> {
    return this.#entriesByKind.get(prefix)?.values() ?? [];
  }

  /** Deletions of a kind of key after a revision; undefined if not all of them are remembered. */
  deletedSince(prefix: string, revision: Uint64): Deletion[] | undefined {
    return this.#loaded ? this.#deletions.since(prefix, revision) : undefined;
  }

  /** Loads the cache, or watches for changes once. Run in a loop. */
  async step(): Promise<void> {
    if (!this.#loaded) {
      await this.#load();
      return;
    }
    const { store, prefix, clock, waitMs, minWatchIntervalMs } = this.context;
    // A watch request ends with the next change of any key. Without a minimum interval, hundreds of changes a second
    // would cause so many watch requests that they use up the rate limit.
    await clock.sleep(this.#watchStartedAt + minWatchIntervalMs - clock.now());
    const sentAt = clock.now();
    this.#watchStartedAt = sentAt;
    const changes = await store.changes(prefix, this.#revision, waitMs);
    if (!changes) {
      this.#loaded = false;
      this.#loadedAt = Infinity;
      return;
    }
    for (const event of changes.events) this.#apply(event);
    this.#revision = maxUint64(this.#revision, changes.revision);
    this.#freshAt = sentAt;
    // Deletions ahead of the watch are kept. Otherwise a lease extension granted to an owner with an equally old cache
    // would lack them, and a delayed notification could restore a deleted key.
    this.#deletions.trim(this.#revision);
  }

  /** Applies a change that was received ahead of the watch, from a peer or in a response. */
  applyNotification(event: ChangeEvent): void {
    // Changes up to the cache's revision are ignored: the cache contains them, or later changes of the same keys. A cache
    // that is being loaded applies newer changes, too. A page may have been read before a deletion, and a lease extension
    // granted before the next watch succeeds would then lack that deletion.
    if (event.version <= this.#revision) return;
    this.#apply(event);
  }

  async #load(): Promise<void> {
    const { store, prefix, clock } = this.context;
    const sentAt = clock.now();
    const listedKeys = new Set<string>();
    let after: string | undefined;
    let firstRevision: Uint64 | undefined;
    for (;;) {
      const page = await store.list(prefix, after);
      firstRevision ??= page.revision;
      for (const entry of page.entries) {
        listedKeys.add(entry.key);
        this.#apply(eventOfEntry(entry));
      }
      after = page.entries.at(-1)?.key;
      if (!page.hasMore || after === undefined) break;
    }
    this.#deleteUnlisted(listedKeys, firstRevision);
    // Pages are read at different revisions. The watch starts at the first page's revision, so it misses no change.
    this.#revision = firstRevision;
    this.#deletions.startAt(firstRevision);
    this.#freshAt = sentAt;
    this.#loaded = true;
    this.#loadedAt = clock.now();
  }

  #deleteUnlisted(listedKeys: ReadonlySet<string>, revision: Uint64): void {
    for (const { key, version } of [...this.#entries.values()]) {
      if (!listedKeys.has(key) && version <= revision) {
        this.#apply({ key, version: revision, deleted: true });
      }
    }
  }

  #apply(event: ChangeEvent): void {
    const { key } = event;
    const previous = this.#entries.get(key);
    if (previous && previous.version >= event.version) return;
    const kind = this.#kindOf(key);
    const deletedAt = this.#deletions.versionOf(kind, key);
    if (deletedAt >= event.version) {
      // The deletion arrived before the value, so listeners get the deletion only now, with the value.
      if (!event.deleted) this.#notify({ key, version: deletedAt, deleted: true }, event.value);
      return;
    }
    if (event.deleted) {
      this.#deletions.add(kind, key, event.version);
      if (!previous) return;
      this.#entries.delete(key);
      this.#entriesOf(kind).delete(key);
    } else {
      const { valueToKeep } = this.context;
      const value = valueToKeep ? valueToKeep(key, event.value) : event.value;
      const entry = { key, value, version: event.version };
      this.#entries.set(key, entry);
      this.#entriesOf(kind).set(key, entry);
    }
    this.#notify(event, previous?.value);
  }

  #notify(event: ChangeEvent, previousValue: unknown): void {
    for (const listener of this.#listeners) listener(event, previousValue);
  }

  /** The first two parts of the key, as listed in `PREFIX`. */
  #kindOf(key: string): string {
    return key.slice(0, key.indexOf('/', this.context.prefix.length) + 1);
  }

  #entriesOf(kind: string): Map<string, Entry> {
    const entries = this.#entriesByKind.get(kind) ?? new Map<string, Entry>();
    this.#entriesByKind.set(kind, entries);
    return entries;
  }
}
