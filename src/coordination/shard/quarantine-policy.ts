/** @file Tells faulty machines from faulty jobs by the tasks that fail. */
import type { DispatchTable } from './dispatch-table';
import type { Machine } from './machine';

/** Failures in a row of one job, which succeeds elsewhere, after which a machine is sick. */
const ERRORS_OF_ONE_JOB = 3;
/** Different jobs failing in a row after which a machine is sick. */
const JOBS_WITH_ERRORS = 2;

/**
 * Marks machines as sick. A machine is sick when tasks of several jobs fail there in a row, or repeatedly tasks of a job
 * that succeeds elsewhere. A job that is suspect itself, because it failed on several machines, counts against none.
 */
export class QuarantinePolicy {
  /** A task completed on the machine. */
  onTaskSucceeded(machine: Machine): void {
    machine.consecutiveFailures = 0;
    machine.failedJobs.clear();
  }

  /** A task of the table's job failed on the machine. */
  onTaskFailed(machine: Machine, table: DispatchTable): void {
    if (table.isJobSuspect) return;
    machine.consecutiveFailures += 1;
    machine.failedJobs.add(table.job.id);
    const proven = table.done > 0;
    if (
      machine.failedJobs.size >= JOBS_WITH_ERRORS ||
      (proven && machine.consecutiveFailures >= ERRORS_OF_ONE_JOB)
    ) {
      machine.isQuarantined = true;
    }
  }
}
