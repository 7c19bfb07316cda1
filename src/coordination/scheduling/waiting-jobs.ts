/** @file Observes which jobs of a shard have tasks waiting for machines. */
import type { DispatchTable } from '../shard/dispatch-table';
import type { Shard } from '../shard/shard';
import type { WaitingJob } from './job-queue';

/** The jobs of which a task may be issued now; those that have waited for longer than `boostAfterMs` may be boosted. */
export function waitingJobs(shard: Shard, boostAfterMs: number, now: number): WaitingJob[] {
  const areAllMachinesConfirmed = shard.areAllMachinesConfirmed;
  const waiting: WaitingJob[] = [];
  for (const table of shard.tables.values()) {
    shard.updatePriority(table);
    if (table.unassigned === 0 || !shard.areDependenciesDone(table) || table.retryAt > now) continue;
    // A task may still be on a machine that has sent nothing since we acquired the shard. Only a job that was accepted
    // after that can't be; what its team may use there is counted against its limit.
    if (!areAllMachinesConfirmed && table.version <= shard.acquiredRevision) continue;
    waiting.push(describeWaitingJob(shard, table, boostAfterMs, now));
  }
  return waiting;
}

function describeWaitingJob(
  shard: Shard,
  table: DispatchTable,
  boostAfterMs: number,
  now: number,
): WaitingJob {
  const { job } = table;
  const expectedRunS = shard.runTimes.runTimeS(job);
  const slackMs = shard.slackMs(table);
  const hasStarted = table.done > 0 || table.issued.size > 0;
  return {
    job,
    waitingTasks: table.unassigned,
    tasksPerZone: shard.usage.zonesOf(job.id),
    slackMs,
    remainingCpuS: table.remaining * job.cpus * expectedRunS,
    machinesToAvoid: table.machinesToAvoid(now),
    expectedRunS,
    // However much that is smaller or more urgent comes in: the oldest get some room with a priority boost, for
    // otherwise a large job that is late would wait for as long as the surplus lasts.
    isBoosted:
      shard.waitedMs(table) > boostAfterMs && (!hasStarted || slackMs < 0) && !table.isJobLikelyFaulty,
    hasStarted,
    submittedAt: table.waitingSince,
  };
}
