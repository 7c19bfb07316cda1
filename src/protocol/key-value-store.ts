import * as z from 'zod';
import {
  ResponseTooLargeError,
  NoResponseError,
  type HttpResponse,
  type HttpCaller,
} from '../transport/http-client';
import type { RateLimit } from '../transport/rate-limit';

export interface Entry {
  key: string;
  value: unknown;
  /** The revision of the key's last change. */
  version: number;
}

export interface Condition {
  key: string;
  /** 0: the key must not exist. */
  version: number;
}

export type Change = { put: string; value: unknown; lease?: number } | { delete: string };

export type CompareAndSwapResult =
  { ok: true; revision: number } | { ok: false; failed: string[]; revision: number };

export type ChangeEvent = { key: string; version: number; value?: unknown; deleted: boolean };

/** The state service, or our own limit, said no: nothing was executed. */
export class StoreRejectedError extends Error {
  override name = 'StoreRejectedError';
}

/** The lease that a change was to hang on has ended. */
export class LeaseExpiredError extends Error {
  override name = 'LeaseExpiredError';
}

export interface KeyValueStore {
  /** The last request failed: as far as this node can tell, the state service can't be reached. */
  readonly isUnavailable: boolean;
  get(key: string): Promise<Entry | null>;
  list(prefix: string, after?: string): Promise<{ entries: Entry[]; more: boolean; revision: number }>;
  compareAndSwap(guards: Condition[], watch: Change[], urgent?: boolean): Promise<CompareAndSwapResult>;
  grantLease(ttlMs: number): Promise<number>;
  /** False when the lease has ended. */
  renewLease(lease: number): Promise<boolean>;
  revokeLease(lease: number): Promise<void>;
  /** All changes since a revision, or undefined when they can't be told, as it is too old or they are too many. */
  changes(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<{ revision: number; events: ChangeEvent[] } | undefined>;
}

const revision = z.int().min(0);
const entrySchema = z.object({ path: z.string(), data: z.unknown(), stamp: revision });
const missing = z.object({ ledger: revision });
const listSchema = z.object({ entries: z.array(entrySchema), hasNext: z.boolean(), ledger: revision });
const txnOk = z.object({ ledger: revision });
const txnFailed = z.object({ failed: z.array(z.string()), ledger: revision });
const grantSchema = z.object({ hold: z.int() });
const changesSchema = z.object({
  ledger: revision,
  news: z.array(
    z.union([
      z.object({ set: z.string(), data: z.unknown(), stamp: revision }),
      z.object({ delete: z.string(), stamp: revision }),
    ]),
  ),
});

const PAGE = 500;
/** Who would wait longer for a turn inside the limits is told to come back: users, above all, never queue unseen. */
const PATIENCE_MS = 1_000;

/**
 * The state service over HTTP. Requests and changes each stay inside this node's part of the limits;
 * what is urgent (lease renewals, cancellations) goes ahead of the rest.
 */
export class HttpKeyValueStore implements KeyValueStore {
  #troubled = false;

  constructor(
    private readonly http: HttpCaller,
    private readonly address: string,
    private readonly requests: RateLimit,
    private readonly writes: RateLimit,
    private readonly timeoutMs: number,
  ) {}

  get isUnavailable(): boolean {
    return this.#troubled;
  }

  async get(key: string): Promise<Entry | null> {
    await this.requests.take(1, PATIENCE_MS);
    const answer = await this.#call('GET', `/store/${key}`, undefined);
    if (answer.status === 404) {
      // Only the state service's own word proves that a key does not exist: a job would be called unknown for less.
      check(answer.body, missing);
      return null;
    }
    const entry = this.#parse(answer, entrySchema);
    return { key: entry.path, value: entry.data, version: entry.stamp };
  }

