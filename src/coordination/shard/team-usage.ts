/** @file Computes the resources that a shard's teams use, also on machines whose attempts are not known yet. */
import type { ControllerContext } from '../controller-context';
import type { TeamUsage } from '../scheduling/team-quota';
import { occupiesResources } from './attempt';
import type { Machine } from './machine';
import type { Shard } from './shard';

const NO_USAGE: TeamUsage = { cpus: 0, gpus: 0 };
const UNLIMITED: TeamUsage = { cpus: Infinity, gpus: Infinity };

/** Computes the resources that each team's attempts occupy, plus an upper bound for attempts that are not known yet. */
export function usageByTeam(shard: Shard, context: ControllerContext): Map<string, TeamUsage> {
  const usage = shard.usage.byTeam();
  if (shard.areAllMachinesConfirmed) return usage;
  const unaccounted = unaccountedResources(shard);
  const bounds = maxUnaccountedUsage(shard, context);
  for (const name of shard.teams.keys()) {
    const known = usage.get(name) ?? NO_USAGE;
    // Any one team may be using all unaccounted resources, but no more than its unaccounted tasks need.
    const bound = bounds ? (bounds.get(name) ?? NO_USAGE) : UNLIMITED;
    usage.set(name, {
      cpus: known.cpus + Math.min(unaccounted.cpus, bound.cpus),
      gpus: known.gpus + Math.min(unaccounted.gpus, bound.gpus),
    });
  }
  return usage;
}

/** Sums the resources of the machines that may run unknown attempts, or attempts whose team is unknown. */
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
  // An attempt without a team was found after a failover and its job has ended, so its team is unknown.
  for (const attempt of machine.attempts.values())
    if (attempt.team === '' && occupiesResources(attempt)) return false;
  return true;
}

/**
 * Computes an upper bound of each team's usage on unconfirmed machines: the unassigned tasks of jobs from before the
 * shard's acquisition, plus the tasks of recently ended jobs. Without this bound the unconfirmed machines of a
 * partitioned zone would use up every team's quota. Undefined if this controller has not watched the records for long
 * enough to know which jobs ended.
 */
function maxUnaccountedUsage(shard: Shard, context: ControllerContext): Map<string, TeamUsage> | undefined {
  const bounds: Map<string, TeamUsage> | undefined = context.endedJobs.usageByTeam();
  if (!bounds) return undefined;
  for (const { job, unassigned, version } of shard.tables.values()) {
    if (version > shard.acquiredRevision) continue;
    // No earlier owner can have started a job whose dependency is still live, because this controller's watch cache is
    // newer than the state that any earlier owner acted on.
    if (context.dependencies.hasLiveDependency(job.id)) continue;
    const sum = bounds.get(job.team) ?? NO_USAGE;
    bounds.set(job.team, {
      cpus: sum.cpus + unassigned * job.cpus,
      gpus: sum.gpus + unassigned * job.gpus,
    });
  }
  return bounds;
}
