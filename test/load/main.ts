/**
 * @file A load on controllers as real processes, with fakes of all other services on the loopback range. Prints
 * processor time by module and function, and memory: at a start, under load, and in the failover after all have ended.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { parseArgs } from 'node:util';
import { NoResponseError } from '../../src/transport/http-client';
import { FakeKeyValueStore } from '../fakes/key-value-store';
import { submission } from '../fakes/submission';
import type { JobProfile } from '../fakes/worker';
import {
  cloudAddress,
  ControllerProcesses,
  storeAddress,
  TEAMS,
  type ControllerProcess,
} from './controllers';
import { sharesOf } from './profile';
import { LoadCloud } from './load-cloud';
import { LoopbackNetwork, realClock } from './loopback';

const { values: args } = parseArgs({
  options: {
    machines: { type: 'string', default: '1000' },
    report: { type: 'string', default: '3' },
    seconds: { type: 'string', default: '30' },
    controllers: { type: 'string', default: '3' },
    /** The rate limits of store and cloud, and a controller's limit of sockets; larger sites have higher limits. */
    'write-rps': { type: 'string', default: '100' },
    'cloud-rps': { type: 'string', default: '4' },
    sockets: { type: 'string', default: '2500' },
    bundle: { type: 'string', default: 'target/load/main.js' },
    flags: { type: 'string', default: '--max-old-space-size=64 --max-semi-space-size=4 --single-threaded' },
    functions: { type: 'string', default: '25' },
    out: { type: 'string', default: 'target/load/run' },
    'no-profile': { type: 'boolean', default: false },
    'no-takeover': { type: 'boolean', default: false },
    /** Turns on suspicion of failed controllers. */
    suspicion: { type: 'boolean', default: false },
  },
});
const machines = Number(args.machines);
const seconds = Number(args.seconds);
const processes = new ControllerProcesses({
  out: args.out,
  bundle: args.bundle,
  flags: args.flags.split(' '),
  controllers: Number(args.controllers),
  heartbeatS: args.report,
  writeRps: args['write-rps'],
  cloudRps: args['cloud-rps'],
  sockets: args.sockets,
  classes: ['small'],
  isProfiled: !args['no-profile'],
  ...(args.suspicion ? { operatorToml: '[suspicion]\nenabled = true\n' } : {}),
});
const { nodes, http } = processes;
/** The jobs per second for each thousand machines; together they use about half of the machines. */
const JOB_KINDS = [
  { perS: 1, fields: { docket: 'small', urgency: 'urgent', pieces: 20, cpus: 2, memGb: 2.5, reckonS: 20 } },
  { perS: 0.3, fields: { docket: 'wide', urgency: 'urgent', pieces: 50, cpus: 4, memGb: 5, reckonS: 50 } },
  {
    perS: 0.2,
    fields: { docket: 'long', pieces: 30, cpus: 8, memGb: 8, reckonS: 70, bookmarkS: 20, stashS: 6 },
  },
];

const network = new LoopbackNetwork();
const store = new FakeKeyValueStore(realClock);
const jobProfiles = new Map<string, JobProfile>();
const cloud = new LoadCloud({
  maxMachines: machines,
  bootMs: 4_000,
  workers: { controllers: nodes, heartbeatS: Number(args.report), leaseS: 26 },
  clock: realClock,
  network,
  jobProfile: (job) => jobProfiles.get(job),
});
network.attach(storeAddress(), (request) => store.handle(request));
network.attach(cloudAddress(), cloud.handle);

/** A time limit, so that a load that hangs or aborts leaves no controllers behind, which would distort the next. */
const LONGEST_MS = 10 * 60_000;
setTimeout(() => {
  console.error('the load took too long');
  process.exit(1);
}, LONGEST_MS).unref();
/** The user and system time of a controller in milliseconds, and its memory in MB. */
function usageOf({ child }: ControllerProcess): { cpuMs: number; rssMb: number; peakMb: number } {
  const stat = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
  const mb = (field: string): number =>
    Math.round(Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)?.[1]) / 1024);
  return { cpuMs: (Number(stat[11]) + Number(stat[12])) * 10, rssMb: mb('VmRSS'), peakMb: mb('VmHWM') };
}

const counts = { accepted: 0, refused: 0, unanswered: 0, polls: 0, done: 0 };
const openJobs = new Set<string>();
async function request(
  method: string,
  path: string,
  body?: unknown,
): Promise<{ status: number; body: unknown }> {
  const node = nodes[Math.floor(Math.random() * nodes.length)];
  try {
    return await http.call(node?.address ?? '', method, path, body, 2000);
  } catch (error) {
    if (!(error instanceof NoResponseError)) throw error;
    counts.unanswered += 1;
    return { status: 0, body: null };
  }
}

