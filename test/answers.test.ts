import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRoutes } from '../src/coordination/routes';
import { codec } from '../src/protocol/codec';
import type { Answer } from '../src/transport/http-client';
import type { Request } from './fakes/network';
import { submission } from './fakes/submission';
import { World } from './fakes/world';

const STATE = '10.2.0.1:2379';
const CLOUD = '10.2.0.2:8443';
const NODES = [0, 1, 2];

interface Put {
  set?: string;
  data?: { state?: string };
}

/** A final state of this job is on its way to the state service. */
function ends(request: Request, id: string): boolean {
  if (request.path !== '/txn') return false;
  const { apply = [] } = request.body as { apply?: Put[] };
  return apply.some((c) => c.set === `final/${id}`);
}

/** Sends without waiting; the answer is judged by the world's rules, and counted here. */
function send(
  world: World,
  to: number,
  method: string,
  path: string,
  body?: unknown,
): Promise<Answer | undefined> {
  return world.network
    .caller('user')
    .call(world.controllers[to]?.address ?? '', method, path, body, 5000)
    .catch(() => undefined);
}

/** Users ask at all nodes, and repeat the submission there, every few milliseconds. */
function closeLooks(world: World, id: string, job: unknown, forMs: number): { standings: string[] } {
  const seen = { standings: [] as string[] };
  const note = (answer: Answer | undefined): void => {
    if (answer?.status === 200 || answer?.status === 201)
      seen.standings.push((answer.body as { standing: string }).standing);
  };
  for (let at = 0; at < forMs; at += 3) {
    world.clock.after(at, () => {
      for (const to of NODES) {
        void send(world, to, 'GET', `/work/${id}`).then(note);
        if (at % 2 === 0) void send(world, to, 'POST', '/work', job).then(note);
      }
    });
  }
  return seen;
}

/** One standing each at all nodes, for good. */
async function settledAs(world: World, id: string): Promise<string> {
  const standings = new Set<string | number>();
  for (let look = 0; look < 3; look += 1) {
    for (const index of NODES) standings.add(await world.standing(id, index));
    await world.clock.advance(500);
  }
  assert.equal(standings.size, 1, [...standings].join());
  return String([...standings][0]);
}

/** Nothing reaches the other nodes but what they read themselves. */
function deafToChanges(world: World): void {
  world.silencePeers = true;
  world.state.rule(({ path, from }) =>
    path.startsWith('/changes') && from !== 'story' ? { slowMs: 400 } : undefined,
  );
}

test('right after the acceptance, asked at all nodes before they could hear of it: none forgets it', async () => {
  const world = new World();
  await world.untilOwned();
  deafToChanges(world);
  const job = submission('req-1', { pieces: 2 });
  const first = world.submit('req-1', { pieces: 2 }, 3, 1);
  const seen = closeLooks(world, 'req-1', job, 400);
  await first;
  await world.clock.advance(1000);
  assert.ok(seen.standings.length > 200, `${seen.standings.length} answers`);
  await world.untilStanding('req-1', 'done', 60, 2);
  world.noRuleBroken();
});

test('at the end of the last task, users ask at all nodes and repeat the submission: no answer goes back', async () => {
  for (const cut of [false, true]) {
    const world = new World();
    await world.submit('req-1', {}, 5);
    await world.until('it runs', () => world.running.length === 1);
    // Every node has heard that it runs, and none may say so from memory.
    await world.clock.advance(2500);
    if (cut) deafToChanges(world);
    let seen: { standings: string[] } | undefined;
    world.network.rule((request) => {
      if (ends(request, 'req-1') && !seen) seen = closeLooks(world, 'req-1', submission('req-1'), 300);
      return undefined;
    });
    await world.until('its end is written', () => seen !== undefined);
    await world.clock.advance(2000);
    assert.ok(seen?.standings.includes('done'));
    assert.equal(await settledAs(world, 'req-1'), 'done');
    world.noRuleBroken();
  }
});

