/** The service's own terms. The names on the wire stay in the schemas beside this file. */

export type Priority = 'production' | 'high' | 'normal' | 'low';

export const PRIORITY_RANK: Record<Priority, number> = { production: 0, high: 1, normal: 2, low: 3 };

export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

export function addResources(room: Resources, needs: Resources): void {
  room.cpus += needs.cpus;
  room.gpus += needs.gpus;
  room.memoryGb += needs.memoryGb;
}

export function subtractResources(room: Resources, needs: Resources): void {
  room.cpus -= needs.cpus;
  room.gpus -= needs.gpus;
  room.memoryGb -= needs.memoryGb;
}

/** An array job as its user described it. */
export interface Job extends Resources {
  id: string;
  jobClass: string;
  team: string;
  priority: Priority;
  tasks: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  image: string;
  imageGb: number;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts; absent where there are none. */
  dependencies?: readonly string[];
}

export interface MachineType extends Resources {
  name: string;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export type FinalState = 'done' | 'cancelled';
export type JobState = 'queued' | 'running' | FinalState;

export interface JobStatus {
  id: string;
  state: JobState;
  done: number;
  running: number;
  /** What a job that has to wait still waits for; absent where it waits for none. */
  unfinishedDependencies?: readonly string[];
}

export type AttemptPhase = 'fetching' | 'running' | 'checkpointing' | 'exited';
export type ExitCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown';

/** One attempt of one task, as a worker reports it. */
export interface ReportedAttempt {
  job: string;
  task: number;
  attempt: number;
  phase: AttemptPhase;
  cause: ExitCause | null;
  hasCheckpoint: boolean;
}

export interface WorkerHeartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  incarnation: number;
  sequence: number;
  fencingToken: number;
  spotNoticeS: number | null;
  attempts: ReportedAttempt[];
}

export type WorkerCommand =
  | { op: 'start'; job: string; task: number; attempt: number }
  | { op: 'stop'; job: string; task: number; attempt: number; graceS: number }
  | { op: 'forget'; job: string; task: number; attempt: number };

export interface ListedMachine {
  id: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
}

export function attemptKey(job: string, task: number, attempt: number): string {
  return `${job}/${task}#${attempt}`;
}
