/** @file A key-value store that enforces limits, for tests of lowered limits. */
import assert from 'node:assert/strict';
import { runLoop } from '../src/base/loop';
import { WatchCache } from '../src/bookkeeping/watch-cache';
import { HttpKeyValueStore } from '../src/protocol/http-key-value-store';
import { RateLimit } from '../src/transport/rate-limit';
import { FakeClock } from './fakes/clock';
import { FakeNetwork } from './fakes/network';
import { FakeKeyValueStore } from './fakes/key-value-store';

export const CURRENT_LIMITS = { rps: 200, write_rps: 100, value_kb: 16, txn_ops: 32 };
export const LOWERED_LIMITS = { rps: 150, write_rps: 12, value_kb: 2, txn_ops: 10 };
export const LOWERED_ENFORCED_LIMITS = { valueKb: 2, txnOps: 10, writeRps: 12 };
export const CURRENT_ENFORCED_LIMITS = { valueKb: 16, txnOps: 32, writeRps: 100 };
export const quiet = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};

/** Platform settings that announce new limits of the store. */
export function platformSettings(next?: unknown): unknown {
  return {
    node: 'node-0',
    area: 'a',
    bind: '10.0.0.1:8080',
    back: '10.0.0.1:8081',
    external: { cloud: '10.2.0.2:8443', state: '10.2.0.1:2379' },
    deployment: {
      teams: [{ name: 'blue' }],
      workers: { report_s: 0.8, lease_s: 10, cancel_s: 30 },
      state: { ...CURRENT_LIMITS, next },
      cloud: { rps: 5, list_lag_s: 2 },
      quota: {},
    },
  };
}

/** A fake store, with the store client and the watch cache of one controller. */
export class StoreFixture {
  readonly clock = new FakeClock();
  readonly network = new FakeNetwork(this.clock);
  readonly fakeStore = new FakeKeyValueStore(this.clock);
  readonly store = this.#newStore(LOWERED_LIMITS.write_rps);
  readonly cache = this.newCache();
  readonly stopped = new AbortController();

  constructor() {
    this.network.attach('10.2.0.1:2379', (request) => this.fakeStore.handle(request));
  }

  #newStore(writeRps: number): HttpKeyValueStore {
    const [requests, writes] = [CURRENT_LIMITS.rps, writeRps].map(
      (rate) => new RateLimit(this.clock, rate, rate),
    );
    assert(requests && writes);
    const http = this.network.caller('node-0');
    return new HttpKeyValueStore({ http, address: '10.2.0.1:2379', requests, writes, timeoutMs: 1500 });
  }

  /** A new watch cache, which reads all records. */
  newCache(): WatchCache {
    const cache = new WatchCache({
      store: this.#newStore(CURRENT_LIMITS.write_rps),
      prefix: 'live/',
      clock: this.clock,
      waitMs: 500,
      minWatchIntervalMs: 50,
    });
    const context = { clock: this.clock, log: quiet, signal: new AbortController().signal };
    void runLoop('watch', () => cache.step(), context, 300);
    return cache;
  }

  async load(): Promise<void> {
    await this.clock.advance(100);
    assert.ok(this.cache.isLoaded);
  }

  /** Advances the time until the work is done, and one second more for the watch cache to receive its changes. */
  async runUntilDone(work: Promise<unknown>): Promise<void> {
    let isFinished = false;
    const finished = work.finally(() => {
      isFinished = true;
    });
    for (let step = 0; step < 600 && !isFinished; step += 1) await this.clock.advance(10);
    await finished;
    await this.clock.advance(1_000);
  }

  keys(prefix: string): string[] {
    return [...this.fakeStore.data.keys()].filter((key) => key.startsWith(prefix));
  }
}
