/** @file Runs a case: a small deployment of real controllers with stand-ins, its record, and its exit code. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Cloud, type MachineType } from './cloud';
import { Controllers, secondsSince, type Deployment, type UnexpectedEnd } from './controllers';
import { StateService } from './state-service';
import { Users, type Submission } from './users';
import { freeAddresses, now, serve, type WireServer } from './wire';
import type { JobDescription, Site, WorkerOptions } from './worker';

/** What a case found. */
export interface Verdict {
  readonly broken: boolean;
  readonly why: string;
}

/** A deployment, and what a case sees of it. */
export interface Stage {
  readonly deployment: Deployment;
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly controllers: Controllers;
  readonly users: Users;
  readonly results: ReadonlySet<string>;
  /** Whether the disruption is to happen. */
  readonly isTroubled: boolean;
  /** Starts of tasks, by task. */
  readonly starts: ReadonlyMap<string, number>;
  /** Tasks that were started on one machine while they were on another. */
  readonly doubles: readonly string[];
  /** How many sessions of workers ended because their lease ran out. */
  readonly lostSessions: () => number;
  /** How many reports of workers got another answer than 200, 421 or 503, or none. */
  readonly refusedReports: () => number;
  note(line: string): void;
  /** Submits a job whose tasks run for `runS`. */
  submit(submission: Submission, runS: number): Promise<number | undefined>;
}

/** A deployment to set up. */
export interface StageOptions {
  readonly deployment: Deployment;
  readonly types: readonly MachineType[];
  readonly controllers: number;
  /** When and at which port the machine with this number comes up. */
  readonly boot?: (number: number) => Promise<number | undefined>;
  /** What workers do with the disruption. */
  readonly troubledWorkers?: Pick<WorkerOptions, 'nextTally' | 'laterFields'>;
}

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
const MAX_RUN_MS = 115_000;
const HEALTHY_WITHIN_MS = 15_000;
const MAX_LINES_OF_A_KIND = 40;

const isTroubled = process.env.TROUBLE !== '0';

/** Writes down what was sent, answered and run. */
class Record {
  readonly #lines: string[] = [];
  readonly #counts = new Map<string, number>();
  readonly #startedAt = now();

  constructor(private readonly file: string) {}

  note(line: string): void {
    const text = `${secondsSince(this.#startedAt).padStart(6)} s  ${line}`;
    this.#lines.push(text);
    console.log(text);
  }

