/** @file Case 1: three spot machines are taken back at once, and the tasks on them never run again. */
import {
  BROKEN,
  finish,
  GRANITE_LEAN,
  hasTrouble,
  HELD,
  MAPLE,
  NOT_RUN,
  recordOf,
  root,
} from '../stand-ins/case';
import { Deployment } from '../stand-ins/deployment';
import type { RunRecord } from '../stand-ins/record';
import type { UserJob } from '../stand-ins/users';
import { sleep } from '../stand-ins/wire';
import type { Worker } from '../stand-ins/worker';

const LIMIT_S = 118;
/** The bound of the pages: no job is left waiting for this long while a machine that fits has room. */
const MAX_WAIT_S = 90;
/** The share of the spot machines that a wave takes, in the site file. */
const MAX_WAVE_SHARE = 0.26;
const WAVE_PAUSE_MS = 400;
const LONG_S = 600;

const record = recordOf('1');

type Shape = Pick<UserJob, 'tasks' | 'cpus' | 'runS'>;

function job(id: string, team: string, shape: Shape): UserJob {
  return {
    id,
    team,
    ...shape,
    memoryGb: shape.cpus * 3,
    reckonS: shape.runS,
    // The deadline of this class in the site file: twice the estimate and ten seconds.
    dueS: 2 * shape.runS + 10,
    image: 'img-1',
    imageGb: 0.1,
    jobClass: 'payment-match',
    priority: 'urgent',
    zone: null,
    maySpot: true,
  };
}

/** Team 01: eight machines, busy throughout. */
const OTHERS = job('req-000001', 'billing-ops-01', { tasks: 8, cpus: 16, runS: LONG_S });
/** Team 02: a small task keeps one machine rented throughout. */
const ANCHOR = job('req-000002', 'billing-ops-02', { tasks: 1, cpus: 2, runS: LONG_S });
/** Team 02: one task fits beside the small one, the others get machines of their own, which are taken back. */
const VICTIM = job('req-000004', 'billing-ops-02', { tasks: 4, cpus: 14, runS: 12 });

const tasksOf = ({ id, tasks }: UserJob): string[] =>
  Array.from({ length: tasks }, (_, task) => `${id}/${task}`);

async function until(what: string, condition: () => boolean, withinS: number): Promise<boolean> {
  const end = record.now + withinS;
  while (!condition()) {
    if (record.now > end) {
      record.add(`not in time: ${what}`);
      return false;
    }
    await sleep(50);
  }
  return true;
}

const isOnMachines = (deployment: Deployment, submitted: UserJob): boolean =>
  tasksOf(submitted).every((task) => deployment.machineOf.has(task));

/** Submits the jobs; the machine of the small task has room again once one task of the victim is done there. */
async function setUp(deployment: Deployment): Promise<string | undefined> {
  const { users } = deployment;
  if (!(await users.waitUntilUp(15_000))) return 'the controllers are not up';
  if ((await users.submit(ANCHOR)) !== 201 || (await users.submit(OTHERS)) !== 201) return 'not accepted';
  if (!(await until('the first tasks run', () => isOnMachines(deployment, ANCHOR), 20))) return 'no start';
  if ((await users.submit(VICTIM)) !== 201) return 'not accepted';
  const areAllOn = (): boolean => isOnMachines(deployment, VICTIM) && isOnMachines(deployment, OTHERS);
  if (!(await until('all tasks run', areAllOn, 20))) return 'no start';
  return undefined;
}

/** Takes back the machines of the victim, without a notice. Returns why that wasn't possible. */
async function takeWave({ cloud, machineOf }: Deployment, log: RunRecord): Promise<string | undefined> {
  const anchor = machineOf.get(tasksOf(ANCHOR)[0] ?? '') ?? '';
  const targets = new Set(tasksOf(VICTIM).map((task) => machineOf.get(task) ?? ''));
  if (!targets.delete(anchor)) return 'no task of the victim runs beside the small one';
  const spot = cloud.up().filter(({ machine }) => machine.isSpot).length;
  log.add(`wave: ${[...targets].join(' ')} of ${spot} spot machines`);
  if (targets.size > spot * MAX_WAVE_SHARE) return 'the wave would be too large';
  if (targets.size < 3) return 'the victim runs on fewer than three machines';
  for (const id of targets) {
    cloud.take(id);
    await sleep(WAVE_PAUSE_MS);
  }
  return undefined;
}

/** The cloud has twelve spot machines and no others, as many as the jobs need. */
const capacity = (_type: string, _zone: string, isSpot: boolean): number => (isSpot ? 6 : 0);

const hasRoom = (worker: Worker): boolean =>
  worker.freeCpus >= VICTIM.cpus && worker.freeMemoryGb >= VICTIM.memoryGb;

/** Watches until the victim is done or has waited for too long. */
async function watch(deployment: Deployment): Promise<string | undefined> {
  let since: number | undefined;
  let polledAt = 0;
  while (record.now < LIMIT_S - 2) {
    const waiting = tasksOf(VICTIM).filter(
      (task) => !deployment.completed.has(task) && !deployment.machineOf.has(task),
    );
    const roomy = deployment.cloud.up().filter(hasRoom);
    if (waiting.length === 0 || roomy.length === 0) since = undefined;
    else since ??= record.now;
    if (since !== undefined && record.now - since >= MAX_WAIT_S)
      return `${waiting.join(' ')} waited for ${MAX_WAIT_S} s while ${roomy[0]?.machine.id ?? ''} had room`;
    if (record.now - polledAt > 5) {
      polledAt = record.now;
      const { standing } = await deployment.users.ask(VICTIM.id);
      if (standing === 'done') return undefined;
      record.add(`waiting: ${waiting.length} tasks; machines with room: ${roomy.length}`);
    }
    await sleep(100);
  }
  return undefined;
}

finish(record, LIMIT_S, async (keep) => {
  const deployment = await Deployment.start({
    root,
    record,
    platform: GRANITE_LEAN,
    controllerZones: ['concord-room', 'keene-room', 'concord-room'],
    cloud: { types: [MAPLE], capacity, bootMs: () => 1_000 + 1_000 * Math.random() },
  });
  keep(deployment);
  const obstacle = (await setUp(deployment)) ?? (hasTrouble ? await takeWave(deployment, record) : undefined);
  if (obstacle !== undefined) return { code: NOT_RUN, reason: obstacle };
  const violation = await watch(deployment);
  record.add(`records: ${deployment.state.keys('live/keep/').join(' ')}`);
  if (violation !== undefined) return { code: BROKEN, reason: violation };
  const isDone = tasksOf(VICTIM).every((task) => deployment.completed.has(task));
  return isDone
    ? { code: HELD, reason: 'the job is done' }
    : { code: NOT_RUN, reason: 'neither done nor waiting for long enough' };
});
