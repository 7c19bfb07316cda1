/** @file A stand-in for the state service: a store with revisions, leases, watches and the limits of the settings. */
import { now, sleep, type WireAnswer, type WireRequest } from './wire';

/** The limits that the settings state. */
export interface StateLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
}

interface Stored {
  readonly data: unknown;
  readonly stamp: number;
  readonly hold: number | undefined;
}

interface Change {
  readonly path: string;
  readonly stamp: number;
  readonly data?: unknown;
  readonly isDeletion: boolean;
}

interface Operation {
  readonly set?: string;
  readonly delete?: string;
  readonly data?: unknown;
  readonly hold?: number;
}

interface Transaction {
  readonly guards?: { readonly path: string; readonly stamp: number }[];
  readonly apply?: Operation[];
}

const LATENCY_MS = 3;
const KEPT_CHANGES = 10_000;
const MAX_PAGE_ENTRIES = 1_000;
const MAX_PAGE_BYTES = 512 * 1024;
const MAX_TRANSACTION_BYTES = 64 * 1024;
const GUARDS_PER_OPERATION = 4;
const EXPIRY_INTERVAL_MS = 20;
const UNAVAILABLE: WireAnswer = { status: 503, body: { error: 'unavailable' } };
const BAD_REQUEST: WireAnswer = { status: 400, body: { error: 'malformed' } };

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value ?? null));
}

/** A token bucket with a burst of one second's worth. */
class Bucket {
  #tokens: number;
  #at = now();

  constructor(private readonly perSecond: number) {
    this.#tokens = perSecond;
  }

  take(count: number): boolean {
    const at = now();
    this.#tokens = Math.min(this.perSecond, this.#tokens + ((at - this.#at) / 1000) * this.perSecond);
    this.#at = at;
    if (count > this.#tokens) return false;
    this.#tokens -= count;
    return true;
  }
}

/** The state service. */
export class StateService {
  readonly #entries = new Map<string, Stored>();
  readonly #leases = new Map<number, { readonly ttlMs: number; endsAt: number }>();
  readonly #requests: Bucket;
  readonly #writes: Bucket;
  readonly #timer: NodeJS.Timeout;
  #changes: Change[] = [];
  #droppedUpTo = 0;
  #watchers = new Set<() => void>();
  #ledger = 0;
  #lastLease = 0;
  #isDown = false;

