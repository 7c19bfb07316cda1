/** @file A fake key-value store in memory that speaks its published protocol, with faults and limits. */
import type { HttpResponse } from '../../src/transport/http-client';
import type { TimerClock } from './clock';
import type { Request } from './network';

interface StoredEntry {
  data: unknown;
  stamp: number;
  hold?: number;
}

interface ChangeRecord {
  stamp: number;
  set?: string;
  delete?: string;
  data?: unknown;
}

interface Txn {
  guards: { path: string; stamp: number }[];
  apply: { set?: string; delete?: string; data?: unknown; hold?: number }[];
}

/** Limits that the store enforces; sizes are those of the JSON text. */
export interface EnforcedLimits {
  valueKb: number;
  txnOps: number;
  writeRps: number;
}

/** Fixed limits of the protocol: bytes of a transaction, and its conditions per allowed change. */
const MAX_TXN_BYTES = 64 * 1024;
const GUARDS_PER_CHANGE = 4;
/** Fixed limits of the protocol on a page of entries: their number, and bytes of JSON text without the text around them. */
const MAX_PAGE_ENTRIES = 1_000;
const MAX_PAGE_BYTES = 512 * 1024 - 1_024;

/**
 * A fault of a request. `lateMs`: it gets no response and is executed only after this time, after newer requests.
 * `slowMs`: its response is delayed. 'lose answer': it is executed, but its response is lost. 'refuse': it gets 503.
 */
export type StoreFault = { lateMs: number } | 'lose answer' | { slowMs: number } | 'refuse';

/** Whether all texts in a value are valid Unicode, as MessagePack requires of text. */
function hasValidTexts(value: unknown): boolean {
  if (typeof value === 'string') return !/\p{Surrogate}/u.test(value);
  if (typeof value !== 'object' || value === null) return true;
  return Object.entries(value).every(([key, item]) => hasValidTexts(key) && hasValidTexts(item));
}

const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

const noAnswer = (): Promise<HttpResponse> => new Promise(() => undefined);

/** A key-value store in memory with revisions, leases (`grants`), transactions, watches and injected faults. */
export class FakeKeyValueStore {
  readonly data = new Map<string, StoredEntry>();
  readonly #grants = new Map<number, { ttlMs: number; endsAt: number }>();
  readonly #changeLog: ChangeRecord[] = [];
  #watchers: (() => void)[] = [];
  #nextGrant = 1;
  revision = 0;
  /** Senders whose requests get 503; `*` stands for all senders. */
  readonly refused = new Set<string>();
  #rules: ((request: Request) => StoreFault | undefined)[] = [];
  /** Bytes of the largest value ever written, as JSON. */
  largestValue = 0;
  /** Changes of the largest transaction. */
  largestTransaction = 0;
  /** Enforced from the moment that a test sets them; no limits until then. */
  limits: EnforcedLimits | undefined;
  /** Sender and reason of each transaction that was rejected for its size. */
  readonly oversizedTransactions: string[] = [];
  /** Number of transactions that the limit on the rate of changes rejected. */
  rejectedByRateLimit = 0;
  #writeTokens = 0;
  #tokensRefilledAt = -Infinity;

  constructor(private readonly clock: TimerClock) {}

  /** Starts or ends an outage for all senders. When it ends, every lease has its full duration again. */
  outage(on: boolean): void {
    if (on) this.refused.add('*');
    else {
      this.refused.delete('*');
      for (const grant of this.#grants.values()) grant.endsAt = this.clock.now() + grant.ttlMs;
    }
  }

  /** Adds a rule that injects faults into requests. Returns a function that removes the rule. */
  rule(rule: (request: Request) => StoreFault | undefined): () => void {
    this.#rules.push(rule);
    return () => {
      this.#rules = this.#rules.filter((r) => r !== rule);
    };
  }

  async handle(request: Request): Promise<HttpResponse> {
    const fault = this.#rules.map((rule) => rule(request)).find((f) => f !== undefined);
    if (fault === undefined) return this.#execute(request);
    if (fault === 'refuse') return { status: 503, body: null };
    if (fault === 'lose answer') {
      await this.#execute(request);
      return noAnswer();
    }
    if ('lateMs' in fault) {
      // Conditions, leases and outages count as they are at the time of execution.
      this.clock.after(fault.lateMs, () => void this.#execute(request));
      return noAnswer();
    }
    const answer = await this.#execute(request);
    await this.clock.sleep(fault.slowMs);
    return answer;
  }

  async #execute({ from, method, path, body }: Request): Promise<HttpResponse> {
    if (this.refused.has('*') || this.refused.has(from)) return { status: 503, body: null };
    this.#expire();
    const url = new URL(path, 'http://state');
    const [, head = '', ...rest] = url.pathname.split('/');
    if (head === 'store' && rest.length > 0) return this.#get(rest.join('/'));
    if (head === 'store') return this.#list(url.searchParams);
    if (head === 'txn') return this.#txn(from, body as Txn);
    if (head === 'changes') return this.#changes(from, url.searchParams);
    if (head === 'grants') return this.#grant(method, rest, body as { ttlMs: number });
    return { status: 400, body: null };
  }

  #expire(): void {
    if (this.refused.has('*')) return;
    for (const [id, grant] of this.#grants) if (this.clock.now() > grant.endsAt) this.#revoke(id);
  }

  #revoke(id: number): void {
    this.#grants.delete(id);
    for (const [path, stored] of [...this.data]) if (stored.hold === id) this.#change([{ delete: path }]);
  }

