/** @file Final states of jobs: their records, and a cache of the final states that were read or written. */
import type { Entry, KeyValueStore } from '../protocol/key-value-store';
import type { FinalState, JobStatus } from '../protocol/model';
import { NoResponseError } from '../transport/http-client';
import type { FormatGate } from './format-gate';
import { KEY, read, type FinalRecord } from './records';

const MAX_CACHED = 20_000;

/** The final state of a job, as stored in the key-value store. */
export interface FinalStatus extends JobStatus {
  readonly state: FinalState;
  /** Wall-clock time of the end in milliseconds; undefined if the record was written in record format 1. */
  readonly endedAt: number | undefined;
}

/** A final state, and the entry that it was read from. */
export interface ReadFinal {
  readonly status: FinalStatus;
  readonly entry: Entry;
}

/** Reads and caches final states of jobs. A final state never changes, so a cached one is always valid. */
export class FinalStates {
  readonly #statuses = new Map<string, FinalStatus>();
  readonly #listeners: ((status: FinalStatus) => void)[] = [];

  constructor(
    private readonly store: KeyValueStore,
    private readonly formatGate: FormatGate,
  ) {}

  /** Registers a listener that is called with each final state that is added to the cache. */
  onAdded(listener: (status: FinalStatus) => void): void {
    this.#listeners.push(listener);
  }

  /** The final state of a job if it is cached. */
  cached(id: string): FinalStatus | undefined {
    return this.#statuses.get(id);
  }

  /** The record of a final state. It contains `endedAt` only if all controllers understand record format 2. */
  record(state: FinalState, done: number, endedAt: number): FinalRecord {
    return this.formatGate.isOpenForFormat2 ? { state, done, endedAt } : { state, done };
  }

  /** Caches a final state that the key-value store has acknowledged. */
  add(id: string, { state, done, endedAt }: FinalRecord): FinalStatus {
    const cached = this.#statuses.get(id);
    if (cached) return cached;
    const status: FinalStatus = { id, state, done, running: 0, endedAt };
    const oldest = this.#statuses.size >= MAX_CACHED ? this.#statuses.keys().next().value : undefined;
    if (oldest !== undefined) this.#statuses.delete(oldest);
    this.#statuses.set(id, status);
    for (const listener of this.#listeners) listener(status);
    return status;
  }

  /** Reads a final state from the key-value store; undefined when there is none. */
  async read(id: string): Promise<ReadFinal | undefined> {
    const entry = await this.store.get(KEY.final(id));
    if (!entry) return undefined;
    const final = read.final(entry.value);
    // A job with a malformed final record was accepted, so `undefined`, which means that there is no record, is wrong.
    if (!final) throw new NoResponseError(`the final record of ${id} is malformed`, false);
    return { status: this.add(id, final), entry };
  }
}
