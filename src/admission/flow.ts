/** @file Flows, the units among which admission divides capacity, and the cost of a job. */
import type { Job } from '../protocol/model';

/** All jobs of one class and one team. */
export interface Flow {
  readonly jobClass: string;
  readonly team: string;
}

/** A map key that is unique for each flow. */
export function flowKey({ jobClass, team }: Flow): string {
  return JSON.stringify([jobClass, team]);
}

/** The flow that a job belongs to. */
export function flowOf({ jobClass, team }: Job): Flow {
  return { jobClass, team };
}

/** The CPU seconds that a job needs, by its user's estimate. */
export function jobCost({ cpus, tasks, estimateS }: Job): number {
  return cpus * tasks * estimateS;
}