  #get(path: string): HttpResponse {
    const stored = this.data.get(path);
    if (!stored) return { status: 404, body: { ledger: this.revision } };
    return { status: 200, body: { path, ...stored } };
  }

  #list(params: URLSearchParams): HttpResponse {
    const prefix = params.get('prefix') ?? '';
    const since = params.get('since') ?? '';
    const limit = Number(params.get('limit') ?? 1000);
    const keys = [...this.data.keys()].filter((k) => k.startsWith(prefix) && k > since).sort();
    const entries: object[] = [];
    let bytes = 0;
    for (const path of keys.slice(0, Math.min(limit, MAX_PAGE_ENTRIES))) {
      const entry = { path, ...this.data.get(path) };
      bytes += jsonBytes(entry) + 1;
      if (bytes > MAX_PAGE_BYTES) break;
      entries.push(entry);
    }
    const hasNext = keys.length > entries.length;
    return { status: 200, body: { entries, hasNext, ledger: this.revision } };
  }

  #change(apply: Txn['apply']): void {
    this.revision += 1;
    for (const op of apply) {
      if (op.set !== undefined) {
        this.data.set(op.set, {
          data: op.data,
          stamp: this.revision,
          ...(op.hold === undefined ? {} : { hold: op.hold }),
        });
        this.#changeLog.push({ stamp: this.revision, set: op.set, data: op.data });
      } else if (op.delete !== undefined && this.data.delete(op.delete)) {
        this.#changeLog.push({ stamp: this.revision, delete: op.delete });
      }
    }
    const watchers = this.#watchers;
    this.#watchers = [];
    for (const wake of watchers) wake();
  }

  /** How a transaction exceeds the size limits; undefined if it doesn't. */
  #sizeViolation({ guards, apply }: Txn): string | undefined {
    if (!this.limits) return undefined;
    const { valueKb, txnOps } = this.limits;
    if (apply.length > txnOps) return `${apply.length} changes`;
    if (guards.length > txnOps * GUARDS_PER_CHANGE) return `${guards.length} conditions`;
    if (jsonBytes({ guards, apply }) > MAX_TXN_BYTES) return `${jsonBytes({ guards, apply })} bytes in total`;
    const large = apply.find((op) => jsonBytes(op.data ?? null) > valueKb * 1024);
    return large && `${large.set} has ${jsonBytes(large.data)} bytes`;
  }

  /** Takes one token of the write rate limit per change; false if there are too few tokens. */
  #consumeWriteTokens(count: number): boolean {
    if (!this.limits || count === 0) return true;
    const { writeRps } = this.limits;
    const now = this.clock.now();
    const newTokens = ((now - this.#tokensRefilledAt) / 1000) * writeRps;
    this.#writeTokens = Math.min(writeRps, this.#writeTokens + newTokens);
    this.#tokensRefilledAt = now;
    if (count > this.#writeTokens) return false;
    this.#writeTokens -= count;
    return true;
  }

  #txn(from: string, { guards, apply }: Txn): HttpResponse {
    const violation = this.#sizeViolation({ guards, apply });
    if (violation !== undefined) {
      this.oversizedTransactions.push(`${from}: ${violation}`);
      return { status: 400, body: { error: violation } };
    }
    if (!hasValidTexts({ guards, apply })) return { status: 400, body: { error: 'text is not valid UTF-8' } };
    // Transactions whose conditions fail count against the rate limit, too.
    if (!this.#consumeWriteTokens(apply.length)) {
      this.rejectedByRateLimit += 1;
      return { status: 429, body: null };
    }
    if (apply.some((op) => op.hold !== undefined && !this.#grants.has(op.hold))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    const failed = guards.filter((g) => (this.data.get(g.path)?.stamp ?? 0) !== g.stamp).map((g) => g.path);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.revision } };
    for (const op of apply) {
      this.largestValue = Math.max(this.largestValue, JSON.stringify(op.data ?? null).length);
    }
    this.largestTransaction = Math.max(this.largestTransaction, apply.length);
    // Without changes a transaction only compares.
    if (apply.length > 0) this.#change(apply);
    return { status: 200, body: { ledger: this.revision } };
  }

  async #changes(from: string, params: URLSearchParams): Promise<HttpResponse> {
    const prefix = params.get('prefix') ?? '';
    const since = Number(params.get('since'));
    const until = this.clock.now() + Number(params.get('holdMs') ?? 0);
    for (;;) {
      const news = this.#changeLog.filter(
        (n) => n.stamp > since && (n.set ?? n.delete ?? '').startsWith(prefix),
      );
      const refused = this.refused.has('*') || this.refused.has(from);
      if (!refused && (news.length > 0 || this.clock.now() >= until)) {
        return { status: 200, body: { ledger: this.revision, news } };
      }
      await new Promise<void>((resolve) => {
        this.#watchers.push(resolve);
        this.clock.after(Math.max(50, until - this.clock.now()), resolve);
      });
      this.#expire();
    }
  }

  #grant(method: string, rest: string[], body: { ttlMs: number }): HttpResponse {
    const id = Number(rest[0]);
    if (rest.length === 0) {
      const grant = this.#nextGrant;
      this.#nextGrant += 1;
      this.#grants.set(grant, { ttlMs: body.ttlMs, endsAt: this.clock.now() + body.ttlMs });
      this.clock.after(body.ttlMs + 1, () => {
        this.#expire();
      });
      return { status: 200, body: { hold: grant } };
    }
    const grant = this.#grants.get(id);
    if (!grant) return { status: 404, body: null };
    if (method === 'DELETE') {
      this.#revoke(id);
    } else {
      grant.endsAt = this.clock.now() + grant.ttlMs;
      this.clock.after(grant.ttlMs + 1, () => {
        this.#expire();
      });
    }
    return { status: 200, body: {} };
  }
}
