/** @file Whether a task fits into free resources, and whether its job's own constraints allow a machine or a zone. */
import type { Job, MachineType, Resources } from '../../protocol/model';

/** Sums of decimal amounts drift; amounts that differ by less than this count as equal. */
export const RESOURCE_TOLERANCE = 1e-6;

/** What a job's constraints say something about: a machine, or a kind of machine that can be rented. */
export interface MachineKind {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** Whether the needs fit into the free room. */
export function fitsInto(needs: Resources, free: Resources): boolean {
  return (
    needs.cpus <= free.cpus + RESOURCE_TOLERANCE &&
    needs.gpus <= free.gpus + RESOURCE_TOLERANCE &&
    needs.memoryGb <= free.memoryGb + RESOURCE_TOLERANCE
  );
}

/** Whether the job's own constraints allow the machine. */
export function isEligible(job: Job, machine: MachineKind): boolean {
  return (
    (job.spot || !machine.spot) &&
    (job.zone === null || job.zone === machine.zone) &&
    (job.types === null || job.types.includes(machine.type.name))
  );
}

/** Whether one more task may go to a zone, given where the job's others are. */
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