  async list(prefix: string, after?: string): Promise<{ entries: Entry[]; more: boolean; revision: number }> {
    await this.requests.take();
    const since = after === undefined ? '' : `&since=${encodeURIComponent(after)}`;
    const path = `/store?prefix=${encodeURIComponent(prefix)}${since}&limit=${PAGE}`;
    const page = this.#parse(await this.#call('GET', path, undefined), listSchema);
    return {
      entries: page.entries.map((e) => ({ key: e.path, value: e.data, version: e.stamp })),
      more: page.hasNext,
      revision: page.ledger,
    };
  }

  async compareAndSwap(
    guards: Condition[],
    changes: Change[],
    urgent = false,
  ): Promise<CompareAndSwapResult> {
    if (urgent) {
      this.requests.takeNow();
      this.writes.takeNow(changes.length);
    } else {
      await this.writes.take(changes.length, PATIENCE_MS);
      await this.requests.take();
    }
    const body = {
      guards: guards.map((g) => ({ path: g.key, stamp: g.version })),
      apply: changes.map((c) =>
        'put' in c
          ? { set: c.put, data: c.value, ...(c.lease === undefined ? {} : { hold: c.lease }) }
          : { delete: c.delete },
      ),
    };
    const answer = await this.#call('POST', '/txn', body);
    if (answer.status === 409) {
      const failed = check(answer.body, txnFailed);
      return { ok: false, failed: failed.failed, revision: failed.ledger };
    }
    if (answer.status === 400 && (answer.body as { error?: unknown } | null)?.error === 'no such lease') {
      throw new LeaseExpiredError('the lease of a change has ended');
    }
    return { ok: true, revision: this.#parse(answer, txnOk).ledger };
  }

  async grantLease(ttlMs: number): Promise<number> {
    this.requests.takeNow();
    return this.#parse(await this.#call('POST', '/grants', { ttlMs }), grantSchema).hold;
  }

  async renewLease(lease: number): Promise<boolean> {
    this.requests.takeNow();
    const answer = await this.#call('POST', `/grants/${lease}/extend`, {});
    if (answer.status === 404) return false;
    this.#parse(answer, z.unknown());
    return true;
  }

  async revokeLease(lease: number): Promise<void> {
    this.requests.takeNow();
    const answer = await this.#call('DELETE', `/grants/${lease}`, undefined);
    if (answer.status !== 404) this.#parse(answer, z.unknown());
  }

  async changes(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<{ revision: number; events: ChangeEvent[] } | undefined> {
    this.requests.takeNow();
    const path = `/changes?prefix=${encodeURIComponent(prefix)}&since=${since}&holdMs=${waitMs}`;
    const answer = await this.#callForChanges(path, waitMs + this.timeoutMs);
    if (!answer || answer.status === 410) return undefined;
    const { ledger, news } = this.#parse(answer, changesSchema);
    return {
      revision: ledger,
      events: news.map((n) =>
        'set' in n
          ? { key: n.set, version: n.stamp, value: n.data, deleted: false }
          : { key: n.delete, version: n.stamp, deleted: true },
      ),
    };
  }

  /**
   * Undefined: the answer, whose size nothing bounds, is larger than a node reads. Asked for once more it would only
   * have grown, and the node would never see another change.
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
    timeoutMs = this.timeoutMs,
  ): Promise<HttpResponse> {
    try {
      const answer = await this.http.call(this.address, method, path, body, timeoutMs);
      this.#troubled = answer.status === 503;
      return answer;
    } catch (error) {
      this.#troubled = !(error instanceof ResponseTooLargeError);
      throw error;
    }
  }

  #parse<T>(answer: { status: number; body: unknown }, schema: z.ZodType<T>): T {
    if (answer.status === 503 || answer.status === 429)
      throw new StoreRejectedError(`state service: ${answer.status}`);
    if (answer.status !== 200) throw new NoResponseError(`state service: status ${answer.status}`, true);
    return check(answer.body, schema);
  }
}

/** The body of an answer, whose status was looked at already. */
function check<T>(body: unknown, schema: z.ZodType<T>): T {
  const parsed = schema.safeParse(body);
  if (!parsed.success) throw new NoResponseError('state service: malformed answer', true);
  return parsed.data;
}
