/** @file The parts of long lists of dependencies, until the watch cache has all parts of a list. */
import { PREFIX, type DependencyPartRecord } from './records';

/** Stands between two ids of a part: ids have no spaces. */
const SEPARATOR = ' ';

/** The job that a part of a list of dependencies belongs to. */
export function jobOfDependencyPartKey(key: string): string {
  return key.slice(PREFIX.dependencyPart.length, key.lastIndexOf('/'));
}

function partOfKey(key: string): number {
  return Number(key.slice(key.lastIndexOf('/') + 1));
}

/** Collects the parts of lists of dependencies. A part is kept as one text, with a byte for each character of its ids. */
export class DependencyParts {
  readonly #partsByJob = new Map<string, Map<number, string>>();

  /** Adds a part by the key of its record. */
  add(key: string, { dependencies }: DependencyPartRecord): void {
    const job = jobOfDependencyPartKey(key);
    const parts = this.#partsByJob.get(job) ?? new Map<number, string>();
    this.#partsByJob.set(job, parts.set(partOfKey(key), dependencies.join(SEPARATOR)));
  }

  /** Removes a part by the key of its record. */
  remove(key: string): void {
    const job = jobOfDependencyPartKey(key);
    const parts = this.#partsByJob.get(job);
    parts?.delete(partOfKey(key));
    if (parts?.size === 0) this.#partsByJob.delete(job);
  }

  /** Removes all parts of a job's list. */
  removeAll(job: string): void {
    this.#partsByJob.delete(job);
  }

  /** A job's list of dependencies, which has this number of parts; undefined while some are missing. */
  join(job: string, count: number): string[] | undefined {
    const parts = this.#partsByJob.get(job);
    const texts: string[] = [];
    for (let part = 0; part < count; part += 1) {
      const text = parts?.get(part);
      if (text === undefined) return undefined;
      texts.push(text);
    }
    return texts.flatMap((text) => text.split(SEPARATOR));
  }
}
