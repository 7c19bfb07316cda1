/** @file Remembers which keys were deleted recently. */

/** Above this many remembered deletions of one kind, the oldest are forgotten. */
const MAX_PER_KIND = 2_000;
/** How many of them are kept then. */
const KEPT_PER_KIND = 1_000;

/** A key that was deleted, and the revision of the deletion. */
export interface Deletion {
  readonly key: string;
  readonly version: number;
}

/** Deletions of the keys of one kind. */
interface KindLog {
  readonly versions: Map<string, number>;
  /** Deletions of this kind after this revision are all remembered. */
  completeFrom: number;
}

/**
 * Deletions by kind of key. Each kind has a bound of its own: the return of thousands of machines at once must not push
 * out the cancellations that a lease extension has to name, or a peer could extend no lease for as long as an outage
 * lasts.
 */
export class DeletionLog {
  readonly #kinds = new Map<string, KindLog>();
  /** The same for kinds of which no key was deleted yet. */
  #completeFrom = Infinity;

  /** The revision at which the key was deleted; 0 when that isn't remembered. */
  versionOf(kind: string, key: string): number {
    return this.#kinds.get(kind)?.versions.get(key) ?? 0;
  }

  /** Remembers a deletion. */
  add(kind: string, key: string, version: number): void {
    this.#log(kind).versions.set(key, version);
  }

  /** Declares that from now on all deletions after the revision are added. */
  startAt(revision: number): void {
    this.#completeFrom = revision;
    for (const log of this.#kinds.values()) log.completeFrom = revision;
  }

  /** Deletions of a kind after a revision; undefined when not all of them are remembered. */
  since(kind: string, revision: number): Deletion[] | undefined {
    const log = this.#kinds.get(kind);
    if (revision < (log?.completeFrom ?? this.#completeFrom)) return undefined;
    return [...(log?.versions ?? [])]
      .filter(([, version]) => version > revision)
      .map(([key, version]) => ({ key, version }));
  }

  /** Forgets the oldest deletions of each kind that exceeds its bound, but none after the revision. */
  trim(revision: number): void {
    for (const log of this.#kinds.values()) trimKind(log, revision);
  }

  #log(kind: string): KindLog {
    const log = this.#kinds.get(kind) ?? { versions: new Map(), completeFrom: this.#completeFrom };
    this.#kinds.set(kind, log);
    return log;
  }
}

function trimKind(log: KindLog, revision: number): void {
  if (log.versions.size <= MAX_PER_KIND) return;
  for (const [key, version] of log.versions) {
    if (log.versions.size <= KEPT_PER_KIND) return;
    if (version > revision) continue;
    log.versions.delete(key);
    log.completeFrom = Math.max(log.completeFrom, version);
  }
}
