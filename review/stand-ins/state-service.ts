/** @file A stand-in for the state service, with the rules and limits of the protocol page. */
import { performance } from 'node:perf_hooks';
import { WireServer, type WireReply, type WireRequest } from './wire';

/** Limits of the state service, as in `deployment.state` of the settings. */
export interface StateLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
}

interface Stored {
  readonly data: unknown;
  readonly stamp: number;
  readonly hold?: number;
}

interface Change {
  readonly stamp: number;
  readonly set?: string;
  readonly delete?: string;
  readonly data?: unknown;
}

interface Operation {
  readonly set?: string;
  readonly delete?: string;
  readonly data?: unknown;
  readonly hold?: number;
}

interface Grant {
  readonly ttlMs: number;
  endsAt: number;
  timer: NodeJS.Timeout | undefined;
}

const KEPT_CHANGES = 10_000;
const MAX_ITEMS = 1_000;
const MAX_PAGE_BYTES = 512 * 1024;
const MAX_TXN_BYTES = 64 * 1024;
const GUARDS_PER_CHANGE = 4;
const UNAVAILABLE: WireReply = { status: 503 };
const TOO_MANY: WireReply = { status: 429 };

const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value ?? null));

class Bucket {
  #tokens: number;
  #at = performance.now();

  constructor(private readonly perSecond: number) {
    this.#tokens = perSecond;
  }

  take(count: number): boolean {
    const now = performance.now();
    this.#tokens = Math.min(this.perSecond, this.#tokens + ((now - this.#at) / 1000) * this.perSecond);
    this.#at = now;
    if (count > this.#tokens) return false;
    this.#tokens -= count;
    return true;
  }
}

/** The state service. Each controller gets an address of its own, so that a fault can concern one of them. */
export class StateService {
  readonly #data = new Map<string, Stored>();
  readonly #grants = new Map<number, Grant>();
  readonly #servers: WireServer[] = [];
  readonly #refused = new Set<string>();
  readonly #requests: Bucket;
  readonly #writes: Bucket;
  #changes: Change[] = [];
  #forgottenUpTo = 0;
  #ledger = 0;
  #nextGrant = 1;
  #isOut = false;
  #waiters: (() => void)[] = [];
  /** Number of requests that were answered 429. */
  overLimit = 0;

  constructor(private readonly limits: StateLimits) {
    this.#requests = new Bucket(limits.rps);
    this.#writes = new Bucket(limits.writeRps);
  }

