import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InvariantsHarness } from './fakes/invariants-harness';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { StarvationDetector } from './fakes/starvation-detector';
import { submission } from './fakes/submission';

const poll = ['GET', '/work/req-1'] as const;
const withdraw = ['POST', '/work/req-1/withdraw'] as const;

test('the invariants detect tasks that run twice, beyond a limit or where they may not', () => {
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
    const watched = new InvariantsHarness();
    watched.submit(fields);
    for (const start of starts) {
      const [task = '', machine = ''] = start.split(' ');
      watched.invariants.onTaskStarted(`req-1/${task}`, machine);
    }
    watched.assertViolations(...kinds);
  }
});

test('the invariants detect a cancelled task that stays or starts, whoever told of the cancellation', async () => {
  for (const [method, path, body] of [withdraw, poll, ['POST', '/work', submission('req-1')]] as const) {
    const watched = new InvariantsHarness();
    watched.submit({ pieces: 2 });
    watched.invariants.onTaskStarted('req-1/0', 'm1');
    const ask = watched.request(...withdraw);
    watched.request(method, path, body)(200, 'withdrawn');
    ask(503);
    await watched.clock.advance(29_000);
    watched.invariants.onTaskStarted('req-1/1', 'm1');
    watched.invariants.onTaskLeft('req-1/1', 'm1');
    watched.assertViolations();
    assert.equal(watched.invariants.startsAfterCancellation.length, 1);
    await watched.clock.advance(1_100);
    watched.assertViolations('ran_cancelled');
    watched.invariants.onTaskLeft('req-1/0', 'm1');
    watched.invariants.onTaskStarted('req-1/1', 'm2');
    watched.assertViolations('ran_cancelled', 'ran_cancelled');
  }
});

test('the invariants detect what is forgotten, invented, called done too soon or something older', () => {
  const one: [string, (w: InvariantsHarness) => void, ...string[]][] = [
    [
      'unknown',
      (w) => {
        w.request('GET', '/work/req-2')(404);
      },
    ],
    [
      'invented',
      (w) => {
        w.request('GET', '/work/req-2')(200, 'pending');
      },
      'invented',
    ],
    [
      'forgotten',
      (w) => {
        w.request(...poll)(404);
      },
      'forgotten',
    ],
    [
      'refused',
      (w) => {
        w.request('POST', '/work', submission('req-1'))(422);
      },
      'forgotten',
    ],
    [
      'refused rightly',
      (w) => {
        w.request('POST', '/work', { nameId: 'req-1' })(400);
      },
    ],
    [
      'too soon',
      (w) => {
        w.request(...poll)(200, 'done');
      },
      'not_done',
    ],
    [
      'done',
      (w) => {
        w.invariants.onTaskCompleted('req-1/0');
        w.request(...poll)(200, 'done');
      },
    ],
    [
      'not asked for',
      (w) => {
        w.request(...poll)(200, 'withdrawn');
      },
      'went_back',
    ],
    [
      'back',
      (w) => {
        w.request(...withdraw)(200, 'withdrawn');
        w.request(...poll)(200, 'running');
      },
      'went_back',
    ],
    [
      'unknown again',
      (w) => {
        w.request(...withdraw)(200, 'withdrawn');
        w.request(...poll)(404);
      },
      'forgotten',
      'went_back',
    ],
    [
      'asked before',
      (w) => {
        const early = w.request(...poll);
        w.request(...withdraw)(200, 'withdrawn');
        early(200, 'running');
      },
    ],
    [
      'both',
      (w) => {
        w.invariants.onTaskCompleted('req-1/0');
        const early = w.request(...poll);
        w.request(...withdraw)(200, 'withdrawn');
        early(200, 'done');
      },
      'went_back',
    ],
  ];
  for (const [what, happens, ...kinds] of one) {
    const watched = new InvariantsHarness();
    watched.submit();
    happens(watched);
    assert.deepEqual(
      watched.invariants.violations.map((b) => b.split(':')[0]),
      kinds,
      what,
    );
  }
});

test('the invariants detect a submission accepted that lacks a field or can never run', () => {
  const good = submission('req-1');
  for (const [fields, isGood] of [
    [{}, true],
    [{ frames: undefined, yard: undefined, dueS: undefined }, true],
    ...Object.keys(good)
      .filter((name) => !['frames', 'yard', 'dueS'].includes(name))
      .map((name) => [{ [name]: undefined }, false] as const),
    [{ crew: 'green' }, false],
    [{ cpus: 5 }, false],
    [{ crew: 'red', cpus: 3 }, false],
    [{ yard: 'c' }, false],
    [{ frames: ['m8'] }, false],
  ] as const) {
    const watched = new InvariantsHarness();
    watched.request('POST', '/work', { ...good, ...fields })(201, 'pending');
    assert.equal(watched.invariants.violations.length === 0, isGood, JSON.stringify(fields));
  }
});

test('the invariants detect a job that waits though there is room, and one that nobody answers for', async () => {
  for (const [hasRoom, kinds] of [
    [true, ['waits']],
    [false, []],
  ] as const) {
    const watched = new InvariantsHarness();
    watched.submit();
    const waits = new StarvationDetector(watched.invariants, watched.clock, {
      hasFreeCapacity: () => hasRoom,
      isStarting: () => false,
    });
    for (let second = 0; second < 92; second += 1) {
      waits.check();
      await watched.clock.advance(1000);
    }
    watched.assertViolations(...kinds);
  }
  const cluster = new SimulatedCluster();
  cluster.bootMs = 10 ** 6;
  await cluster.submit('req-1');
  for (const index of [0, 1, 2]) cluster.kill(index);
  await assert.rejects(cluster.assertJobsFinish(), /forgotten/);
});
