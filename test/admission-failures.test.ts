/** @file Admission while controllers fail, disagree or are cut off, with three of them in memory. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KEY } from '../src/bookkeeping/records';
import {
  accepted,
  ADMISSION,
  admissionWorld,
  epochOf,
  gateIsOpen,
  leaderOf,
  MACHINES,
  OBJECTIVES,
  overload,
} from './admission-steps';
import { PatientUsers, type Outcome } from './fakes/patient-users';
import { submission } from './fakes/submission';
import { World } from './fakes/simulated-cluster';

test('a deferred job gets the same answer at every controller within milliseconds, unless the epoch moved on', async () => {
  const world = admissionWorld();
  const users = new PatientUsers(world);
  await overload(world, users);
  let differed = 0;
  let compared = 0;
  for (let n = 0; n < 40; n += 1) {
    const body = submission(`req-9${n}`, { docket: 'bulk', crew: 'red', pieces: 4, cpus: 1, reckonS: 20 });
    const before = epochOf(world)?.epoch;
    const answers = Promise.all([0, 1, 2].map((index) => users.ask(index, body)));
    await world.clock.advance(400);
    const deferred = (await answers).filter(({ status }) => status === 503).length;
    await world.clock.advance(100);
    if (epochOf(world)?.epoch !== before) continue;
    compared += 1;
    if (deferred !== 0 && deferred !== 3) differed += 1;
  }
  assert.ok(compared > 20);
  assert.equal(differed, 0);
  world.noRuleBroken();
});

test('an accepted job is never deferred later, and polls and cancellations never are', async () => {
  const world = admissionWorld();
  const users = new PatientUsers(world);
  await overload(world, users);
  const [first] = accepted(users.outcomes);
  assert.ok(first);
  const body = submission(first.id, { docket: 'bulk', crew: 'red', pieces: 20, cpus: 1, reckonS: 60 });
  for (const index of [0, 1, 2]) {
    assert.equal((await world.ask(index, 'POST', '/work', body)).status, 200);
    assert.equal((await world.ask(index, 'GET', `/work/${first.id}`)).status, 200);
  }
  assert.equal(await world.cancel(first.id, 1), 'withdrawn');
  const repeated = await world.ask(2, 'POST', '/work', body);
  assert.equal((repeated.body as { standing: string }).standing, 'withdrawn');
  world.noRuleBroken();
});

test('the overload outlives its leader, whose late epoch changes nothing, and all controllers', async () => {
  const world = admissionWorld();
  const users = new PatientUsers(world);
  await overload(world, users);
  const flood = (): Outcome => users.submit('bulk', 'red', 4, 20);
  const before = epochOf(world);
  assert.ok(before);
  const leader = world.controllers.findIndex(({ name }) => name === leaderOf(world));
  // Its next epoch gets no answer and is carried out 12 s late, after those of its successor.
  let held = 0;
  const late = world.state.rule(({ from, path, body }) => {
    const isEpoch = path === '/txn' && JSON.stringify(body).includes(`"set":"${KEY.admission}"`);
    if (!isEpoch || from !== `node-${leader}` || held > 0) return undefined;
    held += 1;
    return { lateMs: 12_000 };
  });
  await world.until('an epoch is held up', () => held > 0, 20);
  world.kill(leader);
  late();
  await world.until('another writes epochs', () => (epochOf(world)?.epoch ?? 0) > before.epoch + 1, 30);
  assert.equal(epochOf(world)?.overload, before.overload, 'the same overload goes on');
  await world.clock.advance(12_000);
  assert.equal(epochOf(world)?.overload, before.overload);
  world.restart(leader);
  await world.clock.advance(5_000);
  for (const index of [0, 1, 2]) world.kill(index);
  await world.clock.advance(2_000);
  for (const index of [0, 1, 2]) world.restart(index);
  await world.untilOwned();
  await world.until('a job is deferred', () => {
    const outcome = flood();
    return users.outcomes.some(
      (o) => o !== outcome && o.deferrals > 0 && o.submittedAt > world.clock.now() - 3_000,
    );
  });
  assert.equal(epochOf(world)?.overload, before.overload);
  world.noRuleBroken();
});

test('an epoch of the leader that is carried out after newer ones of its own changes nothing', async () => {
  const world = admissionWorld();
  await overload(world, new PatientUsers(world));
  let held = 0;
  const late = world.state.rule(({ path, body }) => {
    const isEpoch = path === '/txn' && JSON.stringify(body).includes(`"set":"${KEY.admission}"`);
    if (!isEpoch || held > 0) return undefined;
    held += 1;
    return { lateMs: 12_000 };
  });
  await world.until('an epoch is held up', () => held > 0, 20);
  late();
  let newest = epochOf(world)?.epoch ?? 0;
  const first = newest;
  for (let step = 0; step < 80; step += 1) {
    await world.clock.advance(250);
    const { epoch = 0 } = epochOf(world) ?? {};
    assert.ok(epoch >= newest, `${epoch} after ${newest}`);
    newest = epoch;
  }
  assert.ok(newest > first + 2, 'the leader went on');
  world.noRuleBroken();
});

test('a controller whose copy is old admits nothing that the newest epoch defers', async () => {
  const world = admissionWorld();
  const users = new PatientUsers(world);
  await world.untilOwned();
  await world.until('the gate is open', () => gateIsOpen(world));
  // It hears neither its watch nor its peers, and answers users by a copy from before the overload.
  const blind = 2;
  const name = `node-${blind}`;
  const watch = world.network.rule(({ from, path }) =>
    from === name && path.startsWith('/changes') ? 'lose' : undefined,
  );
  world.partFromPeers(blind);
  const others = Array.from({ length: 6 }, (_, n) =>
    world.submit(`req-7${n}`, { docket: 'bulk', crew: 'red', pieces: 20, cpus: 1, reckonS: 60 }, 60, 0),
  );
  for (const other of others) await other;
  await world.until('there is an overload', () => epochOf(world)?.isOverloaded === true, 60);
  const epoch = epochOf(world);
  const flood = Array.from({ length: 60 }, (_, n) =>
    users.ask(
      blind,
      submission(`req-8${n}`, { docket: 'bulk', crew: 'red', pieces: 4, cpus: 1, reckonS: 20 }),
    ),
  );
  await world.clock.advance(6_000);
  const statuses = (await Promise.allSettled(flood)).map((r) =>
    r.status === 'fulfilled' ? r.value.status : 0,
  );
  assert.ok(epoch?.isOverloaded);
  assert.equal(statuses.filter((status) => status === 201).length, 0, 'the flow is in debt');
  watch();
  world.noRuleBroken();
});

test('differing weights: those in force hold; a malformed epoch admits nothing until it is gone', async () => {
  const plain = { admission: ADMISSION };
  const heavy = { admission: { ...ADMISSION, class_weights: { photo: 9 } } };
  const world = new World({ operators: [plain, heavy, heavy], objectives: OBJECTIVES, reportS: 3 });
  world.capacity = MACHINES;
  const users = new PatientUsers(world);
  await overload(world, users);
  const weights = epochOf(world)?.weights;
  const leader = world.controllers.findIndex(({ name }) => name === leaderOf(world));
  world.kill(leader);
  const epoch = epochOf(world)?.epoch ?? 0;
  await world.until('another writes epochs', () => (epochOf(world)?.epoch ?? 0) > epoch, 30);
  assert.deepEqual(epochOf(world)?.weights, weights);
  const put = (data: unknown): Promise<unknown> =>
    world.state.handle({
      ...{ from: 'seed', to: '', method: 'POST', path: '/txn' },
      body: {
        guards: [],
        apply: [data === undefined ? { delete: KEY.admission } : { set: KEY.admission, data }],
      },
    });
  await put({ epoch: 'soon' });
  await world.clock.advance(1_000);
  const alive = (leader + 1) % 3;
  const body = submission('req-5', { docket: 'index', crew: 'blue', pieces: 1, cpus: 1, reckonS: 20 });
  assert.equal((await world.ask(alive, 'POST', '/work', body)).status, 503);
  await put(undefined);
  await world.clock.advance(1_000);
  assert.equal((await world.ask(alive, 'POST', '/work', body)).status, 201);
  world.noRuleBroken();
});

test('switched off at the leader, an overload ends for all at once', async () => {
  const world = admissionWorld();
  const users = new PatientUsers(world);
  await overload(world, users);
  for (const index of [0, 1, 2]) {
    world.kill(index);
    world.setOperator(index, {});
    await world.clock.advance(1_000);
    world.restart(index);
    await world.clock.advance(8_000);
  }
  await world.until('the epoch is gone', () => epochOf(world) === undefined, 30);
  const outcome = users.submit('bulk', 'red', 4, 20);
  await world.clock.advance(3_000);
  assert.equal(outcome.deferrals, 0);
  assert.ok(outcome.acceptedAt !== undefined);
  world.noRuleBroken();
});

test('a job whose dependencies were accepted is not starved, whatever its class owes', async () => {
  const world = admissionWorld();
  const users = new PatientUsers(world);
  await overload(world, users);
  const [first] = accepted(users.outcomes);
  assert.ok(first);
  const chain = submission('req-900', {
    docket: 'bulk',
    crew: 'red',
    pieces: 1,
    cpus: 1,
    awaits: [first.id],
  });
  const free = submission('req-901', { docket: 'bulk', crew: 'red', pieces: 1, cpus: 1 });
  assert.equal((await world.ask(1, 'POST', '/work', free)).status, 503);
  assert.equal((await world.ask(1, 'POST', '/work', chain)).status, 201);
  const unknown = submission('req-902', { docket: 'bulk', crew: 'red', awaits: ['req-999'] });
  assert.equal((await world.ask(1, 'POST', '/work', unknown)).status, 422);
  world.noRuleBroken();
});

test('no epoch is written while a controller of the production version takes part', async () => {
  const world = new World({
    ...{
      operators: [{ admission: ADMISSION }, { admission: ADMISSION }, {}],
      objectives: OBJECTIVES,
      reportS: 3,
    },
    versions: ['present', 'present', 'production'],
  });
  world.capacity = MACHINES;
  const users = new PatientUsers(world);
  await world.untilOwned();
  for (let n = 0; n < 6; n += 1) users.submit('bulk', 'red', 20, 60);
  await world.clock.advance(40_000);
  assert.equal(epochOf(world), undefined);
  assert.ok(users.outcomes.every((outcome) => outcome.deferrals === 0 && outcome.acceptedAt !== undefined));
  world.kill(2);
  await world.clock.advance(1_000);
  world.restart(2, 'present');
  await world.until('there is an overload', () => epochOf(world)?.isOverloaded === true, 60);
  world.noRuleBroken();
});

test('users who ask about a flood of deferred jobs are answered, and so are polls', async () => {
  const world = admissionWorld();
  await overload(world, new PatientUsers(world));
  const users = new PatientUsers(world, 3_000, 1_000);
  const [known] = [...world.state.data.keys()].filter((key) => key.startsWith('live/job/'));
  assert.ok(known);
  for (let n = 0; n < 200; n += 1) users.submit('bulk', 'red', 4, 20);
  for (let n = 0; n < 6; n += 1) {
    const asked = world.clock.now();
    assert.equal(await world.standing(known.slice('live/job/'.length), n % 3), 'running');
    assert.ok(world.clock.now() - asked < 200, 'at once');
  }
  // A user who was told to come back in 30 s does so before giving up.
  await world.clock.advance(35_000);
  assert.ok(users.outcomes.every((outcome) => outcome.isOver && outcome.deferrals > 0));
  world.noRuleBroken();
});
