/**
 * @file The scheduler's own terms for jobs, machines and heartbeats. The words on the wire stay in the schemas beside
 * this file. Durations are in seconds (suffix `S`), sizes in gigabytes (suffix `Gb`), resources per task or per machine.
 */

/** The priority of a job's tasks; only work of a lower priority is preempted for it. */
export type Priority = 'production' | 'high' | 'normal' | 'low';

/** Priorities in order, the highest first. */
export const PRIORITY_RANK: Record<Priority, number> = { production: 0, high: 1, normal: 2, low: 3 };

/** What a task takes of a machine, or what a machine offers. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Adds resources in place. */
export function addResources(room: Resources, needs: Resources): void {
  room.cpus += needs.cpus;
  room.gpus += needs.gpus;
  room.memoryGb += needs.memoryGb;
}

/** Subtracts resources in place. */
export function subtractResources(room: Resources, needs: Resources): void {
  room.cpus -= needs.cpus;
  room.gpus -= needs.gpus;
  room.memoryGb -= needs.memoryGb;
}

/** A job array as its user described it; the resources are those of one task. Stored with these field names. */
export interface Job extends Resources {
  id: string;
  /** The class of jobs that it belongs to; service-level objectives are stated by class. */
  jobClass: string;
  /** The team whose guaranteed share and quota apply. */
  team: string;
  priority: Priority;
  /** How many tasks the array has; they are numbered from 0. */
  tasks: number;
  /** The allowed machine types; null: any. */
  types: string[] | null;
  /** The only allowed zone; null: any. */
  zone: string | null;
  /** All tasks must be in the same zone. */
  oneZone: boolean;
  /** At most half of the tasks, rounded up, may be in one zone. */
  spread: boolean;
  /** Whether its tasks may run on spot machines. */
  spot: boolean;
  /** The image that a machine must hold before a task can start. */
  image: string;
  imageGb: number;
  /** The user's estimate of one task's run time, without the fetch of the image; often wrong by half. */
  estimateS: number;
  /** Run time between two checkpoints; 0: the tasks write none, and lose their work when they are stopped. */
  checkpointS: number;
  /** Time that a task needs to write a checkpoint when it is stopped. */
  saveS: number;
  /** Time from submission until the job should be complete; null: no deadline. */
  deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts; absent where there are none. */
  dependencies?: readonly string[];
}

/** A machine type that the cloud offers. */
export interface MachineType extends Resources {
  name: string;
  /** Space for cached images. */
  cacheGb: number;
  /** Nominal rate at which a machine fetches an image. */
  fetchGbPerS: number;
  /** Price per hour of an ordinary machine. */
  price: number;
  /** Price per hour of a spot machine, at present. */
  spotPrice: number;
  /** Nominal boot time. */
  bootS: number;
  /** The zones that offer this type. */
  zones: string[];
}

/** The state of a job that is over. */
export type FinalState = 'done' | 'cancelled';
/** The state of a job as its user sees it. */
export type JobState = 'queued' | 'running' | FinalState;

/** The status of a job as its user sees it. */
export interface JobStatus {
  id: string;
  state: JobState;
  /** Number of tasks that are done. */
  done: number;
  /** Number of tasks that run. */
  running: number;
  /** Dependencies that are not done yet; absent where there are none. */
  unfinishedDependencies?: readonly string[];
}

/** How far an attempt is on its machine. */
export type AttemptPhase = 'fetching' | 'running' | 'checkpointing' | 'exited';
/**
 * Why an attempt exited. The last three are refused starts: not enough free resources, the same task is on the machine
 * with another attempt, and no such job or task.
 */
export type ExitCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown';

/** One attempt of one task, as the worker's heartbeat has it. */
export interface ReportedAttempt {
  job: string;
  task: number;
  attempt: number;
  phase: AttemptPhase;
  /** Null unless the attempt has exited. */
  cause: ExitCause | null;
  /** Whether a stopped attempt saved its progress. */
  hasCheckpoint: boolean;
}

/** A worker's message on itself and on the attempts on its machine. */
export interface WorkerHeartbeat {
  machine: string;
  /** Where the worker takes commands: IP:PORT. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** The worker's session: starts at 1, and rises each time its lease expires. */
  incarnation: number;
  /** Rises with every message of the worker: the larger (incarnation, sequence) is the newer message. */
  sequence: number;
  /** The highest fencing token that the worker has seen. */
  fencingToken: number;
  /** Time until the cloud takes the spot machine back; null without a notice. */
  spotNoticeS: number | null;
  /** All attempts on the machine, exited ones included until a `forget` command removes them. */
  attempts: ReportedAttempt[];
}

/**
 * A command to a worker. `start` and `stop` may be repeated; after `forget` the worker no longer knows the attempt, so a
 * repeated `start` would run it again.
 */
export type WorkerCommand =
  | { op: 'start'; job: string; task: number; attempt: number }
  /** With `graceS` of at least the job's `saveS`, the task writes a checkpoint before it exits. */
  | { op: 'stop'; job: string; task: number; attempt: number; graceS: number }
  | { op: 'forget'; job: string; task: number; attempt: number };

/** A machine in the cloud's list, which lags behind the machines themselves. */
export interface ListedMachine {
  id: string;
  /** The worker's address; IP:PORT. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Time since the machine was rented, at the time that the list describes. */
  ageS: number;
}

/** A key for an attempt, unique among all jobs. */
export function attemptKey(job: string, task: number, attempt: number): string {
  return `${job}/${task}#${attempt}`;
}
