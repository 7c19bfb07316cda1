/** @file Users who submit jobs as the protocol demands: they honor `retryAfterS`, and give up after a minute. */
import type { HttpResponse } from '../../src/transport/http-client';
import { submission } from './submission';
import type { SimulatedCluster } from './simulated-cluster';

const USER = 'user';
const TIMEOUT_MS = 5_000;
const RETRY_FOR_MS = 60_000;
const MIN_RETRY_INTERVAL_MS = 1_000;

/** The progress and result of a submission. */
export interface SubmissionOutcome {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly cpuSeconds: number;
  readonly submittedAt: number;
  acceptedAt: number | undefined;
  deferrals: number;
  isFinished: boolean;
}

/** Similar jobs that are submitted at a constant rate. */
export interface JobStream {
  readonly jobClass: string;
  readonly team: string;
  readonly perMinute: number;
  readonly tasks: number;
  /** The user's estimate of a task's run time. */
  readonly estimateS: number;
  /** The actual run time of a task; the estimate by default. */
  readonly runS?: number;
}

/** Submits jobs to the controllers in rotation; submissions run concurrently. */
export class RetryingUsers {
  readonly outcomes: SubmissionOutcome[] = [];
  #lastNumber: number;

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly retryForMs = RETRY_FOR_MS,
    /** Job numbers start after this one, so that several instances can share a cluster without equal job ids. */
    lastNumber = 0,
  ) {
    this.#lastNumber = lastNumber;
  }

  /** Submits a job with retries. The outcome is also in `outcomes`; it is complete once `isFinished` is true. */
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

  /** Submits jobs at a constant rate until a time of the simulated clock. */
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

  /** Sends one submission to one controller, without retries. */
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
