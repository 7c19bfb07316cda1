/** @file A fake worker that speaks the published protocol: it sends heartbeats, obeys its lease and executes commands. */
import { NoResponseError, type HttpResponse } from '../../src/transport/http-client';
import type { TimerClock } from './clock';
import { MachineClock } from './machine-clock';
import type { Network, Request } from './network';
import { TaskExecution, type Attempt, type Command, type TaskObserver } from './task-execution';
import type { MachineDescription } from './task-invariants';

export type { JobProfile, TaskObserver } from './task-execution';

/** Commands in their wire format, with the owner's fencing token and the worker incarnation that they are for. */
interface Commands {
  baton?: number;
  shift?: number;
  orders: Command[];
}

/** The machine that a worker runs on. */
export interface WorkerMachine extends MachineDescription {
  readonly id: string;
  readonly address: string;
  readonly cpus: number;
}

/** The controllers that a worker sends heartbeats to, the heartbeat interval, and the duration of its lease. */
export interface WorkerSettings {
  readonly controllers: readonly { name: string; address: string }[];
  readonly heartbeatS: number;
  readonly leaseS: number;
}

/** The clock, the network and the observer of tasks that a worker uses. */
export interface WorkerEnvironment {
  readonly clock: TimerClock;
  readonly network: Network;
  readonly tasks: TaskObserver;
}

const HEARTBEAT_TIMEOUT_MS = 4_000;
/** Delays before the next heartbeat: after no response, after a redirect, and while the machine hangs. */
const RETRY_DELAY_MS = 1_000;
const REDIRECT_DELAY_MS = 100;
const HANG_CHECK_INTERVAL_MS = 100;

/** A worker on a fake machine. */
export class FakeWorker {
  incarnation = 1;
  sequence = 0;
  fencingToken = 0;
  spotNoticeS: number | null = null;
  isUp = false;
  isTerminated = false;
  /** The response to commands and status queries, which are then not executed. */
  malformedResponse: (() => HttpResponse) | undefined;
  readonly #clock: MachineClock;
  readonly #execution: TaskExecution;
  /** When the last heartbeat that got a response was sent; the lease starts at that time. */
  #leaseStartedAt: number;
  #controller = 0;

  constructor(
    private readonly machine: WorkerMachine,
    private readonly settings: WorkerSettings,
    private readonly environment: WorkerEnvironment,
  ) {
    this.#clock = new MachineClock(environment.clock);
    this.#execution = new TaskExecution(machine, this.#clock, environment.tasks);
    this.#leaseStartedAt = environment.clock.now();
  }

  get id(): string {
    return this.machine.id;
  }

  get address(): string {
    return this.machine.address;
  }

  get zone(): string {
    return this.machine.zone;
  }

  /** By task and number of the attempt. */
  get attempts(): ReadonlyMap<string, Attempt> {
    return this.#execution.attempts;
  }

  /** Every start command that was executed, by task and number of the attempt. */
  get startCommands(): readonly string[] {
    return this.#execution.startCommands;
  }

  get reapCommands(): readonly string[] {
    return this.#execution.reapCommands;
  }

  /** Tasks whose start command was executed and that don't run yet. */
  get startingTasks(): string[] {
    return this.#execution.startingTasks;
  }

  /** CPUs that no attempt uses. */
  get freeCpus(): number {
    return this.#execution.freeCpus;
  }

  /** Whether every task that starts here fails. */
  get failsTasks(): boolean {
    return this.#execution.failsTasks;
  }

  set failsTasks(fails: boolean) {
    this.#execution.failsTasks = fails;
  }

  get isHanging(): boolean {
    return this.#clock.isHanging;
  }

