/** @file The last phase of the randomized simulation: without faults, every accepted job must become final. */
import { CONTROLLERS, type SimulationContext } from './context';
import type { UserActions } from './user-actions';

/** Machines that can be rented now: as many as are needed, also in place of those that are returned. */
const ENOUGH_MACHINES = 1_000;
const JOBS_FINISH_TIMEOUT_S = 600;
/** Users whose cancellation got no answer repeat it, and what was cancelled last has to stop within the bound. */
const CANCELLATIONS_SETTLE_MS = 40_000;
const RESPONSES_ARRIVE_MS = 6_000;

/** Ends all faults, restarts what was killed, and checks that every accepted job becomes final. */
export class EndPhase {
  constructor(
    private readonly context: SimulationContext,
    private readonly users: UserActions,
  ) {}

  async run(): Promise<void> {
    this.#endFaults();
    await this.#untilJobsFinish();
    this.#repeatCancellations();
    await this.context.cluster.clock.advance(CANCELLATIONS_SETTLE_MS);
    // Jobs that were done before their cancellation leave their dependents to run.
    await this.#untilJobsFinish();
    await this.#pollAllJobs();
  }

  #endFaults(): void {
    const { context } = this;
    context.note('all faults end');
    context.isFaultPhaseOver = true;
    context.faults.endAll();
    for (const index of CONTROLLERS) if (!context.isAlive(index)) context.cluster.restart(index);
    context.cluster.capacity = ENOUGH_MACHINES;
  }

  async #untilJobsFinish(): Promise<void> {
    const { cluster } = this.context;
    await cluster.assertJobsFinish(JOBS_FINISH_TIMEOUT_S).catch((error: unknown) => {
      // What is wrong is among the violations then, with everything else.
      if (cluster.invariants.violations.length === 0) throw error;
    });
  }

  /** A user whose cancellation came before the job was known sends it again. */
  #repeatCancellations(): void {
    const { invariants } = this.context.cluster;
    for (const id of invariants.acceptedJobs) {
      if (invariants.finalState(id) === undefined && invariants.isCancellationRequested(id)) {
        this.users.cancel(id);
      }
    }
  }

  async #pollAllJobs(): Promise<void> {
    const { invariants, clock } = this.context.cluster;
    const { acceptedJobs } = invariants;
    for (const id of acceptedJobs) {
      this.users.pollAndResubmit(id);
      await clock.advance(20);
    }
    await clock.advance(RESPONSES_ARRIVE_MS);
    for (const id of acceptedJobs) {
      if (invariants.finalState(id) === undefined) invariants.report('waits', `${id} does not become final`);
    }
  }
}
