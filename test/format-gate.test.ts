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

/** A state service, and the gates of controllers that use it, each with a copy of the records of its own. */
class Deployment {
  readonly #clock = new FakeClock();
  readonly service = new FakeKeyValueStore(this.#clock);
  readonly store = new HttpKeyValueStore({
    http: {
      call: (to, method, path, body) => this.service.handle({ from: 'node', to, method, path, body }),
    },
    address: 'state',
    requests: new RateLimit(this.#clock, RATE, RATE),
    writes: new RateLimit(this.#clock, RATE, RATE),
    timeoutMs: TIMEOUT_MS,
  });

  /** The gate of a controller whose copy of the records is as they are now, and stays so. */
  async gate(node: string): Promise<FormatGate> {
    const cache = new WatchCache({
      store: this.store,
      prefix: LIVE_PREFIX,
      clock: this.#clock,
      waitMs: 0,
      minWatchIntervalMs: 0,
    });
    await cache.step();
    return new FormatGate({
      controllerId: node,
      controllers: CONTROLLERS,
      store: this.store,
      cache,
      clock: this.#clock,
      log: SILENT,
    });
  }

  /** Puts a mark there as another version or an operator may have left it. */
  async put(node: string, value: unknown): Promise<void> {
    await this.store.compareAndSwap([], [{ put: KEY.format(node), value }]);
  }
}

test('the gate is open once the marks of all controllers are there, also when the copy lags behind', async () => {
  const deployment = new Deployment();
  const early = await deployment.gate('node-0');
  for (const [count, node] of CONTROLLERS.entries()) {
    assert.equal(await early.confirmOpenForFormat2(), false, `${count} marks`);
    assert.equal(await (await deployment.gate(node)).writeFormatRecord(), true);
  }
  assert.equal(early.isOpenForFormat2, false);
  assert.deepEqual(early.controllersWithout(), CONTROLLERS);
  assert.equal(await early.confirmOpenForFormat2(), true);
  assert.equal(early.isOpenForFormat2, true);
  assert.equal((await deployment.gate('node-1')).isOpenForFormat2, true);
});

test('a gate that was seen open stays open, whatever becomes of the marks or the state service', async () => {
  const deployment = new Deployment();
  for (const node of CONTROLLERS) await (await deployment.gate(node)).writeFormatRecord();
  const gate = await deployment.gate('node-0');
  assert.equal(gate.isOpenForFormat2, true);
  await deployment.store.compareAndSwap([], [{ delete: KEY.format('node-2') }]);
  deployment.service.outage(true);
  assert.equal(gate.isOpenForFormat2, true);
  assert.equal(await gate.confirmOpenForFormat2(), true);
});

test('without an answer from the state service the gate is not taken for open', async () => {
  const deployment = new Deployment();
  for (const node of CONTROLLERS.slice(1)) await (await deployment.gate(node)).writeFormatRecord();
  const gate = await deployment.gate('node-0');
  deployment.service.outage(true);
  await assert.rejects(gate.confirmOpenForFormat2(), StoreRejectedError);
  await assert.rejects(gate.writeFormatRecord(), StoreRejectedError);
  assert.equal(gate.isOpenForFormat2, false);
});

test('marks of an older format, or unreadable ones, do not count, and are replaced by their own controller', async () => {
  for (const value of [{ format: FORMAT.dependencies - 1 }, { format: 'new' }, {}, null, 'x']) {
    const deployment = new Deployment();
    for (const node of CONTROLLERS.slice(1)) await (await deployment.gate(node)).writeFormatRecord();
    await deployment.put('node-0', value);
    const gate = await deployment.gate('node-0');
    assert.deepEqual(gate.controllersWithout(), ['node-0'], JSON.stringify(value));
    assert.equal(await gate.confirmOpenForFormat2(), false);
    assert.equal(await gate.writeFormatRecord(), true);
    assert.equal(await gate.confirmOpenForFormat2(), true);
  }
});

test('each format has a gate of its own: a mark counts for its format and those before, and is raised later', async () => {
  const deployment = new Deployment();
  for (const node of CONTROLLERS.slice(1)) await (await deployment.gate(node)).writeFormatRecord();
  await deployment.put('node-0', { format: FORMAT.dependencies });
  const gate = await deployment.gate('node-0');
  assert.equal(
    gate.isOpenForFormat2,
    true,
    'dependencies are not refused while controllers go from one version to the next',
  );
  assert.equal(gate.isOpenFor(FORMAT.admission), false);
  assert.deepEqual(gate.controllersWithout(), ['node-0']);
  assert.deepEqual(gate.controllersWithout(FORMAT.dependencies), []);
  assert.equal(await gate.writeFormatRecord(), true);
  assert.deepEqual(deployment.service.data.get(KEY.format('node-0'))?.data, { format: RECORD_FORMAT });
  const later = await deployment.gate('node-1');
  assert.equal(later.isOpenFor(FORMAT.admission), true);
});

test('the mark of a newer format counts, and is not replaced', async () => {
  const deployment = new Deployment();
  const newer = { format: RECORD_FORMAT + 1 };
  await deployment.put('node-0', newer);
  const gate = await deployment.gate('node-0');
  assert.equal(await gate.writeFormatRecord(), true);
  assert.deepEqual(deployment.service.data.get(KEY.format('node-0'))?.data, newer);
  assert.deepEqual(gate.controllersWithout(), ['node-1', 'node-2']);
});
