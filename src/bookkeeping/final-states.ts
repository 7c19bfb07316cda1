/** @file Final states of jobs: their records, and a cache of those that were read or written. */
import type { Entry, KeyValueStore } from '../protocol/key-value-store';
import type { FinalState, JobStatus } from '../protocol/model';
import { NoResponseError } from '../transport/http-client';
import type { FormatGate } from './format-gate';
import { KEY, read, type FinalRecord } from './records';

const MAX_CACHED = 20_000;

/** The final state of a job, as the key-value store has it. */
export interface FinalStatus extends JobStatus {
  readonly state: FinalState;
  /** Time of day of the end in milliseconds; records of the previous version lack it. */
  readonly endedAt: number | undefined;
}

/** A final state together with the revision of its record. */
export interface ReadFinal {
  readonly status: FinalStatus;
  readonly entry: Entry;
}

/** Final states of jobs. They never change, so what was read or written once is cached. */
export class FinalStates {
  readonly #known = new Map<string, FinalStatus>();
  readonly #listeners: ((status: FinalStatus) => void)[] = [];

  constructor(
    private readonly store: KeyValueStore,
    private readonly formatGate: FormatGate,
  ) {}

  /** Registers a listener that is called with each final state when this controller learns it. */
  onAdded(listener: (status: FinalStatus) => void): void {
    this.#listeners.push(listener);
  }

  /** The final state of a job if it is cached. */
  cached(id: string): FinalStatus | undefined {
    return this.#known.get(id);
  }

  /** The record of a final state; the previous version can't read the time of the end. */
  record(state: FinalState, done: number, endedAt: number): FinalRecord {
    return this.formatGate.isOpenForFormat2 ? { state, done, endedAt } : { state, done };
  }

  /** Caches a final state that the key-value store has acknowledged. */
  add(id: string, { state, done, endedAt }: FinalRecord): FinalStatus {
    const known = this.#known.get(id);
    if (known) return known;
    const status: FinalStatus = { id, state, done, running: 0, endedAt };
    const oldest = this.#known.size >= MAX_CACHED ? this.#known.keys().next().value : undefined;
    if (oldest !== undefined) this.#known.delete(oldest);
    this.#known.set(id, status);
    for (const listener of this.#listeners) listener(status);
    return status;
  }

  /** Reads a final state from the key-value store; undefined when there is none. */
  async read(id: string): Promise<ReadFinal | undefined> {
    const entry = await this.store.get(KEY.final(id));
    if (!entry) return undefined;
    const final = read.final(entry.value);
    // A job that has a record was accepted, even if the record is malformed.
    if (!final) throw new NoResponseError(`the final state of ${id} can't be read`, false);
    return { status: this.add(id, final), entry };
  }
}