  constructor(private readonly limits: StateLimits) {
    this.#requests = new Bucket(limits.rps);
    this.#writes = new Bucket(limits.writeRps);
    this.#timer = setInterval(() => {
      this.#expireLeases();
    }, EXPIRY_INTERVAL_MS);
  }

  /** The data of a key, for the record of a case. */
  read(path: string): unknown {
    return this.#entries.get(path)?.data;
  }

  /** Begins an outage: every request gets 503, and open watches wait. */
  beginOutage(): void {
    this.#isDown = true;
  }

  /** Ends the outage: every lease has its full time again. */
  endOutage(): void {
    this.#isDown = false;
    for (const lease of this.#leases.values()) lease.endsAt = now() + lease.ttlMs;
  }

  close(): void {
    clearInterval(this.#timer);
  }

  async handle(request: WireRequest): Promise<WireAnswer> {
    await sleep(LATENCY_MS);
    if (this.#isDown) return UNAVAILABLE;
    if (!this.#requests.take(1)) return { status: 429, body: { error: 'rate' } };
    const [, head = '', ...rest] = request.path.split('/');
    const key = rest.join('/');
    if (head === 'store') return key === '' ? this.#list(request.query) : this.#get(key);
    if (head === 'txn') return this.#transact(request.body as Transaction);
    if (head === 'changes') return this.#watch(request.query);
    if (head === 'grants') return this.#grant(request, rest);
    return BAD_REQUEST;
  }

  #get(path: string): WireAnswer {
    const stored = this.#entries.get(path);
    if (!stored) return { status: 404, body: { ledger: this.#ledger } };
    const { data, stamp, hold } = stored;
    return { status: 200, body: { path, data, stamp, ...(hold === undefined ? {} : { hold }) } };
  }

  #list(query: URLSearchParams): WireAnswer {
    const prefix = query.get('prefix') ?? '';
    const since = query.get('since') ?? '';
    const limit = Math.min(MAX_PAGE_ENTRIES, Number(query.get('limit') ?? MAX_PAGE_ENTRIES));
    const paths = [...this.#entries.keys()].filter((path) => path.startsWith(prefix) && path > since).sort();
    const entries: unknown[] = [];
    let bytes = 0;
    for (const path of paths) {
      const { data, stamp } = this.#entries.get(path) ?? {};
      const entry = { path, data, stamp };
      bytes += jsonBytes(entry);
      if (entries.length >= limit || (entries.length > 0 && bytes > MAX_PAGE_BYTES)) break;
      entries.push(entry);
    }
    return { status: 200, body: { entries, hasNext: entries.length < paths.length, ledger: this.#ledger } };
  }

  #transact({ guards = [], apply = [] }: Transaction): WireAnswer {
    const { txnOps, valueKb } = this.limits;
    if (apply.length > txnOps || guards.length > GUARDS_PER_OPERATION * txnOps) return BAD_REQUEST;
    if (jsonBytes({ guards, apply }) > MAX_TRANSACTION_BYTES) return BAD_REQUEST;
    if (apply.some(({ data }) => jsonBytes(data) > valueKb * 1024)) return BAD_REQUEST;
    if (!this.#writes.take(apply.length)) return { status: 429, body: { error: 'rate' } };
    if (apply.some(({ hold }) => hold !== undefined && !this.#leases.has(hold))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    const failed = guards
      .filter(({ path, stamp }) => (this.#entries.get(path)?.stamp ?? 0) !== stamp)
      .map(({ path }) => path);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.#ledger } };
    if (apply.length > 0) this.#apply(apply);
    return { status: 200, body: { ledger: this.#ledger } };
  }

  #apply(operations: readonly Operation[]): void {
    this.#ledger += 1;
    const stamp = this.#ledger;
    for (const { set, delete: deleted, data, hold } of operations) {
      if (set !== undefined) {
        this.#entries.set(set, { data, stamp, hold });
        this.#changes.push({ path: set, stamp, data, isDeletion: false });
      } else if (deleted !== undefined && this.#entries.delete(deleted)) {
        this.#changes.push({ path: deleted, stamp, isDeletion: true });
      }
    }
    if (this.#changes.length > KEPT_CHANGES) {
      const dropped = this.#changes.length - KEPT_CHANGES;
      this.#droppedUpTo = this.#changes[dropped - 1]?.stamp ?? this.#droppedUpTo;
      this.#changes = this.#changes.slice(dropped);
    }
    const watchers = this.#watchers;
    this.#watchers = new Set();
    for (const wake of watchers) wake();
  }

  async #watch(query: URLSearchParams): Promise<WireAnswer> {
    const prefix = query.get('prefix') ?? '';
    const since = Number(query.get('since') ?? 0);
    const until = now() + Math.min(60_000, Number(query.get('holdMs') ?? 0));
    for (;;) {
      if (since < this.#droppedUpTo) return { status: 410, body: { error: 'too old' } };
      // A watch that is open during an outage waits until it is over.
      if (!this.#isDown) {
        const changes = this.#changes.filter(({ path, stamp }) => stamp > since && path.startsWith(prefix));
        if (changes.length > 0 || now() >= until) return this.#news(changes);
      }
      await this.#nextChange(Math.max(10, Math.min(until - now(), 1_000)));
    }
  }

  #news(changes: readonly Change[]): WireAnswer {
    const news = changes.map(({ path, stamp, data, isDeletion }) =>
      isDeletion ? { delete: path, stamp } : { set: path, data, stamp },
    );
    return { status: 200, body: { ledger: this.#ledger, news } };
  }

  #nextChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        this.#watchers.delete(done);
        resolve();
      };
      const timer = setTimeout(done, ms);
      this.#watchers.add(done);
    });
  }

  #grant({ method, body }: WireRequest, [name, action]: readonly string[]): WireAnswer {
    if (name === undefined) {
      const ttlMs = (body as { ttlMs: number }).ttlMs;
      if (!(ttlMs >= 100 && ttlMs <= 600_000)) return BAD_REQUEST;
      this.#lastLease += 1;
      this.#leases.set(this.#lastLease, { ttlMs, endsAt: now() + ttlMs });
      return { status: 200, body: { hold: this.#lastLease } };
    }
    const lease = this.#leases.get(Number(name));
    if (!lease) return { status: 404, body: { error: 'no such lease' } };
    if (method === 'DELETE') this.#endLease(Number(name));
    else if (action === 'extend') lease.endsAt = now() + lease.ttlMs;
    else return BAD_REQUEST;
    return { status: 200, body: {} };
  }

  #expireLeases(): void {
    if (this.#isDown) return;
    const at = now();
    for (const [id, { endsAt }] of [...this.#leases]) if (at > endsAt) this.#endLease(id);
  }

  #endLease(id: number): void {
    this.#leases.delete(id);
    const bound = [...this.#entries].filter(([, { hold }]) => hold === id);
    if (bound.length > 0) this.#apply(bound.map(([path]) => ({ delete: path })));
  }
}
