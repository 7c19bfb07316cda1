/** @file A stand-in for a worker: reports to the controllers, obeys its lease and tokens, and runs tasks by the clock. */
import { call, now, serve, sleep, type WireAnswer, type WireRequest, type WireServer } from './wire';

/** What a worker knows of a job from the description that its user uploaded. */
export interface JobDescription {
  readonly pieces: number;
  readonly cpus: number;
  readonly memGb: number;
  readonly build: string;
  readonly sizeGb: number;
  readonly bookmarkS: number;
  readonly stashS: number;
  /** How long a task of this job really runs. */
  readonly runS: number;
}

/** Where workers look up jobs, and what a case sees of their tasks. */
export interface Site {
  readonly jobs: ReadonlyMap<string, JobDescription>;
  readonly results: Set<string>;
  onStarted(piece: string, machine: string): void;
  /** `cause`: `done`, `halted`, `killed` (its lease ended, or the machine is gone). */
  onLeft(piece: string, machine: string, cause: string): void;
  onSession(machine: string, session: number): void;
  onUnanswered(machine: string, why: string): void;
}

/** A machine and the intervals of the settings. */
export interface WorkerOptions {
  readonly id: string;
  readonly frame: string;
  readonly yard: string;
  readonly loaners: boolean;
  readonly cpus: number;
  readonly memGb: number;
  readonly fetchGbPerS: number;
  readonly reportS: number;
  readonly leaseS: number;
  readonly controllers: readonly { readonly name: string; readonly address: string }[];
  /** The next value of the count of reports and answers; by default it counts from 1. */
  readonly nextTally?: (() => bigint) | undefined;
  /** Fields of a later version of the protocol, which each report has as well. */
  readonly laterFields?: Readonly<Record<string, unknown>> | undefined;
}

type Standing = 'fetching' | 'running' | 'flushing' | 'ended';

interface Task {
  readonly piece: string;
  readonly try: number;
  readonly job: JobDescription | undefined;
  standing: Standing;
  cause?: string;
  stored?: boolean;
  timer?: NodeJS.Timeout;
}

interface Order {
  readonly verb: 'run' | 'halt' | 'reap';
  readonly piece: string;
  readonly try: number;
  readonly leewayS?: number;
}

const REPORT_TIMEOUT_MS = 4_000;
const RETRY_MS = 1_000;
const MIN_REPORT_GAP_MS = 500;
const LEASE_CHECK_MS = 50;

/** One worker, on a machine that is up. */
export class Worker {
  readonly #tasks = new Map<string, Task>();
  readonly #images = new Map<string, Promise<void>>();
  #server: WireServer | undefined;
  #shift = 1;
  #tally = 0;
  #baton = 0;
  #node = 0;
  #leaseFrom = now();
  #isGone = false;
  #wake: (() => void) | undefined;
  #changed = false;

  constructor(
    private readonly options: WorkerOptions,
    private readonly site: Site,
  ) {}

  /** Where the worker takes commands; undefined before it is up. */
  get address(): string | undefined {
    return this.#server?.address;
  }

  /** Comes up at a port of the loopback address, a free one by default. */
  async start(port?: number): Promise<void> {
    this.#server = await serve((request) => this.#handle(request), port);
    this.#leaseFrom = now();
    void this.#reportLoop();
    void this.#leaseLoop();
  }

  /** The machine is gone, with all that is on it. */
  stop(): void {
    this.#isGone = true;
    this.#killAll();
    this.#server?.close();
    this.#wake?.();
  }

