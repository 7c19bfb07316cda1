/** @file A simulated deployment with users and machines, checked against the invariants of the protocol. */
import assert from 'node:assert/strict';
import type { HttpResponse } from '../../src/transport/http-client';
import { FakeCloud, MACHINE_TYPE } from './cloud';
import {
  CANCEL_S,
  CLOUD_ADDRESS,
  LEASE_S,
  controllersOf,
  HEARTBEAT_S,
  STORE_ADDRESS,
  type ClusterOptions,
} from './controller-settings';
import { Deployment } from './deployment';
import type { Request } from './network';
import { Invariants } from './invariants';
import { submission } from './submission';
import { StarvationDetector } from './starvation-detector';
import type { MachineDescription } from './task-invariants';
import { FakeWorker, type JobProfile, type TaskObserver } from './worker';

export { CANCEL_S };

/** The sender whose requests and responses the invariants check. */
const USER = 'user';
const MAX_UNANSWERED_MS = 75_000;

const nothing = (): void => undefined;

/** A simulated deployment: controllers, key-value store, cloud and workers. The invariants are checked throughout. */
export class SimulatedCluster extends Deployment {
  readonly invariants: Invariants;
  readonly cloud = new FakeCloud({
    workers: this.workers,
    description: (id) => this.#machines.get(id),
    addWorker: (zone, isSpot) => this.addWorker(zone, isSpot),
  });
  bootMs = 3000;
  readonly #jobProfiles = new Map<string, JobProfile>();
  /** Actual run times of tasks by job, where they differ from the user's estimate. */
  readonly #runTimes = new Map<string, number>();
  /** Called for every task that starts. */
  onTaskStarted: (task: string) => void = nothing;
  /** Called for every task that completes. */
  onTaskCompleted: (task: string) => void = nothing;
  readonly #machines = new Map<string, MachineDescription>();
  #machineCount = 0;

  constructor(options: ClusterOptions = {}) {
    super(options);
    this.invariants = new Invariants(this.clock, {
      cancelS: CANCEL_S,
      limits: new Map([
        ['red', options.limitCpus ?? Infinity],
        ['blue', Infinity],
      ]),
      types: [MACHINE_TYPE],
      machine: (id) => this.#machines.get(id),
    });
    this.network.watchRequests((request) => {
      if (request.from !== USER) return nothing;
      this.#recordJobProfile(request);
      return this.invariants.onRequest(request);
    });
    this.network.attach(STORE_ADDRESS, (request) => this.store.handle(request));
    this.network.attach(CLOUD_ADDRESS, (request) => this.cloud.handle(request));
    for (let index = 0; index < controllersOf(options).length; index += 1) {
      this.addController(index, options.versions?.[index] ?? 'present');
    }
  }

  /** How many more machines the cloud can rent out. */
  get capacity(): number {
    return this.cloud.capacity;
  }

  set capacity(machines: number) {
    this.cloud.capacity = machines;
  }

  async request(index: number, method: string, path: string, body?: unknown): Promise<HttpResponse> {
    const response = this.network
      .caller(USER)
      .call(this.controllers[index]?.address ?? '', method, path, body, 5000);
    let settled = false;
    const onSettled = (): void => {
      settled = true;
    };
    response.then(onSettled, onSettled);
    for (let step = 0; step < 600 && !settled; step += 1) await this.clock.advance(10);
    return response;
  }

