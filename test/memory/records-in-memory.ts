/** @file What a controller keeps of live records, without its loops: the watch cache, the job graph, dispatch tables. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { systemClock } from '../../src/base/clock';
import { withoutDependencies } from '../../src/bookkeeping/dependency-records';
import { DependencyTracker } from '../../src/bookkeeping/dependency-tracker';
import type { FinalStates } from '../../src/bookkeeping/final-states';
import { RecordMemory } from '../../src/bookkeeping/record-memory';
import { KEY, PREFIX, read } from '../../src/bookkeeping/records';
import { WatchCache } from '../../src/bookkeeping/watch-cache';
import { DispatchTable } from '../../src/coordination/shard/dispatch-table';
import type { ChangeEvent, KeyValueStore } from '../../src/protocol/key-value-store';
import type { Job } from '../../src/protocol/model';

const PART_NAMES = 400;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** The memory in use, in bytes. */
export function usedBytes(): number {
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** The memory of an owner for the records that were put, as they arrive from the key-value store. */
export class RecordsInMemory {
  readonly cache = new WatchCache({
    store: {} as KeyValueStore,
    prefix: 'live/',
    clock: systemClock,
    waitMs: 1,
    minWatchIntervalMs: 1,
    valueToKeep: withoutDependencies,
  });
  readonly memory = new RecordMemory(this.cache, Infinity);
  readonly tracker: DependencyTracker;
  readonly tables = new Map<string, DispatchTable>();
  #revision = 0;

  constructor() {
    const finals = { onAdded: () => undefined, cached: () => undefined } as unknown as FinalStates;
    this.tracker = new DependencyTracker(this.cache, finals, systemClock);
    this.cache.onChange((event) => {
      this.#onChange(event);
    });
  }

  #onChange({ key, value, version, deleted }: ChangeEvent): void {
    if (!key.startsWith(PREFIX.job)) return;
    const id = key.slice(PREFIX.job.length);
    const record = deleted ? undefined : read.job(value);
    if (record) this.tables.set(id, new DispatchTable(record, version));
    else this.tables.delete(id);
  }

  put(key: string, value: unknown): void {
    this.#apply({ key, value: structuredClone(value), deleted: false, version: 0 });
  }

  delete(key: string): void {
    this.#apply({ key, deleted: true, version: 0 });
  }

  #apply(event: ChangeEvent): void {
    this.#revision += 1;
    this.cache.applyNotification({ ...event, version: this.#revision });
  }

  /** Adds a job; a list of dependencies in parts comes before the job, as it is written. */
  putJob(job: Job, isInParts = false): void {
    const { dependencies = [], ...fields } = job;
    if (!isInParts) {
      this.put(KEY.job(job.id), { job, submittedAt: 0 });
      return;
    }
    const parts = Math.ceil(dependencies.length / PART_NAMES);
    for (let part = 0; part < parts; part += 1) {
      const from = part * PART_NAMES;
      const names = dependencies.slice(from, from + PART_NAMES);
      this.put(KEY.dependencyPart(job.id, part), { dependencies: names });
    }
    this.put(KEY.job(job.id), { job: fields, submittedAt: 0, dependencyParts: parts });
  }
}
