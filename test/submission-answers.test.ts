/** @file Responses to valid, invalid and repeated submissions. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRoutes } from '../src/coordination/routes';
import { codec } from '../src/protocol/codec';
import type { HttpResponse } from '../src/transport/http-client';
import { submission } from './fakes/submission';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { CONTROLLER_INDICES } from './user-steps';

const CLOUD = '10.2.0.2:8443';

test('a submission with a missing, null or invalid field gets 400, unless the field is optional; an infeasible one gets 422', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  const full: Record<string, unknown> = submission('req-1');
  const nullable = ['frames', 'yard', 'dueS'];
  const post = async (body: unknown): Promise<number> =>
    (await cluster.request(0, 'POST', '/work', body)).status;
  for (const name of Object.keys(full)) {
    if (nullable.includes(name)) continue;
    const without = { ...full };
    Reflect.deleteProperty(without, name);
    assert.equal(await post(without), 400, `${name} is missing`);
    assert.equal(await post({ ...full, [name]: null }), 400, `${name} is null`);
    const types: unknown[] = ['', 'x', -1, 1.5, true, [], {}, Number.NaN];
    const isValid = (value: unknown): boolean =>
      typeof value === typeof full[name] && value !== -1 && value !== '' && !Number.isNaN(value as number);
    for (const value of types.filter((v) => !isValid(v)))
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
  // Infeasible jobs. Frames and yard are checked together, because a machine type may not be offered in every zone.
  cluster.network.attach(CLOUD, (request) => {
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
  await cluster.clock.advance(130_000);
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
  assert.equal(await cluster.jobState('req-1'), 404);
  // Optional fields may be null or missing; unknown fields are ignored.
  for (const name of nullable) {
    const without: Record<string, unknown> = { ...full, nameId: `req-2${nullable.indexOf(name)}` };
    Reflect.deleteProperty(without, name);
    assert.equal(await post({ ...without, awaited: { by: [1] } }), 201, `without ${name}`);
  }
  cluster.assertInvariants();
});

test('an accepted job remains known whatever machine types the cloud offers later', async () => {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', {}, 3);
  await cluster.submit('req-2', { pieces: 2 }, 300);
  await cluster.untilJobState('req-1', 'done');
  const frame = { label: 's1', cpus: 0.5, cards: 0, memGb: 1, cacheGb: 50, fetchGbPerS: 1, rate: 1 };
  cluster.network.attach(CLOUD, ({ path }) =>
    path === '/flavors'
      ? { status: 200, body: { frames: [{ ...frame, spotPrice: 0.3, bootS: 10, yards: ['z'] }] } }
      : { status: 503, body: { error: 'trouble' } },
  );
  await cluster.clock.advance(130_000);
  for (const index of CONTROLLER_INDICES) {
    const post = async (id: string, fields = {}): Promise<HttpResponse> =>
      cluster.request(index, 'POST', '/work', submission(id, fields));
    const repeated = await post('req-1');
    assert.deepEqual([repeated.status, (repeated.body as { standing: string }).standing], [200, 'done']);
    assert.equal((await post('req-2', { pieces: 2 })).status, 200);
    assert.equal((await post('req-3')).status, 422);
  }
  // During an outage of the store no controller can tell whether the job was accepted: 503, never 422 or 404.
  cluster.store.outage(true);
  for (const index of CONTROLLER_INDICES) {
    assert.equal(
      (await cluster.request(index, 'POST', '/work', submission('req-2', { pieces: 2 }))).status,
      503,
    );
    assert.equal(await cluster.jobState('req-2', index), 503);
    assert.equal((await cluster.request(index, 'POST', '/work/req-2/withdraw')).status, 503);
  }
  // Each 503 contains a time after which to retry.
  const { controller } = cluster.controllers[0] ?? assert.fail();
  const doNothing = (): void => undefined;
  const log = { error: doNothing, warn: doNothing, info: doNothing, debug: doNothing };
  const body = codec.encode(submission('req-2', { pieces: 2 }));
  for (const route of createRoutes(controller, log).filter((r) => r.use === 'users')) {
    const reply = Promise.resolve(route.handle({ params: { id: 'req-2' }, body, sender: 'user' }));
    await cluster.clock.advance(2000);
    const { status, retryAfterS } = await reply;
    assert.equal(status, 503, route.url);
    assert.ok(retryAfterS !== undefined && retryAfterS >= 1 && retryAfterS <= 30, route.url);
  }
  cluster.assertInvariants();
});
