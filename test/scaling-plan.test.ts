/** @file Which machines are rented, given up, emptied and released. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseConsolidation } from '../src/coordination/scheduling/consolidation';
import { chooseUnresponsiveMachines } from '../src/coordination/scheduling/eager';
import { planScaling, type ScalingInput } from '../src/coordination/autoscaling/scaling-plan';
import { job, machineWithFreeCpus, type } from './scheduling-inputs';

test('one unreachable machine is given up; a whole unreachable zone is taken for a partition', () => {
  const fleet = Array.from({ length: 10 }, (_, n) => ({
    id: `m${n}`,
    zone: n < 5 ? 'a' : 'b',
    lastHeartbeatAt: 100_000,
    isBusy: true,
    blocksShard: false,
  }));
  const ask = (silent: (id: string) => boolean, heardAt = 90_000, blocksShard = false) =>
    chooseUnresponsiveMachines({
      machines: fleet.map((m) => (silent(m.id) ? { ...m, lastHeartbeatAt: heardAt, blocksShard } : m)),
      now: 100_000,
      heartbeatTimeoutMs: 2_000,
      releaseAfterMs: 12_000,
      blockingMachineTimeoutMs: 5_000,
    });
  assert.deepEqual(
    ask((id) => id === 'm3'),
    { toEvictFrom: ['m3'], toRelease: [] },
  );
  assert.deepEqual(ask((id) => id === 'm3', 80_000).toRelease, ['m3']);
  // One that holds up a shard that was taken over is given up sooner.
  assert.deepEqual(ask((id) => id === 'm3', 94_000, true).toRelease, ['m3']);
  assert.deepEqual(ask((id) => id < 'm5', 80_000).toRelease, []);
});

test('machines are rented for the backlog only, the cheapest first, and kept for what they have cost', () => {
  const input: ScalingInput = {
    unplaced: [{ job: job('big', 'blue', 'normal', { tasks: 10 }), count: 10, isUrgent: false, slackMs: 0 }],
    machines: [
      { id: 'booting', type, zone: 'a', spot: true, isBooting: true, ageMs: 1000, idleMs: 0 },
      { id: 'young', type, zone: 'a', spot: true, isBooting: false, ageMs: 30_000, idleMs: 25_000 },
      { id: 'dear', type, zone: 'a', spot: false, isBooting: false, ageMs: 90_000, idleMs: 25_000 },
      { id: 'cheap', type, zone: 'a', spot: true, isBooting: false, ageMs: 90_000, idleMs: 25_000 },
    ],
    types: [type],
    isBackedOff: () => false,
    freeingCpus: 2,
    idleReleaseMs: 20_000,
    areAllMachinesConfirmed: true,
    warmCpus: 8,
    freeCpus: 12,
  };
  const plan = planScaling(input);
  assert.deepEqual(
    plan.scaleOut.map((r) => [r.spot, r.count]),
    [[true, 1]],
  );
  assert.deepEqual(plan.scaleIn, ['dear']);
  const noSpot = planScaling({ ...input, isBackedOff: (option) => option.spot });
  assert.deepEqual(
    noSpot.scaleOut.map((r) => [r.spot, r.count]),
    [[false, 1]],
  );
  const patient = input.unplaced.map((work) => ({ ...work, slackMs: 90_000 }));
  assert.deepEqual(
    planScaling({ ...input, unplaced: patient, isBackedOff: (option) => option.spot }).scaleOut,
    [],
  );
});

test('a nearly empty machine is emptied into fuller ones, if its tasks can save and it pays', () => {
  const saver = job('saver', 'blue', 'normal', { checkpointS: 20, saveS: 1 });
  const task = (n: number, fields = {}) => ({
    key: `saver/${n}`,
    job: saver,
    remainingS: 60,
    canCheckpoint: true,
    ...fields,
  });
  const machine = (id: string, tasks: ReturnType<typeof task>[]) => ({
    ...machineWithFreeCpus(id, 4 - tasks.length),
    tasks,
  });
  const fuller = machine('fuller', [task(1), task(2), task(3)]);
  const emptied = (sparse: ReturnType<typeof machine>, warmCpus = 0): unknown =>
    chooseConsolidation({ machines: [fuller, sparse], warmCpus });
  assert.deepEqual(emptied(machine('sparse', [task(4)])), [{ machine: 'sparse', tasks: ['saver/4'] }]);
  assert.deepEqual(emptied(machine('sparse', [task(4, { canCheckpoint: false })])), []);
  assert.deepEqual(emptied(machine('sparse', [task(4, { remainingS: 5 })])), [], 'it ends by itself soon');
  assert.deepEqual(emptied(machine('sparse', [task(4), task(5)])), [], 'both do not fit');
  const stays = task(5, { canCheckpoint: false, remainingS: 20 });
  assert.deepEqual(
    emptied(machine('sparse', [task(4), stays])),
    [{ machine: 'sparse', tasks: ['saver/4'] }],
    'it is needed for 20 s instead of 60',
  );
  assert.deepEqual(emptied(machine('sparse', [task(4)]), 1), [], 'some room is kept');
});