  /** Notes the first lines of a kind, and counts the others. */
  noteSome(kind: string, line: string): void {
    const count = (this.#counts.get(kind) ?? 0) + 1;
    this.#counts.set(kind, count);
    if (count <= MAX_LINES_OF_A_KIND) this.note(line);
  }

  write(): void {
    const counts = [...this.#counts].map(([kind, count]) => `${kind}: ${count}`);
    writeFileSync(this.file, [...this.#lines, '', 'In all:', ...counts, ''].join('\n'));
  }
}

/** What workers report to a case about their tasks. */
class ObservedSite implements Site {
  readonly jobs = new Map<string, JobDescription>();
  readonly results = new Set<string>();
  readonly starts = new Map<string, number>();
  readonly doubles: string[] = [];
  readonly #machines = new Map<string, Set<string>>();
  lostSessions = 0;
  refusedReports = 0;

  constructor(private readonly record: Record) {}

  onStarted(piece: string, machine: string): void {
    this.starts.set(piece, (this.starts.get(piece) ?? 0) + 1);
    this.record.noteSome('tasks started', `${machine} started ${piece}`);
    const machines = this.#machines.get(piece) ?? new Set<string>();
    if (machines.size > 0) {
      this.doubles.push(`${piece} started on ${machine} while it was on ${[...machines].join(', ')}`);
      this.record.note(this.doubles.at(-1) ?? '');
    }
    this.#machines.set(piece, machines.add(machine));
  }

  onLeft(piece: string, machine: string, cause: string): void {
    this.#machines.get(piece)?.delete(machine);
    this.record.noteSome(`tasks ${cause}`, `${machine}: ${piece} ${cause}`);
  }

  onSession(machine: string, session: number): void {
    this.lostSessions += 1;
    this.record.noteSome('leases of workers that ran out', `${machine}: lease ran out, session ${session}`);
  }

  onUnanswered(machine: string, why: string): void {
    this.refusedReports += 1;
    this.record.noteSome('reports without 200, 421 or 503', `${machine}: report got ${why}`);
  }
}

/** The parts of a running deployment. */
class RunningStage implements Stage {
  readonly isTroubled = isTroubled;
  readonly #servers: WireServer[] = [];

  private constructor(
    readonly deployment: Deployment,
    readonly state: StateService,
    readonly cloud: Cloud,
    readonly controllers: Controllers,
    readonly users: Users,
    private readonly site: ObservedSite,
    private readonly record: Record,
  ) {}

  static async open(
    { deployment, types, controllers: count, troubledWorkers, boot }: StageOptions,
    record: Record,
    folder: string,
  ) {
    const addresses = await freeAddresses(2 * count);
    const nodes = Array.from({ length: count }, (_, index) => ({
      name: `hearth-${index}`,
      bind: addresses[2 * index] ?? '',
      back: addresses[2 * index + 1] ?? '',
    }));
    const { workers, state: limits, cloud: cloudLimits } = deployment;
    const site = new ObservedSite(record);
    const state = new StateService(limits);
    const controllerAddresses = nodes.map(({ name, bind }) => ({ name, address: bind }));
    const { reportS, leaseS } = workers;
    const troubled = isTroubled ? troubledWorkers : {};
    const worker = { reportS, leaseS, controllers: controllerAddresses, ...troubled };
    const cloud = new Cloud({ types, ...cloudLimits, worker, site, boot });
    const stateServer = await serve((request) => state.handle(request));
    const cloudServer = await serve((request) => cloud.handle(request));
    const onEnd = ({ node, code, signal, lastWords }: UnexpectedEnd): void => {
      record.note(`${node} ended by itself: code ${code}, signal ${signal}; ${lastWords}`);
    };
    const external = { cloud: cloudServer.address, state: stateServer.address };
    const controllers = new Controllers(folder, nodes, deployment, external, onEnd);
    const users = new Users(
      nodes.map(({ bind }) => bind),
      (line) => {
        record.noteSome('answers to users', line);
      },
    );
    const stage = new RunningStage(deployment, state, cloud, controllers, users, site, record);
    stage.#servers.push(stateServer, cloudServer);
    controllers.startAll();
    return stage;
  }

  get results(): ReadonlySet<string> {
    return this.site.results;
  }

  get starts(): ReadonlyMap<string, number> {
    return this.site.starts;
  }

  get doubles(): readonly string[] {
    return this.site.doubles;
  }

  lostSessions = (): number => this.site.lostSessions;

  refusedReports = (): number => this.site.refusedReports;

  note(line: string): void {
    this.record.note(line);
  }

  submit(submission: Submission, runS: number): Promise<number | undefined> {
    const { pieces, cpus, memGb, build, sizeGb, bookmarkS = 0, stashS = 0 } = submission;
    this.site.jobs.set(submission.nameId, { pieces, cpus, memGb, build, sizeGb, bookmarkS, stashS, runS });
    return this.users.submit(submission);
  }

  close(): void {
    this.controllers.close();
    this.cloud.close();
    this.state.close();
    for (const server of this.#servers) server.close();
  }
}

async function play(
  options: StageOptions,
  run: (stage: Stage) => Promise<Verdict>,
  record: Record,
): Promise<number> {
  const folder = mkdtempSync(join(process.env.KEEP_LOGS ?? tmpdir(), 'ironstream-review-'));
  let stage: RunningStage | undefined;
  const cleanUp = (): void => {
    stage?.controllers.close();
    if (process.env.KEEP_LOGS === undefined) rmSync(folder, { recursive: true, force: true });
  };
  // Also when the time of the case is over.
  process.once('exit', cleanUp);
  try {
    stage = await RunningStage.open(options, record, folder);
    record.note(stage.isTroubled ? 'with the disruption' : 'without the disruption');
    if (!(await stage.users.waitUntilHealthy(HEALTHY_WITHIN_MS))) {
      record.note('not run: no controller became healthy');
      return EXIT_NOT_RUN;
    }
    record.note('a controller is healthy');
    const { broken, why } = await run(stage);
    record.note(`${broken ? 'BROKEN' : 'held'}: ${why}`);
    return broken ? EXIT_BROKEN : EXIT_HELD;
  } finally {
    stage?.close();
    cleanUp();
  }
}

/** Runs a case, and ends the process with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(options: StageOptions, run: (stage: Stage) => Promise<Verdict>): Promise<void> {
  const record = new Record(process.argv[2] ?? 'record.txt');
  const timer = setTimeout(() => {
    record.note('not run: the time of the case is over');
    record.write();
    process.exit(EXIT_NOT_RUN);
  }, MAX_RUN_MS);
  // An error of a stand-in, or a signal, is no broken rule: the exit hook still ends the controllers.
  const giveUp = (why: unknown): void => {
    record.note(`not run: ${String(why)}`);
    record.write();
    process.exit(EXIT_NOT_RUN);
  };
  for (const event of ['uncaughtException', 'unhandledRejection', 'SIGTERM', 'SIGINT', 'SIGHUP']) {
    process.on(event, giveUp);
  }
  let code = EXIT_NOT_RUN;
  try {
    code = await play(options, run, record);
  } catch (error) {
    record.note(`not run: ${String(error)}`);
  }
  clearTimeout(timer);
  record.write();
  process.exit(code);
}
