/** @file The memory that a controller takes for the dependencies of live jobs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KEY } from '../src/bookkeeping/records';
import { RecordsInMemory, usedBytes } from './memory/records-in-memory';
import { job } from './scheduling-inputs';

const LIVE_JOBS = 1_500;
const WAITING_JOBS = 200;
const NAMES_PER_JOB = 1_000;
/** What the design states for a name (docs/DESIGN.md): a number at either end of the edge. */
const MAX_BYTES_PER_NAME = 12;
/** What the other parts of a waiting job's records, their keys and its dispatch table may take. */
const MAX_BYTES_PER_JOB = 4_000;

const idOf = (index: number): string => `req-${String(index).padStart(6, '0')}`;

/** The names that a waiting job awaits: equal lists, or lists that all differ. */
function namesOf(index: number, areEqual: boolean): string[] {
  const from = areEqual ? 0 : index * 7;
  return Array.from({ length: NAMES_PER_JOB }, (_, n) => idOf((from + n) % LIVE_JOBS));
}

for (const areEqual of [true, false]) {
  for (const isInParts of [true, false]) {
    // Guards against graphs that fill the heap: jobs that awaited 1,500 others each ended every controller (review/5).
    test(`a name of a list of dependencies is kept once (lists equal: ${areEqual}, in parts: ${isInParts})`, () => {
      const controller = new RecordsInMemory();
      const putWaiting = (index: number, dependencies: readonly string[]): void => {
        controller.putJob(job(idOf(index), 'blue', 'normal', { dependencies }), isInParts);
      };
      for (let n = 0; n < LIVE_JOBS; n += 1) {
        controller.putJob(job(idOf(n), 'blue', 'normal'));
      }
      putWaiting(LIVE_JOBS, namesOf(0, true));
      const before = usedBytes();
      for (let n = 1; n <= WAITING_JOBS; n += 1) {
        putWaiting(LIVE_JOBS + n, namesOf(n, areEqual));
      }
      const grown = usedBytes() - before;
      const allowed = WAITING_JOBS * (MAX_BYTES_PER_JOB + NAMES_PER_JOB * MAX_BYTES_PER_NAME);
      assert.ok(grown < allowed, `${Math.round(grown / WAITING_JOBS)} bytes for each waiting job`);
      const { graph } = controller.tracker;
      const last = LIVE_JOBS + WAITING_JOBS;
      assert.deepEqual([...graph.unfinishedDependenciesOf(idOf(last))], namesOf(WAITING_JOBS, areEqual));
      assert.ok(!graph.isReady(idOf(last)));
      for (let n = 0; n <= WAITING_JOBS; n += 1) controller.delete(KEY.job(idOf(LIVE_JOBS + n)));
      assert.deepEqual([...graph.jobs()], [], 'ended jobs leave nothing in the graph');
    });
  }
}
