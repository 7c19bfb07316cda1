import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WakeSignal } from '../src/base/clock';
import { runLoop } from '../src/base/loop';
import { makeSettings } from '../src/base/settings';
import { WatchCache } from '../src/bookkeeping/watch-cache';
import { Shard } from '../src/coordination/shard/shard';
import type { ControllerContext } from '../src/coordination/controller-context';
import { Leader } from '../src/coordination/ownership/leader';
import { CompletionRecorder } from '../src/coordination/shard/completion-recorder';
import type { CloudInventory } from '../src/coordination/autoscaling/cloud-inventory';
import type { Job } from '../src/protocol/model';
import { type Condition } from '../src/protocol/key-value-store';
import { submission } from './fakes/submission';
import {
  LOWERED_LIMITS,
  LOWERED_ENFORCED_LIMITS,
  CURRENT_ENFORCED_LIMITS,
  platformSettings,
  quiet,
  StoreFixture,
} from './limited-store-steps';
import { SimulatedCluster } from './fakes/simulated-cluster';

const TASKS = 100_000;

const JOB = { id: 'req-1', tasks: TASKS, team: 'blue', deadlineS: null } as Job;

/** An owner of the shard, reduced to its tables and its recorder. */
class Owner {
  readonly cache: WatchCache;
  readonly recorder: CompletionRecorder;
  readonly shard: Shard;
  readonly closed: string[] = [];
  readonly #completions: WakeSignal;
  readonly #stop = new AbortController();

