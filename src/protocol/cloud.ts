/** @file The cloud's interface: machine types, and machines that are rented, listed and deleted. */
import * as z from 'zod';
import { NoResponseError, type HttpCaller, type HttpResponse } from '../transport/http-client';
import type { RateLimit } from '../transport/rate-limit';
import type { ListedMachine, MachineType } from './model';

const machineName = z.string().min(1).max(150);

const machineTypeSchema = z.object({
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
});

const listedMachineSchema = z.object({
  nameId: machineName,
  endpoint: z.string(),
  frame: z.string(),
  yard: z.string(),
  loaners: z.boolean(),
  standing: z.enum(['starting', 'running', 'failed']),
  ageS: z.number(),
});

const machineTypesSchema = z.object({ frames: z.array(machineTypeSchema) });
const createdSchema = z.object({ hearths: z.array(machineName) });
const machineListSchema = z.object({ hearths: z.array(listedMachineSchema), hasNext: z.boolean() });

/** Machines in one page of the list. */
export const MACHINES_PER_PAGE = 500;
/** Machines that one request may delete. */
export const MAX_MACHINES_PER_DELETE = 100;
/** Machines that one request may rent. */
export const MAX_MACHINES_PER_CREATE = 50;

const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;

/** What to rent. */
export interface CreateMachinesRequest {
  /** Makes a repeat harmless; a key is never used for another request, by any controller. */
  idempotencyKey: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/**
 * Whether the caller still has the right to act, asked right before a request leaves: its lease may end while the
 * request waits.
 */
export type AuthorityCheck = () => boolean;

/** A request to the cloud that is known not to have been executed. One without a usable response is a `NoResponseError`. */
export abstract class CloudError extends Error {}

/** The cloud refused the request (429, 503): it was not executed. */
export class CloudRejectedError extends CloudError {
  override name = 'CloudRejectedError';
  constructor(
    message: string,
    /** The cloud has no machine of the type, zone and kind that were asked for. */
    readonly noCapacity: boolean,
  ) {
    super(message);
  }
}

/** The caller's right to act ended while its request waited inside the rate limit; nothing was sent. */
export class AuthorityLostError extends CloudError {
  override name = 'AuthorityLostError';
}

/** One request to the cloud. */
interface CloudRequest<T> {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly schema: z.ZodType<T>;
  /** Left out where no right is needed. */
  readonly hasAuthority?: AuthorityCheck;
}

function toMachineType(wire: z.infer<typeof machineTypeSchema>): MachineType {
  return {
    name: wire.label,
    cpus: wire.cpus,
    gpus: wire.cards ?? 0,
    memoryGb: wire.memGb,
    cacheGb: wire.cacheGb,
    fetchGbPerS: wire.fetchGbPerS,
    price: wire.rate,
    spotPrice: wire.spotPrice,
    bootS: wire.bootS,
    zones: wire.yards,
  };
}

function toListedMachine(wire: z.infer<typeof listedMachineSchema>): ListedMachine {
  return {
    id: wire.nameId,
    address: wire.endpoint,
    type: wire.frame,
    zone: wire.yard,
    spot: wire.loaners,
    state: wire.standing === 'starting' ? 'booting' : wire.standing,
    ageS: wire.ageS,
  };
}

/** The cloud's interface, held inside its rate limit. A malformed response counts as none. */
export class Cloud {
  constructor(
    private readonly http: HttpCaller,
    private readonly address: string,
    private readonly rate: RateLimit,
    private readonly timeoutMs: number,
  ) {}

  /** The machine types that the cloud offers, with the prices of the moment. */
  async listMachineTypes(): Promise<MachineType[]> {
    const { frames } = await this.#call({ method: 'GET', path: '/flavors', schema: machineTypesSchema });
    return frames.map(toMachineType);
  }

  /** Rents machines, perhaps fewer than asked for. Throws `AuthorityLostError` when the right to act has ended. */
  async createMachines(request: CreateMachinesRequest, hasAuthority: AuthorityCheck): Promise<string[]> {
    const body = {
      booking: request.idempotencyKey,
      frame: request.type,
      yard: request.zone,
      loaners: request.spot,
      number: request.count,
    };
    const created = await this.#call({
      method: 'POST',
      path: '/hosts',
      body,
      schema: createdSchema,
      hasAuthority,
    });
    return created.hearths;
  }

  /**
   * When this resolves, the machines and all that was on them are gone. Throws `AuthorityLostError` when the right to act
   * has ended.
   */
  async deleteMachines(ids: readonly string[], hasAuthority: AuthorityCheck): Promise<void> {
    const body = { hearths: ids };
    await this.#call({ method: 'POST', path: '/hosts/release', body, schema: z.unknown(), hasAuthority });
  }

  /** All machines, page by page, in the order of their names. */
  async listMachines(): Promise<ListedMachine[]> {
    const machines: ListedMachine[] = [];
    let after = '';
    for (;;) {
      const since = after === '' ? '' : `since=${encodeURIComponent(after)}&`;
      const path = `/hosts?${since}limit=${MACHINES_PER_PAGE}`;
      const page = await this.#call({ method: 'GET', path, schema: machineListSchema });
      machines.push(...page.hearths.map(toListedMachine));
      const last = page.hearths.at(-1);
      if (!page.hasNext || !last) return machines;
      after = last.nameId;
    }
  }

  async #call<T>({ method, path, body, schema, hasAuthority = () => true }: CloudRequest<T>): Promise<T> {
    await this.rate.take();
    // The turn may have come after a stall: a deletion decided before it could end what a new owner has placed since.
    if (!hasAuthority()) throw new AuthorityLostError(`cloud ${path}: the right to act has ended`);
    const response = await this.http.call(this.address, method, path, body, this.timeoutMs, hasAuthority);
    return readResponse(path, response, schema);
  }
}

function readResponse<T>(path: string, { status, body }: HttpResponse, schema: z.ZodType<T>): T {
  if (status === 200) {
    const parsed = schema.safeParse(body);
    if (parsed.success) return parsed.data;
    throw new NoResponseError(`cloud ${path}: malformed answer`, true, { cause: parsed.error });
  }
  if (status === STATUS_UNAVAILABLE || status === STATUS_TOO_MANY_REQUESTS) {
    const error = (body as { error?: unknown } | null)?.error;
    throw new CloudRejectedError(`cloud ${path}: ${status} ${String(error ?? '')}`, error === 'no capacity');
  }
  throw new NoResponseError(`cloud ${path}: status ${status}`, true);
}
