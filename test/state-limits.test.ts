import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runLoop } from '../src/base/loop';
import { makeSettings } from '../src/base/settings';
import { changesAtOnce, limitsInForce, readNextLimits, valueBytes } from '../src/base/state-limits';
import { Bitmap } from '../src/bookkeeping/bitmap';
import {
  CHUNK_TASKS,
  completionLayout,
  completionRecord,
  groupByRecord,
  readCompletions,
} from '../src/bookkeeping/completion-records';
import { readTypes, storeTypes, typeBatches } from '../src/bookkeeping/type-records';
import { WatchCache } from '../src/bookkeeping/watch-cache';
import { Block } from '../src/coordination/block';
import type { Deps } from '../src/coordination/deps';
import { Leader } from '../src/coordination/leader';
import { Recorder } from '../src/coordination/recorder';
import type { CloudView } from '../src/coordination/cloud-view';
import type { Job, MachineType } from '../src/protocol/model';
import { HttpStateStore, type Guard } from '../src/protocol/state';
import { RateLimit } from '../src/transport/rate-limit';
import { FakeClock } from './fakes/clock';
import { FakeNetwork } from './fakes/network';
import { FakeStateService } from './fakes/state-service';
import { submission } from './fakes/submission';
import { World } from './fakes/world';

const NOW = { rps: 200, write_rps: 100, value_kb: 16, txn_ops: 32 };
const FALLEN = { rps: 150, write_rps: 12, value_kb: 2, txn_ops: 10 };
const FALLEN_SERVICE = { valueKb: 2, txnOps: 10, writeRps: 12 };
const NOW_SERVICE = { valueKb: 16, txnOps: 32, writeRps: 100 };
const TASKS = 100_000;
const quiet = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};

function platform(next?: unknown): unknown {
  return {
    node: 'node-0',
    area: 'a',
    bind: '10.0.0.1:8080',
    back: '10.0.0.1:8081',
    external: { cloud: '10.2.0.2:8443', state: '10.2.0.1:2379' },
    deployment: {
      teams: [{ name: 'blue' }],
      workers: { report_s: 0.8, lease_s: 10, cancel_s: 30 },
      state: { ...NOW, next },
      cloud: { rps: 5, list_lag_s: 2 },
      quota: {},
    },
  };
}

// Settings.

test('without announced limits those of now are in force', () => {
  for (const none of [undefined, 'soon', 7, [1, 2], new Date(0)]) {
    const settings = makeSettings(platform(none), {});
    assert.deepEqual(settings.platform.deployment.state, NOW);
    assert.equal(settings.nextStateLimits, undefined);
    assert.deepEqual(settings.warnings, []);
  }
});

test('of the limits of now and those announced the smaller are in force, field by field', () => {
  const settings = makeSettings(platform({ value_kb: 2, txn_ops: 10, write_rps: 400 }), {});
  assert.deepEqual(settings.platform.deployment.state, { ...NOW, value_kb: 2, txn_ops: 10 });
  assert.deepEqual(settings.nextStateLimits, { value_kb: 2, txn_ops: 10, write_rps: 400 });
  assert.deepEqual(settings.warnings, []);
  assert.deepEqual(limitsInForce(NOW), NOW);
  assert.deepEqual(limitsInForce(NOW, FALLEN), FALLEN);
  assert.deepEqual(limitsInForce(FALLEN, NOW), FALLEN);
});

test('announced limits that are not usable are ignored one by one, with a warning each', () => {
  const garbage = { rps: 'ten', write_rps: -3, value_kb: NaN, txn_ops: 0.5, surprise: true };
  const settings = makeSettings(platform({ ...garbage }), {}, ['p.toml']);
  assert.deepEqual(settings.platform.deployment.state, NOW);
  assert.deepEqual(settings.nextStateLimits, {});
  assert.equal(settings.warnings.length, 4);
  assert.match(settings.warnings[0] ?? '', /^p\.toml: deployment\.state\.next\.rps: /);
  const mixed = readNextLimits({ rps: Infinity, write_rps: null, value_kb: [2], txn_ops: 10.9 });
  assert.deepEqual(mixed, { limits: { txn_ops: 10 }, unusable: ['rps', 'write_rps', 'value_kb'] });
});

