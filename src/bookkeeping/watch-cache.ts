/** @file A copy of the live records, kept up to date by a watch. */
import type { Clock } from '../base/clock';
import type { ChangeEvent, Entry, KeyValueStore } from '../protocol/key-value-store';
import { eventOfEntry } from './change-events';
import { DeletionLog, type Deletion } from './deletion-log';

/** Receives a change, and the value that was there before. */
type Listener = (event: ChangeEvent, previousValue: unknown) => void;

/** What a watch cache works on. */
export interface WatchCacheContext {
  readonly store: KeyValueStore;
  /** The prefix of the keys that are copied. */
  readonly prefix: string;
  readonly clock: Clock;
  /** How long a watch waits for changes; the copy is never known to be fresher than that. */
  readonly waitMs: number;
  /** Least time between the starts of two watches; change notifications are quicker. */
  readonly minWatchIntervalMs: number;
}

/** A copy of all live records, kept by one watch. */
export class WatchCache {
  readonly #entries = new Map<string, Entry>();
  /** The same entries by the first two parts of their keys, as `PREFIX` names them. */
  readonly #entriesByKind = new Map<string, Map<string, Entry>>();
  /** Deletions, also those that notifications brought ahead of the watch: a late event must not bring the key back. */
  readonly #deletions = new DeletionLog();
  readonly #listeners: Listener[] = [];
  #revision = 0;
  #loaded = false;
  #watchStartedAt = -Infinity;
  #freshAt = -Infinity;
  #loadedAt = Infinity;

  constructor(private readonly context: WatchCacheContext) {}

  /** Whether the copy is complete. */
  get isLoaded(): boolean {
    return this.#loaded;
  }

  /** The revision up to which the copy holds every change. */
  get revision(): number {
    return this.#revision;
  }

  /** Steady time at which the last successful watch was sent: everything that was written before it is in the copy. */
  get freshAt(): number {
    return this.#freshAt;
  }

  /** Steady time since when the copy has received every change. */
  get loadedAt(): number {
    return this.#loadedAt;
  }

  /** Registers a listener that is called after each change of the copy. */
  onChange(listener: Listener): void {
    this.#listeners.push(listener);
  }

  /** The entry of a key; undefined when the copy has none. */
  get(key: string): Entry | undefined {
    return this.#entries.get(key);
  }

  /** The revision of the key's last change, for a condition; 0 when the copy has no entry. */
  version(key: string): number {
    return this.#entries.get(key)?.version ?? 0;
  }

  /** All entries of a kind; the prefix is two parts of a key, as `PREFIX` names them. */
  under(prefix: string): Iterable<Entry> {
    return this.#entriesByKind.get(prefix)?.values() ?? [];
  }

  /** Deletions of a kind of key after a revision, or undefined when not all of them are remembered. */
  deletedSince(prefix: string, revision: number): Deletion[] | undefined {
    return this.#loaded ? this.#deletions.since(prefix, revision) : undefined;
  }

  /** One step: loads the copy, or watches for changes once. To be run in a loop. */
  async step(): Promise<void> {
    if (!this.#loaded) {
      await this.#load();
      return;
    }
    const { store, prefix, clock, waitMs, minWatchIntervalMs } = this.context;
    // A watch ends with the next change of any key. Started again at once, with hundreds of changes a second, all
    // watches together would use up the limit on requests.
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
    this.#revision = Math.max(this.#revision, changes.revision);
    this.#freshAt = sentAt;
    // Never a deletion that is ahead of the watch: an owner whose copy is as old as this one would get a grant that
    // lacks it, and a late notification could bring the key back.
    this.#deletions.trim(this.#revision);
  }

  /** Applies a change that was notified ahead of the watch. */
  applyNotification(event: ChangeEvent): void {
    // What the watch has passed already is either here or was changed again since. Before the copy is loaded, or while it
    // is read again, changes count all the same: a deletion that was left out then, and a page read before it, would be
    // missing from a grant given before the next watch succeeds.
    if (event.version <= this.#revision) return;
    this.#apply(event);
  }

  async #load(): Promise<void> {
    const { store, prefix, clock } = this.context;
    const sentAt = clock.now();
    const listedKeys = new Set<string>();
    let after: string | undefined;
    let firstRevision: number | undefined;
    for (;;) {
      const page = await store.list(prefix, after);
      firstRevision ??= page.revision;
      for (const entry of page.entries) {
        listedKeys.add(entry.key);
        this.#apply(eventOfEntry(entry));
      }
      after = page.entries.at(-1)?.key;
      if (!page.more || after === undefined) break;
    }
    this.#deleteUnlisted(listedKeys, firstRevision);
    // Pages show different moments: the watch goes on from the first and brings all of them to one.
    this.#revision = firstRevision;
    this.#deletions.startAt(firstRevision);
    this.#freshAt = sentAt;
    this.#loaded = true;
    this.#loadedAt = clock.now();
  }

  #deleteUnlisted(listedKeys: ReadonlySet<string>, revision: number): void {
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
      // The deletion arrived before any event of the value: only now is it known what was deleted.
      if (!event.deleted) this.#notify({ key, version: deletedAt, deleted: true }, event.value);
      return;
    }
    if (event.deleted) {
      this.#deletions.add(kind, key, event.version);
      if (!previous) return;
      this.#entries.delete(key);
      this.#entriesOf(kind).delete(key);
    } else {
      const entry = { key, value: event.value, version: event.version };
      this.#entries.set(key, entry);
      this.#entriesOf(kind).set(key, entry);
    }
    this.#notify(event, previous?.value);
  }

  #notify(event: ChangeEvent, previousValue: unknown): void {
    for (const listener of this.#listeners) listener(event, previousValue);
  }

  /** The first two parts of the key, as `PREFIX` names them. */
  #kindOf(key: string): string {
    return key.slice(0, key.indexOf('/', this.context.prefix.length) + 1);
  }

  #entriesOf(kind: string): Map<string, Entry> {
    const entries = this.#entriesByKind.get(kind) ?? new Map<string, Entry>();
    this.#entriesByKind.set(kind, entries);
    return entries;
  }
}
