import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoResponseError } from '../src/transport/http-client';
import type { DeliveryMode, Request } from './fakes/network';
import { SimulatedCluster } from './fakes/simulated-cluster';

type Change = { set?: string; delete?: string; data?: unknown };

const LATE_MS = 12_000;

const sets = (apply: Change[], prefix: string): Change[] =>
  apply.filter((c) => c.set?.startsWith(prefix) === true);
const deletes = (apply: Change[], prefix: string): boolean =>
  apply.some((c) => c.delete?.startsWith(prefix) === true);
const has = (apply: Change[], prefix: string, field: string, value: unknown): boolean =>
  sets(apply, prefix).some((c) => (c.data as Record<string, unknown>)[field] === value);

/** Every kind of transaction that a controller sends, told by what it changes. */
const KINDS: Record<string, (apply: Change[], guards: { path: string }[]) => boolean> = {
  'acceptance of a job': (apply) => sets(apply, 'live/job/').length > 0,
  cancellation: (apply) => has(apply, 'final/', 'state', 'cancelled'),
  'end of a job': (apply) => has(apply, 'final/', 'state', 'done'),
  'completions so far': (apply) => sets(apply, 'live/done/').length > 0,
  'taking of a shard': (apply) =>
    sets(apply, 'live/baton').length > 0 && sets(apply, 'live/block/').length > 0,
  'raise of the token': (apply) =>
    sets(apply, 'live/baton').length > 0 && sets(apply, 'live/block/').length === 0,
  'assignment of a shard': (apply) =>
    sets(apply, 'live/block/').length > 0 && sets(apply, 'live/baton').length === 0,
  'record of a rental': (apply) => has(apply, 'live/machine/', 'up', false),
  'record that a machine is up': (apply) => has(apply, 'live/machine/', 'up', true),
  'deletion of machine records': (apply) => deletes(apply, 'live/machine/'),
  'record of a lease relay': (apply) => sets(apply, 'live/keep/').length > 0,
  'end of a lease relay': (apply) => deletes(apply, 'live/keep/'),
  'proof that nobody relays': (apply, guards) =>
    apply.length === 0 && guards.some((g) => g.path.startsWith('live/keep/')),
  'leader record': (apply) => sets(apply, 'live/leader').length > 0,
  'node record': (apply) => sets(apply, 'live/node/').length > 0,
  'machine types': (apply) => sets(apply, 'live/types').length > 0,
};

/** What no transaction may do to a record, whenever it is carried out; the text says what was wrong. */
function wrong(cluster: SimulatedCluster, key: string, before: unknown, after: unknown): string | undefined {
  type Fields = Record<string, unknown>;
  const [old, now] = [before as Fields | undefined, after as Fields | undefined];
  const kind = key.split('/').slice(0, 2).join('/');
  if (key.startsWith('final/')) return old ? 'a final state is for ever' : undefined;
  if (kind === 'live/baton')
    return old && Number(now?.next) <= Number(old.next) ? 'a token came again' : undefined;
  if (kind === 'live/lease')
    return old && now && old.owner !== now.owner ? 'taken from its owner' : undefined;
  if (kind === 'live/leader' || kind === 'live/node') return old && now ? 'it was there' : undefined;
  if (kind === 'live/block') return old?.holder && !now?.holder ? 'its holder is forgotten' : undefined;
  if (kind === 'live/machine') return old?.up === true && now?.up === false ? 'up, and then not' : undefined;
  const id = key.split('/')[2] ?? '';
  if (kind === 'live/job' && now)
    return old || cluster.store.data.has(`final/${id}`) ? 'it began anew' : undefined;
  if (kind !== 'live/done' || !now) return undefined;
  if (!cluster.store.data.has(`live/job/${id}`)) return 'completions of a job that is over';
  const [had, has] = [old, now].map((r) => Buffer.from(String(r?.bits ?? ''), 'base64'));
  return had?.some((byte, n) => (byte & ~(has?.[n] ?? 0)) !== 0) ? 'completions were lost' : undefined;
}

/** Judges every transaction by what it does to the records. */
function judge(cluster: SimulatedCluster): string[] {
  const faults: string[] = [];
  cluster.network.attach('10.2.0.1:2379', (request) => {
    if (request.path !== '/txn') return cluster.store.handle(request);
    const { apply = [] } = request.body as { apply?: Change[] };
    const before = apply.map((c) => cluster.store.data.get(c.set ?? c.delete ?? '')?.data);
    const { revision } = cluster.store;
    const answer = cluster.store.handle(request);
    if (cluster.store.revision === revision) return answer;
    for (const [n, { set, delete: gone, data }] of apply.entries()) {
      const why =
        set === undefined && before[n] === undefined
          ? undefined
          : wrong(cluster, set ?? gone ?? '', before[n], data);
      if (why !== undefined) faults.push(`${set ?? gone} by ${request.from}: ${why}`);
    }
    return answer;
  });
  return faults;
}