test('a transaction holds no more changes than allowed, nor than half a second brings', () => {
  assert.equal(changesAtOnce(NOW), 32);
  assert.equal(changesAtOnce(NOW, 8), 8);
  assert.equal(changesAtOnce({ ...FALLEN, write_rps: 28 }), 10);
  assert.equal(changesAtOnce(FALLEN), 6);
  assert.equal(changesAtOnce({ ...FALLEN, write_rps: 1 }), 3);
});

// Layout of completion records.

test('where a chunk fits one value, or before all controllers understand parts, chunks are written as ever', () => {
  const chunks = { kind: 'chunks' };
  for (const tasks of [1, 9, 65_536, 65_537, TASKS]) {
    const job = { id: 'req-1', tasks };
    assert.deepEqual(completionLayout(job, valueBytes(NOW), true), chunks);
    assert.deepEqual(completionLayout(job, valueBytes(FALLEN), false), chunks);
  }
  assert.deepEqual(completionLayout({ id: 'req-1', tasks: 11_000 }, valueBytes(FALLEN), true), chunks);
  const job = { id: 'req-1', tasks: TASKS };
  const record = completionRecord(job, 65_536, { kind: 'chunks' });
  assert.deepEqual(record, { key: 'live/done/req-1/1', first: 65_536, end: TASKS });
});

test('a chunk is byte for byte what the production version writes', () => {
  const bitmap = new Bitmap(20);
  for (const task of [0, 3, 8]) bitmap.set(task);
  const record = completionRecord({ id: 'req-1', tasks: 20 }, 19, { kind: 'chunks' });
  assert.equal(record.key, 'live/done/req-1/0');
  assert.equal(bitmap.encode(record.first, record.end, [19]), 'CQEI');
  assert.equal(bitmap.has(19), false, 'encoding records nothing');
});

test('parts are as long as the limit allows, and cover every task once', () => {
  for (const bytes of [70, 200, 1024, 2048, 8000]) {
    const job = { id: 'req-1', tasks: TASKS };
    const layout = completionLayout(job, bytes, true);
    assert.equal(layout.kind, 'parts');
    const bitmap = new Bitmap(TASKS);
    for (let task = 0; task < TASKS; task += 1) bitmap.set(task);
    const copy = new Bitmap(TASKS);
    const groups = groupByRecord(job, Array(TASKS).keys(), layout);
    let next = 0;
    for (const { record, tasks } of groups) {
      assert.equal(record.first, next);
      assert.equal(record.first % 8, 0);
      assert.equal(tasks.length, record.end - record.first);
      next = record.end;
      const value = { bits: bitmap.encode(record.first, record.end) };
      assert.ok(JSON.stringify(value).length <= bytes, `${JSON.stringify(value).length} of ${bytes}`);
      const stored = readCompletions(record.key, value);
      assert.ok(stored?.job === 'req-1' && stored.first === record.first);
      copy.merge(stored.first, stored.bits);
    }
    assert.equal(next, TASKS);
    assert.equal(copy.count, TASKS);
  }
});

test('parts of different lengths have different keys, so that neither replaces the other', () => {
  const job = { id: 'req-1', tasks: TASKS };
  const [long, short] = [8000, 2048].map((bytes) =>
    completionRecord(job, 0, completionLayout(job, bytes, true)),
  );
  assert.equal(long?.first, short?.first);
  assert.notEqual(long?.key, short?.key);
});

