/** @file Users who submit jobs as the protocol has it: they follow `Retry-After`, and give up after a minute. */
import type { HttpResponse } from '../../src/transport/http-client';
import { submission } from './submission';
import type { SimulatedCluster } from './simulated-cluster';

const USER = 'user';
const TIMEOUT_MS = 5_000;
const RETRY_FOR_MS = 60_000;
const MIN_RETRY_INTERVAL_MS = 1_000;

/** What became of a submission. */
export interface SubmissionOutcome {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  /** CPU seconds. */
  readonly cpuSeconds: number;
  readonly submittedAt: number;
  acceptedAt: number | undefined;
  deferrals: number;
  isFinished: boolean;
}

/** A kind of job that arrives at a steady rate. */
export interface JobStream {
  readonly jobClass: string;
  readonly team: string;
  readonly perMinute: number;
  readonly tasks: number;
  /** The user's estimate of a task's run time. */
  readonly estimateS: number;
  /** How long a task really runs. */
  readonly runS?: number;
}

/** Submits jobs to the controllers in turn, any number of them at the same time. */
export class RetryingUsers {
  readonly outcomes: SubmissionOutcome[] = [];
  #lastNumber: number;

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly retryForMs = RETRY_FOR_MS,
    /** Numbers of jobs begin above this one, so that several users of one cluster have jobs of their own. */
    lastNumber = 0,
  ) {
    this.#lastNumber = lastNumber;
  }

  /** Submits a job; the result is in `outcomes`, and complete when `isOver`. */
  submit(
    jobClass: string,
    team: string,
    tasks: number,
    estimateS: number,
    runS = estimateS,
  ): SubmissionOutcome {
    this.#lastNumber += 1;
    const id = `req-${String(this.#lastNumber).padStart(6, '0')}`;
    const outcome: SubmissionOutcome = {
      id,
      jobClass,
      team,
      cpuSeconds: tasks * estimateS,
      submittedAt: this.cluster.clock.now(),
      acceptedAt: undefined,
      deferrals: 0,
      isFinished: false,
    };
    this.outcomes.push(outcome);
    this.cluster.setRunTime(id, runS);
    const fields = { docket: jobClass, crew: team, pieces: tasks, cpus: 1, memGb: 1, reckonS: estimateS };
    void this.#submitWithRetries(outcome, submission(id, fields));
    return outcome;
  }

  /** Lets jobs arrive evenly until a steady time. */
  startJobStream(stream: JobStream, until: number): void {
    const intervalMs = 60_000 / stream.perMinute;
    const { clock } = this.cluster;
    const next = (): void => {
      if (clock.now() >= until) return;
      this.submit(stream.jobClass, stream.team, stream.tasks, stream.estimateS, stream.runS);
      clock.after(intervalMs, next);
    };
    clock.after(intervalMs, next);
  }

  /** One submission at one controller. */
  submitOnce(index: number, body: unknown): Promise<HttpResponse> {
    const address = this.cluster.controllers[index]?.address ?? '';
    return this.cluster.network.caller(USER).call(address, 'POST', '/work', body, TIMEOUT_MS);
  }

  async #submitWithRetries(outcome: SubmissionOutcome, body: unknown): Promise<void> {
    const { clock } = this.cluster;
    for (let attempt = this.#lastNumber; clock.now() - outcome.submittedAt < this.retryForMs; attempt += 1) {
      const response = await this.submitOnce(attempt % this.cluster.controllers.length, body).catch(
        () => undefined,
      );
      if (response?.status === 201 || response?.status === 200) {
        outcome.acceptedAt = clock.now();
        break;
      }
      const { error, retryAfterS = 0 } = (response?.body ?? {}) as { error?: string; retryAfterS?: number };
      if (error === 'deferred') outcome.deferrals += 1;
      await clock.sleep(Math.max(MIN_RETRY_INTERVAL_MS, retryAfterS * 1000));
    }
    outcome.isFinished = true;
  }
}
