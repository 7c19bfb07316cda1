/** @file Case 4: arrays of the greatest size come three times as often, and every controller ends for lack of memory. */
import { runCase, type Stage, type Verdict } from '../stand-ins-2/case';
import { KITCHEN, KITCHEN_MACHINES } from '../stand-ins-2/deployments';
import { now, sleep } from '../stand-ins-2/wire';

/** The greatest number of tasks that the protocol allows for a job. */
const PIECES = 100_000;
/** How many arrays of the class come at the start, and how many times as many with the burst. */
const ORDINARY_ARRAYS = 6;
const BURST_FACTOR = 3;
/** How long the deployment is watched after the submissions. */
const WATCHED_MS = 70_000;
const POLL_MS = 1_000;
const SMALL_PIECES = 4;

const idOf = (index: number): string => `req-${String(index).padStart(6, '0')}`;

/** Submits an array of the class: 4 CPUs and 4.7 GB in the middle, which vary by half in the site file. */
function submitArray(stage: Stage, index: number): Promise<number | undefined> {
  return stage.submit(
    {
      nameId: idOf(index),
      docket: 'sponsored-render',
      crew: 'growth',
      urgency: 'urgent',
      pieces: PIECES,
      cpus: 5,
      memGb: 5.9,
      build: 'img-1',
      sizeGb: 1.2,
      reckonS: 50,
    },
    50,
  );
}

/** Submits a small job of another class. */
function submitSmall(stage: Stage, index: number): Promise<number | undefined> {
  return stage.submit(
    {
      nameId: idOf(index),
      docket: 'photo-resize',
      crew: 'media',
      urgency: 'prod',
      pieces: SMALL_PIECES,
      cpus: 2,
      memGb: 2.5,
      build: 'img-2',
      sizeGb: 1.5,
      reckonS: 20,
    },
    20,
  );
}

async function run(stage: Stage): Promise<Verdict> {
  const arrays = ORDINARY_ARRAYS * (stage.isTroubled ? BURST_FACTOR : 1);
  for (let index = 0; index < arrays; index += 1) await submitArray(stage, index);
  await submitSmall(stage, arrays);
  const until = now() + WATCHED_MS;
  while (now() < until) await sleep(POLL_MS);
  const ends = stage.controllers.unexpectedEnds.length;
  const small = [...stage.results].filter((piece) => piece.startsWith(`${idOf(arrays)}/`)).length;
  // The cloud has room for more than thirty machines all the time, so that some task runs unless the controllers hang.
  return {
    broken: ends > 0 || stage.starts.size === 0,
    why: `${ends} ends of controllers; ${stage.starts.size} tasks started, ${small} of ${SMALL_PIECES} of the small job done`,
  };
}

void runCase({ deployment: KITCHEN, types: KITCHEN_MACHINES, controllers: 3 }, run);
