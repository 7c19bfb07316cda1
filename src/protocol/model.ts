/**
 * @file The data model of jobs, machines and heartbeats. The names on the wire occur only in the schemas beside this file.
 * Durations are in seconds (suffix `S`), sizes in gigabytes (suffix `Gb`), resources per task or per machine.
 */
import type { Uint64 } from '../base/uint64';

/** The priority of a job's tasks, which preempt only tasks of a lower priority. */
export type Priority = 'production' | 'high' | 'normal' | 'low';

/** Priorities in order, the highest first. */
export const PRIORITY_RANK: Record<Priority, number> = { production: 0, high: 1, normal: 2, low: 3 };

/** The resources that a task uses or a machine offers. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Adds resources in place. */
export function addResources(target: Resources, amount: Resources): void {
  target.cpus += amount.cpus;
  target.gpus += amount.gpus;
  target.memoryGb += amount.memoryGb;
}

/** Subtracts resources in place. */
export function subtractResources(target: Resources, amount: Resources): void {
  target.cpus -= amount.cpus;
  target.gpus -= amount.gpus;
  target.memoryGb -= amount.memoryGb;
}

/** A job array as its user described it; the resources are those of one task. Stored with these field names. */
export interface Job extends Resources {
  id: string;
  /** The class of jobs to which this job belongs; service-level objectives are stated by class. */
  jobClass: string;
  /** The team whose guaranteed share and quota apply to the job. */
  team: string;
  priority: Priority;
  /** Number of tasks in the array; they are numbered from 0. */
  tasks: number;
  /** The allowed machine types; null: any. */
  types: string[] | null;
  /** The only allowed zone; null: any. */
  zone: string | null;
  /** Whether all tasks must be in the same zone. */
  oneZone: boolean;
  /** Whether at most half of the tasks, rounded up, may be in one zone. */
  spread: boolean;
  /** Whether the job's tasks may run on spot machines. */
  spot: boolean;
  /** The image that a machine must have fetched before a task can run. */
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
  /** Ids of the jobs that must be done before any task of this job starts; absent if there are none. */
  dependencies?: readonly string[];
}

/** A machine type that the cloud offers. */
export interface MachineType extends Resources {
  name: string;
  /** Space for cached images. */
  cacheGb: number;
  /** Nominal rate at which a machine fetches an image. */
  fetchGbPerS: number;
  /** Price per hour of an on-demand machine. */
  price: number;
  /** Current price per hour of a spot machine. */
  spotPrice: number;
  /** Nominal boot time. */
  bootS: number;
  /** The zones that offer this type. */
  zones: string[];
}

/** The state of a job that has ended. */
export type FinalState = 'done' | 'cancelled';
/** The state of a job as its user sees it. */
export type JobState = 'queued' | 'running' | FinalState;

/** The status of a job as its user sees it. */
export interface JobStatus {
  id: string;
  state: JobState;
  /** Number of tasks that are done. */
  done: number;
  /** Number of running tasks. */
  running: number;
  /** Ids of the dependencies that are not done yet; absent if there are none. */
  unfinishedDependencies?: readonly string[];
}

/** The execution phase of an attempt on its machine. */
export type AttemptPhase = 'fetching' | 'running' | 'checkpointing' | 'exited';
/**
 * Why an attempt exited. The last three mean that the worker refused the start command: too few free resources, another
 * attempt of the same task is on the machine, or no such job or task.
 */
export type ExitCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown';

/** One attempt of one task, as a worker's heartbeat reports it. */
export interface ReportedAttempt {
  job: string;
  task: number;
  attempt: Uint64;
  phase: AttemptPhase;
  /** Null unless the attempt has exited. */
  cause: ExitCause | null;
  /** Whether a stopped attempt wrote a checkpoint. */
  hasCheckpoint: boolean;
}

/** A worker's report of its own state and of the attempts on its machine. */
export interface WorkerHeartbeat {
  machine: string;
  /** The address at which the worker accepts commands: IP:PORT. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** The worker's incarnation: starts at 1, and increases each time its lease expires. */
  incarnation: Uint64;
  /** Increases with every message of the worker: the message with the larger (incarnation, sequence) is newer. */
  sequence: Uint64;
  /** The highest fencing token that the worker has seen. */
  fencingToken: Uint64;
  /** Time until the cloud reclaims the spot machine; null without a spot interruption notice. */
  spotNoticeS: number | null;
  /** All attempts on the machine, exited ones included until a `forget` command removes them. */
  attempts: ReportedAttempt[];
}

/**
 * A command to a worker. `start` and `stop` may be repeated; after `forget` the worker no longer knows the attempt, so a
 * repeated `start` would run it again.
 */
export type WorkerCommand =
  | { op: 'start'; job: string; task: number; attempt: Uint64 }
  /** If `graceS` is at least the job's `saveS`, the task writes a checkpoint before it exits. */
  | { op: 'stop'; job: string; task: number; attempt: Uint64; graceS: number }
  | { op: 'forget'; job: string; task: number; attempt: Uint64 };

/** A machine in the cloud's list, which lags behind the machines' actual states. */
export interface ListedMachine {
  id: string;
  /** The worker's address; IP:PORT. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Time from the rental of the machine to the time that the list describes. */
  ageS: number;
}

/** A key for an attempt, unique among all jobs. */
export function attemptKey(job: string, task: number, attempt: Uint64): string {
  return `${job}/${task}#${attempt}`;
}
