/** @file The requests of users in the randomized simulation; faults may prevent the response. */
import type { HttpResponse } from '../../src/transport/http-client';
import type { SimulationContext } from './context';

const USER = 'user';
const TIMEOUT_MS = 5_000;
const RETRY_MS = 1_000;
const MAX_ATTEMPTS = 60;
/** Response statuses after which a user doesn't retry. */
const SUCCESSES = [200, 201];
const REJECTIONS = [400, 404, 422];

/** Sends the requests of users. The cluster's invariants check the responses. */
export class UserClient {
  constructor(private readonly context: SimulationContext) {}

  /** Returns the response, or undefined when none arrives before the timeout. */
  async request(
    index: number,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<HttpResponse | undefined> {
    const { controllers, network } = this.context.cluster;
    const address = controllers[index]?.address ?? '';
    const response = network.caller(USER).call(address, method, path, body, TIMEOUT_MS);
    return response.catch(() => undefined);
  }

  /** Retries the request at random running controllers until a final response; returns whether it succeeded. */
  async requestWithRetries(method: string, path: string, body?: unknown): Promise<boolean> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const response = await this.request(this.context.anyController(), method, path, body);
      const status = response?.status ?? 0;
      if (SUCCESSES.includes(status)) return true;
      if (REJECTIONS.includes(status)) return false;
      await this.context.cluster.clock.sleep(RETRY_MS);
    }
    return false;
  }
}