test('right after a confirmed cancellation, asked at all nodes: nobody says anything older', async () => {
  for (const fate of ['answered', 'lose answer'] as const) {
    const world = new World();
    await world.submit('req-1', { pieces: 3 }, 100);
    await world.until('it runs', () => world.running.length === 3);
    // Every node has heard that it runs, and none may say so from memory.
    await world.clock.advance(2500);
    deafToChanges(world);
    // Watches that are open still are answered at once.
    await world.clock.advance(1500);
    let seen: { standings: string[] } | undefined;
    world.state.rule((request) => {
      if (!ends(request, 'req-1') || seen) return undefined;
      seen = closeLooks(world, 'req-1', submission('req-1', { pieces: 3 }), 300);
      return fate === 'lose answer' ? fate : undefined;
    });
    assert.equal(await world.cancel('req-1', 2), 'withdrawn');
    await world.clock.advance(3000);
    assert.ok(seen?.standings.includes('withdrawn'));
    assert.equal(await settledAs(world, 'req-1'), 'withdrawn');
    await world.clock.advance(31_000);
    assert.deepEqual(world.running, []);
    world.noRuleBroken();
  }
});

test('a cancellation meets the end of the last task, in every order of the two writes: one wins for ever', async () => {
  const outcomes = new Set<string>();
  for (const delayMs of [0, 24, 28, 29, 30, 31, 32, 33, 36]) {
    for (const late of ['none', 'done', 'cancelled']) {
      const world = new World();
      // Ends well apart from a raise of the token, which would shut out a late write of the end by itself.
      await world.submit('req-1', {}, 5);
      let met = false;
      // The report of the end is on its way; its write follows some 30 ms later.
      world.network.rule(({ path, body }) => {
        if (met || path !== '/hello' || !JSON.stringify(body).includes('"cause":"done"')) return undefined;
        met = true;
        for (const to of NODES)
          world.clock.after(delayMs, () => void send(world, to, 'POST', '/work/req-1/withdraw'));
        closeLooks(world, 'req-1', submission('req-1'), 60);
        return undefined;
      });
      // Either write may be carried out after the other, though it was sent first.
      world.state.rule((request) =>
        ends(request, 'req-1') && JSON.stringify(request.body).includes(`"state":"${late}"`)
          ? { lateMs: 30 }
          : undefined,
      );
      await world.until('it ends', () => met);
      await world.clock.advance(5000);
      const outcome = await settledAs(world, 'req-1');
      outcomes.add(outcome);
      // What a node remembers is not enough: the record has to say the same for ever.
      const record = world.state.data.get('final/req-1')?.data as { state: string };
      assert.equal(record.state, outcome === 'done' ? 'done' : 'cancelled', `${delayMs} ms, late: ${late}`);
      world.noRuleBroken();
    }
  }
  assert.deepEqual([...outcomes].sort(), ['done', 'withdrawn']);
});

test('the state service takes up to a second, now and then more than we wait: users cancel and ask, no answer goes back', async () => {
  const world = new World();
  await world.untilOwned();
  let call = 0;
  world.state.rule(({ path, from }) => {
    if (path.startsWith('/changes') || from === 'story') return undefined;
    call += 1;
    // In no step with anything: 40 ms to 1 s, every eleventh longer than the callers wait.
    return { slowMs: call % 11 === 0 ? 1700 : 40 + ((call * 397) % 960) };
  });
  const ids = Array.from({ length: 8 }, (_, n) => `req-${n + 1}`);
  for (const [n, id] of ids.entries()) await world.submit(id, {}, n % 2 === 0 ? 4 : 200, n % 3);
  for (const [n, id] of ids.entries()) {
    closeLooks(world, id, submission(id), 30);
    if (n % 2 === 1) {
      await world.until(`${id} runs`, () => world.running.some((p) => p.startsWith(`${id}/`)));
      assert.equal(await world.cancel(id, (n + 1) % 3), 'withdrawn');
      closeLooks(world, id, submission(id), 30);
    }
  }
  for (const [n, id] of ids.entries())
    await world.untilStanding(id, n % 2 === 0 ? 'done' : 'withdrawn', 60, n % 3);
  await world.clock.advance(31_000);
  assert.deepEqual(world.running, []);
  world.noRuleBroken();
});

