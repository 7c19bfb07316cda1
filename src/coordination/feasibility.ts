/** @file Whether a job can ever run, given the machine types of the cloud and the limits of its team. */
import type { Job, MachineType } from '../protocol/model';

/** The limits of a team in the settings; 0 means no limit. */
interface TeamLimits {
  readonly name: string;
  readonly cpus_max: number;
  readonly gpus_max: number;
}

/** Whether the job allows the type in some zone, and one of its tasks fits an empty machine of the type. */
function fitsMachineType(job: Job, type: MachineType): boolean {
  return (
    job.cpus <= type.cpus &&
    job.gpus <= type.gpus &&
    job.memoryGb <= type.memoryGb &&
    (job.types === null || job.types.includes(type.name)) &&
    (job.zone === null || type.zones.includes(job.zone))
  );
}

/** Why a job can never run; undefined when it can. */
export function findInfeasibility(
  job: Job,
  types: readonly MachineType[],
  teams: readonly TeamLimits[],
): string | undefined {
  const team = teams.find(({ name }) => name === job.team);
  if (!team) return 'unknown team';
  if (!types.some((type) => fitsMachineType(job, type))) return 'a task fits no allowed machine type';
  if (team.cpus_max > 0 && job.cpus > team.cpus_max) return "a task needs more CPUs than the team's limit";
  if (team.gpus_max > 0 && job.gpus > team.gpus_max) return "a task needs more GPUs than the team's limit";
  return undefined;
}
