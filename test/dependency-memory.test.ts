/** @file The memory that a controller takes for the dependencies of live jobs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { withoutDependencies } from '../src/bookkeeping/dependency-records';
import { DependencyTracker } from '../src/bookkeeping/dependency-tracker';
import type { FinalStates } from '../src/bookkeeping/final-states';
import { KEY } from '../src/bookkeeping/records';
import { WatchCache } from '../src/bookkeeping/watch-cache';
import { systemClock } from '../src/base/clock';
import type { ChangeEvent, KeyValueStore } from '../src/protocol/key-value-store';
import { job } from './scheduling-inputs';

const LIVE_JOBS = 1_500;
const WAITING_JOBS = 200;
const NAMES_PER_JOB = 1_000;
const PART_NAMES = 400;
/** What the design states for a name (docs/DESIGN.md): a number at either end of the edge. */
const MAX_BYTES_PER_NAME = 12;
/** What the other parts of a waiting job's records and their keys may take. */
const MAX_BYTES_PER_JOB = 4_000;

const idOf = (index: number): string => `req-${String(index).padStart(6, '0')}`;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function usedBytes(): number {
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** A watch cache and its dependency tracker, to which records are applied. */
class Controller {
  readonly cache = new WatchCache({
    store: {} as KeyValueStore,
    prefix: 'live/',
    clock: systemClock,
    waitMs: 1,
    minWatchIntervalMs: 1,
    valueToKeep: withoutDependencies,
  });
  readonly tracker: DependencyTracker;
  #revision = 0;

  constructor() {
    const finals = { onAdded: () => undefined, cached: () => undefined } as unknown as FinalStates;
    this.tracker = new DependencyTracker(this.cache, finals, systemClock);
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

  /** Adds a job that awaits others; a list in parts comes before the job, as it is written. */
  putWaiting(id: string, dependencies: readonly string[], isInParts: boolean): void {
    const record = { job: job(id, 'blue', 'normal'), submittedAt: 0 };
    if (!isInParts) {
      this.put(KEY.job(id), { ...record, job: { ...record.job, dependencies } });
      return;
    }
    const parts = Math.ceil(dependencies.length / PART_NAMES);
    for (let part = 0; part < parts; part += 1) {
      const from = part * PART_NAMES;
      this.put(KEY.dependencyPart(id, part), { dependencies: dependencies.slice(from, from + PART_NAMES) });
    }
    this.put(KEY.job(id), { ...record, dependencyParts: parts });
  }
}

/** The names that a waiting job awaits: equal lists, or lists that all differ. */
function namesOf(index: number, areEqual: boolean): string[] {
  const from = areEqual ? 0 : index * 7;
  return Array.from({ length: NAMES_PER_JOB }, (_, n) => idOf((from + n) % LIVE_JOBS));
}

for (const areEqual of [true, false]) {
  for (const isInParts of [true, false]) {
    // Guards against graphs that fill the heap: jobs that awaited 1,500 others each ended every controller (review/5).
    test(`a name of a list of dependencies is kept once (lists equal: ${areEqual}, in parts: ${isInParts})`, () => {
      const controller = new Controller();
      for (let n = 0; n < LIVE_JOBS; n += 1) {
        controller.put(KEY.job(idOf(n)), { job: job(idOf(n), 'blue', 'normal'), submittedAt: 0 });
      }
      controller.putWaiting(idOf(LIVE_JOBS), namesOf(0, true), isInParts);
      const before = usedBytes();
      for (let n = 1; n <= WAITING_JOBS; n += 1) {
        controller.putWaiting(idOf(LIVE_JOBS + n), namesOf(n, areEqual), isInParts);
      }
      const grown = usedBytes() - before;
      const allowed = WAITING_JOBS * (MAX_BYTES_PER_JOB + NAMES_PER_JOB * MAX_BYTES_PER_NAME);
      assert.ok(grown < allowed, `${Math.round(grown / WAITING_JOBS)} bytes for each waiting job`);
      const { graph } = controller.tracker;
      const last = LIVE_JOBS + WAITING_JOBS;
      assert.deepEqual([...graph.dependenciesOf(idOf(last))], namesOf(WAITING_JOBS, areEqual));
      assert.ok(!graph.isReady(idOf(last)));
      for (let n = 0; n <= WAITING_JOBS; n += 1) controller.delete(KEY.job(idOf(LIVE_JOBS + n)));
      assert.deepEqual([...graph.jobs()], [], 'ended jobs leave nothing in the graph');
    });
  }
}