test('what is no completion record is not taken for one', () => {
  const value = { bits: '/w==' };
  assert.deepEqual(readCompletions('live/done/req-1/1', value)?.first, CHUNK_TASKS);
  assert.deepEqual(readCompletions('live/bits/req-1/800-1600', value)?.first, 800);
  for (const key of ['live/done/req-1/x', 'live/done/req-1', 'live/bits/req-1/', 'live/job/req-1'])
    assert.equal(readCompletions(key, value), undefined, key);
  assert.equal(readCompletions('live/done/req-1/1', { bits: 7 }), undefined);
});

// Machine types.

function machineType(number: number): MachineType {
  return {
    name: `type-${number}`,
    cpus: 4,
    gpus: 0,
    memoryGb: 16,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.3,
    bootS: 10,
    zones: ['a', 'b'],
  };
}

test('machine types that fit one value are one record; others are parts, once all controllers understand them', async () => {
  const service = new Service();
  await service.load();
  const few = [1, 2].map(machineType);
  const many = Array.from({ length: 40 }, (_, n) => machineType(n));
  const fallen = { valueBytes: valueBytes(FALLEN), changes: 3, mayUseParts: true };
  const expected = [
    { guards: [{ key: 'live/types', version: 0 }], changes: [{ put: 'live/types', value: { types: few } }] },
  ];
  assert.deepEqual(typeBatches(few, service.cache, fallen), expected);
  assert.equal(typeBatches(many, service.cache, { ...fallen, mayUseParts: false }).length, 1);
  await service.whileDoing(storeTypes(few, service.cache, service.store, fallen));
  assert.deepEqual(typeBatches(few, service.cache, fallen), []);
  service.state.limits = { ...FALLEN_SERVICE, txnOps: 3, writeRps: 1000 };
  await service.whileDoing(storeTypes(many, service.cache, service.store, fallen));
  assert.deepEqual(service.state.oversized, []);
  assert.deepEqual(readTypes(service.cache), many);
  assert.deepEqual(typeBatches(many, service.cache, fallen), []);
  // A part that is missing makes the old record count again.
  await service.whileDoing(service.store.txn([], [{ delete: 'live/types-part/1' }]));
  assert.deepEqual(readTypes(service.cache), few);
  // Fewer types need fewer parts; those left over go.
  await service.whileDoing(storeTypes(many.slice(0, 15), service.cache, service.store, fallen));
  assert.deepEqual(readTypes(service.cache), many.slice(0, 15));
  const parts = [...service.state.data.keys()].filter((key) => key.startsWith('live/types-part/'));
  assert.equal(parts.length, 2);
});

// A job of 100,000 tasks, whose completions are filled in without running them.

/** A state service with one node's store and copy of its records. */
class Service {
  readonly clock = new FakeClock();
  readonly network = new FakeNetwork(this.clock);
  readonly state = new FakeStateService(this.clock);
  readonly store = this.#newStore(FALLEN.write_rps);
  readonly cache = this.secondCache();
  readonly stopped = new AbortController();

  constructor() {
    this.network.attach('10.2.0.1:2379', (request) => this.state.handle(request));
  }

  #newStore(writeRps: number): HttpStateStore {
    const [requests, writes] = [NOW.rps, writeRps].map((rate) => new RateLimit(this.clock, rate, rate));
    assert(requests && writes);
    return new HttpStateStore(this.network.caller('node-0'), '10.2.0.1:2379', requests, writes, 1500);
  }

  /** A copy that is read anew. */
  secondCache(): WatchCache {
    const cache = new WatchCache(this.#newStore(NOW.write_rps), 'live/', this.clock, 500, 50);
    const deps = { clock: this.clock, log: quiet, signal: new AbortController().signal };
    void runLoop('watch', () => cache.step(), deps, 300);
    return cache;
  }

  async load(): Promise<void> {
    await this.clock.advance(100);
    assert.ok(this.cache.loaded);
  }

  /** Lets time pass until it is done, and a little longer for the watches to tell of it. */
  async whileDoing(work: Promise<unknown>): Promise<void> {
    let isOver = false;
    const over = work.finally(() => {
      isOver = true;
    });
    for (let step = 0; step < 600 && !isOver; step += 1) await this.clock.advance(10);
    await over;
    await this.clock.advance(1_000);
  }

  keys(prefix: string): string[] {
    return [...this.state.data.keys()].filter((key) => key.startsWith(prefix));
  }
}

