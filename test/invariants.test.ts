import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InvariantsHarness } from './fakes/invariants-harness';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { StarvationDetector } from './fakes/starvation-detector';
import { submission } from './fakes/submission';

const getStatus = ['GET', '/work/req-1'] as const;
const cancel = ['POST', '/work/req-1/withdraw'] as const;

test('the invariants detect tasks that run twice, exceed a limit or violate placement constraints', () => {
  for (const [fields, starts, kinds] of [
    [{ pieces: 2 }, ['0 m1', '1 m3'], []],
    [{}, ['0 m1', '0 m2'], ['ran_twice']],
    [{ crew: 'red', pieces: 3 }, ['0 m1', '1 m1', '2 m1'], ['quota']],
    [{ pieces: 1 }, ['1 m1'], ['wrong_place']],
    [{ frames: ['m8', 'm4'], yard: 'a' }, ['0 m3'], ['wrong_place']],
    [{ loaners: false }, ['0 m1'], ['wrong_place']],
    [{ together: true, pieces: 2 }, ['0 m1', '1 m2'], []],
    [{ together: true, pieces: 2 }, ['0 m1', '1 m3'], ['wrong_place']],
    [{ apart: true, pieces: 3 }, ['0 m1', '1 m2', '2 m3'], []],
    [{ apart: true, pieces: 4 }, ['0 m1', '1 m2', '2 m1'], ['wrong_place']],
  ] as const) {
    const harness = new InvariantsHarness();
    harness.submit(fields);
    for (const start of starts) {
      const [task = '', machine = ''] = start.split(' ');
      harness.invariants.onTaskStarted(`req-1/${task}`, machine);
    }
    harness.assertViolations(...kinds);
  }
});

test('the invariants detect a cancelled task that keeps running or starts, whichever response confirmed the cancellation', async () => {
  for (const [method, path, body] of [cancel, getStatus, ['POST', '/work', submission('req-1')]] as const) {
    const harness = new InvariantsHarness();
    harness.submit({ pieces: 2 });
    harness.invariants.onTaskStarted('req-1/0', 'm1');
    const respond = harness.request(...cancel);
    harness.request(method, path, body)(200, 'withdrawn');
    respond(503);
    await harness.clock.advance(29_000);
    harness.invariants.onTaskStarted('req-1/1', 'm1');
    harness.invariants.onTaskLeft('req-1/1', 'm1');
    harness.assertViolations();
    assert.equal(harness.invariants.startsAfterCancellation.length, 1);
    await harness.clock.advance(1_100);
    harness.assertViolations('ran_cancelled');
    harness.invariants.onTaskLeft('req-1/0', 'm1');
    harness.invariants.onTaskStarted('req-1/1', 'm2');
    harness.assertViolations('ran_cancelled', 'ran_cancelled');
  }
});

test('the invariants detect responses with a forgotten job, an unknown one, a premature `done` or an older state', () => {
  const cases: [string, (w: InvariantsHarness) => void, ...string[]][] = [
    [
      'unknown',
      (w) => {
        w.request('GET', '/work/req-2')(404);
      },
    ],
    [
      'unknown but pending',
      (w) => {
        w.request('GET', '/work/req-2')(200, 'pending');
      },
      'invented',
    ],
    [
      'forgotten',
      (w) => {
        w.request(...getStatus)(404);
      },
      'forgotten',
    ],
    [
      'rejected though accepted before',
      (w) => {
        w.request('POST', '/work', submission('req-1'))(422);
      },
      'forgotten',
    ],
    [
      'rejected as invalid',
      (w) => {
        w.request('POST', '/work', { nameId: 'req-1' })(400);
      },
    ],
    [
      'done before the task completed',
      (w) => {
        w.request(...getStatus)(200, 'done');
      },
      'not_done',
    ],
    [
      'done',
      (w) => {
        w.invariants.onTaskCompleted('req-1/0');
        w.request(...getStatus)(200, 'done');
      },
    ],
    [
      'cancelled without a request',
      (w) => {
        w.request(...getStatus)(200, 'withdrawn');
      },
      'went_back',
    ],
    [
      'running after the cancellation',
      (w) => {
        w.request(...cancel)(200, 'withdrawn');
        w.request(...getStatus)(200, 'running');
      },
      'went_back',
    ],
    [
      'unknown after the cancellation',
      (w) => {
        w.request(...cancel)(200, 'withdrawn');
        w.request(...getStatus)(404);
      },
      'forgotten',
      'went_back',
    ],
    [
      'requested before the cancellation',
      (w) => {
        const early = w.request(...getStatus);
        w.request(...cancel)(200, 'withdrawn');
        early(200, 'running');
      },
    ],
    [
      'done and cancelled',
      (w) => {
        w.invariants.onTaskCompleted('req-1/0');
        const early = w.request(...getStatus);
        w.request(...cancel)(200, 'withdrawn');
        early(200, 'done');
      },
      'went_back',
    ],
  ];
  for (const [title, requests, ...kinds] of cases) {
    const harness = new InvariantsHarness();
    harness.submit();
    requests(harness);
    assert.deepEqual(
      harness.invariants.violations.map((b) => b.split(':')[0]),
      kinds,
      title,
    );
  }
});

test('the invariants detect an accepted submission that lacks a field or can never run', () => {
  const validSubmission = submission('req-1');
  for (const [fields, isValid] of [
    [{}, true],
    [{ frames: undefined, yard: undefined, dueS: undefined }, true],
    ...Object.keys(validSubmission)
      .filter((name) => !['frames', 'yard', 'dueS'].includes(name))
      .map((name) => [{ [name]: undefined }, false] as const),
    [{ crew: 'green' }, false],
    [{ cpus: 5 }, false],
    [{ crew: 'red', cpus: 3 }, false],
    [{ yard: 'c' }, false],
    [{ frames: ['m8'] }, false],
  ] as const) {
    const harness = new InvariantsHarness();
    harness.request('POST', '/work', { ...validSubmission, ...fields })(201, 'pending');
    assert.equal(harness.invariants.violations.length === 0, isValid, JSON.stringify(fields));
  }
});

test('the invariants detect a job that waits despite free capacity, and an accepted job that no controller answers for', async () => {
  for (const [hasFreeCapacity, kinds] of [
    [true, ['waits']],
    [false, []],
  ] as const) {
    const harness = new InvariantsHarness();
    harness.submit();
    const detector = new StarvationDetector(harness.invariants, harness.clock, {
      hasFreeCapacity: () => hasFreeCapacity,
      isStarting: () => false,
    });
    for (let second = 0; second < 92; second += 1) {
      detector.check();
      await harness.clock.advance(1000);
    }
    harness.assertViolations(...kinds);
  }
  const cluster = new SimulatedCluster();
  cluster.bootMs = 10 ** 6;
  await cluster.submit('req-1');
  for (const index of [0, 1, 2]) cluster.kill(index);
  await assert.rejects(cluster.assertJobsFinish(), /forgotten/);
});
