/** @file Tells faulty machines from faulty jobs by the tasks that fail. */
import type { DispatchTable } from './dispatch-table';
import type { Machine } from './machine';

/** Failures in a row of one job, which succeeds elsewhere, after which a machine is faulty. */
const FAULTY_AFTER_FAILURES_OF_ONE_JOB = 3;
/** Different jobs failing in a row after which a machine is faulty. */
const FAULTY_AFTER_FAILING_JOBS = 2;

/**
 * Quarantines faulty machines. A machine is faulty when tasks of several jobs fail there in a row, or repeatedly tasks of
 * a job that succeeds elsewhere. A job that is suspect itself, because it failed on several machines, counts against none.
 */
export class QuarantinePolicy {
  /** A task completed on the machine. */
  onTaskSucceeded(machine: Machine): void {
    machine.failures.clear();
  }

  /** A task of the table's job failed on the machine. */
  onTaskFailed(machine: Machine, table: DispatchTable): void {
    if (table.isJobSuspect) return;
    const { failures } = machine;
    failures.add(table.job.id);
    const succeedsElsewhere = table.done > 0;
    const failsRepeatedly = succeedsElsewhere && failures.length >= FAULTY_AFTER_FAILURES_OF_ONE_JOB;
    if (failures.jobCount >= FAULTY_AFTER_FAILING_JOBS || failsRepeatedly) machine.quarantine();
  }
}
