/** @file Decides from task failures whether a machine is faulty. */
import type { DispatchTable } from './dispatch-table';
import type { Machine } from './machine';

/** A machine counts as faulty after this many consecutive task failures of a job that has completed other tasks. */
const FAULTY_AFTER_FAILURES_OF_ONE_JOB = 3;
/** A machine counts as faulty once its consecutive failures include this many different jobs. */
const FAULTY_AFTER_FAILING_JOBS = 2;

/**
 * Quarantines a machine if tasks of several jobs fail there in a row, or if tasks of one job fail there repeatedly but
 * succeed elsewhere. Failures of a likely faulty job (no completed task, failures on several machines) don't count.
 */
export class QuarantinePolicy {
  /** Handles the success of a task on the machine. */
  onTaskSucceeded(machine: Machine): void {
    machine.failures.clear();
  }

  /** Handles the failure of a task of the table's job on the machine. */
  onTaskFailed(machine: Machine, table: DispatchTable): void {
    if (table.isJobLikelyFaulty) return;
    const { failures } = machine;
    failures.add(table.job.id);
    const succeedsElsewhere = table.done > 0;
    const failsRepeatedly = succeedsElsewhere && failures.length >= FAULTY_AFTER_FAILURES_OF_ONE_JOB;
    if (failures.jobCount >= FAULTY_AFTER_FAILING_JOBS || failsRepeatedly) machine.quarantine();
  }
}
