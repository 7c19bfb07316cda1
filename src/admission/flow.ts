/** @file Flows, the units among which admission shares capacity, and the cost of a job. */
import type { Job } from '../protocol/model';

/** All jobs of one class and one team. */
export interface Flow {
  readonly jobClass: string;
  readonly team: string;
}

/** A string that is the same for equal flows and differs for all others. */
export function flowKey({ jobClass, team }: Flow): string {
  return JSON.stringify([jobClass, team]);
}

/** The flow that a job belongs to. */
export function flowOf({ jobClass, team }: Job): Flow {
  return { jobClass, team };
}

/** What a job takes of the fleet, in CPU seconds, by its owner's estimate. */
export function jobCost({ cpus, tasks, estimateS }: Job): number {
  return cpus * tasks * estimateS;
}
