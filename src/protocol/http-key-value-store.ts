/** @file The HTTP client of the key-value store, which stays within this controller's share of the rate limits. */
import * as z from 'zod';
import type { Uint64 } from '../base/uint64';
import {
  ResponseTooLargeError,
  NoResponseError,
  type HttpResponse,
  type HttpCaller,
} from '../transport/http-client';
import type { RateLimit } from '../transport/rate-limit';
import {
  LeaseExpiredError,
  StoreRejectedError,
  type Change,
  type ChangeEvent,
  type ChangeList,
  type CompareAndSwapResult,
  type Condition,
  type Entry,
  type EntryPage,
  type KeyValueStore,
  type RequestPriority,
} from './key-value-store';
import { fieldsOf, mergeFields } from './message-fields';
import { listOf, parseValue, uint64 } from './schemas';

const revision = uint64;
const entrySchema = z.object({ path: z.string(), data: z.unknown(), stamp: revision });
const notFoundSchema = z.object({ ledger: revision });
const listSchema = z.object({ entries: listOf(entrySchema), hasNext: z.boolean(), ledger: revision });
const swappedSchema = z.object({ ledger: revision });
const notSwappedSchema = z.object({ failed: listOf(z.string()), ledger: revision });
const leaseSchema = z.object({ hold: uint64 });
const changeSchema = z.union([
  z.object({ set: z.string(), data: z.unknown(), stamp: revision }),
  z.object({ delete: z.string(), stamp: revision }),
]);
const changesSchema = z.object({ ledger: revision, news: listOf(changeSchema) });

/** Responses by which errors are told apart. */
const errorSchema = z.object({ error: z.unknown() });

/** The known fields of all responses of the store. */
export const STORE_FIELDS = mergeFields(
  ...[
    entrySchema,
    notFoundSchema,
    listSchema,
    swappedSchema,
    notSwappedSchema,
    leaseSchema,
    changesSchema,
    errorSchema,
  ].map(fieldsOf),
);

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_GONE = 410;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;

const ENTRIES_PER_PAGE = 500;
/** Requests that would wait longer for tokens are refused, so that users' requests don't queue up unnoticed. */
const MAX_TOKEN_WAIT_MS = 1_000;

/** The connection, the limits and the timeout of the client. */
export interface HttpKeyValueStoreOptions {
  readonly http: HttpCaller;
  /** IP:PORT of the key-value store. */
  readonly address: string;
  /** This controller's share of the limit on requests. */
  readonly requests: RateLimit;
  /** This controller's share of the limit on changes (puts and deletes). */
  readonly writes: RateLimit;
  readonly timeoutMs: number;
}

/**
 * The HTTP client of the key-value store. Requests and changes each stay within this controller's share of the rate
 * limits; urgent requests (lease renewals, cancellations) don't wait for tokens, so the others wait longer.
 */
export class HttpKeyValueStore implements KeyValueStore {
  #isUnavailable = false;

  constructor(private readonly options: HttpKeyValueStoreOptions) {}

  get isUnavailable(): boolean {
    return this.#isUnavailable;
  }

  async get(key: string): Promise<Entry | null> {
    await this.options.requests.take(1, MAX_TOKEN_WAIT_MS);
    const response = await this.#call('GET', `/store/${key}`, undefined);
    if (response.status === STATUS_NOT_FOUND) {
      // Only the store's own body proves that a key does not exist; if any 404 did, an accepted job would seem unknown.
      parseBody(response.body, notFoundSchema);
      return null;
    }
    return toEntry(parseResponse(response, entrySchema));
  }

