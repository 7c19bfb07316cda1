/** @file Injects faults into a deployment of real processes on the loopback range that runs jobs. */
import { KEY, read } from '../../src/bookkeeping/records';
import { NoResponseError } from '../../src/transport/http-client';
import { checkOwnership } from '../fakes/ownership-history';
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
import { FaultRunHistory } from './fault-run-history';
import type { RandomBetween } from './random-between';
import { ObservedLoopbackNetwork } from './observed-loopback';
import { PartitionableProxy } from './proxy';
import { LoadCloud } from './load-cloud';
import { realClock } from './loopback';

/** A fault of the owner of shard 0. 'cut' is a network partition from its peers and the store. */
export type FaultKind = 'freeze' | 'kill' | 'cut';

/** The settings of a fault run. */
export interface FaultRunOptions {
  readonly out: string;
  readonly bundle: string;
  readonly machines: number;
  readonly operatorToml: string | undefined;
  readonly random: RandomBetween;
}

/** The outcome of one fault. All times are in milliseconds from the fault. */
export interface FaultOutcome {
  readonly seed: number;
  readonly fault: FaultKind;
  readonly workers: number;
  /** When the first worker, and 99% of the workers, had accepted a message of the new owner. */
  readonly firstWorker: number | undefined;
  readonly workers99: number | undefined;
  readonly orphans: number;
  readonly medianOrphan: number | undefined;
  readonly lastOrphan: number | undefined;
  /** When another controller first suspected the owner. */
  readonly suspected: number | undefined;
  readonly unansweredUsers: number;
  readonly violations: readonly string[];
}

const HEARTBEAT_S = 0.8;
const LEASE_S = 26;
const BOOT_MS = 1_000;
const FAULT_DURATION_MS = 8_000;
const OBSERVATION_MS = 20_000;
const SETTLE_MS = 4_000;
const WATCH_INTERVAL_MS = 10;
const USER_INTERVAL_MS = 200;
const USER_TIMEOUT_MS = 5_000;
const TASK_S = 25;
const FLAGS = ['--max-old-space-size=64', '--max-semi-space-size=4', '--single-threaded'];
const CONTROLLERS = 3;

/** Injects faults into the owner of shard 0, one after the other, and reports the outcome of each. */
export class FaultRun {
  readonly #processes: ControllerProcesses;
  readonly #store = new FakeKeyValueStore(realClock);
  readonly #network: ObservedLoopbackNetwork;
  readonly #cloud: LoadCloud;
  readonly #history = new FaultRunHistory(() => realClock.now());
  readonly #proxies = new Map<number, PartitionableProxy[]>();
  readonly #jobProfiles = new Map<string, JobProfile>();
  /** The machine on which each task is running. */
  readonly #running = new Map<string, string>();
  readonly #completed = new Map<string, number>();
  readonly #tasksOf = new Map<string, number>();
  readonly #violations: string[] = [];
  #controllers: ControllerProcess[] = [];
  #jobCount = 0;
  #unanswered = 0;
  #suspectedAt: number | undefined;

