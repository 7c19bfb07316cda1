/** @file A user's requests in the randomized simulation, which may go unanswered. */
import type { HttpResponse } from '../../src/transport/http-client';
import type { SimulationContext } from './context';

const USER = 'user';
const TIMEOUT_MS = 5_000;
const RETRY_MS = 1_000;
const MAX_ATTEMPTS = 60;
/** Answers after which a user doesn't try again. */
const SUCCESSES = [200, 201];
const REJECTIONS = [400, 404, 422];

/** Sends the requests of users; their answers are checked by the cluster's invariants. */
export class UserClient {
  constructor(private readonly context: SimulationContext) {}

  /** The answer; undefined when there is none in time. */
  async request(
    index: number,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<HttpResponse | undefined> {
    const { controllers, network } = this.context.cluster;
    const address = controllers[index]?.address ?? '';
    const answered = network.caller(USER).call(address, method, path, body, TIMEOUT_MS);
    return answered.catch(() => undefined);
  }

  /** Repeats the request at any controller until an answer settles it; true for success. */
  async requestWithRetries(method: string, path: string, body?: unknown): Promise<boolean> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const answer = await this.request(this.context.anyController(), method, path, body);
      const status = answer?.status ?? 0;
      if (SUCCESSES.includes(status)) return true;
      if (REJECTIONS.includes(status)) return false;
      await this.context.cluster.clock.sleep(RETRY_MS);
    }
    return false;
  }
}