function deployment(kind: string): { cluster: SimulatedCluster; faults: string[] } {
  const cluster = new SimulatedCluster();
  const faults = judge(cluster);
  cluster.capacity = 4;
  if (kind === 'proof that nobody relays') {
    // It is needed only where returning a silent machine proves nothing.
    const heal = cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
    cluster.clock.after(70_000, heal);
  }
  return { cluster, faults };
}

/** Does to the first transactions of a kind what a scenario is about; counts them. */
function strike(
  cluster: SimulatedCluster,
  kind: string,
  times: number,
  fate: (request: Request) => DeliveryMode,
): () => number {
  let struck = 0;
  cluster.network.rule((request) => {
    if (request.path !== '/txn' || struck >= times) return undefined;
    const { apply = [], guards = [] } = request.body as { apply?: Change[]; guards?: { path: string }[] };
    if (KINDS[kind]?.(apply, guards) !== true) return undefined;
    struck += 1;
    return fate(request);
  });
  return () => struck;
}

/** Asks for a job at every node within milliseconds; once it is over, no node says anything else. */
async function look(cluster: SimulatedCluster, ids: string[], over: Map<string, string>): Promise<void> {
  for (const id of ids) {
    for (const index of [0, 1, 2]) {
      if (cluster.controllers[index]?.alive !== true) continue;
      const state = await cluster.jobState(id, index);
      if (typeof state === 'number') {
        assert.notEqual(state, 404, `${id} at node ${index}`);
        continue;
      }
      const final = over.get(id);
      if (final !== undefined) assert.equal(state, final, `${id} at node ${index}`);
      else if (state === 'done' || state === 'withdrawn') over.set(id, state);
    }
  }
}

/** As users do: who gets no answer comes again, at another node. */
async function again<T>(
  cluster: SimulatedCluster,
  ask: (index: number) => Promise<T>,
  first: number,
): Promise<T> {
  for (let attempt = 0; ; attempt += 1) {
    const index = (first + attempt) % 3;
    try {
      if (cluster.controllers[index]?.alive === true) return await ask(index);
    } catch (error) {
      if (!(error instanceof NoResponseError) || attempt > 12) throw error;
    }
  }
}

/** A short day that brings about every kind of transaction. */
async function day(cluster: SimulatedCluster): Promise<void> {
  const over = new Map<string, string>();
  const ids = ['req-1', 'req-2', 'req-3'];
  const submit = (id: string, fields: Record<string, unknown>, runS: number, first: number): Promise<void> =>
    again(cluster, (index) => cluster.submit(id, fields, runS, index), first);
  await submit('req-1', {}, 5, 0);
  await submit('req-2', { pieces: 14 }, 6, 1);
  await submit('req-3', { pieces: 60 }, 4, 2);
  await cluster.until('req-3 runs', () => cluster.runningTasks.some((p) => p.startsWith('req-3/')), 60);
  // A command whose answer is lost puts a start in doubt; then nobody hears the others, and some keep.
  let lost = 0;
  const heal = cluster.network.rule(({ path }) => {
    if (path !== '/do' || lost > 0) return undefined;
    lost += 1;
    return 'lose answer';
  });
  // And a machine hangs for longer than its lease.
  const hung = cluster.worker(cluster.machineOf(cluster.runningTasks[0] ?? '') ?? '');
  hung.isHanging = true;
  cluster.clock.after(45_000, () => {
    hung.isHanging = false;
  });
  cluster.dropsPeerMessages = true;
  await cluster.clock.advance(6_000);
  over.set('req-3', await again(cluster, (index) => cluster.cancel('req-3', index), 1));
  await look(cluster, ids, over);
  cluster.dropsPeerMessages = false;
  await cluster.clock.advance(4_000);
  await look(cluster, ids, over);
  heal();
  const { owner } = cluster;
  if (owner >= 0) {
    cluster.kill(owner);
    await cluster.clock.advance(6_000);
    if (cluster.controllers[owner]?.alive === false) cluster.restart(owner);
  }
  await submit('req-4', { pieces: 3 }, 4, 1);
  ids.push('req-4');
  for (let second = 0; second < 60 && over.size < 4; second += 2) {
    await look(cluster, ids, over);
    await cluster.clock.advance(2_000);
  }
  // Idle machines are returned, and what was held up arrives.
  await cluster.clock.advance(50_000);
  await look(cluster, ids, over);
  assert.deepEqual(Object.fromEntries(over), {
    'req-1': 'done',
    'req-2': 'done',
    'req-3': 'withdrawn',
    'req-4': 'done',
  });
  cluster.assertInvariants();
}

