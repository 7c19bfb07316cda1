/** @file Three controllers as real processes, under the flags of the deploy file, with as much work as they accept. */
import { NoResponseError, type HttpResponse } from '../../src/transport/http-client';
import { submission } from '../fakes/submission';
import { TEAMS, type ControllerProcess } from '../load/controllers';
import { realClock } from '../load/loopback';
import { hasEnded, RealDeployment } from '../load/real-deployment';

/** Other deployments may run at the same time. */
const DEPLOYMENT = 1;
const USERS = 30;
const USER_TIMEOUT_MS = 5_000;
const POLL_MS = 100;
const STATUS_UNAVAILABLE = 503;

/** The submission with this number; it may name jobs with lower numbers that were accepted. */
export type SubmissionOf = (index: number, accepted: readonly string[]) => Record<string, unknown>;

/** What a run saw. */
export interface AcceptedWorkResult {
  readonly accepted: number;
  /** Submissions that got 503 with the time after which to retry. */
  readonly deferred: number;
  /** Other answers than 200, 201 and 503, and how often. */
  readonly otherAnswers: Readonly<Record<string, number>>;
  /** Accepted jobs of which a controller doesn't know after its restart. */
  readonly forgotten: readonly string[];
  /** Controllers that ended by themselves, with the last lines of their logs. */
  readonly ended: readonly string[];
  /** The fullest heap that a controller logged, in MiB. */
  readonly heapMb: number;
}

/** The id of the submission with this number. */
export function idOf(index: number): string {
  return `req-${String(index).padStart(6, '0')}`;
}

/** A deployment whose users submit until nothing more is accepted, or a number of jobs is. */
export class AcceptedWork {
  readonly #deployment: RealDeployment;
  readonly #accepted: string[] = [];
  readonly #otherAnswers: Record<string, number> = {};
  #running: ControllerProcess[] = [];
  readonly #ended: string[] = [];
  #deferred = 0;
  #starts = 0;

  constructor(out: string, machines: number) {
    this.#deployment = new RealDeployment({ out, number: DEPLOYMENT, machines, writeRps: '1000' });
  }

  /** Starts all controllers, and waits until they accept requests. */
  async start(): Promise<void> {
    this.#running = this.#deployment.processes.startAll(this.#starts);
    this.#starts += 1;
    await Promise.race([this.#deployment.processes.waitUntilUp(), this.#firstEnd()]);
  }

  /** Submits jobs until as many were tried, or `maxDeferred` were deferred, or the time is over. */
  async submit(
    count: number,
    submissionOf: SubmissionOf,
    { maxDeferred, ms }: { maxDeferred: number; ms: number },
  ): Promise<void> {
    const until = realClock.now() + ms;
    const deferredBefore = this.#deferred;
    let next = this.#accepted.length;
    const end = next + count;
    const user = async (): Promise<void> => {
      while (next < end && realClock.now() < until && this.#deferred - deferredBefore < maxDeferred) {
        const index = next;
        next += 1;
        await this.#submitOne(submissionOf(index, this.#accepted));
      }
    };
    await Promise.all(Array.from({ length: USERS }, user));
  }

  async #submitOne(fields: Record<string, unknown>): Promise<void> {
    const id = String(fields.nameId);
    const cpus = Number(fields.cpus ?? 1);
    this.#deployment.jobProfiles.set(id, {
      runS: Number(fields.reckonS ?? 5),
      saveS: 0,
      checkpointS: 0,
      cpus,
    });
    const response = await this.#call('POST', '/work', submission(id, { crew: TEAMS[0], ...fields }));
    const status = response?.status ?? 0;
    if (status === 201 || status === 200) this.#accepted.push(id);
    else if (status === STATUS_UNAVAILABLE) this.#deferred += 1;
    else this.#otherAnswers[status] = (this.#otherAnswers[status] ?? 0) + 1;
  }

  /** Lets the controllers work. */
  async wait(ms: number): Promise<void> {
    await realClock.sleep(ms);
  }

  /** Kills all controllers and starts them again, so that each loads all records at once. */
  async restart(): Promise<void> {
    this.#noteEnds();
    await Promise.all(
      this.#running
        .filter((controller) => !hasEnded(controller))
        .map((controller) => this.#deployment.processes.kill(controller)),
    );
    await this.start();
  }

  /** Ends the controllers that are left; `sample` accepted jobs are asked for first. */
  async finish(sample: number): Promise<AcceptedWorkResult> {
    const forgotten: string[] = [];
    const step = Math.max(1, Math.floor(this.#accepted.length / sample));
    for (let index = 0; index < this.#accepted.length; index += step) {
      const id = this.#accepted[index] ?? '';
      if (!(await this.#isKnown(id))) forgotten.push(id);
    }
    this.#noteEnds();
    await this.#deployment.close(this.#running);
    return {
      accepted: this.#accepted.length,
      deferred: this.#deferred,
      otherAnswers: this.#otherAnswers,
      forgotten,
      ended: this.#ended,
      heapMb: this.#maxHeapMb(),
    };
  }

  async #isKnown(id: string): Promise<boolean> {
    for (let attempt = 0; attempt < 20; attempt += 1) {
      const response = await this.#call('GET', `/work/${id}`);
      if (response?.status === 200) return true;
      if (response?.status === 404) return false;
      await realClock.sleep(POLL_MS);
    }
    return false;
  }

  async #call(method: string, path: string, body?: unknown): Promise<HttpResponse | undefined> {
    const { http } = this.#deployment.processes;
    try {
      return await http.call(this.#deployment.anyAddress(), method, path, body, USER_TIMEOUT_MS);
    } catch (error) {
      if (error instanceof NoResponseError) return undefined;
      throw error;
    }
  }

  async #firstEnd(): Promise<void> {
    while (!this.#running.some(hasEnded)) await realClock.sleep(POLL_MS);
  }

  #noteEnds(): void {
    for (const ended of this.#running.filter(hasEnded)) this.#ended.push(this.#deployment.describeEnd(ended));
  }

  #maxHeapMb(): number {
    let max = 0;
    for (const { name } of this.#deployment.processes.nodes) {
      for (const [, mb] of this.#deployment.logOf(name).matchAll(/"heapMb":(\d+)/g))
        max = Math.max(max, Number(mb));
    }
    return max;
  }
}
