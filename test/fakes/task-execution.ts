/** @file Executes a fake worker's commands: starts, runs and stops attempts of tasks. */
import type { MachineClock } from './machine-clock';

/** How long it takes to fetch the files that a task needs. */
const FETCH_MS = 300;
/** How long a task runs before it fails on a machine that fails every task. */
const FAILED_RUN_MS = 500;

/** An attempt, with the wire's names of its states. */
export interface Attempt {
  readonly job: string;
  readonly task: number;
  readonly number: number;
  state: 'fetching' | 'running' | 'flushing' | 'ended';
  cause?: string;
  stored?: boolean;
}

/** A command in its wire format. */
export interface Command {
  verb: string;
  piece: string;
  try: number;
  leewayS?: number;
}

/** What a worker knows about a job: how long its tasks run and take to save a checkpoint, and the CPUs of a task. */
export interface JobProfile {
  runS: number;
  saveS: number;
  checkpointS: number;
  cpus: number;
}

/** Provides job profiles, and is notified of task starts and ends on machines. */
export interface TaskObserver {
  jobProfile(job: string): JobProfile | undefined;
  onTaskStarted(task: string, machine: string): void;
  onTaskLeft(task: string, machine: string): void;
  onTaskCompleted(task: string): void;
  hasCompleted(task: string): boolean;
}

const taskIdOf = ({ job, task }: Attempt): string => `${job}/${task}`;

/** The attempts on one machine. */
export class TaskExecution {
  /** By task and number of the attempt. */
  readonly attempts = new Map<string, Attempt>();
  /** Every start command that was executed, by task and number of the attempt. */
  readonly startCommands: string[] = [];
  readonly reapCommands: string[] = [];
  /** Whether every task that starts here fails. */
  failsTasks = false;

  constructor(
    private readonly machine: { readonly id: string; readonly cpus: number },
    private readonly clock: MachineClock,
    private readonly tasks: TaskObserver,
  ) {}

  /** Tasks whose start command was executed and that don't run yet. */
  get startingTasks(): string[] {
    return [...this.attempts.values()].filter(({ state }) => state === 'fetching').map(taskIdOf);
  }

  /** CPUs that no attempt uses. */
  get freeCpus(): number {
    return [...this.attempts.values()]
      .filter(({ state }) => state !== 'ended')
      .reduce((free, { job }) => free - this.#cpusOf(job), this.machine.cpus);
  }

  execute(commands: readonly Command[]): void {
    for (const command of commands) {
      const key = `${command.piece}#${command.try}`;
      const attempt = this.attempts.get(key);
      if (command.verb === 'run') {
        this.startCommands.push(key);
        if (!attempt) this.#start(key, command);
      } else if (command.verb === 'halt') {
        if (attempt && attempt.state !== 'ended') this.#stop(attempt, command.leewayS ?? 0);
      } else if (attempt?.state === 'ended') {
        this.reapCommands.push(key);
        this.attempts.delete(key);
      }
    }
  }

  /** Drops all attempts at once. */
  dropAll(): void {
    for (const attempt of this.attempts.values()) this.#notifyTaskLeft(attempt);
    this.attempts.clear();
  }

  #cpusOf(job: string): number {
    return this.tasks.jobProfile(job)?.cpus ?? 0;
  }

  #start(key: string, command: Command): void {
    const [job = '', task] = command.piece.split('/');
    const attempt: Attempt = { job, task: Number(task), number: command.try, state: 'fetching' };
    this.attempts.set(key, attempt);
    const profile = this.tasks.jobProfile(job);
    const refusal = this.#startRefusal(attempt, profile);
    if (refusal !== undefined) {
      attempt.state = 'ended';
      attempt.cause = refusal;
    } else if (profile) {
      this.clock.after(FETCH_MS, () => {
        this.#run(key, attempt, profile);
      });
    }
  }

  /** Why an attempt can't start here. */
  #startRefusal(attempt: Attempt, profile: JobProfile | undefined): string | undefined {
    if (!profile) return 'unknown';
    const others = [...this.attempts.values()].filter(
      (other) => other !== attempt && other.state !== 'ended',
    );
    if (others.some(({ job, task }) => job === attempt.job && task === attempt.task)) return 'in_use';
    const used = others.reduce((sum, { job }) => sum + this.#cpusOf(job), 0);
    return used + profile.cpus > this.machine.cpus ? 'full' : undefined;
  }

  #run(key: string, attempt: Attempt, profile: JobProfile): void {
    if (this.attempts.get(key) !== attempt || attempt.state !== 'fetching') return;
    attempt.state = 'running';
    this.tasks.onTaskStarted(taskIdOf(attempt), this.machine.id);
    // If the task completed in an earlier attempt, its result is stored, and this attempt ends at once.
    const runMs = this.tasks.hasCompleted(taskIdOf(attempt)) ? 0 : profile.runS * 1000;
    this.clock.after(this.failsTasks ? FAILED_RUN_MS : runMs, () => {
      if (this.attempts.get(key) === attempt && attempt.state === 'running') {
        this.#end(attempt, this.failsTasks ? 'error' : 'done');
      }
    });
  }

  #stop(attempt: Attempt, graceS: number): void {
    const profile = this.tasks.jobProfile(attempt.job);
    const canSave = profile !== undefined && profile.checkpointS > 0 && graceS >= profile.saveS;
    if (attempt.state === 'running' && canSave) {
      attempt.state = 'flushing';
      this.clock.after(profile.saveS * 1000, () => {
        if (attempt.state !== 'flushing') return;
        this.#end(attempt, 'halted');
        attempt.stored = true;
      });
    } else if (attempt.state !== 'flushing' || graceS === 0) {
      this.#end(attempt, 'halted');
    }
  }

  #end(attempt: Attempt, cause: string): void {
    this.#notifyTaskLeft(attempt);
    attempt.state = 'ended';
    attempt.cause = cause;
    if (cause === 'done') this.tasks.onTaskCompleted(taskIdOf(attempt));
  }

  #notifyTaskLeft(attempt: Attempt): void {
    if (attempt.state === 'running' || attempt.state === 'flushing') {
      this.tasks.onTaskLeft(taskIdOf(attempt), this.machine.id);
    }
  }
}
