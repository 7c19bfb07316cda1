/** @file A stand-in for a worker: reports, lease, tokens, commands and tasks as the protocol page describes them. */
import { performance } from 'node:perf_hooks';
import { call, sleep, WireServer, type WireReply, type WireRequest } from './wire';

/** What a worker learns about a job from its user. */
export interface JobDescription {
  readonly id: string;
  readonly tasks: number;
  readonly cpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  /** The true run time of each task. */
  readonly runS: number;
}

/** The machine that the worker runs on. */
export interface MachineInfo {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly isSpot: boolean;
  readonly cpus: number;
  readonly memoryGb: number;
  readonly fetchGbPerS: number;
}

/** The world around a worker. */
export interface WorkerWorld {
  readonly controllers: readonly { readonly name: string; readonly address: string }[];
  readonly reportS: number;
  readonly leaseS: number;
  job(id: string): JobDescription | undefined;
  isCompleted(task: string): boolean;
  onStarted(task: string, machine: string): void;
  /** The task left the machine: completed, stopped, killed, or the machine is gone. */
  onLeft(task: string, machine: string, why: string): void;
  onSession(machine: string, session: number): void;
  /** A report was answered with a status that the protocol page doesn't name. */
  onRefused(machine: string, status: number, jsonBytes: number): void;
}

interface Task {
  readonly job: string;
  readonly piece: string;
  readonly attempt: number;
  standing: 'fetching' | 'running' | 'ended';
  cause?: string;
}

interface Order {
  readonly verb: string;
  readonly piece: string;
  readonly try: number;
}

const REPORT_TIMEOUT_MS = 4_000;
const RETRY_MS = 1_000;
const MIN_CHANGE_INTERVAL_MS = 500;
const POLL_MS = 20;

/** One worker. Its tasks save no checkpoints. */
export class Worker {
  endpoint = '';
  /** True from when the machine is gone: it stays silent, and connections to it hang. */
  isGone = false;
  #server: WireServer;
  #session = 1;
  #tally = 0;
  #token = 0;
  #tokenReportedAt = -Infinity;
  #leaseFrom = performance.now();
  #controller: number;
  #isChanged = false;
  readonly #images = new Set<string>();
  readonly #tasks = new Map<string, Task>();

  constructor(
    readonly machine: MachineInfo,
    private readonly world: WorkerWorld,
  ) {
    this.#controller = Math.floor(Math.random() * world.controllers.length);
    this.#server = new WireServer((request) => this.#handle(request));
  }

  /** CPUs that no task uses. */
  get freeCpus(): number {
    return this.machine.cpus - this.#used((job) => job.cpus);
  }

  /** Memory that no task uses. */
  get freeMemoryGb(): number {
    return this.machine.memoryGb - this.#used((job) => job.memoryGb);
  }

  /** Opens the worker's address. */
  async open(): Promise<void> {
    this.endpoint = await this.#server.listen();
  }

  /** The machine is up: the worker reports from now on. */
  start(): void {
    this.#leaseFrom = performance.now();
    void this.#report();
    void this.#watchLease();
  }

  /** The machine is gone with all that is on it. */
  vanish(why: string): void {
    if (this.isGone) return;
    this.isGone = true;
    this.#dropAll(why);
  }

  /** Closes the worker's address at the end of the run. */
  close(): void {
    this.isGone = true;
    this.#server.close();
  }