  #handle({ path, body }: WireRequest): WireAnswer | undefined {
    if (this.#isGone) return undefined;
    this.#checkLease();
    if (path === '/inspect') return { status: 200, body: this.#report() };
    const { baton, shift, orders } = body as { baton?: number; shift?: number; orders?: Order[] };
    if (baton === undefined || shift === undefined) return { status: 400, body: { error: 'missing' } };
    if (baton < this.#baton || shift !== this.#shift) return { status: 409, body: this.#report() };
    this.#seeToken(baton);
    for (const order of orders ?? []) this.#execute(order);
    return { status: 200, body: this.#report() };
  }

  #report(): Record<string, unknown> {
    const { id, frame, yard, loaners, nextTally, laterFields } = this.options;
    this.#tally += 1;
    const pieces = [...this.#tasks.values()].map(({ piece, try: number, standing, cause, stored }) => ({
      piece,
      try: number,
      standing,
      ...(cause === undefined ? {} : { cause }),
      ...(stored === undefined ? {} : { stored }),
    }));
    return {
      ...laterFields,
      hearth: id,
      endpoint: this.address,
      frame,
      yard,
      loaners,
      shift: this.#shift,
      tally: nextTally ? nextTally() : this.#tally,
      baton: this.#baton,
      warningS: null,
      pieces,
    };
  }

  async #reportLoop(): Promise<void> {
    while (!this.#isGone) {
      const startedAt = now();
      this.#checkLease();
      const pauseMs = await this.#sendReport();
      if (pauseMs !== undefined) {
        await sleep(pauseMs);
        continue;
      }
      const regularMs = this.options.reportS * 1000 * (0.75 + 0.5 * Math.random());
      await sleep(startedAt + MIN_REPORT_GAP_MS - now());
      if (!this.#changed) await this.#waitForChange(startedAt + regularMs - now());
    }
  }

  /** Sends one report. Returns the pause before the next when it got no 200. */
  async #sendReport(): Promise<number | undefined> {
    const { controllers, id } = this.options;
    const node = controllers[this.#node % controllers.length];
    const sentAt = now();
    const shift = this.#shift;
    this.#changed = false;
    const report = this.#report();
    let answer: WireAnswer;
    try {
      answer = await call(node?.address ?? '', 'POST', '/hello', {
        body: report,
        timeoutMs: REPORT_TIMEOUT_MS,
      });
    } catch (error) {
      if (!this.#isGone) this.site.onUnanswered(id, (error as Error).message);
      this.#node += 1;
      return RETRY_MS;
    }
    if (this.#isGone) return RETRY_MS;
    if (answer.status === 200) {
      this.#take(answer.body as { baton?: number; orders?: Order[] }, sentAt, shift);
      return undefined;
    }
    return this.#redirect(answer, node?.name ?? '');
  }

  #redirect({ status, body }: WireAnswer, from: string): number {
    const { controllers, id } = this.options;
    const foreman = status === 421 ? (body as { foreman?: string } | undefined)?.foreman : undefined;
    const index = controllers.findIndex(({ name }) => name === foreman);
    if (index >= 0 && foreman !== from) {
      this.#node = index;
      return MIN_REPORT_GAP_MS * Math.random();
    }
    if (status !== 421 && status !== 503) this.site.onUnanswered(id, `status ${status}`);
    this.#node += 1;
    return RETRY_MS;
  }

  /** Takes the answer to a report: a lower token or none, or an earlier session, drops it. */
  #take({ baton, orders = [] }: { baton?: number; orders?: Order[] }, sentAt: number, shift: number): void {
    this.#checkLease();
    if (shift !== this.#shift || baton === undefined || baton < this.#baton) return;
    this.#seeToken(baton);
    this.#leaseFrom = sentAt;
    for (const order of orders) this.#execute(order);
  }

  #seeToken(baton: number): void {
    if (baton > this.#baton) {
      this.#baton = baton;
      this.#onChange();
    }
  }