/** Nothing is left that no one would ever take away. */
function nothingLeft(cluster: SimulatedCluster): void {
  const live = [...cluster.store.data.keys()].filter((key) => key.startsWith('live/'));
  const left = live.filter((key) => /^live\/(job|done|keep)\//.test(key));
  assert.deepEqual(left, []);
  for (const key of live) {
    const machine = /^live\/machine\/(.*)$/.exec(key)?.[1];
    if (machine !== undefined)
      assert.equal(cluster.worker(machine).isTerminated, false, `${key} is recorded`);
  }
  const lease = cluster.store.data.get('live/lease/0')?.data as { owner: string } | undefined;
  assert.equal(lease?.owner, `node-${cluster.owner}`);
}

/** The day goes on to its end. What comes late may be the last thing in it, and is waited for. */
async function playsOut(
  cluster: SimulatedCluster,
  struck: () => number,
  faults: readonly string[],
  lateMs = 0,
): Promise<void> {
  await day(cluster);
  assert.ok(struck() > 0, 'it never came about');
  await cluster.clock.advance(lateMs);
  nothingLeft(cluster);
  assert.deepEqual(faults, []);
}

for (const kind of Object.keys(KINDS)) {
  test(`${kind}: carried out and never answered`, async () => {
    const { cluster, faults } = deployment(kind);
    const struck = strike(cluster, kind, 2, () => 'lose answer');
    await playsOut(cluster, struck, faults);
  });

  test(`${kind}: carried out 12 s late, after newer ones`, async () => {
    const { cluster, faults } = deployment(kind);
    const struck = strike(cluster, kind, 2, () => {
      cluster.clock.after(LATE_MS, () => cluster.network.releaseHeld());
      return 'hold';
    });
    await playsOut(cluster, struck, faults, 20_000);
  });

  test(`${kind}: carried out after its sender ended and began again`, async () => {
    const { cluster, faults } = deployment(kind);
    const struck = strike(cluster, kind, 1, ({ from }) => {
      const index = Number(from.slice('node-'.length));
      cluster.clock.after(5, () => {
        if (cluster.controllers[index]?.alive === true) cluster.kill(index);
      });
      cluster.clock.after(2_000, () => {
        if (cluster.controllers[index]?.alive === false) cluster.restart(index);
      });
      cluster.clock.after(LATE_MS, () => cluster.network.releaseHeld());
      return 'hold';
    });
    await playsOut(cluster, struck, faults, 20_000);
  });
}

test('a shard taken without an answer, and given to another node meanwhile, is let go of', async () => {
  const cluster = new SimulatedCluster();
  let taker: string | undefined;
  cluster.network.rule((request) => {
    if (request.path !== '/txn' || taker !== undefined) return undefined;
    const { apply = [] } = request.body as { apply?: Change[] };
    if (KINDS['taking of a shard']?.(apply, []) !== true) return undefined;
    taker = request.from;
    // By the time the watch tells the taker that it was carried out, the leader has given the shard to another.
    cluster.clock.after(20, () => {
      const record = cluster.store.data.get('live/block/0')?.data as Record<string, unknown>;
      const other = [0, 1, 2].map((index) => `node-${index}`).find((node) => node !== taker);
      const body = { guards: [], apply: [{ set: 'live/block/0', data: { ...record, owner: other } }] };
      void cluster.network.caller('test').call('10.2.0.1:2379', 'POST', '/txn', body, 1000);
    });
    return 'lose answer';
  });
  await cluster.clock.advance(10_000);
  assert.ok(taker !== undefined);
  assert.ok(cluster.owner >= 0, 'nobody acts for the shard');
  const record = cluster.store.data.get('live/block/0')?.data as { owner: string };
  assert.equal(record.owner, `node-${cluster.owner}`);
});

test('one that no longer leads assigns nothing under the leadership of another', async () => {
  const cluster = new SimulatedCluster({ operator: { blocks: 3 } });
  let first: string | undefined;
  let replaced = false;
  const later: string[] = [];
  cluster.store.rule((request) => {
    if (request.path !== '/txn') return undefined;
    const { apply = [], guards = [] } = request.body as { apply?: Change[]; guards?: { path: string }[] };
    if (KINDS['assignment of a shard']?.(apply, guards) !== true) return undefined;
    if (replaced && request.from === first) later.push(String(apply[0]?.set));
    if (first !== undefined) return undefined;
    first = request.from;
    cluster.clock.after(100, () => {
      const node = first === 'node-0' ? 'node-1' : 'node-0';
      const body = { guards: [], apply: [{ set: 'live/leader', data: { node } }] };
      void cluster.network.caller('test').call('10.2.0.1:2379', 'POST', '/txn', body, 1000);
      replaced = true;
    });
    return { slowMs: 1000 };
  });
  await cluster.clock.advance(20_000);
  assert.ok(replaced);
  assert.deepEqual(later, []);
  for (const shard of [0, 1, 2]) assert.ok(cluster.store.data.has(`live/lease/${shard}`), `shard ${shard}`);
});
