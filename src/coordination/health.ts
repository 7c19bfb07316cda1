import type { DispatchTable } from './dispatch-table';
import type { Machine } from './machine';

const ERRORS_OF_ONE_JOB = 3;
const JOBS_WITH_ERRORS = 2;

/**
 * Tells sick machines from faulty jobs. A machine that fails tasks of several jobs in a row, or again and again tasks
 * of a job that succeeds elsewhere, is sick; a job that fails on several machines blames no more of them.
 */
export class Health {
  succeeded(machine: Machine): void {
    machine.errorsInRow = 0;
    machine.errorJobs.clear();
  }

  failed(machine: Machine, table: DispatchTable): void {
    if (table.suspect) return;
    machine.errorsInRow += 1;
    machine.errorJobs.add(table.job.id);
    const proven = table.done > 0;
    if (machine.errorJobs.size >= JOBS_WITH_ERRORS || (proven && machine.errorsInRow >= ERRORS_OF_ONE_JOB)) {
      machine.sick = true;
    }
  }
}