  /** Opens the address through which this controller reaches the service. */
  async open(node: string): Promise<string> {
    const server = new WireServer((request) => this.#handle(node, request));
    this.#servers.push(server);
    return server.listen();
  }

  /** Closes all addresses. */
  close(): void {
    for (const server of this.#servers) server.close();
    for (const grant of this.#grants.values()) clearTimeout(grant.timer);
  }

  /** The value of a key, for the record only. */
  peek(key: string): unknown {
    return this.#data.get(key)?.data;
  }

  /** The keys with this prefix, for the record only. */
  keys(prefix: string): string[] {
    return [...this.#data.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  /** Starts or ends an outage; after it every lease has its full time again. */
  setOutage(isOut: boolean): void {
    this.#isOut = isOut;
    for (const [id, grant] of this.#grants) {
      clearTimeout(grant.timer);
      if (!isOut) this.#arm(id, grant);
    }
    this.#wake();
  }

  /** Starts or ends the refusal (503) of one controller; its leases run on. */
  setRefused(node: string, isRefused: boolean): void {
    if (isRefused) this.#refused.add(node);
    else this.#refused.delete(node);
    this.#wake();
  }

  #isUnavailableTo(node: string): boolean {
    return this.#isOut || this.#refused.has(node);
  }

  async #handle(node: string, { method, path, query, body }: WireRequest): Promise<WireReply> {
    if (this.#isUnavailableTo(node)) return UNAVAILABLE;
    if (!this.#requests.take(1)) {
      this.overLimit += 1;
      return TOO_MANY;
    }
    if (path === '/txn' && method === 'POST') return this.#txn(body);
    if (path === '/changes') return this.#watch(node, query);
    if (path === '/store') return this.#list(query);
    if (path.startsWith('/store/')) return this.#get(path.slice('/store/'.length));
    if (path.startsWith('/grants')) return this.#grant(method, path, body);
    return { status: 400 };
  }

  #get(key: string): WireReply {
    const stored = this.#data.get(key);
    return stored
      ? { status: 200, body: { path: key, ...stored } }
      : { status: 404, body: { ledger: this.#ledger } };
  }

  #list(query: URLSearchParams): WireReply {
    const prefix = query.get('prefix') ?? '';
    const since = query.get('since') ?? '';
    const limit = Math.min(MAX_ITEMS, Number(query.get('limit') ?? MAX_ITEMS));
    const keys = this.keys(prefix).filter((key) => key > since);
    const entries: unknown[] = [];
    let bytes = 0;
    for (const key of keys) {
      const entry = { path: key, ...this.#data.get(key) };
      bytes += jsonBytes(entry);
      if (entries.length >= limit || (entries.length > 0 && bytes > MAX_PAGE_BYTES)) break;
      entries.push(entry);
    }
    return { status: 200, body: { entries, hasNext: entries.length < keys.length, ledger: this.#ledger } };
  }

  #txn(body: unknown): WireReply {
    const { guards = [], apply = [] } = body as {
      guards?: { path: string; stamp: number }[];
      apply?: Operation[];
    };
    const { txnOps, valueKb } = this.limits;
    const isTooLarge =
      apply.length > txnOps ||
      guards.length > txnOps * GUARDS_PER_CHANGE ||
      jsonBytes(body) > MAX_TXN_BYTES ||
      apply.some((op) => jsonBytes(op.data) > valueKb * 1024);
    if (isTooLarge) return { status: 400, body: { error: 'too large' } };
    if (apply.length > 0 && !this.#writes.take(apply.length)) {
      this.overLimit += 1;
      return TOO_MANY;
    }
    if (apply.some((op) => op.hold !== undefined && !this.#grants.has(op.hold)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = guards.filter((g) => (this.#data.get(g.path)?.stamp ?? 0) !== g.stamp).map((g) => g.path);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.#ledger } };
    this.#apply(apply);
    return { status: 200, body: { ledger: this.#ledger } };
  }

  #apply(operations: readonly Operation[]): void {
    if (operations.length === 0) return;
    this.#ledger += 1;
    const stamp = this.#ledger;
    for (const { set, data, hold, delete: deleted } of operations) {
      if (set !== undefined) {
        this.#data.set(set, { data, stamp, ...(hold === undefined ? {} : { hold }) });
        this.#changes.push({ stamp, set, data });
      } else if (deleted !== undefined && this.#data.delete(deleted)) {
        this.#changes.push({ stamp, delete: deleted });
      }
    }
    const surplus = this.#changes.length - KEPT_CHANGES;
    if (surplus > 0) {
      this.#forgottenUpTo = this.#changes[surplus - 1]?.stamp ?? 0;
      this.#changes = this.#changes.slice(surplus);
    }
    this.#wake();
  }

  #wake(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }

  async #watch(node: string, query: URLSearchParams): Promise<WireReply> {
    const prefix = query.get('prefix') ?? '';
    const since = Number(query.get('since') ?? 0);
    const until = performance.now() + Math.min(60_000, Number(query.get('holdMs') ?? 0));
    for (;;) {
      if (!this.#isUnavailableTo(node)) {
        if (since < this.#forgottenUpTo) return { status: 410 };
        const news = this.#changes.filter(
          (change) => change.stamp > since && (change.set ?? change.delete ?? '').startsWith(prefix),
        );
        if (news.length > 0 || performance.now() >= until)
          return { status: 200, body: { ledger: this.#ledger, news } };
      }
      await new Promise<void>((resolve) => {
        this.#waiters.push(resolve);
        setTimeout(resolve, Math.max(20, until - performance.now()));
      });
    }
  }

  #grant(method: string, path: string, body: unknown): WireReply {
    const id = Number(path.split('/')[2]);
    if (path === '/grants') {
      const { ttlMs } = body as { ttlMs: number };
      const number = this.#nextGrant;
      this.#nextGrant += 1;
      const created: Grant = { ttlMs, endsAt: 0, timer: undefined };
      this.#grants.set(number, created);
      this.#arm(number, created);
      return { status: 200, body: { hold: number } };
    }
    const grant = this.#grants.get(id);
    if (!grant) return { status: 404 };
    if (method === 'DELETE') this.#end(id);
    else this.#arm(id, grant);
    return { status: 200 };
  }

  #arm(id: number, grant: Grant): void {
    clearTimeout(grant.timer);
    grant.endsAt = performance.now() + grant.ttlMs;
    grant.timer = setTimeout(() => {
      if (!this.#isOut) this.#end(id);
    }, grant.ttlMs + 10);
  }

  #end(id: number): void {
    clearTimeout(this.#grants.get(id)?.timer);
    this.#grants.delete(id);
    const bound = [...this.#data].filter(([, stored]) => stored.hold === id);
    this.#apply(bound.map(([key]) => ({ delete: key })));
  }
}
