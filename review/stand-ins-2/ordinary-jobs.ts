/** @file A few ordinary jobs of the billing cooperative, which are to be done within the time of a case. */
import type { Stage, Verdict } from './case';
import { now, sleep } from './wire';

const JOBS = 4;
const PIECES = 4;
const RUN_S = 10;
const WATCHED_MS = 95_000;
const POLL_MS = 5_000;

/** Submits the jobs and waits until they are done. Each task runs for ten seconds, and there is room for all at once. */
export async function runOrdinaryJobs(stage: Stage): Promise<Verdict> {
  for (let index = 0; index < JOBS; index += 1) {
    const status = await stage.submit(
      {
        nameId: `req-${String(index).padStart(6, '0')}`,
        docket: 'payment-match',
        crew: `billing-ops-${index}`,
        urgency: 'urgent',
        pieces: PIECES,
        cpus: 2,
        memGb: 7.2,
        build: 'img-1',
        sizeGb: 0.8,
        reckonS: RUN_S,
      },
      RUN_S,
    );
    if (status !== 201) throw new Error('a job was not accepted');
  }
  const all = JOBS * PIECES;
  const until = now() + WATCHED_MS;
  while (now() < until && stage.results.size < all) {
    await sleep(POLL_MS);
    stage.note(`${stage.results.size} of ${all} tasks done; ${stage.cloud.up} machines up`);
  }
  const done = stage.results.size;
  return {
    broken: done < all,
    why: `${done} of ${all} tasks done, ${stage.starts.size} started; ${stage.refusedReports()} reports refused`,
  };
}