  private constructor(
    readonly service: StoreFixture,
    cache: WatchCache,
    isOpenForFormat2: boolean,
    next: unknown,
  ) {
    this.cache = cache;
    const context = {
      controllerId: 'node-0',
      settings: makeSettings(platformSettings(next), {}),
      clock: service.clock,
      log: quiet,
      store: service.store,
      cache,
      formatGate: { isOpenForFormat2 },
      session: { isValid: true },
      jobs: {
        rememberFinal: () => undefined,
        finalRecord: (state: string, done: number) => ({ state, done }),
      },
      types: () => [],
      publish: () => undefined,
    } as unknown as ControllerContext;
    this.shard = new Shard(
      { number: 0, teams: ['blue'], fencingToken: 1, leaseVersion: 0, acquiredRevision: 0 },
      context,
      () => undefined,
    );
    const condition: Condition = { key: 'live/lease/0', version: 0 };
    const recorded = {
      tables: this.shard.tables,
      entitled: true,
      leaseCondition: () => condition,
      closeJob: (id: string) => {
        this.closed.push(id);
        this.shard.tables.delete(id);
      },
      onCompletionsRecorded: () => undefined,
    };
    this.#completions = new WakeSignal(service.clock);
    this.recorder = new CompletionRecorder(recorded, context, this.#completions);
    const { signal } = this.#stop;
    void runLoop('records', () => this.recorder.step(signal), { clock: service.clock, log: quiet, signal });
  }

  /** Takes the shard as a new owner does: from a copy of the records that was read anew. */
  static async take(service: StoreFixture, options: { isOpen: boolean; next?: unknown }): Promise<Owner> {
    const cache = service.newCache();
    await service.clock.advance(500);
    assert.ok(cache.isLoaded);
    return new Owner(service, cache, options.isOpen, options.next);
  }

  get table(): NonNullable<ReturnType<Shard['tables']['get']>> {
    const table = this.shard.tables.get('req-1');
    assert(table);
    return table;
  }

  complete(from: number, to: number, step = 1): void {
    for (let task = from; task < to; task += step) this.table.complete(task);
    this.#completions.wake();
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

async function serviceWithJob(): Promise<StoreFixture> {
  const service = new StoreFixture();
  await service.load();
  const record = { put: 'live/job/req-1', value: { job: JOB, submittedAt: 0 } };
  await service.runUntilDone(service.store.compareAndSwap([], [record]));
  return service;
}

/** A leader that does nothing but delete what jobs that are over left behind. */
function sweeper(service: StoreFixture, cache: WatchCache): Leader {
  const context = {
    controllerId: 'node-0',
    settings: makeSettings(platformSettings(LOWERED_LIMITS), {}),
    log: quiet,
    store: service.store,
    cache,
    clock: service.clock,
    session: { isValid: true, lease: 1 },
  } as unknown as ControllerContext;
  const noMachines = {
    machines: () => [],
    wasRecordDeletedRecently: () => false,
  } as unknown as CloudInventory;
  return new Leader(context, noMachines, () => false);
}

test('a job of 100,000 tasks outlives the fall of the limits and takeovers, with its old chunks', async () => {
  const service = await serviceWithJob();
  service.fakeStore.limits = CURRENT_ENFORCED_LIMITS;
  // Before all controllers understand parts, chunks are written; 11 KB of text each.
  const before = await Owner.take(service, { isOpen: false, next: LOWERED_LIMITS });
  before.complete(0, 70_000, 2);
  await before.untilRecorded();
  assert.deepEqual(service.keys('live/done/'), ['live/done/req-1/0', 'live/done/req-1/1']);
  assert.deepEqual(service.keys('live/bits/'), []);
  assert.ok(service.fakeStore.largestValue > 10_000);
  before.stop();
  // The next owner writes parts only.
  const chunks = service.keys('live/done/').map((key) => service.fakeStore.data.get(key)?.stamp);
  service.fakeStore.largestValue = 0;
  service.fakeStore.largestTransaction = 0;
  const after = await Owner.take(service, { isOpen: true, next: LOWERED_LIMITS });
  assert.equal(after.table.done, 35_000, 'old chunks count');
  after.complete(1, 30_000, 2);
  await after.untilRecorded();
  // The limits fall, while completions go on.
  service.fakeStore.limits = LOWERED_ENFORCED_LIMITS;
  after.complete(30_001, 70_000, 2);
  await after.untilRecorded();
  assert.ok(service.keys('live/bits/').length >= 5);
  assert.deepEqual(
    service.keys('live/done/').map((key) => service.fakeStore.data.get(key)?.stamp),
    chunks,
    'old chunks stay as they are',
  );
  after.complete(70_000, 80_000);
  await service.clock.advance(40);
  // Another takes over in the middle of it. What was not recorded is told again by the workers.
  after.stop();
  await service.clock.advance(5_000);
  const last = await Owner.take(service, { isOpen: true, next: LOWERED_LIMITS });
  assert.ok(last.table.done >= 70_000);
  for (let task = 0; task < 70_000; task += 1) assert.ok(last.table.isDone(task), `task ${task} was lost`);
  last.complete(70_000, TASKS - 1);
  await last.untilRecorded();
  assert.equal(service.fakeStore.data.has('final/req-1'), false, 'one task is still to be done');
  assert.ok(service.keys('live/').length > 10, 'more records than one transaction may delete');
  last.complete(TASKS - 1, TASKS);
  await last.untilClosed();
  assert.deepEqual(service.fakeStore.data.get('final/req-1')?.data, { state: 'done', done: TASKS });
  assert.equal(service.fakeStore.data.has('live/job/req-1'), false);
  // The leader deletes what the last transaction had no room for.
  assert.ok([...service.keys('live/done/'), ...service.keys('live/bits/')].length > 0);
  const leads = { put: 'live/leader', value: { node: 'node-0' } };
  await service.runUntilDone(service.store.compareAndSwap([], [leads]));
  const leader = sweeper(service, service.cache);
  for (let step = 0; step < 5; step += 1) {
    await service.runUntilDone(leader.step());
  }
  assert.deepEqual([...service.keys('live/done/'), ...service.keys('live/bits/')], []);
  assert.deepEqual(service.fakeStore.oversizedTransactions, []);
  assert.ok(service.fakeStore.largestValue <= 2048, `${service.fakeStore.largestValue} bytes`);
  assert.ok(service.fakeStore.largestTransaction <= 10, `${service.fakeStore.largestTransaction} changes`);
});

test('parts that were written under a higher limit keep counting when shorter ones lie beside them', async () => {
  const service = await serviceWithJob();
  const higher = await Owner.take(service, { isOpen: true, next: { value_kb: 8 } });
  higher.complete(10_000, 60_000);
  await higher.untilRecorded();
  higher.stop();
  const lower = await Owner.take(service, { isOpen: true, next: LOWERED_LIMITS });
  assert.equal(lower.table.done, 50_000);
  lower.complete(0, 10);
  await lower.untilRecorded();
  lower.stop();
  const last = await Owner.take(service, { isOpen: true, next: LOWERED_LIMITS });
  assert.equal(last.table.done, 50_010);
  for (let task = 10_000; task < 60_000; task += 1) assert.ok(last.table.isDone(task));
});

test('a part written without an answer is found again, and nothing in it is lost', async () => {
  const service = await serviceWithJob();
  service.fakeStore.limits = LOWERED_ENFORCED_LIMITS;
  const owner = await Owner.take(service, { isOpen: true, next: LOWERED_LIMITS });
  let lost = 0;
  service.fakeStore.rule(({ path, body }) => {
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
  const next = await Owner.take(service, { isOpen: true, next: LOWERED_LIMITS });
  assert.equal(next.table.done, 900);
});

// A whole deployment.

test('the limits fall under full load with a takeover under way: nothing is lost, nothing too large is sent', async () => {
  const next = { value_kb: 2, txn_ops: 10, write_rps: 28 };
  const cluster = new SimulatedCluster({ nextLimits: next });
  cluster.capacity = 12;
  cluster.store.limits = CURRENT_ENFORCED_LIMITS;
  await cluster.untilOwned();
  const marks = (): number =>
    [...cluster.store.data.keys()].filter((k) => k.startsWith('live/format/')).length;
  await cluster.until('all controllers have left their marks', () => marks() === 3);
  cluster.store.largestValue = 0;
  cluster.store.largestTransaction = 0;
  await cluster.submit('req-1', { pieces: TASKS, cpus: 0.05, memGb: 0.01 }, 2);
  for (let n = 2; n < 20; n += 1) await cluster.submit(`req-${n}`, { pieces: 1 + (n % 7) }, 3, n % 3);
  await cluster.until('tasks run', () => cluster.runningTasks.length > 5);
  cluster.store.limits = { valueKb: 2, txnOps: 10, writeRps: 28 };
  // At this moment more submissions come at once than the rate of changes allows.
  const burst = Array.from({ length: 60 }, (_, n) => `req-${100 + n}`);
  for (const [n, id] of burst.entries()) {
    const address = cluster.controllers[n % 3]?.address ?? '';
    const body = submission(id, { pieces: 2 });
    cluster.network
      .caller('user')
      .call(address, 'POST', '/work', body, 5000)
      .catch(() => undefined);
  }
  const { owner } = cluster;
  cluster.kill(owner);
  const alive = [0, 1, 2].filter((index) => index !== owner);
  for (const id of burst) await cluster.submit(id, { pieces: 2 }, 5, alive[0]);
  for (let n = 20; n < 50; n += 1) await cluster.submit(`req-${n}`, { pieces: 1 + (n % 5) }, 3, alive[n % 2]);
  cluster.restart(owner);
  await cluster.clock.advance(10_000);
  const bits = [...cluster.store.data.keys()].filter((key) => key.startsWith('live/bits/req-1/'));
  assert.ok(bits.length > 0, 'completions of the large job are in parts');
  assert.equal(
    [...cluster.store.data.keys()].some((key) => key.startsWith('live/done/req-1/')),
    false,
  );
  for (let n = 2; n < 50; n += 1) await cluster.untilJobState(`req-${n}`, 'done', 120, alive[0]);
  for (const id of burst) await cluster.untilJobState(id, 'done', 120, alive[0]);
  assert.equal(await cluster.cancel('req-1', alive[1]), 'withdrawn');
  await cluster.clock.advance(15_000);
  const left = [...cluster.store.data.keys()].filter((key) => /^live\/(job|done|bits)\//.test(key));
  assert.deepEqual(left, []);
  assert.deepEqual(cluster.store.oversizedTransactions, []);
  assert.ok(cluster.store.largestValue <= 2048, `${cluster.store.largestValue} bytes`);
  assert.ok(cluster.store.largestTransaction <= 10, `${cluster.store.largestTransaction} changes`);
  cluster.assertInvariants();
});
