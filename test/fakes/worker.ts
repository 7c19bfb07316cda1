import { NoResponseError, type HttpResponse } from '../../src/transport/http-client';
import type { TimerClock } from './clock';
import type { Request, Network } from './network';

interface Piece {
  job: string;
  task: number;
  attempt: number;
  standing: 'fetching' | 'running' | 'flushing' | 'ended';
  cause?: string;
  stored?: boolean;
}

interface Orders {
  baton?: number;
  shift?: number;
  orders: { verb: string; piece: string; try: number; leewayS?: number }[];
}

export interface JobProfile {
  runS: number;
  saveS: number;
  checkpointS: number;
  cpus: number;
}

/** What the invariants watch. */
export interface TaskObserver {
  jobProfile(job: string): JobProfile | undefined;
  onTaskStarted(piece: string, machine: string): void;
  onTaskLeft(piece: string, machine: string): void;
  onTaskCompleted(piece: string): void;
  hasCompleted(piece: string): boolean;
}

const FETCH_MS = 300;

/** A worker by its published protocol, in memory. */
export class FakeWorker {
  readonly attempts = new Map<string, Piece>();
  /** Every start order that was executed, by piece and try. */
  readonly startCommands: string[] = [];
  readonly reapCommands: string[] = [];
  incarnation = 1;
  sequence = 0;
  fencingToken = 0;
  spotNoticeS: number | null = null;
  /** Fails every task that it starts. */
  failsTasks = false;
  isUp = false;
  isTerminated = false;
  /** What it answers to commands and questions instead of executing them. */
  malformedAnswer: (() => HttpResponse) | undefined;
  #hanging = false;
  #hungAt = 0;
  /** How long it has stood still before the hang that lasts, if one does. */
  #stoodMs = 0;
  /** What goes on when it resumes, in order. */
  #onResume: (() => void)[] = [];
  #answeredSentAt: number;
  #node = 0;

  constructor(
    readonly id: string,
    readonly address: string,
    private readonly machine: { frame: string; yard: string; loaners: boolean; cpus: number },
    private readonly nodes: readonly { name: string; address: string }[],
    private readonly timing: { reportS: number; leaseS: number },
    private readonly deps: { clock: TimerClock; network: Network; ground: TaskObserver },
  ) {
    this.#answeredSentAt = deps.clock.now();
  }

  start(): void {
    this.isUp = true;
    this.deps.network.attach(this.address, (request) => this.#handle(request));
    void this.#run();
  }

  get zone(): string {
    return this.machine.yard;
  }

  get isHanging(): boolean {
    return this.#hanging;
  }

  /** A machine that hangs runs no tasks. When it goes on, its lease comes first, then the commands that have queued. */
  set isHanging(hangs: boolean) {
    if (hangs === this.#hanging) return;
    const now = this.deps.clock.now();
    if (hangs) {
      this.#hungAt = now;
      this.#hanging = true;
      return;
    }
    this.#stoodMs += now - this.#hungAt;
    this.#hanging = false;
    if (this.isTerminated) return;
    this.#checkLease();
    const queued = this.#onResume;
    this.#onResume = [];
    for (const goOn of queued) goOn();
  }

  /** In the machine's own time, which doesn't pass while it hangs. */
  #after(ms: number, fire: () => void): void {
    const stood = this.#stoodMs;
    this.deps.clock.after(ms, () => {
      const goOn = (): void => {
        const missed = this.#stoodMs - stood;
        if (missed > 0) this.#after(missed, fire);
        else fire();
      };
      if (this.#hanging) this.#onResume.push(goOn);
      else goOn();
    });
  }

  /** Tasks that it has been told to start and that are not running yet. */
  get startingTasks(): string[] {
    return [...this.attempts.values()]
      .filter((p) => p.standing === 'fetching')
      .map((p) => `${p.job}/${p.task}`);
  }

  /** CPUs that no task holds. */
  get freeCpus(): number {
    return [...this.attempts.values()]
      .filter((p) => p.standing !== 'ended')
      .reduce((free, p) => free - (this.deps.ground.jobProfile(p.job)?.cpus ?? 0), this.machine.cpus);
  }

  /** The cloud takes the machine away. */
  terminate(): void {
    this.isTerminated = true;
    this.isUp = false;
    this.#onResume = [];
    this.deps.network.detach(this.address);
    this.#dropAll();
  }

  report(): Record<string, unknown> {
    this.sequence += 1;
    return {
      ...{ hearth: this.id, endpoint: this.address, frame: this.machine.frame, yard: this.machine.yard },
      ...{
        loaners: this.machine.loaners,
        shift: this.incarnation,
        tally: this.sequence,
        baton: this.fencingToken,
      },
      warningS: this.spotNoticeS,
      pieces: [...this.attempts.values()].map((p) => ({
        piece: `${p.job}/${p.task}`,
        try: p.attempt,
        standing: p.standing,
        ...(p.cause === undefined ? {} : { cause: p.cause }),
        ...(p.stored === undefined ? {} : { stored: p.stored }),
      })),
    };
  }

  async #run(): Promise<void> {
    const { clock, network } = this.deps;
    while (!this.isTerminated) {
      this.#checkLease();
      if (this.isHanging) {
        await clock.sleep(100);
        continue;
      }
      const node = this.nodes[this.#node % this.nodes.length];
      if (!node) return;
      const sentAt = clock.now();
      const { incarnation } = this;
      let pauseMs = 1000;
      try {
        const answer = await network
          .caller(this.id)
          .call(node.address, 'POST', '/hello', this.report(), 4000);
        // What came during a hang is read when it goes on; a response that is too old by then is dropped.
        if (this.#hanging) await new Promise<void>((goOn) => this.#onResume.push(goOn));
        if (clock.now() - sentAt > 4000) throw new NoResponseError('time is up', true);
        if (answer.status === 200) {
          const body = answer.body as Orders;
          if (
            body.baton !== undefined &&
            body.baton >= this.fencingToken &&
            this.incarnation === incarnation
          ) {
            this.fencingToken = body.baton;
            this.#answeredSentAt = sentAt;
            this.#execute(body.orders);
          }
          pauseMs = this.timing.reportS * 1000;
        } else {
          const foreman = (answer.body as { foreman?: string } | null)?.foreman;
          const named = this.nodes.findIndex((n) => n.name === foreman);
          if (answer.status === 421 && named >= 0 && named !== this.#node % this.nodes.length) {
            this.#node = named;
            pauseMs = 100;
          } else {
            this.#node += 1;
          }
        }
      } catch (error) {
        if (!(error instanceof NoResponseError)) throw error;
        this.#node += 1;
      }
      await clock.sleep(pauseMs);
    }
  }

  #checkLease(): void {
    if (this.deps.clock.now() - this.#answeredSentAt <= this.timing.leaseS * 1000) return;
    this.#dropAll();
    this.incarnation += 1;
    this.#answeredSentAt = this.deps.clock.now();
  }

  #dropAll(): void {
    for (const piece of this.attempts.values()) this.#leave(piece);
    this.attempts.clear();
  }

  #leave(piece: Piece): void {
    if (piece.standing === 'running' || piece.standing === 'flushing') {
      this.deps.ground.onTaskLeft(`${piece.job}/${piece.task}`, this.id);
    }
  }

  #handle(request: Request): HttpResponse | Promise<HttpResponse> {
    if (this.malformedAnswer) return this.malformedAnswer();
    if (!this.#hanging) return this.#answer(request);
    return new Promise((resolve) => {
      this.#onResume.push(() => {
        resolve(this.#answer(request));
      });
    });
  }

