/** @file A watch cache whose change events a test scripts. */
import { WatchCache } from '../../src/bookkeeping/watch-cache';
import type { ChangeEvent, KeyValueStore } from '../../src/protocol/key-value-store';
import { FakeClock } from './clock';

/** A store that returns the revision and events that the test sets, and a watch cache without pauses between watches. */
export class ScriptedWatch {
  events: ChangeEvent[] = [];
  revision = 0;
  readonly #clock = new FakeClock();
  readonly cache: WatchCache;

  constructor() {
    const store = {
      list: () => Promise.resolve({ entries: [], hasMore: false, revision: this.revision }),
      changes: () => Promise.resolve({ revision: this.revision, events: this.events }),
    };
    this.cache = new WatchCache({
      store: store as unknown as KeyValueStore,
      prefix: 'live/',
      clock: this.#clock,
      waitMs: 1000,
      minWatchIntervalMs: 0,
    });
  }

  async step(): Promise<void> {
    const step = this.cache.step();
    await this.#clock.advance(1);
    await step;
  }
}
