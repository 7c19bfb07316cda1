/** @file A log of recently deleted keys. */
import { maxUint64, type Uint64 } from '../base/uint64';

/** The number of logged deletions of one kind of key above which `trim` removes the oldest. */
const MAX_PER_KIND = 2_000;
/** The number of deletions to which `trim` shortens the log of a kind that exceeds `MAX_PER_KIND`. */
const KEPT_PER_KIND = 1_000;

/** A key that was deleted, and the revision of the deletion. */
export interface Deletion {
  readonly key: string;
  readonly version: Uint64;
}

/** The logged deletions of one kind of key; `versions` maps each key to the revision of its deletion. */
interface KindLog {
  readonly versions: Map<string, Uint64>;
  /** All deletions of this kind after this revision are remembered. */
  completeFrom: Uint64;
}

/**
 * Recent deletions by kind of key. Each kind has its own limit. With a common limit, the termination of thousands of
 * machines at once would evict the cancellations that a lease extension has to name, and no controller could grant
 * lease extensions for the rest of an outage.
 */
export class DeletionLog {
  readonly #kinds = new Map<string, KindLog>();
  /** The `completeFrom` of kinds that have no log yet. */
  #completeFrom: Uint64 = Infinity;

  /** The revision at which the key was deleted; 0 if no deletion is remembered. */
  versionOf(kind: string, key: string): Uint64 {
    return this.#kinds.get(kind)?.versions.get(key) ?? 0;
  }

  /** Remembers a deletion. */
  add(kind: string, key: string, version: Uint64): void {
    this.#log(kind).versions.set(key, version);
  }

  /** Declares that every deletion after the revision will be added. */
  startAt(revision: Uint64): void {
    this.#completeFrom = revision;
    for (const log of this.#kinds.values()) log.completeFrom = revision;
  }

  /** Deletions of a kind after a revision; undefined if not all of them are remembered. */
  since(kind: string, revision: Uint64): Deletion[] | undefined {
    const log = this.#kinds.get(kind);
    if (revision < (log?.completeFrom ?? this.#completeFrom)) return undefined;
    return [...(log?.versions ?? [])]
      .filter(([, version]) => version > revision)
      .map(([key, version]) => ({ key, version }));
  }

  /** Forgets the oldest deletions of each kind that exceeds its limit, but keeps all deletions after the revision. */
  trim(revision: Uint64): void {
    for (const log of this.#kinds.values()) trimKind(log, revision);
  }

  #log(kind: string): KindLog {
    const log = this.#kinds.get(kind) ?? { versions: new Map(), completeFrom: this.#completeFrom };
    this.#kinds.set(kind, log);
    return log;
  }
}

function trimKind(log: KindLog, revision: Uint64): void {
  if (log.versions.size <= MAX_PER_KIND) return;
  for (const [key, version] of log.versions) {
    if (log.versions.size <= KEPT_PER_KIND) return;
    if (version > revision) continue;
    log.versions.delete(key);
    log.completeFrom = maxUint64(log.completeFrom, version);
  }
}
