/** @file Stand-ins for users, who reach healthy controllers in turn: they submit, repeat, poll and withdraw. */
import { call, now, sleep, type WireAnswer } from './wire';

/** A submission, with the field names of the protocol. */
export interface Submission {
  readonly nameId: string;
  readonly docket: string;
  readonly crew: string;
  readonly urgency: 'prod' | 'urgent' | 'normal' | 'best_effort';
  readonly pieces: number;
  readonly cpus: number;
  readonly memGb: number;
  readonly build: string;
  readonly sizeGb: number;
  readonly reckonS: number;
  readonly loaners?: boolean;
  readonly bookmarkS?: number;
  readonly stashS?: number;
  readonly dueS?: number | null;
  readonly yard?: string | null;
  readonly awaits?: readonly string[];
}

/** An answer to a poll. */
export interface JobAnswer {
  readonly standing: string;
  readonly done: number;
  readonly running: number;
}

const SUBMIT_TIMEOUT_MS = 5_000;
const POLL_TIMEOUT_MS = 2_000;
const CONNECT_RETRIES = 3;
const RETRY_FOR_MS = 60_000;
const MAX_RETRY_AFTER_S = 30;

/** The users of a deployment. */
export class Users {
  #next = 0;

  constructor(
    private readonly addresses: readonly string[],
    private readonly note: (line: string) => void,
  ) {}

  /** Waits until a controller is healthy; false if none is in time. */
  async waitUntilHealthy(ms: number): Promise<boolean> {
    const until = now() + ms;
    while (now() < until) {
      for (const address of this.addresses) {
        const answer = await call(address, 'GET', '/up', { timeoutMs: 1_000 }).catch(() => undefined);
        if (answer?.status === 200) return true;
      }
      await sleep(100);
    }
    return false;
  }

  /** Submits a job, and repeats as the protocol has it. Returns the last status; undefined without any answer. */
  async submit(submission: Submission): Promise<number | undefined> {
    const { loaners = true, bookmarkS = 0, stashS = 0, dueS = null, yard = null, ...fields } = submission;
    const body = {
      ...fields,
      shape: 'sweep',
      cards: 0,
      frames: null,
      yard,
      together: false,
      apart: false,
      loaners,
      bookmarkS,
      stashS,
      dueS,
    };
    const until = now() + RETRY_FOR_MS;
    let status: number | undefined;
    while (now() < until) {
      const answer = await this.#call('POST', '/work', SUBMIT_TIMEOUT_MS, body);
      status = answer?.status ?? status;
      if (answer !== undefined && [200, 201, 400, 422].includes(answer.status)) break;
      const retryAfterS = Math.min(MAX_RETRY_AFTER_S, Number(answer?.headers?.['retry-after'] ?? 0));
      await sleep(Math.max(1, retryAfterS) * 1000);
    }
    this.note(`submitted ${submission.nameId} (${submission.pieces} tasks): ${status ?? 'no answer'}`);
    return status;
  }

  /** Asks for a job once: its answer, or the status that isn't 200; undefined without an answer. */
  async poll(id: string): Promise<JobAnswer | number | undefined> {
    const answer = await this.#call('GET', `/work/${id}`, POLL_TIMEOUT_MS);
    if (!answer) return undefined;
    return answer.status === 200 ? (answer.body as JobAnswer) : answer.status;
  }

  /** Withdraws a job, and repeats until it gets an answer or the time is over. */
  async withdraw(id: string, ms = RETRY_FOR_MS): Promise<string | undefined> {
    const until = now() + ms;
    while (now() < until) {
      const answer = await this.#call('POST', `/work/${id}/withdraw`, SUBMIT_TIMEOUT_MS, {});
      if (answer?.status === 200) {
        const { standing } = answer.body as { standing: string };
        this.note(`withdrew ${id}: ${standing}`);
        return standing;
      }
      await sleep(1_000);
    }
    this.note(`withdrew ${id}: no answer`);
    return undefined;
  }

  /** Calls one controller after the other, at most three, until one takes the connection. */
  async #call(
    method: string,
    path: string,
    timeoutMs: number,
    body?: unknown,
  ): Promise<WireAnswer | undefined> {
    for (let attempt = 0; attempt < CONNECT_RETRIES; attempt += 1) {
      const address = this.addresses[this.#next % this.addresses.length] ?? '';
      this.#next += 1;
      try {
        return await call(address, method, path, { body, timeoutMs });
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code !== 'ECONNREFUSED') return undefined;
      }
    }
    return undefined;
  }
}
