/** @file Preemption: which tasks are stopped to free resources for others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { choosePreemptions, evictionCost } from '../src/coordination/scheduling/preemption';
import type { Priority } from '../src/protocol/model';
import { job, teamLimits, machineWithFreeCpus, waitingJob } from './scheduling-inputs';
import { SimulatedCluster } from './fakes/simulated-cluster';

test('a guarantee never preempts tasks of a higher priority, so that two jobs do not preempt each other forever', () => {
  const teams = new Map([
    ['red', teamLimits(4)],
    ['blue', teamLimits(0)],
  ]);
  const running = job('running', 'blue', 'high');
  const machine = {
    ...machineWithFreeCpus('m', 0),
    tasks: [0, 1, 2, 3].map((n) => ({ key: `running/${n}`, job: running, lossS: 1, isBeingEvicted: false })),
  };
  const teamUsage = new Map([['blue', { cpus: 4, gpus: 0 }]]);
  const victimsOf = (priority: Priority): string[] =>
    choosePreemptions({
      unplaced: [{ waiting: waitingJob(job('owed', 'red', priority)), count: 1 }],
      machines: [machine],
      quotas: teams,
      usage: teamUsage,
    }).victims.map(({ key }) => key);
  assert.deepEqual(victimsOf('normal'), []);
  assert.equal(victimsOf('high').length, 1);
});

test('a task with a recent checkpoint is stopped at once; any other that can checkpoint gets time to do so', () => {
  const saver = job('saver', 'blue', 'normal', { checkpointS: 20, saveS: 6 });
  assert.deepEqual(evictionCost(saver, 43), { graceS: 0, lossS: 3 });
  assert.deepEqual(evictionCost(saver, 55), { graceS: 6, lossS: 6 });
  assert.deepEqual(evictionCost(job('never', 'blue', 'normal'), 30), { graceS: 0, lossS: 30 });
});

test('the tasks to preempt on 1,000 machines are found in a few passes, not one for every task', () => {
  const teams = new Map([['blue', teamLimits(0)]]);
  const lesser = job('lesser', 'blue', 'low');
  const machines = Array.from({ length: 1000 }, (_, n) => ({
    ...machineWithFreeCpus(`m-${n}`, 0),
    tasks: [0, 1, 2, 3].map((k) => ({
      key: `lesser/${n}-${k}`,
      job: lesser,
      lossS: n,
      isBeingEvicted: false,
    })),
  }));
  const unplaced = [{ waiting: waitingJob(job('urgent', 'blue', 'high', { tasks: 400 })), count: 400 }];
  const { victims, machinesExamined } = choosePreemptions({
    unplaced,
    machines,
    quotas: teams,
    usage: new Map(),
  });
  assert.equal(victims.length, 400);
  assert.ok(
    victims.every((v) => Number(v.machine.slice(2)) < 100),
    'tasks with the least loss first',
  );
  assert.ok(machinesExamined < 3000, `${machinesExamined} machines examined`);
});

test('an urgent task preempts a task of lower priority when no resources are free', async () => {
  const cluster = new SimulatedCluster();
  cluster.capacity = 1;
  await cluster.submit('req-1', { pieces: 4, bookmarkS: 5, stashS: 1, reckonS: 100 }, 100);
  await cluster.until('4 tasks run', () => cluster.runningTasks.length >= 4);
  await cluster.submit('req-2', { pieces: 1, urgency: 'urgent' }, 5);
  const askedAt = cluster.clock.now();
  await cluster.until('req-2/0 runs', () => !(cluster.machineOf('req-2/0') === undefined));
  assert.ok(cluster.clock.now() - askedAt < 5000);
  await cluster.untilJobState('req-2', 'done');
  await cluster.clock.advance(2000);
  assert.equal(cluster.runningTasks.length, 4);
  cluster.assertInvariants();
});
