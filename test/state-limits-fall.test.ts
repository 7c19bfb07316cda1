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

/** Completions of a job this large are filled in without running its tasks. */
const TASKS = 100_000;

const JOB = { id: 'req-1', tasks: TASKS, team: 'blue', deadlineS: null } as Job;

/** A shard owner reduced to its dispatch tables and its completion recorder. */
class Owner {
  readonly cache: WatchCache;
  readonly recorder: CompletionRecorder;
  readonly shard: Shard;
  readonly closed: string[] = [];
  readonly #completions: WakeSignal;
  readonly #stop = new AbortController();

  private constructor(
    readonly fixture: StoreFixture,
    cache: WatchCache,
    isOpenForFormat2: boolean,
    nextLimits: unknown,
  ) {
    this.cache = cache;
    const context = {
      controllerId: 'node-0',
      settings: makeSettings(platformSettings(nextLimits), {}),
      clock: fixture.clock,
      log: quiet,
      store: fixture.store,
      cache,
      formatGate: { isOpenForFormat2 },
      session: { isValid: true },
      jobs: {
        cacheFinalState: () => undefined,
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
    const recorderShard = {
      tables: this.shard.tables,
      entitled: true,
      leaseCondition: () => condition,
      closeJob: (id: string) => {
        this.closed.push(id);
        this.shard.tables.delete(id);
      },
      onCompletionsRecorded: () => undefined,
    };
    this.#completions = new WakeSignal(fixture.clock);
    this.recorder = new CompletionRecorder(recorderShard, context, this.#completions);
    const { signal } = this.#stop;
    void runLoop('records', () => this.recorder.step(signal), { clock: fixture.clock, log: quiet, signal });
  }

  /** Acquires the shard as a new owner does, with a newly loaded watch cache. */
  static async acquire(
    fixture: StoreFixture,
    options: { isGateOpen: boolean; nextLimits?: unknown },
  ): Promise<Owner> {
    const cache = fixture.newCache();
    await fixture.clock.advance(500);
    assert.ok(cache.isLoaded);
    return new Owner(fixture, cache, options.isGateOpen, options.nextLimits);
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
      await this.fixture.clock.advance(1000);
    assert.equal(this.table.unrecorded.size, 0, 'some completions are not recorded');
  }

  async untilClosed(limitS = 60): Promise<void> {
    for (let second = 0; second < limitS && this.closed.length === 0; second += 1)
      await this.fixture.clock.advance(1000);
    assert.deepEqual(this.closed, ['req-1']);
  }

  stop(): void {
    this.#stop.abort();
  }
}

async function fixtureWithJob(): Promise<StoreFixture> {
  const fixture = new StoreFixture();
  await fixture.load();
  const record = { put: 'live/job/req-1', value: { job: JOB, submittedAt: 0 } };
  await fixture.runUntilDone(fixture.store.compareAndSwap([], [record]));
  return fixture;
}

/** A leader whose only work is to delete records that ended jobs left behind. */
function newGarbageCollectingLeader(fixture: StoreFixture, cache: WatchCache): Leader {
  const context = {
    controllerId: 'node-0',
    settings: makeSettings(platformSettings(LOWERED_LIMITS), {}),
    log: quiet,
    store: fixture.store,
    cache,
    clock: fixture.clock,
    session: { isValid: true, lease: 1 },
  } as unknown as ControllerContext;
  const emptyInventory = {
    machines: () => [],
    wasRecordDeletedRecently: () => false,
  } as unknown as CloudInventory;
  return new Leader(context, emptyInventory, () => false);
}

test('a job of 100,000 tasks keeps its completions, also those in chunks, through lowered limits and failovers', async () => {
  const fixture = await fixtureWithJob();
  fixture.fakeStore.limits = CURRENT_ENFORCED_LIMITS;
  // Until all controllers understand parts, chunks of 11 KB of text each are written.
  const firstOwner = await Owner.acquire(fixture, { isGateOpen: false, nextLimits: LOWERED_LIMITS });
  firstOwner.complete(0, 70_000, 2);
  await firstOwner.untilRecorded();
  assert.deepEqual(fixture.keys('live/done/'), ['live/done/req-1/0', 'live/done/req-1/1']);
  assert.deepEqual(fixture.keys('live/bits/'), []);
  assert.ok(fixture.fakeStore.largestValue > 10_000);
  firstOwner.stop();
  // The next owner writes parts only.
  const chunks = fixture.keys('live/done/').map((key) => fixture.fakeStore.data.get(key)?.stamp);
  fixture.fakeStore.largestValue = 0;
  fixture.fakeStore.largestTransaction = 0;
  const secondOwner = await Owner.acquire(fixture, { isGateOpen: true, nextLimits: LOWERED_LIMITS });
  assert.equal(secondOwner.table.done, 35_000, 'completions in the old chunks count');
  secondOwner.complete(1, 30_000, 2);
  await secondOwner.untilRecorded();
  // The limits are lowered while tasks complete.
  fixture.fakeStore.limits = LOWERED_ENFORCED_LIMITS;
  secondOwner.complete(30_001, 70_000, 2);
  await secondOwner.untilRecorded();
  assert.ok(fixture.keys('live/bits/').length >= 5);
  assert.deepEqual(
    fixture.keys('live/done/').map((key) => fixture.fakeStore.data.get(key)?.stamp),
    chunks,
    'the old chunks are not rewritten',
  );
  secondOwner.complete(70_000, 80_000);
  await fixture.clock.advance(40);
  // Another owner takes over before all completions are recorded. Workers report the unrecorded ones again.
  secondOwner.stop();
  await fixture.clock.advance(5_000);
  const lastOwner = await Owner.acquire(fixture, { isGateOpen: true, nextLimits: LOWERED_LIMITS });
  assert.ok(lastOwner.table.done >= 70_000);
  for (let task = 0; task < 70_000; task += 1)
    assert.ok(lastOwner.table.isDone(task), `task ${task} was lost`);
  lastOwner.complete(70_000, TASKS - 1);
  await lastOwner.untilRecorded();
  assert.equal(fixture.fakeStore.data.has('final/req-1'), false, 'one task is not done yet');
  assert.ok(fixture.keys('live/').length > 10, 'more records than one transaction may delete');
  lastOwner.complete(TASKS - 1, TASKS);
  await lastOwner.untilClosed();
  assert.deepEqual(fixture.fakeStore.data.get('final/req-1')?.data, { state: 'done', done: TASKS });
  assert.equal(fixture.fakeStore.data.has('live/job/req-1'), false);
  // The leader deletes the records that the final transaction could not delete within the limit.
  assert.ok([...fixture.keys('live/done/'), ...fixture.keys('live/bits/')].length > 0);
  const leaderRecord = { put: 'live/leader', value: { node: 'node-0' } };
  await fixture.runUntilDone(fixture.store.compareAndSwap([], [leaderRecord]));
  const leader = newGarbageCollectingLeader(fixture, fixture.cache);
  for (let step = 0; step < 5; step += 1) {
    await fixture.runUntilDone(leader.step());
  }
  assert.deepEqual([...fixture.keys('live/done/'), ...fixture.keys('live/bits/')], []);
  assert.deepEqual(fixture.fakeStore.oversizedTransactions, []);
  assert.ok(fixture.fakeStore.largestValue <= 2048, `${fixture.fakeStore.largestValue} bytes`);
  assert.ok(fixture.fakeStore.largestTransaction <= 10, `${fixture.fakeStore.largestTransaction} changes`);
});

test('parts written under a higher limit still count beside shorter parts', async () => {
  const fixture = await fixtureWithJob();
  const ownerBefore = await Owner.acquire(fixture, { isGateOpen: true, nextLimits: { value_kb: 8 } });
  ownerBefore.complete(10_000, 60_000);
  await ownerBefore.untilRecorded();
  ownerBefore.stop();
  const ownerAfter = await Owner.acquire(fixture, { isGateOpen: true, nextLimits: LOWERED_LIMITS });
  assert.equal(ownerAfter.table.done, 50_000);
  ownerAfter.complete(0, 10);
  await ownerAfter.untilRecorded();
  ownerAfter.stop();
  const lastOwner = await Owner.acquire(fixture, { isGateOpen: true, nextLimits: LOWERED_LIMITS });
  assert.equal(lastOwner.table.done, 50_010);
  for (let task = 10_000; task < 60_000; task += 1) assert.ok(lastOwner.table.isDone(task));
});

test('a part whose write got no response is read again, and none of its completions is lost', async () => {
  const fixture = await fixtureWithJob();
  fixture.fakeStore.limits = LOWERED_ENFORCED_LIMITS;
  const owner = await Owner.acquire(fixture, { isGateOpen: true, nextLimits: LOWERED_LIMITS });
  let lostResponses = 0;
  fixture.fakeStore.rule(({ path, body }) => {
    if (path !== '/txn' || lostResponses > 0) return undefined;
    const { apply = [] } = body as { apply?: { set?: string }[] };
    if (apply[0]?.set?.startsWith('live/bits/') !== true) return undefined;
    lostResponses += 1;
    return 'lose answer';
  });
  owner.complete(0, 500);
  await fixture.clock.advance(500);
  owner.complete(500, 900);
  await owner.untilRecorded();
  assert.equal(lostResponses, 1);
  owner.stop();
  const nextOwner = await Owner.acquire(fixture, { isGateOpen: true, nextLimits: LOWERED_LIMITS });
  assert.equal(nextOwner.table.done, 900);
});

// In a whole deployment.

test('limits are lowered under full load during a failover: no job is lost, and nothing too large is sent', async () => {
  const announcedLimits = { value_kb: 2, txn_ops: 10, write_rps: 28 };
  const cluster = new SimulatedCluster({ nextLimits: announcedLimits });
  cluster.capacity = 12;
  cluster.store.limits = CURRENT_ENFORCED_LIMITS;
  await cluster.untilOwned();
  const formatRecordCount = (): number =>
    [...cluster.store.data.keys()].filter((k) => k.startsWith('live/format/')).length;
  await cluster.until('all controllers have written their format records', () => formatRecordCount() === 3);
  cluster.store.largestValue = 0;
  cluster.store.largestTransaction = 0;
  await cluster.submit('req-1', { pieces: TASKS, cpus: 0.05, memGb: 0.01 }, 2);
  for (let n = 2; n < 20; n += 1) await cluster.submit(`req-${n}`, { pieces: 1 + (n % 7) }, 3, n % 3);
  await cluster.until('tasks run', () => cluster.runningTasks.length > 5);
  cluster.store.limits = { valueKb: 2, txnOps: 10, writeRps: 28 };
  // At this moment, more submissions arrive at once than the write rate allows.
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