  async list(prefix: string, after?: string): Promise<EntryPage> {
    await this.options.requests.take();
    const since = after === undefined ? '' : `&since=${encodeURIComponent(after)}`;
    const path = `/store?prefix=${encodeURIComponent(prefix)}${since}&limit=${ENTRIES_PER_PAGE}`;
    const page = parseResponse(await this.#call('GET', path, undefined), listSchema);
    return { entries: page.entries.map(toEntry), hasMore: page.hasNext, revision: page.ledger };
  }

  async compareAndSwap(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority = 'normal',
  ): Promise<CompareAndSwapResult> {
    const { requests, writes } = this.options;
    if (priority === 'urgent') {
      requests.takeNow();
      writes.takeNow(changes.length);
    } else {
      await writes.take(changes.length, MAX_TOKEN_WAIT_MS);
      await requests.take();
    }
    const response = await this.#call('POST', '/txn', {
      guards: conditions.map(({ key, version }) => ({ path: key, stamp: version })),
      apply: changes.map(writeChange),
    });
    if (response.status === STATUS_CONFLICT) {
      const { failed, ledger } = parseBody(response.body, notSwappedSchema);
      return { ok: false, failed, revision: ledger };
    }
    if (isLeaseExpired(response)) throw new LeaseExpiredError('the lease of a put has expired');
    return { ok: true, revision: parseResponse(response, swappedSchema).ledger };
  }

  async grantLease(ttlMs: number): Promise<Uint64> {
    this.options.requests.takeNow();
    return parseResponse(await this.#call('POST', '/grants', { ttlMs }), leaseSchema).hold;
  }

  async renewLease(lease: Uint64): Promise<boolean> {
    this.options.requests.takeNow();
    const response = await this.#call('POST', `/grants/${lease}/extend`, {});
    if (response.status === STATUS_NOT_FOUND) return false;
    parseResponse(response, z.unknown());
    return true;
  }

  async revokeLease(lease: Uint64): Promise<void> {
    this.options.requests.takeNow();
    const response = await this.#call('DELETE', `/grants/${lease}`, undefined);
    if (response.status !== STATUS_NOT_FOUND) parseResponse(response, z.unknown());
  }

  async changes(prefix: string, since: Uint64, waitMs: number): Promise<ChangeList | undefined> {
    const { requests, timeoutMs } = this.options;
    requests.takeNow();
    const path = `/changes?prefix=${encodeURIComponent(prefix)}&since=${since}&holdMs=${waitMs}`;
    const response = await this.#callForChanges(path, waitMs + timeoutMs);
    if (!response || response.status === STATUS_GONE) return undefined;
    const { ledger, news } = parseResponse(response, changesSchema);
    return { revision: ledger, events: news.map(toChangeEvent) };
  }

  /**
   * Requests changes. Returns undefined when the response, whose size the store doesn't limit, exceeds the client's
   * limit: a retry would get an even larger response, so the controller would never receive another change.
   */
  async #callForChanges(path: string, timeoutMs: number): Promise<HttpResponse | undefined> {
    try {
      return await this.#call('GET', path, undefined, timeoutMs);
    } catch (error) {
      if (error instanceof ResponseTooLargeError) return undefined;
      throw error;
    }
  }

  async #call(
    method: string,
    path: string,
    body: unknown,
    timeoutMs = this.options.timeoutMs,
  ): Promise<HttpResponse> {
    const { http, address } = this.options;
    try {
      const response = await http.call(address, method, path, body, timeoutMs);
      this.#isUnavailable = response.status === STATUS_UNAVAILABLE;
      return response;
    } catch (error) {
      this.#isUnavailable = !(error instanceof ResponseTooLargeError);
      throw error;
    }
  }
}

function toEntry(wire: z.infer<typeof entrySchema>): Entry {
  return { key: wire.path, value: wire.data, version: wire.stamp };
}

function toChangeEvent(wire: z.infer<typeof changeSchema>): ChangeEvent {
  return 'set' in wire
    ? { key: wire.set, version: wire.stamp, value: wire.data, deleted: false }
    : { key: wire.delete, version: wire.stamp, deleted: true };
}

function writeChange(change: Change): Record<string, unknown> {
  if ('delete' in change) return { delete: change.delete };
  const fields = { set: change.put, data: change.value };
  return change.lease === undefined ? fields : { ...fields, hold: change.lease };
}

function isLeaseExpired({ status, body }: HttpResponse): boolean {
  return status === STATUS_BAD_REQUEST && (body as { error?: unknown } | null)?.error === 'no such lease';
}

/** Checks the status and the body of a response. */
function parseResponse<T>({ status, body }: HttpResponse, schema: z.ZodType<T>): T {
  if (status === STATUS_UNAVAILABLE || status === STATUS_TOO_MANY_REQUESTS) {
    throw new StoreRejectedError(`key-value store: ${status}`);
  }
  if (status !== STATUS_OK) throw new NoResponseError(`key-value store: status ${status}`, true);
  return parseBody(body, schema);
}

/** Checks the body of a response whose status was checked before. */
function parseBody<T>(body: unknown, schema: z.ZodType<T>): T {
  const parsed = parseValue(schema, body);
  if (parsed.ok) return parsed.value;
  throw new NoResponseError(`key-value store: malformed response: ${parsed.problem}`, true);
}