const JOB = { id: 'req-1', tasks: TASKS, team: 'blue', deadlineS: null } as Job;

/** An owner of the block, reduced to its tables and its recorder. */
class Owner {
  readonly cache: WatchCache;
  readonly recorder: Recorder;
  readonly block: Block;
  readonly closed: string[] = [];
  readonly #stop = new AbortController();

  private constructor(
    readonly service: Service,
    cache: WatchCache,
    isOpen: boolean,
    next: unknown,
  ) {
    this.cache = cache;
    const deps = {
      node: 'node-0',
      settings: makeSettings(platform(next), {}),
      clock: service.clock,
      log: quiet,
      store: service.store,
      cache,
      formatGate: { isOpen },
      session: { valid: true },
      jobs: {
        rememberFinal: () => undefined,
        finalRecord: (state: string, done: number) => ({ state, done }),
      },
      types: () => [],
      announce: () => undefined,
    } as unknown as Deps;
    this.block = new Block(0, ['blue'], 1, 0, 0, deps, () => undefined);
    const guard: Guard = { key: 'live/lease/0', version: 0 };
    const recorded = {
      tables: this.block.tables,
      entitled: true,
      leaseGuard: () => guard,
      closeJob: (id: string) => {
        this.closed.push(id);
        this.block.tables.delete(id);
      },
      recordedMore: () => undefined,
    };
    this.recorder = new Recorder(recorded, deps);
    const { signal } = this.#stop;
    void runLoop('records', () => this.recorder.step(signal), { clock: service.clock, log: quiet, signal });
  }

  /** Takes the block as a new owner does: from a copy of the records that was read anew. */
  static async take(service: Service, options: { isOpen: boolean; next?: unknown }): Promise<Owner> {
    const cache = service.secondCache();
    await service.clock.advance(500);
    assert.ok(cache.loaded);
    return new Owner(service, cache, options.isOpen, options.next);
  }

  get table(): NonNullable<ReturnType<Block['tables']['get']>> {
    const table = this.block.tables.get('req-1');
    assert(table);
    return table;
  }

  complete(from: number, to: number, step = 1): void {
    for (let task = from; task < to; task += step) this.table.complete(task);
    this.recorder.wake();
  }

  async untilRecorded(limitS = 60): Promise<void> {
    for (let second = 0; second < limitS && this.table.unrecorded.size > 0; second += 1)
      await this.service.clock.advance(1000);
    assert.equal(this.table.unrecorded.size, 0, 'not all is recorded');
  }

  async untilClosed(limitS = 60): Promise<void> {
    for (let second = 0; second < limitS && this.closed.length === 0; second += 1)
      await this.service.clock.advance(1000);
    assert.deepEqual(this.closed, ['req-1']);
  }

  stop(): void {
    this.#stop.abort();
  }
}

async function serviceWithJob(): Promise<Service> {
  const service = new Service();
  await service.load();
  const record = { put: 'live/job/req-1', value: { job: JOB, submittedAt: 0 } };
  await service.whileDoing(service.store.txn([], [record]));
  return service;
}

/** A leader that does nothing but delete what jobs that are over left behind. */
function sweeper(service: Service, cache: WatchCache): Leader {
  const deps = {
    node: 'node-0',
    settings: makeSettings(platform(FALLEN), {}),
    log: quiet,
    store: service.store,
    cache,
    clock: service.clock,
    session: { valid: true, lease: 1 },
  } as unknown as Deps;
  const noMachines = { machines: () => [], isGone: () => false } as unknown as CloudView;
  return new Leader(deps, noMachines, () => false);
}

