import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createLog } from '../src/base/log';
import { FormatGate } from '../src/bookkeeping/format-gate';
import { FORMAT, KEY, LIVE_PREFIX, RECORD_FORMAT } from '../src/bookkeeping/records';
import { WatchCache } from '../src/bookkeeping/watch-cache';
import { HttpKeyValueStore } from '../src/protocol/http-key-value-store';
import { StoreRejectedError } from '../src/protocol/key-value-store';
import { RateLimit } from '../src/transport/rate-limit';
import { FakeClock } from './fakes/clock';
import { FakeKeyValueStore } from './fakes/key-value-store';

const CONTROLLERS = ['node-0', 'node-1', 'node-2'];
const SILENT = createLog('silent');
const RATE = 1_000;
const TIMEOUT_MS = 1_000;

/** A key-value store, and the format gates of controllers that use it, each with its own watch cache. */
class Deployment {
  readonly #clock = new FakeClock();
  readonly fakeStore = new FakeKeyValueStore(this.#clock);
  readonly store = new HttpKeyValueStore({
    http: {
      call: (to, method, path, body) => this.fakeStore.handle({ from: 'node', to, method, path, body }),
    },
    address: 'state',
    requests: new RateLimit(this.#clock, RATE, RATE),
    writes: new RateLimit(this.#clock, RATE, RATE),
    timeoutMs: TIMEOUT_MS,
  });

  /** The format gate of a controller whose watch cache is loaded now and never updated. */
  async gate(controller: string): Promise<FormatGate> {
    const cache = new WatchCache({
      store: this.store,
      prefix: LIVE_PREFIX,
      clock: this.#clock,
      waitMs: 0,
      minWatchIntervalMs: 0,
    });
    await cache.step();
    return new FormatGate({
      controllerId: controller,
      controllers: CONTROLLERS,
      store: this.store,
      cache,
      clock: this.#clock,
      log: SILENT,
    });
  }

  /** Writes a format record, as another version or an operator may have done. */
  async putFormatRecord(controller: string, value: unknown): Promise<void> {
    await this.store.compareAndSwap([], [{ put: KEY.format(controller), value }]);
  }
}

test('the gate opens once all controllers have a format record, even if the watch cache lags behind', async () => {
  const deployment = new Deployment();
  const staleGate = await deployment.gate('node-0');
  for (const [count, controller] of CONTROLLERS.entries()) {
    assert.equal(await staleGate.confirmOpenForFormat2(), false, `${count} format records`);
    assert.equal(await (await deployment.gate(controller)).writeFormatRecord(), true);
  }
  assert.equal(staleGate.isOpenForFormat2, false);
  assert.deepEqual(staleGate.controllersWithout(), CONTROLLERS);
  assert.equal(await staleGate.confirmOpenForFormat2(), true);
  assert.equal(staleGate.isOpenForFormat2, true);
  assert.equal((await deployment.gate('node-1')).isOpenForFormat2, true);
});

test('an open gate stays open when a format record is deleted and the key-value store is unavailable', async () => {
  const deployment = new Deployment();
  for (const controller of CONTROLLERS) await (await deployment.gate(controller)).writeFormatRecord();
  const gate = await deployment.gate('node-0');
  assert.equal(gate.isOpenForFormat2, true);
  await deployment.store.compareAndSwap([], [{ delete: KEY.format('node-2') }]);
  deployment.fakeStore.outage(true);
  assert.equal(gate.isOpenForFormat2, true);
  assert.equal(await gate.confirmOpenForFormat2(), true);
});

test('while the key-value store is unavailable, a closed gate stays closed', async () => {
  const deployment = new Deployment();
  for (const controller of CONTROLLERS.slice(1))
    await (await deployment.gate(controller)).writeFormatRecord();
  const gate = await deployment.gate('node-0');
  deployment.fakeStore.outage(true);
  await assert.rejects(gate.confirmOpenForFormat2(), StoreRejectedError);
  await assert.rejects(gate.writeFormatRecord(), StoreRejectedError);
  assert.equal(gate.isOpenForFormat2, false);
});

test('format records that are malformed or of an older format do not count, and their controllers replace them', async () => {
  for (const value of [{ format: FORMAT.dependencies - 1 }, { format: 'new' }, {}, null, 'x']) {
    const deployment = new Deployment();
    for (const controller of CONTROLLERS.slice(1))
      await (await deployment.gate(controller)).writeFormatRecord();
    await deployment.putFormatRecord('node-0', value);
    const gate = await deployment.gate('node-0');
    assert.deepEqual(gate.controllersWithout(), ['node-0'], JSON.stringify(value));
    assert.equal(await gate.confirmOpenForFormat2(), false);
    assert.equal(await gate.writeFormatRecord(), true);
    assert.equal(await gate.confirmOpenForFormat2(), true);
  }
});

test('each format has its own gate: a format record counts for its format and older ones, and is raised later', async () => {
  const deployment = new Deployment();
  for (const controller of CONTROLLERS.slice(1))
    await (await deployment.gate(controller)).writeFormatRecord();
  await deployment.putFormatRecord('node-0', { format: FORMAT.dependencies });
  const gate = await deployment.gate('node-0');
  assert.equal(gate.isOpenForFormat2, true, 'dependencies are accepted during an upgrade to a newer format');
  assert.equal(gate.isOpenFor(FORMAT.admission), false);
  assert.deepEqual(gate.controllersWithout(), ['node-0']);
  assert.deepEqual(gate.controllersWithout(FORMAT.dependencies), []);
  assert.equal(await gate.writeFormatRecord(), true);
  assert.deepEqual(deployment.fakeStore.data.get(KEY.format('node-0'))?.data, { format: RECORD_FORMAT });
  const later = await deployment.gate('node-1');
  assert.equal(later.isOpenFor(FORMAT.admission), true);
});

test('a format record of a newer format counts, and is not replaced', async () => {
  const deployment = new Deployment();
  const newer = { format: RECORD_FORMAT + 1 };
  await deployment.putFormatRecord('node-0', newer);
  const gate = await deployment.gate('node-0');
  assert.equal(await gate.writeFormatRecord(), true);
  assert.deepEqual(deployment.fakeStore.data.get(KEY.format('node-0'))?.data, newer);
  assert.deepEqual(gate.controllersWithout(), ['node-1', 'node-2']);
});
