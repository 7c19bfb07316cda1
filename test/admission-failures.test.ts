/** @file Admission while controllers fail, disagree or are partitioned, with three controllers in one process. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KEY } from '../src/bookkeeping/records';
import {
  acceptedJobs,
  ADMISSION,
  admissionCluster,
  epochOf,
  isFormatGateOpen,
  leaderOf,
  MACHINES,
  OBJECTIVES,
  causeOverload,
} from './admission-steps';
import { RetryingUsers, type SubmissionOutcome } from './fakes/patient-users';
import { submission } from './fakes/submission';
import { SimulatedCluster } from './fakes/simulated-cluster';

test('every controller gives a deferred job the same response within milliseconds, unless the epoch changed meanwhile', async () => {
  const cluster = admissionCluster();
  const users = new RetryingUsers(cluster);
  await causeOverload(cluster, users);
  let differed = 0;
  let compared = 0;
  for (let n = 0; n < 40; n += 1) {
    const body = submission(`req-9${n}`, { docket: 'bulk', crew: 'red', pieces: 4, cpus: 1, reckonS: 20 });
    const before = epochOf(cluster)?.epoch;
    const answers = Promise.all([0, 1, 2].map((index) => users.submitOnce(index, body)));
    await cluster.clock.advance(400);
    const deferred = (await answers).filter(({ status }) => status === 503).length;
    await cluster.clock.advance(100);
    if (epochOf(cluster)?.epoch !== before) continue;
    compared += 1;
    if (deferred !== 0 && deferred !== 3) differed += 1;
  }
  assert.ok(compared > 20);
  assert.equal(differed, 0);
  cluster.assertInvariants();
});

test('an accepted job is never deferred later, and polls and cancellations never are', async () => {
  const cluster = admissionCluster();
  const users = new RetryingUsers(cluster);
  await causeOverload(cluster, users);
  const [first] = acceptedJobs(users.outcomes);
  assert.ok(first);
  const body = submission(first.id, { docket: 'bulk', crew: 'red', pieces: 20, cpus: 1, reckonS: 60 });
  for (const index of [0, 1, 2]) {
    assert.equal((await cluster.request(index, 'POST', '/work', body)).status, 200);
    assert.equal((await cluster.request(index, 'GET', `/work/${first.id}`)).status, 200);
  }
  assert.equal(await cluster.cancel(first.id, 1), 'withdrawn');
  const repeated = await cluster.request(2, 'POST', '/work', body);
  assert.equal((repeated.body as { standing: string }).standing, 'withdrawn');
  cluster.assertInvariants();
});

test('an overload continues after its leader died, despite a delayed epoch of it, and after all controllers restarted', async () => {
  const cluster = admissionCluster();
  const users = new RetryingUsers(cluster);
  await causeOverload(cluster, users);
  const flood = (): SubmissionOutcome => users.submit('bulk', 'red', 4, 20);
  const before = epochOf(cluster);
  assert.ok(before);
  const leader = cluster.controllers.findIndex(({ name }) => name === leaderOf(cluster));
  // Its next epoch gets no response and is written 12 s late, after those of its successor.
  let heldCount = 0;
  const removeRule = cluster.store.rule(({ from, path, body }) => {
    const isEpoch = path === '/txn' && JSON.stringify(body).includes(`"set":"${KEY.admission}"`);
    if (!isEpoch || from !== `node-${leader}` || heldCount > 0) return undefined;
    heldCount += 1;
    return { lateMs: 12_000 };
  });
  await cluster.until('the write of an epoch is delayed', () => heldCount > 0, 20);
  cluster.kill(leader);
  removeRule();
  await cluster.until(
    'another controller writes epochs',
    () => (epochOf(cluster)?.epoch ?? 0) > before.epoch + 1,
    30,
  );
  assert.equal(epochOf(cluster)?.overload, before.overload, 'the same overload continues');
  await cluster.clock.advance(12_000);
  assert.equal(epochOf(cluster)?.overload, before.overload);
  cluster.restart(leader);
  await cluster.clock.advance(5_000);
  for (const index of [0, 1, 2]) cluster.kill(index);
  await cluster.clock.advance(2_000);
  for (const index of [0, 1, 2]) cluster.restart(index);
  await cluster.untilOwned();
  await cluster.until('a job is deferred', () => {
    const outcome = flood();
    return users.outcomes.some(
      (o) => o !== outcome && o.deferrals > 0 && o.submittedAt > cluster.clock.now() - 3_000,
    );
  });
  assert.equal(epochOf(cluster)?.overload, before.overload);
  cluster.assertInvariants();
});

test('a delayed write of an epoch has no effect after newer epochs of the same leader', async () => {
  const cluster = admissionCluster();
  await causeOverload(cluster, new RetryingUsers(cluster));
  let heldCount = 0;
  const removeRule = cluster.store.rule(({ path, body }) => {
    const isEpoch = path === '/txn' && JSON.stringify(body).includes(`"set":"${KEY.admission}"`);
    if (!isEpoch || heldCount > 0) return undefined;
    heldCount += 1;
    return { lateMs: 12_000 };
  });
  await cluster.until('the write of an epoch is delayed', () => heldCount > 0, 20);
  removeRule();
  let newest = epochOf(cluster)?.epoch ?? 0;
  const first = newest;
  for (let step = 0; step < 80; step += 1) {
    await cluster.clock.advance(250);
    const { epoch = 0 } = epochOf(cluster) ?? {};
    assert.ok(epoch >= newest, `${epoch} after ${newest}`);
    newest = epoch;
  }
  assert.ok(newest > first + 2, 'the leader wrote further epochs');
  cluster.assertInvariants();
});

test('a controller with an outdated watch cache admits no job that the newest epoch defers', async () => {
  const cluster = admissionCluster();
  const users = new RetryingUsers(cluster);
  await cluster.untilOwned();
  await cluster.until('the format gate is open', () => isFormatGateOpen(cluster));
  // It receives neither watch responses nor peer messages: its watch cache is from before the overload.
  const outdated = 2;
  const name = `node-${outdated}`;
  const restoreWatch = cluster.network.rule(({ from, path }) =>
    from === name && path.startsWith('/changes') ? 'lose' : undefined,
  );
  cluster.isolateFromPeers(outdated);
  const others = Array.from({ length: 6 }, (_, n) =>
    cluster.submit(`req-7${n}`, { docket: 'bulk', crew: 'red', pieces: 20, cpus: 1, reckonS: 60 }, 60, 0),
  );
  for (const other of others) await other;
  await cluster.until('there is an overload', () => epochOf(cluster)?.isOverloaded === true, 60);
  const epoch = epochOf(cluster);
  const flood = Array.from({ length: 60 }, (_, n) =>
    users.submitOnce(
      outdated,
      submission(`req-8${n}`, { docket: 'bulk', crew: 'red', pieces: 4, cpus: 1, reckonS: 20 }),
    ),
  );
  await cluster.clock.advance(6_000);
  const statuses = (await Promise.allSettled(flood)).map((r) =>
    r.status === 'fulfilled' ? r.value.status : 0,
  );
  assert.ok(epoch?.isOverloaded);
  assert.equal(statuses.filter((status) => status === 201).length, 0, 'the flow is in debt');
  restoreWatch();
  cluster.assertInvariants();
});

test('weights of the current overload remain in effect under a leader with other weights; a malformed epoch stops admission until it is deleted', async () => {
  const plain = { admission: ADMISSION };
  const heavy = { admission: { ...ADMISSION, class_weights: { photo: 9 } } };
  const cluster = new SimulatedCluster({
    operators: [plain, heavy, heavy],
    objectives: OBJECTIVES,
    heartbeatS: 3,
  });
  cluster.capacity = MACHINES;
  const users = new RetryingUsers(cluster);
  await causeOverload(cluster, users);
  const weights = epochOf(cluster)?.weights;
  const leader = cluster.controllers.findIndex(({ name }) => name === leaderOf(cluster));
  cluster.kill(leader);
  const epoch = epochOf(cluster)?.epoch ?? 0;
  await cluster.until('another controller writes epochs', () => (epochOf(cluster)?.epoch ?? 0) > epoch, 30);
  assert.deepEqual(epochOf(cluster)?.weights, weights);
  const put = (data: unknown): Promise<unknown> =>
    cluster.store.handle({
      from: 'seed',
      to: '',
      method: 'POST',
      path: '/txn',
      body: {
        guards: [],
        apply: [data === undefined ? { delete: KEY.admission } : { set: KEY.admission, data }],
      },
    });
  await put({ epoch: 'soon' });
  await cluster.clock.advance(1_000);
  const alive = (leader + 1) % 3;
  const body = submission('req-5', { docket: 'index', crew: 'blue', pieces: 1, cpus: 1, reckonS: 20 });
  assert.equal((await cluster.request(alive, 'POST', '/work', body)).status, 503);
  await put(undefined);
  await cluster.clock.advance(1_000);
  assert.equal((await cluster.request(alive, 'POST', '/work', body)).status, 201);
  cluster.assertInvariants();
});

test('an overload ends when admission is switched off at the controllers', async () => {
  const cluster = admissionCluster();
  const users = new RetryingUsers(cluster);
  await causeOverload(cluster, users);
  for (const index of [0, 1, 2]) {
    cluster.kill(index);
    cluster.setOperatorOptions(index, {});
    await cluster.clock.advance(1_000);
    cluster.restart(index);
    await cluster.clock.advance(8_000);
  }
  await cluster.until('the epoch is deleted', () => epochOf(cluster) === undefined, 30);
  const outcome = users.submit('bulk', 'red', 4, 20);
  await cluster.clock.advance(3_000);
  assert.equal(outcome.deferrals, 0);
  assert.ok(outcome.acceptedAt !== undefined);
  cluster.assertInvariants();
});

test('a job that depends on accepted jobs is admitted although its class is in debt', async () => {
  const cluster = admissionCluster();
  const users = new RetryingUsers(cluster);
  await causeOverload(cluster, users);
  const [first] = acceptedJobs(users.outcomes);
  assert.ok(first);
  const chain = submission('req-900', {
    docket: 'bulk',
    crew: 'red',
    pieces: 1,
    cpus: 1,
    awaits: [first.id],
  });
  const free = submission('req-901', { docket: 'bulk', crew: 'red', pieces: 1, cpus: 1 });
  assert.equal((await cluster.request(1, 'POST', '/work', free)).status, 503);
  assert.equal((await cluster.request(1, 'POST', '/work', chain)).status, 201);
  const unknown = submission('req-902', { docket: 'bulk', crew: 'red', awaits: ['req-999'] });
  assert.equal((await cluster.request(1, 'POST', '/work', unknown)).status, 422);
  cluster.assertInvariants();
});

test('no epoch is written while a controller of the production version takes part', async () => {
  const cluster = new SimulatedCluster({
    operators: [{ admission: ADMISSION }, { admission: ADMISSION }, {}],
    objectives: OBJECTIVES,
    heartbeatS: 3,
    versions: ['present', 'present', 'production'],
  });
  cluster.capacity = MACHINES;
  const users = new RetryingUsers(cluster);
  await cluster.untilOwned();
  for (let n = 0; n < 6; n += 1) users.submit('bulk', 'red', 20, 60);
  await cluster.clock.advance(40_000);
  assert.equal(epochOf(cluster), undefined);
  assert.ok(users.outcomes.every((outcome) => outcome.deferrals === 0 && outcome.acceptedAt !== undefined));
  cluster.kill(2);
  await cluster.clock.advance(1_000);
  cluster.restart(2, 'present');
  await cluster.until('there is an overload', () => epochOf(cluster)?.isOverloaded === true, 60);
  cluster.assertInvariants();
});

test('submissions and polls get responses while hundreds of jobs are deferred', async () => {
  const cluster = admissionCluster();
  await causeOverload(cluster, new RetryingUsers(cluster));
  const users = new RetryingUsers(cluster, 3_000, 1_000);
  const [known] = [...cluster.store.data.keys()].filter((key) => key.startsWith('live/job/'));
  assert.ok(known);
  for (let n = 0; n < 200; n += 1) users.submit('bulk', 'red', 4, 20);
  for (let n = 0; n < 6; n += 1) {
    const asked = cluster.clock.now();
    assert.equal(await cluster.jobState(known.slice('live/job/'.length), n % 3), 'running');
    assert.ok(cluster.clock.now() - asked < 200, 'answered at once');
  }
  // A user who was told to retry after 30 s does so before giving up.
  await cluster.clock.advance(35_000);
  assert.ok(users.outcomes.every((outcome) => outcome.isFinished && outcome.deferrals > 0));
  cluster.assertInvariants();
});
