/** @file The last phase of the randomized simulation: without faults, every accepted job must become final. */
import { CONTROLLERS, type SimulationContext } from './context';
import type { UserActions } from './user-actions';

/** The cloud's capacity in this phase: enough for all jobs, also while machines are replaced. */
const ENOUGH_MACHINES = 1_000;
const JOBS_FINISH_TIMEOUT_S = 600;
/** Covers the retries of cancellations without a response, and the time limit for the latest cancellation. */
const CANCELLATIONS_SETTLE_MS = 40_000;
/** A job may be accepted after its cancellation got 404, since a user repeats a submission for a minute. */
const MAX_CANCELLATION_ROUNDS = 3;
const RESPONSES_ARRIVE_MS = 6_000;

/** Ends all faults, restarts killed controllers, and checks that every accepted job becomes final. */
export class EndPhase {
  constructor(
    private readonly context: SimulationContext,
    private readonly users: UserActions,
  ) {}

  async run(): Promise<void> {
    this.#endFaults();
    await this.#untilJobsFinish();
    await this.#untilCancellationsSettle();
    // A job that was done before its cancellation is not cancelled, so its dependents still run.
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
      // When invariants were violated, the simulation reports the violations instead of this error.
      if (cluster.invariants.violations.length === 0) throw error;
    });
  }

  /** Repeats cancellations that had no effect because they arrived before the job was accepted, as users do. */
  async #untilCancellationsSettle(): Promise<void> {
    const { clock } = this.context.cluster;
    for (let round = 0; round < MAX_CANCELLATION_ROUNDS; round += 1) {
      for (const id of this.#unsettledCancellations()) this.users.cancel(id);
      await clock.advance(CANCELLATIONS_SETTLE_MS);
      if (this.#unsettledCancellations().length === 0) return;
    }
  }

  #unsettledCancellations(): string[] {
    const { invariants } = this.context.cluster;
    return invariants.acceptedJobs.filter(
      (id) => invariants.finalState(id) === undefined && invariants.isCancellationRequested(id),
    );
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
