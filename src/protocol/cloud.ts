/** @file The client of the cloud: lists machine types, and rents, lists and deletes machines. */
import * as z from 'zod';
import { NoResponseError, type HttpCaller, type HttpResponse } from '../transport/http-client';
import type { RateLimit } from '../transport/rate-limit';
import type { ListedMachine, MachineType } from './model';
import { fieldsOf, mergeFields } from './message-fields';
import { listOf, machineName, parseValue, text } from './schemas';

const machineTypeSchema = z.object({
  label: text,
  cpus: z.number().positive(),
  cards: z.number().min(0).nullish(),
  memGb: z.number().min(0),
  cacheGb: z.number().min(0),
  fetchGbPerS: z.number().positive(),
  rate: z.number().min(0),
  spotPrice: z.number().min(0),
  bootS: z.number().min(0),
  yards: listOf(z.string()),
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

const machineTypesSchema = z.object({ frames: listOf(machineTypeSchema) });
const createdSchema = z.object({ hearths: listOf(machineName) });
const machineListSchema = z.object({ hearths: listOf(listedMachineSchema), hasNext: z.boolean() });

/** Responses by which errors are told apart. */
const errorSchema = z.object({ error: z.unknown() });

/** The known fields of all responses of the cloud; a rental lists names where the list of machines has maps. */
export const CLOUD_FIELDS = mergeFields(
  ...[machineTypesSchema, machineListSchema, errorSchema].map(fieldsOf),
);

/** Maximum number of machines in one page of the list. */
export const MACHINES_PER_PAGE = 500;
/** Maximum number of machines that one request may delete. */
export const MAX_MACHINES_PER_DELETE = 100;
/** Maximum number of machines that one request may rent. */
export const MAX_MACHINES_PER_CREATE = 50;

const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;

/** A request to rent machines. */
export interface CreateMachinesRequest {
  /** Makes retries idempotent. No controller uses the key of one request for another. */
  idempotencyKey: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/**
 * Whether the caller still has authority, that is, a valid lease. Checked right before a request is sent, because the
 * lease may expire while the request waits.
 */
export type AuthorityCheck = () => boolean;

/** The cloud did not execute the request. A request without a usable response throws `NoResponseError` instead. */
export abstract class CloudError extends Error {}

/** The cloud refused the request (429, 503): it was not executed. */
export class CloudRejectedError extends CloudError {
  override name = 'CloudRejectedError';
  constructor(
    message: string,
    /** Whether the cloud has no free machine of the requested type, zone and kind (spot or on-demand). */
    readonly noCapacity: boolean,
  ) {
    super(message);
  }
}

/** The caller lost its authority while its request waited for the rate limit; nothing was sent. */
export class AuthorityLostError extends CloudError {
  override name = 'AuthorityLostError';
}

/** One request to the cloud. */
interface CloudRequest<T> {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly schema: z.ZodType<T>;
  /** Undefined for requests that need no authority. */
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

/** The client of the cloud; stays within its rate limit, and throws `NoResponseError` for a malformed response. */
export class Cloud {
  constructor(
    private readonly http: HttpCaller,
    private readonly address: string,
    private readonly rateLimit: RateLimit,
    private readonly timeoutMs: number,
  ) {}

  /** Lists the machine types that the cloud offers, with their current prices. */
  async listMachineTypes(): Promise<MachineType[]> {
    const { frames } = await this.#call({ method: 'GET', path: '/flavors', schema: machineTypesSchema });
    return frames.map(toMachineType);
  }

  /** Rents machines, perhaps fewer than requested. Throws `AuthorityLostError` when the caller has lost its authority. */
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
   * Deletes machines. When this resolves, the machines and everything on them no longer exist. Throws
   * `AuthorityLostError` when the caller has lost its authority.
   */
  async deleteMachines(ids: readonly string[], hasAuthority: AuthorityCheck): Promise<void> {
    const body = { hearths: ids };
    await this.#call({ method: 'POST', path: '/hosts/release', body, schema: z.unknown(), hasAuthority });
  }

  /** Lists all machines in the order of their names, one page per request. */
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
    await this.rateLimit.take();
    // The process may have stalled, and its lease expired. A deletion could then terminate tasks that a new owner placed.
    if (!hasAuthority()) throw new AuthorityLostError(`cloud ${path}: not sent, authority has expired`);
    const response = await this.http.call(this.address, method, path, body, this.timeoutMs, hasAuthority);
    return readResponse(path, response, schema);
  }
}

function readResponse<T>(path: string, { status, body }: HttpResponse, schema: z.ZodType<T>): T {
  if (status === 200) {
    const parsed = parseValue(schema, body);
    if (parsed.ok) return parsed.value;
    throw new NoResponseError(`cloud ${path}: malformed response: ${parsed.problem}`, true);
  }
  if (status === STATUS_UNAVAILABLE || status === STATUS_TOO_MANY_REQUESTS) {
    const error = (body as { error?: unknown } | null)?.error;
    throw new CloudRejectedError(`cloud ${path}: ${status} ${String(error ?? '')}`, error === 'no capacity');
  }
  throw new NoResponseError(`cloud ${path}: status ${status}`, true);
}