  /** A hung machine runs no tasks. When it resumes, it checks its lease before it executes queued commands. */
  set isHanging(hangs: boolean) {
    if (hangs === this.#clock.isHanging) return;
    if (hangs) {
      this.#clock.hang();
      return;
    }
    this.#clock.resume();
    if (this.isTerminated) return;
    this.#checkLease();
    this.#clock.runQueued();
  }

  start(): void {
    this.isUp = true;
    this.environment.network.attach(this.address, (request) => this.#handle(request));
    void this.#run();
    void this.#watchLease();
  }

  /** The cloud terminates the machine. */
  terminate(): void {
    this.isTerminated = true;
    this.isUp = false;
    this.#clock.clear();
    this.environment.network.detach(this.address);
    this.#execution.dropAll();
  }

  /** The next heartbeat, in its wire format. */
  nextHeartbeat(): Record<string, unknown> {
    this.sequence += 1;
    return {
      hearth: this.id,
      endpoint: this.address,
      frame: this.machine.type,
      yard: this.machine.zone,
      loaners: this.machine.isSpot,
      shift: this.incarnation,
      tally: this.sequence,
      baton: this.fencingToken,
      warningS: this.spotNoticeS,
      pieces: [...this.attempts.values()].map(({ job, task, number, state, cause, stored }) => ({
        piece: `${job}/${task}`,
        try: number,
        standing: state,
        ...(cause === undefined ? {} : { cause }),
        ...(stored === undefined ? {} : { stored }),
      })),
    };
  }

  async #run(): Promise<void> {
    const { clock } = this.environment;
    while (!this.isTerminated) {
      this.#checkLease();
      if (this.isHanging) {
        await clock.sleep(HANG_CHECK_INTERVAL_MS);
        continue;
      }
      const controller = this.settings.controllers[this.#controller % this.settings.controllers.length];
      if (!controller) return;
      await clock.sleep(await this.#sendHeartbeat(controller.address));
    }
  }

  /** Sends a heartbeat. Returns how long to wait before the next one, in milliseconds. */
  async #sendHeartbeat(address: string): Promise<number> {
    const { clock, network } = this.environment;
    const sentAt = clock.now();
    const { incarnation } = this;
    try {
      const response = await network
        .caller(this.id)
        .call(address, 'POST', '/hello', this.nextHeartbeat(), HEARTBEAT_TIMEOUT_MS);
      // A response that arrives during a hang is read when the machine resumes, and dropped if it is too old by then.
      if (this.isHanging) await new Promise<void>((resume) => this.#clock.onResume(resume));
      if (clock.now() - sentAt > HEARTBEAT_TIMEOUT_MS) throw new NoResponseError('time is up', true);
      if (response.status !== 200) return this.#chooseController(response);
      this.#onResponse(response.body as Commands, sentAt, incarnation);
      return this.settings.heartbeatS * 1000;
    } catch (error) {
      if (!(error instanceof NoResponseError)) throw error;
      this.#controller += 1;
      return RETRY_DELAY_MS;
    }
  }

  #onResponse({ baton, orders }: Commands, sentAt: number, incarnation: number): void {
    if (baton === undefined || baton < this.fencingToken || this.incarnation !== incarnation) return;
    this.fencingToken = baton;
    this.#leaseStartedAt = sentAt;
    this.#execution.execute(orders);
  }

  /** Selects the controller that a redirect names, or else the next one. Returns the delay before the next heartbeat. */
  #chooseController({ status, body }: HttpResponse): number {
    const { controllers } = this.settings;
    const controllerName = (body as { foreman?: string } | null)?.foreman;
    const namedIndex = controllers.findIndex(({ name }) => name === controllerName);
    if (status === 421 && namedIndex >= 0 && namedIndex !== this.#controller % controllers.length) {
      this.#controller = namedIndex;
      return REDIRECT_DELAY_MS;
    }
    this.#controller += 1;
    return RETRY_DELAY_MS;
  }

  /**
   * Checks the lease whenever it may have expired, also while a heartbeat waits for its response or the machine hangs: a
   * machine that hangs may go on within its lease, not after it.
   */
  async #watchLease(): Promise<void> {
    const { clock } = this.environment;
    while (!this.isTerminated) {
      const leftMs = this.#leaseStartedAt + this.settings.leaseS * 1000 - clock.now();
      await clock.sleep(leftMs + 1);
      if (!this.isTerminated) this.#checkLease();
    }
  }

  #checkLease(): void {
    const { clock } = this.environment;
    if (clock.now() - this.#leaseStartedAt <= this.settings.leaseS * 1000) return;
    this.#execution.dropAll();
    this.incarnation += 1;
    this.#leaseStartedAt = clock.now();
  }

  #handle(request: Request): HttpResponse | Promise<HttpResponse> {
    if (this.malformedResponse) return this.malformedResponse();
    if (!this.isHanging) return this.#respond(request);
    return new Promise((resolve) => {
      this.#clock.onResume(() => {
        resolve(this.#respond(request));
      });
    });
  }

  #respond({ path, body }: Request): HttpResponse {
    this.#checkLease();
    if (path === '/inspect') return { status: 200, body: this.nextHeartbeat() };
    const { baton, shift, orders } = body as Commands;
    if (baton === undefined || shift === undefined) return { status: 400, body: null };
    if (baton < this.fencingToken || shift !== this.incarnation)
      return { status: 409, body: this.nextHeartbeat() };
    this.fencingToken = baton;
    this.#execution.execute(orders);
    return { status: 200, body: this.nextHeartbeat() };
  }
}