  #answer({ path, body }: Request): HttpResponse {
    this.#checkLease();
    if (path === '/inspect') return { status: 200, body: this.report() };
    const { baton, shift, orders } = body as Orders;
    if (baton === undefined || shift === undefined) return { status: 400, body: null };
    if (baton < this.fencingToken || shift !== this.incarnation) return { status: 409, body: this.report() };
    this.fencingToken = baton;
    this.#execute(orders);
    return { status: 200, body: this.report() };
  }

  #execute(orders: Orders['orders']): void {
    for (const order of orders) {
      const key = `${order.piece}#${order.try}`;
      const piece = this.attempts.get(key);
      if (order.verb === 'run') {
        this.startCommands.push(key);
        if (!piece) this.#begin(key, order);
      } else if (order.verb === 'halt') {
        if (piece && piece.standing !== 'ended') this.#halt(piece, order.leewayS ?? 0);
      } else if (piece?.standing === 'ended') {
        this.reapCommands.push(key);
        this.attempts.delete(key);
      }
    }
  }

  #begin(key: string, order: { piece: string; try: number }): void {
    const [job = '', task] = order.piece.split('/');
    const facts = this.deps.ground.jobProfile(job);
    const piece: Piece = { job, task: Number(task), attempt: order.try, standing: 'fetching' };
    this.attempts.set(key, piece);
    const others = [...this.attempts.values()].filter((p) => p !== piece && p.standing !== 'ended');
    const used = others.reduce((sum, p) => sum + (this.deps.ground.jobProfile(p.job)?.cpus ?? 0), 0);
    if (!facts) Object.assign(piece, { standing: 'ended', cause: 'unknown' });
    else if (others.some((p) => p.job === job && p.task === piece.task)) {
      Object.assign(piece, { standing: 'ended', cause: 'in_use' });
    } else if (used + facts.cpus > this.machine.cpus) {
      Object.assign(piece, { standing: 'ended', cause: 'full' });
    } else {
      this.#after(FETCH_MS, () => {
        this.#ran(key, piece, facts);
      });
    }
  }

  #ran(key: string, piece: Piece, facts: JobProfile): void {
    if (this.attempts.get(key) !== piece || piece.standing !== 'fetching') return;
    piece.standing = 'running';
    this.deps.ground.onTaskStarted(`${piece.job}/${piece.task}`, this.id);
    // The result of a task that completed is kept.
    const runMs = this.deps.ground.hasCompleted(`${piece.job}/${piece.task}`) ? 0 : facts.runS * 1000;
    this.#after(this.failsTasks ? 500 : runMs, () => {
      if (this.attempts.get(key) === piece && piece.standing === 'running') {
        this.#end(piece, this.failsTasks ? 'error' : 'done');
      }
    });
  }

  #halt(piece: Piece, leewayS: number): void {
    const facts = this.deps.ground.jobProfile(piece.job);
    if (piece.standing === 'running' && facts && facts.checkpointS > 0 && leewayS >= facts.saveS) {
      piece.standing = 'flushing';
      this.#after(facts.saveS * 1000, () => {
        if (piece.standing === 'flushing') {
          this.#end(piece, 'halted');
          piece.stored = true;
        }
      });
    } else if (piece.standing !== 'flushing' || leewayS === 0) {
      this.#end(piece, 'halted');
    }
  }

  #end(piece: Piece, cause: string): void {
    this.#leave(piece);
    piece.standing = 'ended';
    piece.cause = cause;
    if (cause === 'done') this.deps.ground.onTaskCompleted(`${piece.job}/${piece.task}`);
  }
}
