import * as z from 'zod';
import { NoResponseError, type HttpCaller } from '../transport/http-client';
import type { RateLimit } from '../transport/rate-limit';
import type { ListedMachine, MachineType } from './model';

const flavors = z.object({
  frames: z.array(
    z.object({
      label: z.string().min(1),
      cpus: z.number().positive(),
      cards: z.number().min(0).nullish(),
      memGb: z.number().min(0),
      cacheGb: z.number().min(0),
      fetchGbPerS: z.number().positive(),
      rate: z.number().min(0),
      spotPrice: z.number().min(0),
      bootS: z.number().min(0),
      yards: z.array(z.string()),
    }),
  ),
});

const rented = z.object({ hearths: z.array(z.string().min(1).max(150)) });

const list = z.object({
  hearths: z.array(
    z.object({
      nameId: z.string().min(1).max(150),
      endpoint: z.string(),
      frame: z.string(),
      yard: z.string(),
      loaners: z.boolean(),
      standing: z.enum(['starting', 'running', 'failed']),
      ageS: z.number(),
    }),
  ),
  hasNext: z.boolean(),
});

/** Machines in one page of the list. */
export const MACHINES_PER_PAGE = 500;
export const MAX_MACHINES_PER_DELETE = 100;
export const MAX_MACHINES_PER_CREATE = 50;

export interface CreateMachinesRequest {
  /** The name makes a repeat harmless; it is never used for another request. */
  idempotencyKey: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The cloud said no (429, 503): the request was not carried out. */
export class CloudRejectedError extends Error {
  override name = 'CloudRejectedError';
  constructor(
    message: string,
    readonly noCapacity: boolean,
  ) {
    super(message);
  }
}

/** The caller's right to act ended while its request waited for a turn inside the rate; nothing was sent. */
export class AuthorityLostError extends Error {
  override name = 'AuthorityLostError';
}

/** One request to the cloud. */
interface CloudCall<T> {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly schema: z.ZodType<T>;
  /** Asked right before the request leaves; left out where no right is needed. */
  readonly mayAct?: () => boolean;
}

/** The cloud's interface, held inside its rate. A malformed answer counts as none. */
export class Cloud {
  constructor(
    private readonly http: HttpCaller,
    private readonly address: string,
    private readonly rate: RateLimit,
    private readonly timeoutMs: number,
  ) {}

  async listMachineTypes(): Promise<MachineType[]> {
    const { frames } = await this.#call({ method: 'GET', path: '/flavors', schema: flavors });
    return frames.map((f) => ({
      name: f.label,
      cpus: f.cpus,
      gpus: f.cards ?? 0,
      memoryGb: f.memGb,
      cacheGb: f.cacheGb,
      fetchGbPerS: f.fetchGbPerS,
      price: f.rate,
      spotPrice: f.spotPrice,
      bootS: f.bootS,
      zones: f.yards,
    }));
  }

  /** Rents machines; `mayAct` is asked right before the request leaves. Throws `AuthorityLostError` when it says no. */
  async createMachines(r: CreateMachinesRequest, mayAct: () => boolean): Promise<string[]> {
    const body = { booking: r.idempotencyKey, frame: r.type, yard: r.zone, loaners: r.spot, number: r.count };
    return (await this.#call({ method: 'POST', path: '/hosts', body, schema: rented, mayAct })).hearths;
  }

  /** When this resolves, the machines and all that was on them are gone. `mayAct` as for `rent`. */
  async deleteMachines(ids: readonly string[], mayAct: () => boolean): Promise<void> {
    const body = { hearths: ids };
    await this.#call({ method: 'POST', path: '/hosts/release', body, schema: z.unknown(), mayAct });
  }

  async listMachines(): Promise<ListedMachine[]> {
    const machines: ListedMachine[] = [];
    let after = '';
    for (;;) {
      const since = after === '' ? '' : `since=${encodeURIComponent(after)}&`;
      const path = `/hosts?${since}limit=${MACHINES_PER_PAGE}`;
      const page = await this.#call({ method: 'GET', path, schema: list });
      for (const m of page.hearths) {
        machines.push({
          id: m.nameId,
          address: m.endpoint,
          type: m.frame,
          zone: m.yard,
          spot: m.loaners,
          state: m.standing === 'starting' ? 'booting' : m.standing,
          ageS: m.ageS,
        });
      }
      const last = page.hearths.at(-1);
      if (!page.hasNext || !last) return machines;
      after = last.nameId;
    }
  }

  async #call<T>(request: CloudCall<T>): Promise<T> {
    const { method, path, body, schema, mayAct = () => true } = request;
    await this.rate.take();
    // The turn may have come after a stall: a release decided before it could end what a new owner has placed since.
    if (!mayAct()) throw new AuthorityLostError(`cloud ${path}: the right to act has ended`);
    const answer = await this.http.call(this.address, method, path, body, this.timeoutMs, mayAct);
    if (answer.status === 200) {
      const parsed = schema.safeParse(answer.body);
      if (parsed.success) return parsed.data;
      throw new NoResponseError(`cloud ${path}: malformed answer`, true);
    }
    const error = (answer.body as { error?: unknown } | null)?.error;
    if (answer.status === 503 || answer.status === 429) {
      throw new CloudRejectedError(
        `cloud ${path}: ${answer.status} ${String(error ?? '')}`,
        error === 'no capacity',
      );
    }
    throw new NoResponseError(`cloud ${path}: status ${answer.status}`, true);
  }
}