test('a job of 100,000 tasks outlives the fall of the limits and takeovers, with its old chunks', async () => {
  const service = await serviceWithJob();
  service.state.limits = NOW_SERVICE;
  // Before all controllers understand parts, chunks are written; 11 KB of text each.
  const before = await Owner.take(service, { isOpen: false, next: FALLEN });
  before.complete(0, 70_000, 2);
  await before.untilRecorded();
  assert.deepEqual(service.keys('live/done/'), ['live/done/req-1/0', 'live/done/req-1/1']);
  assert.deepEqual(service.keys('live/bits/'), []);
  assert.ok(service.state.largestValue > 10_000);
  before.stop();
  // The next owner writes parts only.
  const chunks = service.keys('live/done/').map((key) => service.state.data.get(key)?.stamp);
  service.state.largestValue = 0;
  service.state.largestTxn = 0;
  const after = await Owner.take(service, { isOpen: true, next: FALLEN });
  assert.equal(after.table.done, 35_000, 'old chunks count');
  after.complete(1, 30_000, 2);
  await after.untilRecorded();
  // The limits fall, while completions go on.
  service.state.limits = FALLEN_SERVICE;
  after.complete(30_001, 70_000, 2);
  await after.untilRecorded();
  assert.ok(service.keys('live/bits/').length >= 5);
  assert.deepEqual(
    service.keys('live/done/').map((key) => service.state.data.get(key)?.stamp),
    chunks,
    'old chunks stay as they are',
  );
  after.complete(70_000, 80_000);
  await service.clock.advance(40);
  // Another takes over in the middle of it. What was not recorded is told again by the workers.
  after.stop();
  await service.clock.advance(5_000);
  const last = await Owner.take(service, { isOpen: true, next: FALLEN });
  assert.ok(last.table.done >= 70_000);
  for (let task = 0; task < 70_000; task += 1) assert.ok(last.table.isDone(task), `task ${task} was lost`);
  last.complete(70_000, TASKS - 1);
  await last.untilRecorded();
  assert.equal(service.state.data.has('final/req-1'), false, 'one task is still to be done');
  assert.ok(service.keys('live/').length > 10, 'more records than one transaction may delete');
  last.complete(TASKS - 1, TASKS);
  await last.untilClosed();
  assert.deepEqual(service.state.data.get('final/req-1')?.data, { state: 'done', done: TASKS });
  assert.equal(service.state.data.has('live/job/req-1'), false);
  // The leader deletes what the last transaction had no room for.
  assert.ok([...service.keys('live/done/'), ...service.keys('live/bits/')].length > 0);
  const leads = { put: 'live/leader', value: { node: 'node-0' } };
  await service.whileDoing(service.store.txn([], [leads]));
  const leader = sweeper(service, service.cache);
  for (let step = 0; step < 5; step += 1) {
    await service.whileDoing(leader.step());
  }
  assert.deepEqual([...service.keys('live/done/'), ...service.keys('live/bits/')], []);
  assert.deepEqual(service.state.oversized, []);
  assert.ok(service.state.largestValue <= 2048, `${service.state.largestValue} bytes`);
  assert.ok(service.state.largestTxn <= 10, `${service.state.largestTxn} changes`);
});

test('parts that were written under a higher limit keep counting when shorter ones lie beside them', async () => {
  const service = await serviceWithJob();
  const higher = await Owner.take(service, { isOpen: true, next: { value_kb: 8 } });
  higher.complete(10_000, 60_000);
  await higher.untilRecorded();
  higher.stop();
  const lower = await Owner.take(service, { isOpen: true, next: FALLEN });
  assert.equal(lower.table.done, 50_000);
  lower.complete(0, 10);
  await lower.untilRecorded();
  lower.stop();
  const last = await Owner.take(service, { isOpen: true, next: FALLEN });
  assert.equal(last.table.done, 50_010);
  for (let task = 10_000; task < 60_000; task += 1) assert.ok(last.table.isDone(task));
});