test('the table of submission, field by field: what may be null or missing, and what is invalid', async () => {
  const world = new World();
  await world.untilOwned();
  const full: Record<string, unknown> = submission('req-1');
  const nullable = ['frames', 'yard', 'dueS'];
  const post = async (body: unknown): Promise<number> => (await world.ask(0, 'POST', '/work', body)).status;
  for (const name of Object.keys(full)) {
    if (nullable.includes(name)) continue;
    const without = { ...full };
    Reflect.deleteProperty(without, name);
    assert.equal(await post(without), 400, `${name} is missing`);
    assert.equal(await post({ ...full, [name]: null }), 400, `${name} is null`);
    const types: unknown[] = ['', 'x', -1, 1.5, true, [], {}, Number.NaN];
    const fine = (value: unknown): boolean =>
      typeof value === typeof full[name] && value !== -1 && value !== '' && !Number.isNaN(value as number);
    for (const value of types.filter((v) => !fine(v)))
      assert.equal(await post({ ...full, [name]: value }), 400, `${name}: ${String(value)}`);
  }
  for (const [name, value] of [
    ['frames', 'm4'],
    ['frames', [1]],
    ['frames', ['']],
    ['yard', 1],
    ['yard', ''],
    ['dueS', 'soon'],
    ['dueS', -1],
    ['shape', 'x'],
    ['urgency', 'x'],
    ['nameId', 'job-1'],
    ['nameId', 'req-1/2'],
    ['pieces', 0],
    ['pieces', 100_001],
    ['pieces', 1.5],
  ] as const)
    assert.equal(await post({ ...full, [name]: value }), 400, `${name}: ${JSON.stringify(value)}`);
  for (const body of [undefined, null, 7, 'text', [], [full]]) assert.equal(await post(body), 400);
  // What can never run; frames and yard count together, for a type need not be offered everywhere.
  world.network.attach(CLOUD, (request) => {
    if (request.path !== '/flavors') return { status: 503, body: { error: 'trouble' } };
    const frame = {
      cpus: 4,
      cards: 0,
      memGb: 16,
      cacheGb: 50,
      fetchGbPerS: 1,
      rate: 1,
      spotPrice: 0.3,
      bootS: 10,
    };
    const frames = [
      { ...frame, label: 'm4', yards: ['a'] },
      { ...frame, label: 'm8', cpus: 8, yards: ['b'] },
    ];
    return { status: 200, body: { frames } };
  });
  await world.clock.advance(130_000);
  for (const fields of [
    { frames: [] },
    { yard: 'x' },
    { frames: ['m4'], yard: 'b' },
    { cpus: 5, yard: 'a' },
    { frames: ['m4'], cpus: 5 },
    { crew: 'green' },
    { memGb: 17 },
    { cards: 1 },
  ])
    assert.equal(await post({ ...full, ...fields }), 422, JSON.stringify(fields));
  assert.equal(await world.standing('req-1'), 404);
  // Null and missing are the same where null may be; what we don't know is ignored.
  for (const name of nullable) {
    const without: Record<string, unknown> = { ...full, nameId: `req-2${nullable.indexOf(name)}` };
    Reflect.deleteProperty(without, name);
    assert.equal(await post({ ...without, awaited: { by: [1] } }), 201, `without ${name}`);
  }
  world.noRuleBroken();
});

