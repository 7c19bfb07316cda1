/** @file Shared inputs for tests of scheduling algorithms. */
import { MAX_TASKS_PER_MACHINE } from '../src/protocol/workers';
import type { WaitingJob } from '../src/coordination/scheduling/job-queue';
import type { Job, MachineType, Priority } from '../src/protocol/model';

export const type: MachineType = {
  name: 'm4',
  cpus: 4,
  gpus: 0,
  memoryGb: 16,
  cacheGb: 50,
  fetchGbPerS: 1,
  price: 1,
  spotPrice: 0.3,
  bootS: 10,
  zones: ['a', 'b'],
};

/** A job of four tasks with one CPU each; `fields` override the defaults. */
export function job(id: string, team: string, priority: Priority, fields: Partial<Job> = {}): Job {
  return {
    id,
    jobClass: 'batch',
    team,
    priority,
    tasks: 4,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    image: 'img',
    imageGb: 1,
    estimateS: 10,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...fields,
  };
}

/** A job whose tasks are all pending. */
export function waitingJob(j: Job, slackMs = 0, work = 1): WaitingJob {
  return {
    job: j,
    waitingTasks: j.tasks,
    tasksPerZone: new Map(),
    slackMs,
    remainingCpuS: work,
    machinesToAvoid: new Set(),
    expectedRunS: 10,
    isBoosted: false,
    hasStarted: false,
    submittedAt: 0,
  };
}

/** The limits of a team with this number of guaranteed CPUs. */
export const teamLimits = (
  cpus: number,
): { cpus: number; cpus_max: number; gpus: number; gpus_max: number } => ({
  cpus,
  cpus_max: 0,
  gpus: 0,
  gpus_max: 0,
});
export const machineWithFreeCpus = (id: string, cpus: number) => ({
  id,
  type,
  zone: 'a',
  spot: true,
  free: { cpus, gpus: 0, memoryGb: 16 },
  freeTasks: MAX_TASKS_PER_MACHINE,
  cachedImages: new Map(),
  busyForS: 0,
});