  constructor(private readonly options: FaultRunOptions) {
    this.#processes = new ControllerProcesses({
      out: options.out,
      bundle: options.bundle,
      flags: FLAGS,
      controllers: CONTROLLERS,
      heartbeatS: String(HEARTBEAT_S),
      writeRps: '200',
      cloudRps: '10',
      sockets: '2500',
      classes: ['batch'],
      isProfiled: false,
      route: (from, to) => this.#route(from, to),
      ...(options.operatorToml === undefined ? {} : { operatorToml: options.operatorToml }),
    });
    const machineAt = (address: string): string | undefined =>
      [...this.#cloud.machines].find(([, { worker }]) => worker.address === address)?.[0];
    this.#network = new ObservedLoopbackNetwork(machineAt, (machine, token) => {
      this.#watchLeases();
      this.#history.onAccepted(machine, token);
    });
    this.#cloud = new LoadCloud({
      maxMachines: options.machines,
      bootMs: BOOT_MS,
      workers: { controllers: this.#processes.nodes, heartbeatS: HEARTBEAT_S, leaseS: LEASE_S },
      clock: realClock,
      network: this.#network,
      jobProfile: (job) => this.#jobProfiles.get(job),
      tasks: {
        onTaskStarted: (task, machine) => {
          this.#onTaskStarted(task, machine);
        },
        onTaskLeft: (task, machine) => {
          if (this.#running.get(task) === machine) this.#running.delete(task);
        },
        onTaskCompleted: (task) => {
          const job = task.split('/')[0] ?? '';
          this.#completed.set(job, (this.#completed.get(job) ?? 0) + 1);
        },
      },
    });
    this.#network.attach(storeAddress(), (request) => this.#store.handle(request));
    this.#network.attach(cloudAddress(), this.#cloud.handle);
  }

  /** Creates a proxy: every controller reaches the others and the store through proxies of its own. */
  #route(from: number, to: string): string {
    if (to === cloudAddress()) return to;
    const number = this.#proxies.get(from)?.length ?? 0;
    const address = `127.4.${from}.${number + 1}:7000`;
    const proxy = new PartitionableProxy(address, to);
    this.#proxies.set(from, [...(this.#proxies.get(from) ?? []), proxy]);
    return address;
  }

  #onTaskStarted(task: string, machine: string): void {
    const runningOn = this.#running.get(task);
    if (runningOn !== undefined) this.#violations.push(`${task} runs on ${runningOn} and ${machine}`);
    this.#running.set(task, machine);
  }

  /** Starts the controllers, injects the faults one after the other, and kills the controllers. */
  async run(seed: number, faults: readonly FaultKind[]): Promise<FaultOutcome[]> {
    this.#controllers = this.#processes.startAll(0);
    const timers = [
      setInterval(() => {
        this.#updateHistory();
      }, WATCH_INTERVAL_MS),
      setInterval(() => {
        void this.#poll();
      }, USER_INTERVAL_MS),
    ];
    await this.#processes.waitUntilUp();
    await this.#submitUntilBusy();
    const outcomes: FaultOutcome[] = [];
    for (const fault of faults) outcomes.push(await this.#runFault(seed, fault));
    for (const timer of timers) clearInterval(timer);
    await this.#shutDown();
    return outcomes;
  }

  async #shutDown(): Promise<void> {
    await Promise.all(this.#controllers.map((controller) => this.#processes.kill(controller)));
    for (const { worker } of this.#cloud.machines.values()) worker.terminate();
    for (const proxy of [...this.#proxies.values()].flat()) proxy.close();
    this.#network.close();
    await realClock.sleep(SETTLE_MS);
  }

  /** Submits jobs for the whole fleet, and waits until 90% of the machines run tasks. */
  async #submitUntilBusy(): Promise<void> {
    const until = realClock.now() + 40_000;
    while (new Set(this.#running.values()).size < this.options.machines * 0.9 && realClock.now() < until) {
      if (this.#running.size < this.options.machines * 8) await this.#submit(40);
      await realClock.sleep(100);
    }
    await realClock.sleep(SETTLE_MS);
  }

  async #runFault(seed: number, fault: FaultKind): Promise<FaultOutcome> {
    const owner = await this.#waitForOwner();
    this.#unanswered = 0;
    this.#suspectedAt = undefined;
    const violationsBefore = this.#violations.length;
    const faultAt = realClock.now();
    const runningMachines = [...this.#cloud.machines].filter(
      ([, { worker }]) => worker.isUp && !worker.isTerminated,
    );
    this.#history.onFault(this.#openJobs(), new Set(runningMachines.map(([id]) => id)));
    await this.#inject(fault, owner, FAULT_DURATION_MS + this.options.random(-500, 500));
    await realClock.sleep(Math.max(0, faultAt + OBSERVATION_MS - realClock.now()));
    const contacts = this.#history.firstContactTimes();
    const waits = this.#history.waitsSinceFault();
    const violations = [
      ...this.#violations.slice(violationsBefore),
      ...checkOwnership(this.#history.history).map(({ kind, detail }) => `${kind}: ${detail}`),
    ];
    return {
      seed,
      fault,
      workers: contacts.length,
      firstWorker: round(contacts[0]),
      workers99: round(contacts[Math.ceil(contacts.length * 0.99) - 1]),
      orphans: waits.length,
      medianOrphan: round(waits[Math.floor(waits.length / 2)]),
      lastOrphan: round(waits.at(-1)),
      suspected: this.#suspectedAt === undefined ? undefined : round(this.#suspectedAt - faultAt),
      unansweredUsers: this.#unanswered,
      violations: violations.map((violation) => `seed ${seed}, ${fault}: ${violation}`),
    };
  }

  async #inject(fault: FaultKind, owner: number, forMs: number): Promise<void> {
    const controller = this.#controllers[owner];
    if (!controller) throw new Error('the owner of shard 0 is not among the started controllers');
    const proxies = this.#controllers.flatMap((_, index) =>
      index === owner ? (this.#proxies.get(index) ?? []) : [],
    );
    if (fault === 'freeze') this.#processes.freeze(controller);
    if (fault === 'kill') await this.#processes.kill(controller);
    if (fault === 'cut') for (const proxy of proxies) proxy.startPartition();
    await realClock.sleep(forMs);
    if (fault === 'freeze') this.#processes.unfreeze(controller);
    if (fault === 'kill') this.#controllers[owner] = this.#processes.start(owner, 1);
    if (fault === 'cut') for (const proxy of proxies) proxy.endPartition();
  }

  /** Waits until shard 0 has an owner; returns the index of the owner. */
  async #waitForOwner(): Promise<number> {
    for (;;) {
      const lease = read.lease(this.#store.data.get(KEY.lease(0))?.data);
      const index = this.#processes.nodes.findIndex(({ name }) => name === lease?.owner);
      if (index >= 0) return index;
      await realClock.sleep(100);
    }
  }

  #openJobs(): Map<string, Set<string>> {
    const jobs = new Map<string, Set<string>>();
    for (const [task, machine] of this.#running) {
      const job = task.split('/')[0] ?? '';
      const machines = jobs.get(job) ?? new Set<string>();
      jobs.set(job, machines.add(machine));
    }
    return jobs;
  }

  #updateHistory(): void {
    this.#watchLeases();
    const hasJobEnded = (job: string): boolean =>
      (this.#completed.get(job) ?? 0) >= (this.#tasksOf.get(job) ?? 0);
    this.#history.resolveFinishedOrphans(hasJobEnded, (machine) => !this.#cloud.machines.has(machine));
  }

  #watchLeases(): void {
    const lease = read.lease(this.#store.data.get(KEY.lease(0))?.data);
    if (lease) this.#history.onLease({ shard: 0, ...lease });
  }

  /** Polls a random job as a user, and `/peers` of another controller as an operator. */
  async #poll(): Promise<void> {
    const { nodes } = this.#processes;
    const index = this.options.random(0, nodes.length - 1);
    if (this.#running.size < this.options.machines * 8) void this.#submit(20);
    const job = `req-${String(this.options.random(1, Math.max(1, this.#jobCount))).padStart(6, '0')}`;
    await this.#request(index, 'GET', `/work/${job}`);
    const report = await this.#request((index + 1) % nodes.length, 'GET', '/peers', 400);
    const { rows = [] } = (report ?? {}) as { rows?: { status: string }[] };
    if (rows.some(({ status }) => status === 'suspected')) this.#suspectedAt ??= realClock.now();
  }

  async #submit(tasks: number): Promise<void> {
    this.#jobCount += 1;
    const id = `req-${String(this.#jobCount).padStart(6, '0')}`;
    const crew = TEAMS[this.#jobCount % TEAMS.length];
    this.#jobProfiles.set(id, { runS: TASK_S, saveS: 0, checkpointS: 0, cpus: 1 });
    this.#tasksOf.set(id, tasks);
    const body = submission(id, { crew, pieces: tasks, cpus: 1, memGb: 1, reckonS: TASK_S });
    await this.#request(this.options.random(0, CONTROLLERS - 1), 'POST', '/work', USER_TIMEOUT_MS, body);
  }

  async #request(
    index: number,
    method: string,
    path: string,
    timeoutMs = USER_TIMEOUT_MS,
    body?: unknown,
  ): Promise<unknown> {
    const address = this.#processes.nodes[index]?.address ?? '';
    try {
      return (await this.#processes.http.call(address, method, path, body, timeoutMs)).body;
    } catch (error) {
      if (!(error instanceof NoResponseError)) throw error;
      if (path.startsWith('/work')) this.#unanswered += 1;
      return undefined;
    }
  }
}

function round(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
