/** @file Final states of jobs: their records, and a cache of what was read. */
import type { FinalState, JobStatus } from '../protocol/model';
import type { Entry, KeyValueStore } from '../protocol/key-value-store';
import { NoResponseError } from '../transport/http-client';
import type { FormatGate } from './format-gate';
import { KEY, read, type FinalRecord } from './records';

const MAX_CACHED = 20_000;

/** The end of a job, as the state service has it. */
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

  /** The listener hears of each final state when this node learns it. */
  onLearned(listener: (status: FinalStatus) => void): void {
    this.#listeners.push(listener);
  }

  known(id: string): FinalStatus | undefined {
    return this.#known.get(id);
  }

  /** The record of an end; the previous version knows no time of it. */
  record(state: FinalState, done: number, endedAt: number): FinalRecord {
    return this.formatGate.isOpen ? { state, done, endedAt } : { state, done };
  }

  /** Takes a final state that the state service has acknowledged. */
  learn(id: string, { state, done, endedAt }: FinalRecord): FinalStatus {
    const known = this.#known.get(id);
    if (known) return known;
    const status: FinalStatus = { id, state, done, running: 0, endedAt };
    const oldest = this.#known.size >= MAX_CACHED ? this.#known.keys().next().value : undefined;
    if (oldest !== undefined) this.#known.delete(oldest);
    this.#known.set(id, status);
    for (const listener of this.#listeners) listener(status);
    return status;
  }

  /** Reads a final state from the state service; undefined when there is none. */
  async read(id: string): Promise<ReadFinal | undefined> {
    const entry = await this.store.get(KEY.final(id));
    if (!entry) return undefined;
    const final = read.final(entry.value);
    // A job that has a record was accepted, whether we can read it or not.
    if (!final) throw new NoResponseError(`the final state of ${id} can't be read`, false);
    return { status: this.learn(id, final), entry };
  }
}
