/** @file Checks whether a task fits into free resources, and whether its job's constraints allow a machine or a zone. */
import type { Job, MachineType, Resources } from '../../protocol/model';

/** Amounts that differ by less than this count as equal, because sums of decimal fractions have rounding errors. */
export const RESOURCE_TOLERANCE = 1e-6;

/** The free resources of a machine on which no task fits, not even one that needs nearly nothing. */
export const NO_ROOM: Readonly<Resources> = { cpus: -2 * RESOURCE_TOLERANCE, gpus: 0, memoryGb: 0 };

/** The attributes of a machine, or of a kind of machine to rent, to which a job's constraints refer. */
export interface MachineKind {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** Whether the needed resources fit into the free resources. */
export function fitsInto(needs: Resources, free: Resources): boolean {
  return (
    needs.cpus <= free.cpus + RESOURCE_TOLERANCE &&
    needs.gpus <= free.gpus + RESOURCE_TOLERANCE &&
    needs.memoryGb <= free.memoryGb + RESOURCE_TOLERANCE
  );
}

/** Whether the job's constraints on spot machines, zone and machine types allow the machine. */
export function isEligible(job: Job, machine: MachineKind): boolean {
  return (
    (job.spot || !machine.spot) &&
    (job.zone === null || job.zone === machine.zone) &&
    (job.types === null || job.types.includes(machine.type.name))
  );
}

/** Whether the job's zone constraints allow one more task in a zone, given how many of its tasks are in each zone. */
export function zoneConstraintsAllow(
  job: Job,
  taskCounts: ReadonlyMap<string, number>,
  zone: string,
): boolean {
  if (job.oneZone) {
    for (const [other, count] of taskCounts) if (count > 0 && other !== zone) return false;
  }
  return !job.spread || (taskCounts.get(zone) ?? 0) < Math.ceil(job.tasks / 2);
}
