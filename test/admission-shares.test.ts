/** @file The shares of classes and teams during an overload, with three controllers in one process. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PREFIX } from '../src/bookkeeping/records';
import {
  acceptedJobs,
  admissionCluster,
  acceptedCpuSeconds,
  CAPACITY_CPUS,
  epochOf,
  causeOverload,
} from './admission-steps';
import { RetryingUsers } from './fakes/patient-users';

const TEN_MINUTES_MS = 600_000;

test('over ten minutes of demand at three times the capacity, every class gets its share within five percent', async () => {
  const cluster = admissionCluster();
  const users = new RetryingUsers(cluster);
  const classes = ['bulk', 'photo', 'index'];
  // The debts from the start of the overload are repaid before the ten minutes begin.
  await causeOverload(cluster, users, [
    ['bulk', 'red'],
    ['photo', 'red'],
    ['index', 'blue'],
  ]);
  const from = cluster.clock.now() + 120_000;
  const until = from + TEN_MINUTES_MS;
  // The classes demand 96, 29 and 24 CPUs of 48; the fair share of each is 16.
  users.startJobStream({ jobClass: 'bulk', team: 'red', perMinute: 36, tasks: 8, estimateS: 20 }, until);
  users.startJobStream({ jobClass: 'photo', team: 'red', perMinute: 11, tasks: 8, estimateS: 20 }, until);
  users.startJobStream({ jobClass: 'index', team: 'blue', perMinute: 9, tasks: 8, estimateS: 20 }, until);
  const { overload: number } = epochOf(cluster) ?? {};
  await cluster.clock.advance(until - cluster.clock.now());
  assert.deepEqual(
    [epochOf(cluster)?.overload, epochOf(cluster)?.isOverloaded],
    [number, true],
    'a single overload',
  );
  const inWindow = users.outcomes.filter((o) => (o.acceptedAt ?? 0) >= from);
  const total = acceptedCpuSeconds(inWindow, () => true);
  const shares = classes.map(
    (jobClass) => acceptedCpuSeconds(inWindow, (o) => o.jobClass === jobClass) / total,
  );
  for (const share of shares) assert.ok(Math.abs(share - 1 / 3) < 0.05, `shares ${shares.join(', ')}`);
  const used = total / (TEN_MINUTES_MS / 1000) / CAPACITY_CPUS;
  assert.ok(used > 0.9 && used < 1.1, `admitted ${used.toFixed(2)} of the capacity`);
  cluster.assertInvariants();
});

test('classes whose estimates are twice too high or a third too low get their shares all the same', async () => {
  const cluster = admissionCluster();
  const users = new RetryingUsers(cluster);
  await causeOverload(cluster, users, [
    ['bulk', 'red'],
    ['photo', 'red'],
  ]);
  const from = cluster.clock.now() + 120_000;
  const until = from + 300_000;
  users.startJobStream(
    { jobClass: 'bulk', team: 'red', perMinute: 24, tasks: 8, estimateS: 20, runS: 30 },
    until,
  );
  users.startJobStream(
    { jobClass: 'photo', team: 'red', perMinute: 24, tasks: 8, estimateS: 20, runS: 10 },
    until,
  );
  await cluster.clock.advance(until - cluster.clock.now());
  const acceptedFrom = (jobClass: string): number =>
    acceptedCpuSeconds(users.outcomes, (o) => o.jobClass === jobClass && (o.acceptedAt ?? 0) >= from);
  // By estimate both get the same; the admission rate follows the actual throughput of the fleet.
  const ratio = acceptedFrom('bulk') / acceptedFrom('photo');
  assert.ok(ratio > 0.85 && ratio < 1.15, `${ratio}`);
  const used = (acceptedFrom('bulk') * 1.5 + acceptedFrom('photo') * 0.5) / 300 / CAPACITY_CPUS;
  assert.ok(used > 0.8 && used < 1.2, `${used.toFixed(2)} of the capacity`);
  cluster.assertInvariants();
});

test('a class and a team below their share are not deferred while another flow submits too much', async () => {
  const cluster = admissionCluster();
  const users = new RetryingUsers(cluster);
  await causeOverload(cluster, users);
  await cluster.clock.advance(10_000);
  // One flow submits 120 jobs, while two others submit one job each.
  const flood = Array.from({ length: 120 }, () => users.submit('bulk', 'red', 4, 20));
  const single = [users.submit('photo', 'blue', 4, 20), users.submit('bulk', 'blue', 4, 20)];
  await cluster.clock.advance(8_000);
  for (const outcome of single) {
    assert.ok(outcome.acceptedAt !== undefined, `${outcome.jobClass} of ${outcome.team}`);
    assert.equal(outcome.deferrals, 0);
  }
  await cluster.clock.advance(60_000);
  assert.ok(flood.every((outcome) => outcome.isFinished));
  const acceptedCount = acceptedJobs(flood).length;
  assert.ok(acceptedCount < 60, `${acceptedCount} of the flood`);
  cluster.assertInvariants();
});

test('of 1,000 jobs that one team submits within a second few are admitted, and a job of another team is admitted at once', async () => {
  const cluster = admissionCluster();
  await causeOverload(cluster, new RetryingUsers(cluster));
  const users = new RetryingUsers(cluster, 2_000, 1_000);
  const flood = Array.from({ length: 1_000 }, () => users.submit('photo', 'red', 4, 20));
  await cluster.clock.advance(1_000);
  const single = users.submit('photo', 'blue', 4, 20);
  await cluster.clock.advance(6_000);
  assert.equal(single.deferrals, 0);
  assert.ok(single.acceptedAt !== undefined);
  // The grants of the epochs that pass allow fewer than 40, including one overdraft job at each controller.
  const acceptedCount = acceptedJobs(flood).length;
  assert.ok(acceptedCount < 40, `${acceptedCount} of 1,000`);
  cluster.assertInvariants();
});

test('no class is starved: jobs of a class in debt are admitted again within a known time', async () => {
  const cluster = admissionCluster();
  const users = new RetryingUsers(cluster);
  await causeOverload(cluster, users);
  users.submit('index', 'blue', 100, 20);
  await cluster.clock.advance(5_000);
  const from = cluster.clock.now();
  const until = from + 240_000;
  users.startJobStream({ jobClass: 'photo', team: 'red', perMinute: 20, tasks: 8, estimateS: 40 }, until);
  users.startJobStream({ jobClass: 'index', team: 'blue', perMinute: 5, tasks: 8, estimateS: 40 }, until);
  await cluster.clock.advance(until - from);
  const times = acceptedJobs(users.outcomes)
    .filter(({ jobClass, acceptedAt }) => jobClass === 'index' && (acceptedAt ?? 0) > from)
    .map(({ acceptedAt }) => acceptedAt ?? 0);
  assert.ok(times.length > 0);
  // The time to repay 2,000 CPU seconds at no less than a third of a quarter of the capacity, and two epochs.
  const boundMs = (2_000 / (CAPACITY_CPUS / 4 / 3) + 10) * 1000;
  const gaps = [from, ...times].slice(1).map((at, index) => at - ([from, ...times][index] ?? 0));
  assert.ok(Math.max(...gaps) < boundMs, `${Math.max(...gaps)} ms`);
  cluster.assertInvariants();
});

test('when the load falls, the overload ends and its records are deleted', async () => {
  const cluster = admissionCluster();
  const users = new RetryingUsers(cluster);
  await causeOverload(cluster, users);
  const flood = Array.from({ length: 20 }, () => users.submit('bulk', 'blue', 4, 20));
  await cluster.until('the overload has ended', () => epochOf(cluster)?.isOverloaded === false, 240);
  assert.ok(flood.every((outcome) => outcome.isFinished));
  const left = (): string[] =>
    [...cluster.store.data.keys()].filter(
      (key) => key.startsWith(PREFIX.admissionFlow) || key.startsWith(PREFIX.admissionClass),
    );
  await cluster.until('its records are deleted', () => left().length === 0, 30);
  await cluster.submit('req-999999', { docket: 'bulk', crew: 'red' });
  cluster.assertInvariants();
});
