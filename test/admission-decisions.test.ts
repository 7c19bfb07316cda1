/** @file Admission: fair shares, overload detection and admission decisions. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decideAdmission } from '../src/admission/decision';
import { maxMinFairShares, fairSharesByFlow, effectiveWeights } from '../src/admission/entitlements';
import { initialEpoch, nextEpoch, type Epoch, type FlowLoad } from '../src/admission/epoch';
import { flowKey } from '../src/admission/flow';
import { FleetGrowthTracker, isOverloaded } from '../src/admission/overload';
import type { AdmissionOptions } from '../src/admission/options';
import type { Job } from '../src/protocol/model';

const EQUAL = { classes: {}, teams: {} };
const OPTIONS: AdmissionOptions = {
  enterS: 100,
  leaveS: 50,
  stalledS: 20,
  epochS: 5,
  isTraced: false,
  weights: EQUAL,
};
const CAPACITY = 100;

const jobOf = (id: string, jobClass: string, team: string, tasks = 1, estimateS = 10): Job => ({
  id,
  jobClass,
  team,
  tasks,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  priority: 'normal',
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  image: 'img',
  imageGb: 1,
  estimateS,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
});

const flow = (jobClass: string, team: string, backlog: number, admitted = 0): FlowLoad => {
  return { jobClass, team, backlog, admitted };
};

const epochInput = (drainS: number, flows: FlowLoad[], stalledForS = 30, elapsedS = 5) => {
  return { load: { backlog: drainS * CAPACITY, capacity: CAPACITY }, flows, stalledForS, elapsedS };
};

const grantOf = (epoch: Epoch, jobClass: string, team: string): number => {
  const found = epoch.grants.find((grant) => flowKey(grant) === flowKey({ jobClass, team }));
  assert.ok(found);
  return found.granted;
};

test('capacity beyond one demand goes to the others by weight, and the shares never exceed the total', () => {
  const demands = [
    { key: 'a', weight: 1, demand: 2 },
    { key: 'b', weight: 1, demand: Infinity },
    { key: 'c', weight: 2, demand: Infinity },
    { key: 'd', weight: 5, demand: 0 },
  ];
  assert.deepEqual(
    [...maxMinFairShares(11, demands)],
    [
      ['a', 2],
      ['b', 3],
      ['c', 6],
      ['d', 0],
    ],
  );
  assert.deepEqual([...maxMinFairShares(0, demands).values()], [0, 0, 0, 0]);
  assert.deepEqual([...maxMinFairShares(100, demands.slice(0, 1)).values()], [2]);
});

test('capacity is divided among classes first: a class does not get more for having more teams', () => {
  const demands = ['a', 'b', 'c', 'd'].map((team) => ({ jobClass: 'wide', team, demand: Infinity }));
  const shares = fairSharesByFlow(
    80,
    [...demands, { jobClass: 'narrow', team: 'a', demand: Infinity }],
    EQUAL,
  );
  assert.equal(shares.get(flowKey({ jobClass: 'narrow', team: 'a' })), 40);
  for (const { team } of demands) assert.equal(shares.get(flowKey({ jobClass: 'wide', team })), 10);
});

test('the weight of a team is its guarantee; a team without one gets the weight of the smallest guarantee', () => {
  const teams = [
    { name: 'large', cpus: 300 },
    { name: 'small', cpus: 100 },
    { name: 'none', cpus: 0 },
  ];
  assert.deepEqual(effectiveWeights(EQUAL, teams).teams, { large: 300, small: 100, none: 100 });
  const configured = { classes: { photo: 2 }, teams: { none: 7 } };
  assert.deepEqual(effectiveWeights(configured, teams), {
    classes: { photo: 2 },
    teams: { large: 300, small: 100, none: 7 },
  });
});

test('an overload begins with a long backlog on a fleet that no longer grows, and ends at a shorter backlog', () => {
  const state = (wasOverloaded: boolean, drainS: number, stalledForS = 20, isAnyGrantExhausted = false) => {
    return {
      wasOverloaded,
      isAnyGrantExhausted,
      load: { backlog: drainS * CAPACITY, capacity: CAPACITY },
      stalledForS,
    };
  };
  assert.equal(isOverloaded(state(false, 101), OPTIONS), true);
  assert.equal(isOverloaded(state(false, 101, 19), OPTIONS), false, 'the fleet is still growing');
  assert.equal(isOverloaded(state(false, 99), OPTIONS), false);
  assert.equal(isOverloaded(state(true, 51, 0), OPTIONS), true);
  assert.equal(isOverloaded(state(true, 49, 0), OPTIONS), false);
  assert.equal(isOverloaded(state(true, 49, 0, true), OPTIONS), true, 'jobs are still deferred');
  assert.equal(isOverloaded(state(true, 12, 0, true), OPTIONS), false);
  const noMachine = { ...state(false, 0), load: { backlog: 500, capacity: 0 } };
  assert.equal(isOverloaded(noMachine, OPTIONS), true);
});

test('a fleet that grows by little, or shrinks, counts as not growing', () => {
  const growth = new FleetGrowthTracker();
  assert.equal(growth.stalledForS(0), 0);
  growth.observe(100, 0);
  growth.observe(104, 5_000);
  assert.equal(growth.stalledForS(10_000), 10);
  growth.observe(106, 12_000);
  assert.equal(growth.stalledForS(20_000), 8);
  growth.observe(50, 21_000);
  assert.equal(growth.stalledForS(22_000), 10);
});

test('without an overload no epoch is written and no job is counted', () => {
  const epoch = initialEpoch(EQUAL);
  assert.equal(nextEpoch(epoch, epochInput(10, [flow('a', 'x', 1000)]), OPTIONS), epoch);
  assert.deepEqual(decideAdmission(epoch, 1e9, jobOf('req-1', 'a', 'x')), { kind: 'open' });
});

test('at the start of an overload a flow above its share is in debt, and a small flow is admitted at once', () => {
  const flows = [flow('a', 'flood', 19_000), flow('a', 'small', 100), flow('b', 'other', 900)];
  const epoch = nextEpoch(initialEpoch(EQUAL), epochInput(200, flows), OPTIONS);
  assert.equal(epoch.isOverloaded, true);
  assert.equal(epoch.overload, 1);
  assert.ok(grantOf(epoch, 'a', 'flood') < 0);
  assert.equal(decideAdmission(epoch, 0, jobOf('req-1', 'a', 'flood')).kind, 'defer');
  assert.equal(decideAdmission(epoch, 0, jobOf('req-1', 'a', 'small')).kind, 'admit');
  assert.equal(decideAdmission(epoch, 0, jobOf('req-1', 'b', 'other')).kind, 'admit');
  assert.equal(decideAdmission(epoch, 0, jobOf('req-1', 'new class', 'new')).kind, 'admit');
});

test('a job of any size is admitted while its flow has credit, and its overdraft is repaid before the next', () => {
  const flows = [flow('a', 'x', 1), flow('b', 'y', 1)];
  let epoch = nextEpoch(initialEpoch(EQUAL), epochInput(101, flows), OPTIONS);
  const huge = jobOf('req-1', 'a', 'x', 100_000);
  assert.deepEqual(decideAdmission(epoch, 0, huge), { kind: 'admit', cost: 1_000_000 });
  const admitted = 1_000_000;
  assert.equal(decideAdmission(epoch, admitted, jobOf('req-2', 'a', 'x')).kind, 'defer');
  let epochs = 0;
  while (decideAdmission(epoch, admitted, jobOf('req-2', 'a', 'x')).kind === 'defer') {
    epoch = nextEpoch(
      epoch,
      epochInput(75, [flow('a', 'x', 1, admitted), flow('b', 'y', 1, grantOf(epoch, 'b', 'y'))]),
      OPTIONS,
    );
    epochs += 1;
    assert.ok(epochs < 10_000);
  }
  // Both flows have demand, so the debt is repaid at half of the capacity, which is 50 a second.
  assert.ok(Math.abs(epochs * 5 - 1_000_000 / 50) < 100, `${epochs * 5} s`);
});

test('the share of a flow without demand goes to the others, and its credit is limited to four epochs', () => {
  let epoch = nextEpoch(
    initialEpoch(EQUAL),
    epochInput(101, [flow('a', 'x', 1), flow('b', 'y', 1)]),
    OPTIONS,
  );
  let admitted = 0;
  const from = grantOf(epoch, 'a', 'x');
  for (let round = 0; round < 20; round += 1) {
    admitted = Math.max(admitted, grantOf(epoch, 'a', 'x'));
    epoch = nextEpoch(epoch, epochInput(75, [flow('a', 'x', 1, admitted), flow('b', 'y', 0, 0)]), OPTIONS);
    assert.ok(grantOf(epoch, 'b', 'y') <= 50 * 5 * 4 + 1);
  }
  // The flow gets all of the 100 a second, except what keeps the credit of the other flow filled.
  assert.ok(grantOf(epoch, 'a', 'x') - from >= 20 * 5 * 100 * 0.95);
});

test('the admission rate follows the backlog, so that estimates that are wrong by half do not stop admission', () => {
  const flows = [flow('a', 'x', 1, 1e9)];
  const epoch = nextEpoch(initialEpoch(EQUAL), epochInput(101, flows), OPTIONS);
  const growth = (drainS: number): number => {
    const next = nextEpoch(epoch, epochInput(drainS, flows), OPTIONS);
    return grantOf(next, 'a', 'x') - grantOf(epoch, 'a', 'x');
  };
  assert.ok(growth(150) < growth(75));
  assert.ok(growth(75) < growth(51));
  assert.ok(growth(100_000) >= 0.25 * CAPACITY * 5 - 1e-6, 'never zero');
});

test('new weights take effect in the next overload, and amounts of one overload are not used in another', () => {
  const flows = [flow('a', 'x', 1), flow('b', 'y', 1)];
  const first = nextEpoch(initialEpoch(EQUAL), epochInput(101, flows), OPTIONS);
  const heavy = { ...OPTIONS, weights: { classes: { a: 3 }, teams: {} } };
  const second = nextEpoch(first, epochInput(101, flows), heavy);
  assert.deepEqual(second.weights, EQUAL);
  const ended = nextEpoch(second, epochInput(10, flows), heavy);
  assert.equal(ended.isOverloaded, false);
  assert.equal(ended.number, 3);
  assert.deepEqual(nextEpoch(ended, epochInput(10, flows), heavy), ended);
  const again = nextEpoch(ended, epochInput(101, flows), heavy);
  assert.equal(again.overload, 2);
  assert.deepEqual(again.weights, heavy.weights);
});

test('every controller gives a deferred job the same retry time, at most 30 s, and the retries of jobs are spread', () => {
  const flows = [flow('a', 'x', 1)];
  const epoch = nextEpoch(initialEpoch(EQUAL), epochInput(101, flows), OPTIONS);
  const times = Array.from({ length: 60 }, (_, n) => {
    const job = jobOf(`req-${n}`, 'a', 'x');
    const decision = decideAdmission(epoch, grantOf(epoch, 'a', 'x') + 300, job);
    assert.deepEqual(
      decision,
      decideAdmission(structuredClone(epoch), grantOf(epoch, 'a', 'x') + 300, structuredClone(job)),
    );
    assert.ok(decision.kind === 'defer');
    return decision.retryAfterS;
  });
  assert.ok(Math.min(...times) >= 1 && Math.max(...times) <= 30);
  assert.ok(new Set(times).size >= 4, 'retries are spread');
});

test('a job that depends on accepted jobs is admitted although its flow is in debt, and is counted', () => {
  const epoch = nextEpoch(initialEpoch(EQUAL), epochInput(101, [flow('a', 'x', 1)]), OPTIONS);
  const job = { ...jobOf('req-2', 'a', 'x'), dependencies: ['req-1'] };
  assert.deepEqual(decideAdmission(epoch, 1e9, job), { kind: 'admit', cost: 10 });
});