  /** Keeps a submitted job's profile for the fake workers; real workers fetch job descriptions that users upload. */
  #recordJobProfile({ method, path, body }: Request): void {
    if (method !== 'POST' || path !== '/work' || this.invariants.rejectionReason(body) !== undefined) return;
    const job = body as Record<'nameId', string> &
      Record<'stashS' | 'bookmarkS' | 'cpus' | 'reckonS', number>;
    if (this.#jobProfiles.has(job.nameId)) return;
    const { stashS, bookmarkS, cpus, reckonS } = job;
    this.#jobProfiles.set(job.nameId, {
      saveS: stashS,
      checkpointS: bookmarkS,
      cpus,
      runS: this.#runTimes.get(job.nameId) ?? reckonS,
    });
  }

  /** Sets how long a job's tasks will run. Must be called before the job is submitted. */
  setRunTime(id: string, runS: number): void {
    this.#runTimes.set(id, runS);
  }

  /** Submits a job and retries, as users do on 503, until it is accepted. */
  async submit(id: string, fields: Record<string, unknown> = {}, runS = 5, index = 0): Promise<void> {
    const job = submission(id, fields);
    this.setRunTime(id, runS);
    for (let attempt = 0; attempt < 60; attempt += 1) {
      const { status } = await this.request(index, 'POST', '/work', job);
      if (status === 201 || status === 200) return;
      await this.clock.advance(1000);
    }
    assert.fail(`${id} was not accepted`);
  }

  async cancel(id: string, index = 0): Promise<string> {
    for (let attempt = 0; attempt < 60; attempt += 1) {
      const answer = await this.request(index, 'POST', `/work/${id}/withdraw`);
      if (answer.status === 200) {
        return (answer.body as { standing: string }).standing;
      }
      await this.clock.advance(1000);
    }
    assert.fail(`${id} was not cancelled`);
  }

  async jobState(id: string, index = 0): Promise<string | number> {
    const answer = await this.request(index, 'GET', `/work/${id}`);
    return answer.status === 200 ? (answer.body as { standing: string }).standing : answer.status;
  }

  async untilJobState(id: string, state: string, limitS = 120, index = 0): Promise<void> {
    const end = this.clock.now() + limitS * 1000;
    while (this.clock.now() < end) {
      if ((await this.jobState(id, index)) === state) return;
      await this.clock.advance(500);
    }
    assert.equal(await this.jobState(id, index), state, `${id} after ${limitS} s`);
  }

  /** Advances the time until a condition holds; fails if it doesn't within the limit. */
  async until(description: string, condition: () => boolean, limitS = 120): Promise<void> {
    const end = this.clock.now() + limitS * 1000;
    while (!condition() && this.clock.now() < end) await this.clock.advance(50);
    assert.ok(condition(), `${description}: not within ${limitS} s`);
  }

  /** The machine that currently runs a task. */
  machineOf(task: string): string | undefined {
    return this.invariants.machineOf(task);
  }

  get runningTasks(): string[] {
    return this.invariants.runningTasks;
  }

  assertInvariants(): void {
    assert.deepEqual(this.invariants.violations, []);
  }

  /**
   * To be called after all faults have ended: advances the time until every accepted job is final, unless cancelled.
   * Fails if a job is pending for 90 s despite free capacity, or if users get no successful response about it for 75 s.
   */
  async assertJobsFinish(limitS = 100): Promise<void> {
    const detector = new StarvationDetector(this.invariants, this.clock, {
      hasFreeCapacity: (id) => this.#hasFreeCapacity(id),
      isStarting: (task) =>
        [...this.workers.values()].some(
          (w) => !w.isTerminated && !w.isHanging && w.startingTasks.includes(task),
        ),
    });
    const startedAt = this.clock.now();
    for (let second = 0; second < limitS && this.invariants.unfinishedJobs.length > 0; second += 1) {
      detector.check();
      for (const id of this.invariants.unfinishedJobs) {
        const unansweredMs = this.clock.now() - Math.max(startedAt, this.invariants.lastResponseAt(id));
        if (unansweredMs > MAX_UNANSWERED_MS)
          this.invariants.report('forgotten', `${id} got no response for ${unansweredMs} ms`);
        if (second % 5 === 0) await this.#poll(id, (second / 5) % 3);
      }
      await this.clock.advance(1000);
    }
    detector.check();
    this.assertInvariants();
  }

  async #poll(id: string, index: number): Promise<void> {
    const address = this.controllers[index]?.address ?? '';
    this.network.caller(USER).call(address, 'GET', `/work/${id}`, undefined, 2000).catch(nothing);
    await this.clock.advance(20);
  }

  /** Whether a healthy machine that satisfies the job's constraints has free CPUs for its next task. */
  #hasFreeCapacity(id: string): boolean {
    const cpus = this.#jobProfiles.get(id)?.cpus ?? 0;
    return [...this.workers.values()].some(
      (w) =>
        w.isUp &&
        !w.isHanging &&
        !w.failsTasks &&
        w.freeCpus >= cpus &&
        this.invariants.placementViolation(id, w.id) === undefined,
    );
  }

  /** Adds a machine that boots and then starts its worker. Tests can add machines that no controller rented. */
  addWorker(zone = 'a', isSpot = true): string {
    this.#machineCount += 1;
    const id = `host-${String(this.#machineCount).padStart(6, '0')}`;
    const description = { type: MACHINE_TYPE.label, zone, isSpot };
    this.#machines.set(id, description);
    const worker = new FakeWorker(
      { ...description, id, address: `10.1.0.${this.#machineCount}:9000`, cpus: MACHINE_TYPE.cpus },
      {
        controllers: controllersOf(this.options),
        heartbeatS: this.options.heartbeatS ?? HEARTBEAT_S,
        leaseS: LEASE_S,
      },
      { clock: this.clock, network: this.network, tasks: this.#taskObserver() },
    );
    this.workers.set(id, worker);
    this.clock.after(this.bootMs, () => {
      if (!worker.isTerminated) worker.start();
    });
    return id;
  }

  #taskObserver(): TaskObserver {
    return {
      jobProfile: (job) => this.#jobProfiles.get(job),
      onTaskStarted: (task, machine) => {
        this.invariants.onTaskStarted(task, machine);
        this.onTaskStarted(task);
      },
      onTaskLeft: (task, machine) => {
        this.invariants.onTaskLeft(task, machine);
      },
      onTaskCompleted: (task) => {
        this.invariants.onTaskCompleted(task);
        this.onTaskCompleted(task);
      },
      hasCompleted: (task) => this.invariants.hasCompleted(task),
    };
  }
}