test('a job that was accepted is known for ever, whatever machine types there are by now', async () => {
  const world = new World();
  await world.submit('req-1', {}, 3);
  await world.submit('req-2', { pieces: 2 }, 300);
  await world.untilStanding('req-1', 'done');
  const frame = { label: 's1', cpus: 0.5, cards: 0, memGb: 1, cacheGb: 50, fetchGbPerS: 1, rate: 1 };
  world.network.attach(CLOUD, ({ path }) =>
    path === '/flavors'
      ? { status: 200, body: { frames: [{ ...frame, spotPrice: 0.3, bootS: 10, yards: ['z'] }] } }
      : { status: 503, body: { error: 'trouble' } },
  );
  await world.clock.advance(130_000);
  for (const index of NODES) {
    const post = async (id: string, fields = {}): Promise<Answer> =>
      world.ask(index, 'POST', '/work', submission(id, fields));
    const over = await post('req-1');
    assert.deepEqual([over.status, (over.body as { standing: string }).standing], [200, 'done']);
    assert.equal((await post('req-2', { pieces: 2 })).status, 200);
    assert.equal((await post('req-3')).status, 422);
  }
  // Undecided while the state service can't say whether it was accepted: never 422, never 404.
  world.state.outage(true);
  for (const index of NODES) {
    assert.equal((await world.ask(index, 'POST', '/work', submission('req-2', { pieces: 2 }))).status, 503);
    assert.equal(await world.standing('req-2', index), 503);
    assert.equal((await world.ask(index, 'POST', '/work/req-2/withdraw')).status, 503);
  }
  // And each is told when to come back.
  const { node } = world.controllers[0] ?? assert.fail();
  const none = (): void => undefined;
  const log = { error: none, warn: none, info: none, debug: none };
  const body = codec.encode(submission('req-2', { pieces: 2 }));
  for (const route of createRoutes(node, log).filter((r) => r.use === 'users')) {
    const reply = Promise.resolve(route.handle({ params: { id: 'req-2' }, body }));
    await world.clock.advance(2000);
    const { status, retryAfterS } = await reply;
    assert.equal(status, 503, route.url);
    assert.ok(retryAfterS !== undefined && retryAfterS >= 1 && retryAfterS <= 30, route.url);
  }
  world.noRuleBroken();
});

test('what the state service never says counts as no answer: nobody is told a guess', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 2 }, 300);
  const garbage: Answer[] = [
    { status: 404, body: null },
    { status: 404, body: { error: 'no such page' } },
    { status: 200, body: null },
    { status: 200, body: { path: 'live/job/req-1' } },
    { status: 200, body: { ledger: 'many' } },
    { status: 409, body: null },
    { status: 409, body: { failed: 7 } },
    { status: 500, body: { ledger: 5 } },
    { status: 302, body: null },
  ];
  for (const answer of garbage) {
    world.network.attach(STATE, (request) => {
      const fromUser = /^\/store\/|^\/txn$/.test(request.path) && JSON.stringify(request).includes('req-');
      return fromUser ? answer : world.state.handle(request);
    });
    for (const index of NODES) {
      const what = `${index}: ${JSON.stringify(answer)}`;
      assert.equal(await world.standing('req-1', index), 503, what);
      const again = await world.ask(index, 'POST', '/work', submission('req-1', { pieces: 2 }));
      assert.equal(again.status, 503, what);
      assert.equal((await world.ask(index, 'POST', '/work/req-1/withdraw')).status, 503, what);
    }
  }
  world.network.attach(STATE, (request) => world.state.handle(request));
  for (const index of NODES) assert.notEqual(await world.standing('req-1', index), 'withdrawn');
  world.noRuleBroken();
});

test('malformed reports move nothing, and neither do malformed answers of workers', async () => {
  const world = new World();
  await world.submit('req-1', { pieces: 3 }, 20);
  await world.until('it runs', () => world.running.length === 3);
  const worker = world.worker(world.where('req-1/0') ?? '');
  const report = worker.report();
  const pieces = report.pieces as Record<string, unknown>[];
  const ended = pieces.map((p) => ({ ...p, standing: 'ended', cause: 'done' }));
  for (const broken of [
    { ...report, pieces: [...ended, { piece: 7 }] },
    { ...report, pieces: ended, tally: 'more' },
    { ...report, pieces: ended, shift: -1 },
    { ...report, pieces: ended, hearth: '' },
    { ...report, pieces: ended, baton: null },
    { ...report, pieces: 'none' },
    [ended],
    undefined,
  ]) {
    for (const index of NODES)
      assert.equal((await world.ask(index, 'POST', '/hello', broken)).status, 400, JSON.stringify(broken));
  }
  // Answers to commands that say nothing, of all machines, while another job is to start.
  let spoilt = 0;
  for (const w of world.workers.values()) {
    w.garbage = () => {
      spoilt += 1;
      const status = spoilt % 2 === 0 ? 200 : 409;
      return { status, body: spoilt % 3 === 0 ? null : { hearth: w.id, pieces: 'done' } };
    };
  }
  await world.submit('req-2', { pieces: 4 }, 3);
  await world.clock.advance(4000);
  assert.notEqual(await world.standing('req-1'), 'done');
  assert.notEqual(await world.standing('req-2'), 'done');
  assert.ok(spoilt > 0);
  for (const w of world.workers.values()) w.garbage = undefined;
  await world.untilStanding('req-1', 'done', 90);
  await world.untilStanding('req-2', 'done', 90);
  world.noRuleBroken();
});