test('a part written without an answer is found again, and nothing in it is lost', async () => {
  const service = await serviceWithJob();
  service.state.limits = FALLEN_SERVICE;
  const owner = await Owner.take(service, { isOpen: true, next: FALLEN });
  let lost = 0;
  service.state.rule(({ path, body }) => {
    if (path !== '/txn' || lost > 0) return undefined;
    const { apply = [] } = body as { apply?: { set?: string }[] };
    if (apply[0]?.set?.startsWith('live/bits/') !== true) return undefined;
    lost += 1;
    return 'lose answer';
  });
  owner.complete(0, 500);
  await service.clock.advance(500);
  owner.complete(500, 900);
  await owner.untilRecorded();
  assert.equal(lost, 1);
  owner.stop();
  const next = await Owner.take(service, { isOpen: true, next: FALLEN });
  assert.equal(next.table.done, 900);
});

// A whole deployment.

test('the limits fall under full load with a takeover under way: nothing is lost, nothing too large is sent', async () => {
  const next = { value_kb: 2, txn_ops: 10, write_rps: 28 };
  const world = new World({ nextLimits: next });
  world.capacity = 12;
  world.state.limits = NOW_SERVICE;
  await world.untilOwned();
  const marks = (): number => [...world.state.data.keys()].filter((k) => k.startsWith('live/format/')).length;
  await world.until('all controllers have left their marks', () => marks() === 3);
  world.state.largestValue = 0;
  world.state.largestTxn = 0;
  await world.submit('req-1', { pieces: TASKS, cpus: 0.05, memGb: 0.01 }, 2);
  for (let n = 2; n < 20; n += 1) await world.submit(`req-${n}`, { pieces: 1 + (n % 7) }, 3, n % 3);
  await world.until('tasks run', () => world.running.length > 5);
  world.state.limits = { valueKb: 2, txnOps: 10, writeRps: 28 };
  // At this moment more submissions come at once than the rate of changes allows.
  const burst = Array.from({ length: 60 }, (_, n) => `req-${100 + n}`);
  for (const [n, id] of burst.entries()) {
    const address = world.controllers[n % 3]?.address ?? '';
    const body = submission(id, { pieces: 2 });
    world.network
      .caller('user')
      .call(address, 'POST', '/work', body, 5000)
      .catch(() => undefined);
  }
  const { owner } = world;
  world.kill(owner);
  const alive = [0, 1, 2].filter((index) => index !== owner);
  for (const id of burst) await world.submit(id, { pieces: 2 }, 5, alive[0]);
  for (let n = 20; n < 50; n += 1) await world.submit(`req-${n}`, { pieces: 1 + (n % 5) }, 3, alive[n % 2]);
  world.restart(owner);
  await world.clock.advance(10_000);
  const bits = [...world.state.data.keys()].filter((key) => key.startsWith('live/bits/req-1/'));
  assert.ok(bits.length > 0, 'completions of the large job are in parts');
  assert.equal(
    [...world.state.data.keys()].some((key) => key.startsWith('live/done/req-1/')),
    false,
  );
  for (let n = 2; n < 50; n += 1) await world.untilStanding(`req-${n}`, 'done', 120, alive[0]);
  for (const id of burst) await world.untilStanding(id, 'done', 120, alive[0]);
  assert.equal(await world.cancel('req-1', alive[1]), 'withdrawn');
  await world.clock.advance(15_000);
  const left = [...world.state.data.keys()].filter((key) => /^live\/(job|done|bits)\//.test(key));
  assert.deepEqual(left, []);
  assert.deepEqual(world.state.oversized, []);
  assert.ok(world.state.largestValue <= 2048, `${world.state.largestValue} bytes`);
  assert.ok(world.state.largestTxn <= 10, `${world.state.largestTxn} changes`);
  world.noRuleBroken();
});
