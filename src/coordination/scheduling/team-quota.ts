/** @file Teams' guarantees and upper limits, and the checks whether one more task stays within them. */
import type { Job } from '../../protocol/model';
import { RESOURCE_TOLERANCE } from './constraints';

/** The resources that a team's tasks occupy, or may occupy. */
export interface TeamUsage {
  readonly cpus: number;
  readonly gpus: number;
}

/** A team's guarantee (`cpus`, `gpus`) and its upper limits, where 0 means no limit. */
export interface TeamQuota {
  readonly cpus: number;
  readonly cpus_max: number;
  readonly gpus: number;
  readonly gpus_max: number;
}

/** Whether one more task of the job stays within its team's upper limits. */
export function isWithinQuota(job: Job, usage: TeamUsage, quota: TeamQuota): boolean {
  return (
    (quota.cpus_max === 0 || usage.cpus + job.cpus <= quota.cpus_max + RESOURCE_TOLERANCE) &&
    (quota.gpus_max === 0 || usage.gpus + job.gpus <= quota.gpus_max + RESOURCE_TOLERANCE)
  );
}

/** Whether one more task of the job stays within its team's guarantee. */
export function isWithinGuarantee(job: Job, usage: TeamUsage, quota: TeamQuota): boolean {
  return (
    usage.cpus + job.cpus <= quota.cpus + RESOURCE_TOLERANCE &&
    (job.gpus === 0 || usage.gpus + job.gpus <= quota.gpus + RESOURCE_TOLERANCE)
  );
}
