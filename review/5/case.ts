/** @file Case 5: pipelines whose jobs name many others come three times as often, and every controller ends for memory. */
import { runCase, type Stage, type Verdict } from '../stand-ins-2/case';
import { KITCHEN, KITCHEN_MACHINES } from '../stand-ins-2/deployments';
import { now, sleep } from '../stand-ins-2/wire';

/** Jobs of one task each, which wait or run. The submissions that name all of them are a third as long as the limit. */
const FIRST_JOBS = 1_500;
/** How many jobs wait for all of the first ones, and how many times as many with the burst. */
const ORDINARY_JOINS = 220;
const BURST_FACTOR = 3;
/** Users who submit at the same time. */
const FIRST_USERS = 60;
const JOINING_USERS = 10;
const SUBMIT_WITHIN_MS = 70_000;
const WATCHED_MS = 90_000;

const idOf = (index: number): string => `req-${String(index).padStart(6, '0')}`;

function submit(stage: Stage, index: number, awaits?: readonly string[]): Promise<number | undefined> {
  return stage.submit(
    {
      nameId: idOf(index),
      docket: awaits ? 'page-publish' : 'index-rebuild',
      crew: 'platform',
      urgency: awaits ? 'urgent' : 'normal',
      pieces: 1,
      cpus: awaits ? 1 : 2,
      memGb: awaits ? 1.6 : 3.2,
      build: 'img-1',
      sizeGb: 1,
      reckonS: 60,
      ...(awaits ? { awaits } : {}),
    },
    60,
  );
}

/** Submits jobs with consecutive numbers, `users` at a time; returns the ids of those that were accepted. */
async function submitAll(
  stage: Stage,
  first: number,
  count: number,
  { users, until, awaits }: { users: number; until: number; awaits?: readonly string[] },
): Promise<string[]> {
  const accepted: string[] = [];
  let next = first;
  const submitOnes = async (): Promise<void> => {
    while (next < first + count && now() < until) {
      const index = next;
      next += 1;
      const status = await submit(stage, index, awaits);
      if (status === 200 || status === 201) accepted.push(idOf(index));
    }
  };
  await Promise.all(Array.from({ length: users }, submitOnes));
  return accepted;
}

async function run(stage: Stage): Promise<Verdict> {
  const startedAt = now();
  const until = startedAt + SUBMIT_WITHIN_MS;
  const firsts = await submitAll(stage, 0, FIRST_JOBS, { users: FIRST_USERS, until });
  stage.note(`${firsts.length} jobs accepted`);
  const joins = ORDINARY_JOINS * (stage.isTroubled ? BURST_FACTOR : 1);
  const wait = { users: JOINING_USERS, until, awaits: firsts };
  const joined = submitAll(stage, FIRST_JOBS, joins, wait).then((accepted) => {
    stage.note(`${accepted.length} of ${joins} jobs accepted that await all of them`);
    return accepted;
  });
  while (now() < startedAt + WATCHED_MS) await sleep(1_000);
  const ends = stage.controllers.unexpectedEnds.length;
  void joined;
  return { broken: ends > 0, why: `${ends} ends of controllers; ${stage.results.size} tasks done` };
}

void runCase({ deployment: KITCHEN, types: KITCHEN_MACHINES, controllers: 3 }, run);