  #onChange(): void {
    this.#changed = true;
    this.#wake?.();
  }

  async #waitForChange(ms: number): Promise<void> {
    if (ms <= 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.#wake = undefined;
  }

  async #leaseLoop(): Promise<void> {
    while (!this.#isGone) {
      await sleep(LEASE_CHECK_MS);
      this.#checkLease();
    }
  }

  #checkLease(): void {
    if (this.#isGone || now() - this.#leaseFrom <= this.options.leaseS * 1000) return;
    this.#killAll();
    this.#shift += 1;
    this.#leaseFrom = now();
    this.site.onSession(this.options.id, this.#shift);
    this.#onChange();
  }

  #killAll(): void {
    for (const task of this.#tasks.values()) {
      clearTimeout(task.timer);
      if (task.standing !== 'ended') this.#left(task, 'killed');
    }
    this.#tasks.clear();
  }

  #left(task: Task, cause: string): void {
    if (task.standing !== 'fetching') this.site.onLeft(task.piece, this.options.id, cause);
  }

  #execute(order: Order): void {
    const key = `${order.piece}#${order.try}`;
    const task = this.#tasks.get(key);
    if (order.verb === 'run') {
      if (!task) this.#run(order, key);
    } else if (order.verb === 'halt') {
      if (task) this.#halt(task, order.leewayS ?? 0);
    } else if (task?.standing === 'ended') {
      this.#tasks.delete(key);
      this.#onChange();
    }
  }

  #run({ piece, try: number }: Order, key: string): void {
    const [id = '', index = ''] = piece.split('/');
    const job = this.site.jobs.get(id);
    const task: Task = { piece, try: number, job, standing: 'ended' };
    const refusal = this.#refusal(task, Number(index));
    this.#tasks.set(key, task);
    this.#onChange();
    if (refusal !== undefined || !job) {
      task.cause = refusal ?? 'unknown';
      return;
    }
    task.standing = 'fetching';
    void this.#fetch(job).then(() => {
      if (task.standing === 'fetching' && this.#tasks.get(key) === task) this.#begin(task, job);
    });
  }

  #refusal({ piece, job }: Task, index: number): string | undefined {
    if (!job || !(index >= 0 && index < job.pieces)) return 'unknown';
    let { cpus, memGb } = this.options;
    for (const other of this.#tasks.values()) {
      if (other.standing === 'ended') continue;
      if (other.piece === piece) return 'in_use';
      cpus -= other.job?.cpus ?? 0;
      memGb -= other.job?.memGb ?? 0;
    }
    return job.cpus > cpus + 1e-6 || job.memGb > memGb + 1e-6 ? 'full' : undefined;
  }

  #fetch({ build, sizeGb }: JobDescription): Promise<void> {
    const known = this.#images.get(build);
    if (known) return known;
    const fetching = sleep((sizeGb / this.options.fetchGbPerS) * 1000);
    this.#images.set(build, fetching);
    return fetching;
  }

  #begin(task: Task, job: JobDescription): void {
    task.standing = 'running';
    this.site.onStarted(task.piece, this.options.id);
    this.#onChange();
    const runMs = this.site.results.has(task.piece) ? 0 : job.runS * 1000;
    task.timer = setTimeout(() => {
      this.site.results.add(task.piece);
      this.#end(task, 'done');
    }, runMs);
  }

  #halt(task: Task, leewayS: number): void {
    if (task.standing === 'ended') return;
    const { bookmarkS = 0, stashS = 0 } = task.job ?? {};
    if (task.standing === 'flushing') {
      if (leewayS === 0) this.#end(task, 'halted');
      return;
    }
    if (task.standing === 'running' && bookmarkS > 0 && leewayS >= stashS) {
      clearTimeout(task.timer);
      task.standing = 'flushing';
      task.timer = setTimeout(() => {
        task.stored = true;
        this.#end(task, 'halted');
      }, stashS * 1000);
      this.#onChange();
      return;
    }
    this.#end(task, 'halted');
  }

  #end(task: Task, cause: string): void {
    clearTimeout(task.timer);
    this.#left(task, cause);
    task.standing = 'ended';
    task.cause = cause;
    this.#onChange();
  }
}
