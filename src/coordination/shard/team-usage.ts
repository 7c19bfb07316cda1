/** @file What the teams of a shard use, machines included whose tasks are not known yet. */
import type { ControllerContext } from '../controller-context';
import type { TeamUsage } from '../scheduling/team-quota';
import { occupiesResources } from './attempt';
import type { Machine } from './machine';
import type { Shard } from './shard';

const NOTHING: TeamUsage = { cpus: 0, gpus: 0 };
const UNLIMITED: TeamUsage = { cpus: Infinity, gpus: Infinity };

/** What each team's tasks use, or may use: from before a start leaves until the attempt is known gone. */
export function usageByTeam(shard: Shard, context: ControllerContext): Map<string, TeamUsage> {
  const usage = shard.usage.byTeam();
  if (shard.areAllMachinesConfirmed) return usage;
  const unseen = unaccountedResources(shard);
  const bounds = maxUnseenUsage(shard, context);
  for (const name of shard.teams.keys()) {
    const seen = usage.get(name) ?? NOTHING;
    // What can't be seen yet may all belong to any one team, as far as it has tasks that can't be seen.
    const bound = bounds ? (bounds.get(name) ?? NOTHING) : UNLIMITED;
    usage.set(name, {
      cpus: seen.cpus + Math.min(unseen.cpus, bound.cpus),
      gpus: seen.gpus + Math.min(unseen.gpus, bound.gpus),
    });
  }
  return usage;
}

/** The resources of machines on which not all tasks are known, or not whose they are. */
function unaccountedResources(shard: Shard): TeamUsage {
  const machines = shard.usage.unattributedTasks > 0 ? shard.machines.values() : shard.unconfirmedMachines;
  let cpus = 0;
  let gpus = 0;
  for (const machine of machines) {
    if (isAccountedFor(machine)) continue;
    cpus += machine.type.cpus;
    gpus += machine.type.gpus;
  }
  return { cpus, gpus };
}

function isAccountedFor(machine: Machine): boolean {
  if (!machine.isConfirmed) return false;
  // A task of a job that is over, found after a failover: whose limit it fills is not known until it is gone.
  for (const attempt of machine.attempts.values())
    if (attempt.team === '' && occupiesResources(attempt)) return false;
  return true;
}

/**
 * The most that each team's tasks can use on machines that are not confirmed yet: those of its jobs from before the shard
 * was acquired that were not found anywhere, and those of jobs that ended lately. Counted in full, the machines of a zone
 * that is cut off would fill every team's limit by themselves. Undefined: it is not known here which jobs ended.
 */
function maxUnseenUsage(shard: Shard, context: ControllerContext): Map<string, TeamUsage> | undefined {
  const bounds: Map<string, TeamUsage> | undefined = context.endedJobs.usageByTeam();
  if (!bounds) return undefined;
  for (const { job, unassigned, version } of shard.tables.values()) {
    if (version > shard.acquiredRevision) continue;
    // No owner can have started a job while another that it needs was live, and our view is newer than what any owner
    // before us acted on.
    if (context.dependencies.hasLiveDependency(job.id)) continue;
    const sum = bounds.get(job.team) ?? NOTHING;
    bounds.set(job.team, {
      cpus: sum.cpus + unassigned * job.cpus,
      gpus: sum.gpus + unassigned * job.gpus,
    });
  }
  return bounds;
}
