/** @file Case 5: small tasks fill a machine until its report is too long, and nothing on it ever completes. */
import { runCase, type Stage, type Verdict } from '../stand-ins-2/case';
import { BILLING, BILLING_MACHINES } from '../stand-ins-2/deployments';
import { now, sleep } from '../stand-ins-2/wire';

/** An array of small tasks. One array fits a report; the burst brings four at the same time, on the same machine. */
const PIECES = 400;
const BURST_FACTOR = 4;
const SMALL_CPUS = 0.005;
/** An ordinary job of the class runs beside them. */
const ORDINARY_PIECES = 4;
const ORDINARY_CPUS = 2;
/** Every task runs this long, which is more than a worker's lease. */
const RUN_S = 15;
const WATCHED_MS = 95_000;
const POLL_MS = 5_000;

async function submit(stage: Stage, index: number, pieces: number, cpus: number): Promise<boolean> {
  const submission = {
    nameId: `req-${String(index).padStart(6, '0')}`,
    docket: 'payment-match',
    crew: `billing-ops-${index}`,
    urgency: 'urgent' as const,
    pieces,
    cpus,
    memGb: cpus,
    build: 'img-1',
    sizeGb: 0.2,
    reckonS: RUN_S,
  };
  return (await stage.submit(submission, RUN_S)) === 201;
}

async function run(stage: Stage): Promise<Verdict> {
  const arrays = stage.isTroubled ? BURST_FACTOR : 1;
  const all = arrays * PIECES + ORDINARY_PIECES;
  let accepted = await submit(stage, 0, ORDINARY_PIECES, ORDINARY_CPUS);
  for (let index = 1; index <= arrays; index += 1) {
    accepted = (await submit(stage, index, PIECES, SMALL_CPUS)) && accepted;
  }
  if (!accepted) throw new Error('not all jobs were accepted');
  const until = now() + WATCHED_MS;
  while (now() < until && stage.results.size < all) {
    await sleep(POLL_MS);
    stage.note(`${stage.results.size} of ${all} tasks done; ${stage.cloud.up} machines up`);
  }
  const done = stage.results.size;
  const starts = [...stage.starts.values()].reduce((sum, count) => sum + count, 0);
  return {
    broken: done < all,
    why: `${done} of ${all} tasks done after ${starts} starts; ${stage.refusedReports()} reports refused`,
  };
}

void runCase({ deployment: BILLING, types: BILLING_MACHINES, controllers: 3 }, run);