test('four jobs of one task a second, a quarter cancelled, 40 changes a second: all end, renewals are in time', async () => {
  const LIMIT = 40;
  const world = new World({ writeRps: LIMIT });
  await world.untilOwned();
  // The state service keeps to its limit, all controllers together, with bursts of a second's worth.
  let tokens = LIMIT;
  let filledAt = world.clock.now();
  let tooMany = 0;
  let grants = 0;
  const renewedAt = new Map<string, number>();
  let longestMs = 0;
  world.network.attach(STATE, (request) => {
    const now = world.clock.now();
    if (request.path === '/grants') grants += 1;
    if (request.path.endsWith('/extend')) {
      longestMs = Math.max(longestMs, now - (renewedAt.get(request.from) ?? now));
      renewedAt.set(request.from, now);
    }
    if (request.path === '/txn') {
      const changes = (request.body as { apply: unknown[] }).apply.length;
      tokens = Math.min(LIMIT, tokens + ((now - filledAt) * LIMIT) / 1000);
      filledAt = now;
      if (changes > tokens) {
        tooMany += 1;
        return { status: 429, body: null };
      }
      tokens -= changes;
    }
    return world.state.handle(request);
  });
  const waits: number[] = [];
  const finals: string[] = [];
  const user = async (n: number): Promise<void> => {
    const id = `req-${n}`;
    const until = async (method: string, path: string, body: unknown, pauseMs: number): Promise<string> => {
      for (let attempt = 0; ; attempt += 1) {
        const answer = await send(world, (n + attempt) % 3, method, path, body);
        if (answer?.status === 200 || answer?.status === 201)
          return (answer.body as { standing: string }).standing;
        await world.clock.sleep(pauseMs);
      }
    };
    const from = world.clock.now();
    await until('POST', '/work', submission(id, { reckonS: 4 }), 1000);
    waits.push(world.clock.now() - from);
    if (n % 4 === 0) {
      await world.clock.sleep((n * 137) % 6000);
      await until('POST', `/work/${id}/withdraw`, undefined, 1000);
    }
    for (;;) {
      const standing = await until('GET', `/work/${id}`, undefined, 1000);
      if (standing === 'done' || standing === 'withdrawn') {
        finals.push(standing);
        return;
      }
      await world.clock.sleep(5000);
    }
  };
  const COUNT = 480;
  let most = 0;
  for (let n = 1; n <= COUNT; n += 1) {
    void user(n);
    await world.clock.advance(250);
    most = Math.max(most, [...world.state.data.keys()].filter((key) => key.startsWith('live/job/')).length);
  }
  await world.clock.advance(30_000);
  assert.equal(finals.length, COUNT);
  assert.ok(finals.filter((f) => f === 'withdrawn').length > COUNT / 8);
  assert.ok(Math.max(...waits) < 5000, `accepted within ${Math.max(...waits)} ms`);
  // About as many as are under way at once: what is over goes.
  assert.ok(most < 80, `${most} live jobs`);
  const left = [...world.state.data.keys()].filter((key) => /^live\/(job|done)\//.test(key));
  assert.deepEqual(left, []);
  for (const { node } of world.controllers) {
    for (const owner of node.owners.values()) assert.deepEqual(owner.progress(), []);
  }
  // Nobody's lease has ended, and no renewal came late: they go out six times a lease.
  assert.equal(grants, 0);
  assert.ok(longestMs < 1000, `${longestMs} ms between two renewals`);
  assert.ok(tooMany < 10, `${tooMany} refused`);
  world.noRuleBroken();
});
