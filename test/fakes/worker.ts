/** @file A worker by its published protocol, in memory: it reports, heeds its lease and executes commands. */
import { NoResponseError, type HttpResponse } from '../../src/transport/http-client';
import type { TimerClock } from './clock';
import { MachineClock } from './machine-clock';
import type { Network, Request } from './network';
import { TaskExecution, type Attempt, type Command, type TaskObserver } from './task-execution';
import type { MachineDescription } from './task-invariants';

export type { JobProfile, TaskObserver } from './task-execution';

/** Commands with the owner's fencing token and the incarnation that they are for, in the words of the wire. */
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

/** To whom a worker reports, how often, and how long its lease lasts. */
export interface WorkerSettings {
  readonly controllers: readonly { name: string; address: string }[];
  readonly heartbeatS: number;
  readonly leaseS: number;
}

/** What surrounds a worker. */
export interface WorkerEnvironment {
  readonly clock: TimerClock;
  readonly network: Network;
  readonly tasks: TaskObserver;
}

const HEARTBEAT_TIMEOUT_MS = 4_000;
/** Pauses before the next report: after no answer, after a redirection, and while the machine hangs. */
const RETRY_DELAY_MS = 1_000;
const REDIRECT_DELAY_MS = 100;
const HANG_CHECK_INTERVAL_MS = 100;

/** A worker on a machine in memory. */
export class FakeWorker {
  incarnation = 1;
  sequence = 0;
  fencingToken = 0;
  spotNoticeS: number | null = null;
  isUp = false;
  isTerminated = false;
  /** What it answers to commands and questions instead of executing them. */
  malformedResponse: (() => HttpResponse) | undefined;
  readonly #clock: MachineClock;
  readonly #execution: TaskExecution;
  /** When the last report that was answered was sent: its lease counts from then. */
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

  /** Tasks that were commanded to start and are not running yet. */
  get startingTasks(): string[] {
    return this.#execution.startingTasks;
  }

  /** CPUs that no task holds. */
  get freeCpus(): number {
    return this.#execution.freeCpus;
  }

  /** Whether it fails every task that it starts. */
  get failsTasks(): boolean {
    return this.#execution.failsTasks;
  }

  set failsTasks(fails: boolean) {
    this.#execution.failsTasks = fails;
  }

  get isHanging(): boolean {
    return this.#clock.isHanging;
  }

  /** A machine that hangs runs no tasks. When it resumes, its lease comes first, then the commands that have queued. */
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
  }

  /** The cloud takes the machine away. */
  terminate(): void {
    this.isTerminated = true;
    this.isUp = false;
    this.#clock.clear();
    this.environment.network.detach(this.address);
    this.#execution.dropAll();
  }

  /** The next report, in the words of the wire. */
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

  /** Reports once; how long to wait until the next report. */
  async #sendHeartbeat(address: string): Promise<number> {
    const { clock, network } = this.environment;
    const sentAt = clock.now();
    const { incarnation } = this;
    try {
      const response = await network
        .caller(this.id)
        .call(address, 'POST', '/hello', this.nextHeartbeat(), HEARTBEAT_TIMEOUT_MS);
      // What came during a hang is read when it resumes; a response that is too old by then is dropped.
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

  /** Goes to the controller that a refusal names, or else to the next; how long to wait before that. */
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