let jobCount = 0;
async function runUser(fields: Record<string, unknown> & { cpus: number; reckonS: number }): Promise<void> {
  jobCount += 1;
  const id = `req-${String(jobCount).padStart(6, '0')}`;
  const crew = TEAMS[jobCount % TEAMS.length];
  const job = submission(id, { ...fields, crew, build: `img-${jobCount % 20}`, dueS: fields.reckonS * 3 });
  jobProfiles.set(id, {
    runS: fields.reckonS * (0.6 + 0.8 * Math.random()),
    saveS: job.stashS as number,
    checkpointS: job.bookmarkS as number,
    cpus: fields.cpus,
  });
  for (let attempt = 0; attempt < 60; attempt += 1) {
    const { status } = await request('POST', '/work', job);
    if (status === 200 || status === 201) break;
    counts.refused += 1;
    await realClock.sleep(1000);
  }
  counts.accepted += 1;
  openJobs.add(id);
  while (openJobs.has(id)) {
    await realClock.sleep(5000);
    counts.polls += 1;
    const { body } = await request('GET', `/work/${id}`);
    if ((body as { standing?: string } | null)?.standing === 'done') openJobs.delete(id);
  }
  counts.done += 1;
}

for (const { perS, fields } of JOB_KINDS) {
  const everyMs = 1000 / (perS * (machines / 1000));
  setInterval(() => void runUser(fields), everyMs).unref();
  for (let i = 0; i < 20 * perS * (machines / 1000); i += 1) void runUser(fields);
}

function printProfile(label: string, controller: ControllerProcess, fromMs: number, toMs: number): void {
  if (args['no-profile']) return;
  const file = readdirSync(controller.profileDir)[0];
  if (file === undefined) throw new Error(`no profile of ${controller.name}`);
  const { busyMs, parts, functions } = sharesOf(
    `${controller.profileDir}/${file}`,
    args.bundle.replace('main.js', 'program.js'),
    fromMs,
    toMs,
  );
  const rows = [...parts]
    .sort((a, b) => b[1] - a[1])
    .map(([p, ms]) => `${((100 * ms) / busyMs).toFixed(1).padStart(5)}% ${p}`);
  console.log(
    `\n${label}, ${controller.name}: ${Math.round(busyMs)} ms of computing in ${Math.round((toMs - fromMs) / 1000)} s`,
  );
  console.log(rows.join('\n'));
  const top = [...functions].sort((a, b) => b[1] - a[1]).slice(0, Number(args.functions));
  console.log(
    top.map(([name, ms]) => `    ${((100 * ms) / busyMs).toFixed(1).padStart(5)}% ${name}`).join('\n'),
  );
}

const printUsage = (
  label: string,
  all: readonly ControllerProcess[],
  since?: readonly { cpuMs: number }[],
): void => {
  all.forEach((c, i) => {
    const { cpuMs, rssMb, peakMb } = usageOf(c);
    const spent = cpuMs - (since?.[i]?.cpuMs ?? 0);
    console.log(`${label} ${c.name}: ${spent} ms of processor time, ${rssMb} MB now, ${peakMb} MB at most`);
  });
};

let controllers = processes.startAll(0);
await processes.waitUntilUp();
printUsage('start', controllers);
await realClock.sleep(20_000 + machines * 10);
const before = controllers.map(usageOf);
const messages = (): number =>
  [...cloud.machines.values()].reduce((sum, { worker }) => sum + worker.sequence, 0);
const messagesBefore = messages();
const steadyFrom = performance.now();
const countsBefore = { ...counts };
await realClock.sleep(seconds * 1000);
const steadyTo = performance.now();
printUsage(`${seconds} s of steady work`, controllers, before);
const perS = Math.round((messages() - messagesBefore) / seconds);
console.log({
  machines: cloud.machines.size,
  messagesPerS: perS,
  counts,
  submitted: counts.accepted - countsBefore.accepted,
});
const first = controllers;
await processes.terminate(first);
const busiest = [...first].sort(
  (a, b) => (before[first.indexOf(b)]?.cpuMs ?? 0) - (before[first.indexOf(a)]?.cpuMs ?? 0),
);
for (const c of [busiest[0], busiest.at(-1)]) {
  if (c) printProfile('steady', c, steadyFrom - c.startedAt, steadyTo - c.startedAt);
}
if (busiest[0]) printProfile('start', busiest[0], 0, 1500);
if (args['no-takeover']) process.exit(0);
controllers = processes.startAll(1);
const tokensBefore = Math.max(0, ...[...cloud.machines.values()].map(({ worker }) => worker.fencingToken));
await processes.waitUntilUp();
printUsage('takeover, until all are ready', controllers);
while (
  [...cloud.machines.values()].filter(({ worker }) => worker.fencingToken > tokensBefore).length <
  machines * 0.5
) {
  await realClock.sleep(50);
}
await realClock.sleep(8000);
printUsage('takeover, first 8 s after half of the workers were answered', controllers);
const failoverEndedAt = performance.now();
await processes.terminate(controllers);
const owner = [...controllers].sort((a, b) => profileSizeOf(b) - profileSizeOf(a))[0];
if (owner) printProfile('takeover', owner, 0, failoverEndedAt - owner.startedAt);
process.exit(0);

function profileSizeOf(controller: ControllerProcess): number {
  const file = readdirSync(controller.profileDir)[0];
  return file === undefined ? 0 : readFileSync(`${controller.profileDir}/${file}`).length;
}
