/** @file A stand-in for users and their load balancer. */
import type { Node } from './controllers';
import type { RunRecord } from './record';
import type { JobDescription } from './worker';
import { call, sleep, type WireReply } from './wire';

/** A job as its user describes it: the wire's optional fields, and the true run time. */
export interface UserJob extends JobDescription {
  readonly team: string;
  readonly jobClass: string;
  readonly priority: 'prod' | 'urgent' | 'normal' | 'best_effort';
  readonly zone: string | null;
  readonly maySpot: boolean;
  /** The owner's estimate of a task's run time. */
  readonly reckonS: number;
  /** When the job should be complete, counted from its submission; null: no deadline. */
  readonly dueS: number | null;
  readonly awaits?: readonly string[];
}

const SUBMIT_TIMEOUT_MS = 5_000;
const POLL_TIMEOUT_MS = 2_000;
const RETRY_MS = 1_000;
const RETRY_FOR_MS = 60_000;
const FINAL_STATUSES = [200, 201, 400, 404, 422];

/** What the answer to a status query says. */
export interface Standing {
  readonly status: number;
  readonly standing?: string;
  readonly done?: number;
  readonly running?: number;
}

/** Users, who reach the controllers that answer their health probe. */
export class Users {
  readonly #jobs = new Map<string, UserJob>();
  #next = 0;

  constructor(
    private readonly nodes: readonly Node[],
    private readonly record: RunRecord,
  ) {}

  /** The job with this id, if it was submitted. */
  job(id: string): UserJob | undefined {
    return this.#jobs.get(id);
  }

  /** Waits until every controller answers its health probe with 200; false if that takes too long. */
  async waitUntilUp(withinMs: number): Promise<boolean> {
    for (let waited = 0; waited < withinMs; waited += 100) {
      const probes = this.nodes.map(({ address }) => call(address, 'GET', '/up', { timeoutMs: 1000 }));
      const answers = await Promise.allSettled(probes);
      if (answers.every((a) => a.status === 'fulfilled' && a.value.status === 200)) return true;
      await sleep(100);
    }
    return false;
  }

  /** Submits a job, with retries; returns the last status. */
  async submit(job: UserJob): Promise<number> {
    this.#jobs.set(job.id, job);
    const body = {
      nameId: job.id,
      docket: job.jobClass,
      crew: job.team,
      shape: 'sweep',
      urgency: job.priority,
      pieces: job.tasks,
      cpus: job.cpus,
      cards: 0,
      memGb: job.memoryGb,
      build: job.image,
      sizeGb: job.imageGb,
      frames: null,
      yard: job.zone,
      together: false,
      apart: false,
      loaners: job.maySpot,
      reckonS: job.reckonS,
      bookmarkS: 0,
      stashS: 0,
      dueS: job.dueS,
      ...(job.awaits === undefined ? {} : { awaits: job.awaits }),
    };
    return (await this.#request(`submit ${job.id}`, 'POST', '/work', body)).status;
  }

  /** Cancels a job, with retries; returns the state that the answer names. */
  async cancel(id: string): Promise<string | undefined> {
    const { body } = await this.#request(`cancel ${id}`, 'POST', `/work/${id}/withdraw`, undefined);
    return (body as { standing?: string } | undefined)?.standing;
  }

  /** Asks for the state of a job once, at the next controller or at the one with this index. */
  async ask(id: string, index?: number): Promise<Standing> {
    const node = this.#node(index);
    try {
      const options = { timeoutMs: POLL_TIMEOUT_MS };
      const { status, body } = await call(node.address, 'GET', `/work/${id}`, options);
      const standing = { status, ...(body as object) } as Standing;
      this.record.add(
        `user: ask ${id} at ${node.name}: ${status} ${standing.standing ?? ''} done ${standing.done ?? '-'} running ${standing.running ?? '-'}`,
      );
      return standing;
    } catch (error) {
      this.record.add(`user: ask ${id} at ${node.name}: ${String(error)}`);
      return { status: 0 };
    }
  }

  #node(index?: number): Node {
    if (index === undefined) this.#next += 1;
    const node = this.nodes[(index ?? this.#next) % this.nodes.length];
    if (!node) throw new Error('no controllers');
    return node;
  }

  async #request(what: string, method: string, path: string, body: unknown): Promise<WireReply> {
    const until = Date.now() + RETRY_FOR_MS;
    let last: WireReply = { status: 0 };
    do {
      const node = this.#node();
      try {
        last = await call(node.address, method, path, { body, timeoutMs: SUBMIT_TIMEOUT_MS });
        this.record.add(`user: ${what} at ${node.name}: ${last.status} ${JSON.stringify(last.body ?? null)}`);
      } catch (error) {
        last = { status: 0 };
        this.record.add(`user: ${what} at ${node.name}: ${String(error)}`);
      }
      if (FINAL_STATUSES.includes(last.status)) return last;
      await sleep(RETRY_MS);
    } while (Date.now() < until);
    return last;
  }
}
