/** @file Takes the snapshot of the jobs of a shard that have tasks waiting for machines. */
import type { DispatchTable } from '../shard/dispatch-table';
import type { Shard } from '../shard/shard';
import type { WaitingJob } from './job-queue';

/** The jobs with tasks that may be issued now. Jobs that have waited for longer than `boostAfterMs` may be boosted. */
export function waitingJobs(shard: Shard, boostAfterMs: number, now: number): WaitingJob[] {
  const areAllMachinesConfirmed = shard.areAllMachinesConfirmed;
  const waiting: WaitingJob[] = [];
  for (const table of shard.tables.values()) {
    shard.updatePriority(table);
    if (table.unassigned === 0 || !shard.areDependenciesDone(table) || table.retryAt > now) continue;
    // Tasks of a job accepted before this owner acquired the shard may already run on unconfirmed machines, so the job
    // waits. Jobs accepted later have no tasks on them; resources their team may occupy on them count against its limit.
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
    // The boost keeps a large late job from starving while users submit more small or urgent work than the fleet can run.
    isBoosted:
      shard.waitedMs(table) > boostAfterMs && (!hasStarted || slackMs < 0) && !table.isJobLikelyFaulty,
    hasStarted,
    submittedAt: table.waitingSince,
  };
}