  #used(amount: (job: JobDescription) => number): number {
    let used = 0;
    for (const { job, standing } of this.#tasks.values()) {
      const description = this.world.job(job);
      if (standing !== 'ended' && description) used += amount(description);
    }
    return used;
  }

  #message(): Record<string, unknown> {
    this.#tally += 1;
    const { id, type, zone, isSpot } = this.machine;
    return {
      hearth: id,
      endpoint: this.endpoint,
      frame: type,
      yard: zone,
      loaners: isSpot,
      shift: this.#session,
      tally: this.#tally,
      baton: this.#token,
      warningS: null,
      pieces: [...this.#tasks.values()].map(({ piece, attempt, standing, cause }) => ({
        piece,
        try: attempt,
        standing,
        ...(cause === undefined ? {} : { cause }),
      })),
    };
  }

  async #watchLease(): Promise<void> {
    while (!this.isGone) {
      this.#checkLease();
      await sleep(POLL_MS);
    }
  }

  #checkLease(): void {
    if (performance.now() - this.#leaseFrom <= this.world.leaseS * 1000) return;
    this.#dropAll('killed by its lease');
    this.#session += 1;
    this.#leaseFrom = performance.now();
    this.#isChanged = true;
    this.world.onSession(this.machine.id, this.#session);
  }

  #dropAll(why: string): void {
    for (const task of this.#tasks.values()) {
      if (task.standing === 'running') this.world.onLeft(task.piece, this.machine.id, why);
      task.standing = 'ended';
    }
    this.#tasks.clear();
  }

  async #report(): Promise<void> {
    while (!this.isGone) {
      const sentAt = performance.now();
      const pauseMs = await this.#send(sentAt);
      const earliest = sentAt + MIN_CHANGE_INTERVAL_MS;
      const until = performance.now() + pauseMs;
      while (!this.isGone && performance.now() < until) {
        if (this.#isChanged && pauseMs !== RETRY_MS && performance.now() >= earliest) break;
        await sleep(POLL_MS);
      }
    }
  }

  /** Sends one report; returns how long to wait before the next. */
  async #send(sentAt: number): Promise<number> {
    const { controllers, reportS } = this.world;
    const controller = controllers[this.#controller % controllers.length];
    const session = this.#session;
    this.#isChanged = false;
    try {
      const message = this.#message();
      const options = { body: message, timeoutMs: REPORT_TIMEOUT_MS };
      const { status, body } = await call(controller?.address ?? '', 'POST', '/hello', options);
      if (this.isGone) return RETRY_MS;
      if (status === 200) {
        this.#onResponse(body as { baton?: number; orders?: Order[] }, sentAt, session);
        return reportS * 1000 * (0.75 + 0.5 * Math.random());
      }
      if (status === 421 && this.#follow((body as { foreman?: string } | undefined)?.foreman))
        return 500 * Math.random();
      if (status !== 421 && status !== 503)
        this.world.onRefused(this.machine.id, status, Buffer.byteLength(JSON.stringify(message)));
    } catch {
      // No usable answer: the next node is tried.
    }
    this.#controller += 1;
    return RETRY_MS;
  }

  #follow(name: string | undefined): boolean {
    const { controllers } = this.world;
    const index = controllers.findIndex((controller) => controller.name === name);
    if (index < 0 || index === this.#controller % controllers.length) return false;
    this.#controller = index;
    return true;
  }

  #onResponse(
    { baton, orders = [] }: { baton?: number; orders?: Order[] },
    sentAt: number,
    session: number,
  ): void {
    if (baton === undefined || baton < this.#token || session !== this.#session) return;
    this.#see(baton);
    this.#leaseFrom = Math.max(this.#leaseFrom, sentAt);
    this.#execute(orders);
  }

  #see(token: number): void {
    const now = performance.now();
    // A higher token counts as a change at most once within half of the lease.
    if (token > this.#token && now - this.#tokenReportedAt >= this.world.leaseS * 500) {
      this.#tokenReportedAt = now;
      this.#isChanged = true;
    }
    this.#token = Math.max(this.#token, token);
  }

  async #handle({ path, body }: WireRequest): Promise<WireReply | undefined> {
    if (this.isGone) return undefined;
    this.#checkLease();
    if (path === '/inspect') return { status: 200, body: this.#message() };
    const { baton, shift, orders = [] } = body as { baton?: number; shift?: number; orders?: Order[] };
    if (baton === undefined || shift === undefined) return { status: 400 };
    if (baton < this.#token || shift !== this.#session) return { status: 409, body: this.#message() };
    this.#see(baton);
    this.#execute(orders);
    return Promise.resolve({ status: 200, body: this.#message() });
  }

  #execute(orders: readonly Order[]): void {
    for (const { verb, piece, try: attempt } of orders) {
      const key = `${piece}#${attempt}`;
      const task = this.#tasks.get(key);
      if (verb === 'run' && !task) this.#run(key, piece, attempt);
      else if (verb === 'halt' && task && task.standing !== 'ended') this.#end(task, 'halted');
      else if (verb === 'reap' && task?.standing === 'ended') {
        this.#tasks.delete(key);
        this.#isChanged = true;
      }
    }
  }

  #run(key: string, piece: string, attempt: number): void {
    const [jobId = '', number] = piece.split('/');
    const job = this.world.job(jobId);
    const refusal = this.#refusal(piece, Number(number), job);
    const task: Task = { job: jobId, piece, attempt, standing: 'fetching' };
    this.#tasks.set(key, task);
    this.#isChanged = true;
    if (refusal !== undefined || !job) {
      task.standing = 'ended';
      task.cause = refusal ?? 'unknown';
      return;
    }
    const fetchMs = this.#images.has(job.image) ? 0 : (job.imageGb / this.machine.fetchGbPerS) * 1000;
    setTimeout(() => {
      if (this.#tasks.get(key) === task && task.standing === 'fetching') this.#begin(key, task, job);
    }, fetchMs);
  }

  #refusal(piece: string, number: number, job: JobDescription | undefined): string | undefined {
    if (!job || !(number < job.tasks)) return 'unknown';
    for (const task of this.#tasks.values())
      if (task.piece === piece && task.standing !== 'ended') return 'in_use';
    return job.cpus > this.freeCpus + 1e-6 || job.memoryGb > this.freeMemoryGb + 1e-6 ? 'full' : undefined;
  }

  #begin(key: string, task: Task, job: JobDescription): void {
    this.#images.add(job.image);
    task.standing = 'running';
    this.#isChanged = true;
    this.world.onStarted(task.piece, this.machine.id);
    const runMs = this.world.isCompleted(task.piece) ? 0 : job.runS * 1000;
    setTimeout(() => {
      if (this.#tasks.get(key) === task && task.standing === 'running') this.#end(task, 'done');
    }, runMs);
  }

  #end(task: Task, cause: string): void {
    if (task.standing === 'running') this.world.onLeft(task.piece, this.machine.id, cause);
    task.standing = 'ended';
    task.cause = cause;
    this.#isChanged = true;
  }
}
