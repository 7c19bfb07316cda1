/** @file The failure detector as pure functions of observations and time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PeerOpinion, PeerView } from '../src/protocol/peer-view';
import { HeartbeatIntervals } from '../src/suspicion/heartbeat-intervals';
import type { SuspicionOptions } from '../src/suspicion/options';
import { PeerDetector, type SessionState } from '../src/suspicion/peer-detector';
import { phi, silenceMsForThreshold, type IntervalDistribution } from '../src/suspicion/phi';
import { RunningClock, TICK_INTERVAL_MS } from '../src/suspicion/running-clock';
import { DEFAULT_OPTIONS } from './suspicion-defaults';

const HEARTBEAT_MS = 1_000;

/** A view whose sender holds these opinions. */
function viewOf(opinions: PeerOpinion[], fields: Partial<PeerView> = {}): PeerView {
  return { run: 10, incarnation: 0, isStalled: false, opinions, ...fields };
}

function opinionOn(node: string, fields: Partial<PeerOpinion> = {}): PeerOpinion {
  const usual = { status: 'alive', reason: 'none', forMs: 0, run: 5, incarnation: 0, heardMsAgo: 0 } as const;
  return { node, ...usual, ...fields };
}

/** The distribution, which has to be known by now. */
function known(intervals: HeartbeatIntervals): IntervalDistribution {
  const { distribution } = intervals;
  assert.ok(distribution);
  return distribution;
}

/** A detector under a clock that the test moves. */
class Bench {
  now = 0;
  #nextHeartbeatAt = HEARTBEAT_MS;
  readonly sessions = new Map<string, SessionState>();
  readonly changes: string[] = [];
  readonly detector: PeerDetector;

  constructor(options: Partial<SuspicionOptions> = {}) {
    this.detector = new PeerDetector(
      ['a', 'b'],
      { ...DEFAULT_OPTIONS, ...options },
      0,
      ({ peer, before, after }) => {
        this.changes.push(`${peer}: ${before.status} to ${after.status}`);
      },
    );
  }

  status(node: string): string | undefined {
    return this.detector.state(node)?.status;
  }

  /** Lets time pass tick by tick; each peer that speaks sends a heartbeat a second. */
  run(ms: number, speakers: Record<string, PeerView> = {}): void {
    for (const end = this.now + ms; this.now < end;) {
      this.now += TICK_INTERVAL_MS;
      // Timers fire before sockets are read.
      this.detector.tick(this.now, (node) => this.sessions.get(node) ?? 'exists');
      for (; this.#nextHeartbeatAt <= this.now; this.#nextHeartbeatAt += HEARTBEAT_MS) {
        for (const [node, view] of Object.entries(speakers)) this.detector.onHeartbeat(node, view, this.now);
      }
    }
  }

  /** The process stands still. */
  pause(ms: number): void {
    this.now += ms;
  }
}

const SPEAKING = { a: viewOf([], { run: 5 }), b: viewOf([opinionOn('a', { heardMsAgo: undefined })]) };

test('phi grows with silence, faster for regular heartbeats, and stays finite', () => {
  const regular = { meanMs: 1_000, deviationMs: 100 };
  const irregular = { meanMs: 1_000, deviationMs: 500 };
  assert.ok(phi(0, regular) < 0.001);
  assert.ok(Math.abs(phi(1_000, regular) - 0.301) < 0.001);
  // Five deviations above the mean of a normal distribution: a chance of 2.9e-7.
  assert.ok(Math.abs(phi(1_500, regular) - 6.542) < 0.01);
  assert.ok(phi(1_500, irregular) < 1);
  assert.ok(Number.isFinite(phi(1e9, regular)));
  assert.ok(silenceMsForThreshold(8, regular) < silenceMsForThreshold(8, irregular));
});

test('intervals: unknown at first, then what was seen lately; memory stays bounded and an outage is cut short', () => {
  const intervals = new HeartbeatIntervals();
  for (let n = 0; n < 7; n += 1) intervals.add(1_000);
  assert.equal(intervals.distribution, undefined);
  for (let n = 0; n < 100_000; n += 1) intervals.add(1_000 + (n % 10));
  const { meanMs, deviationMs } = known(intervals);
  assert.ok(Math.abs(meanMs - 1_005) < 25 && deviationMs < 30);
  intervals.add(3_600_000);
  assert.ok(known(intervals).deviationMs < 2_000);
  assert.ok(JSON.stringify(intervals).length < 20_000);
  for (let n = 0; n < 600; n += 1) intervals.add(2_000);
  assert.ok(Math.abs(known(intervals).meanMs - 2_000) < 50, 'what was long ago is forgotten');
});

test('alive, suspected, refuted, alive again', () => {
  const bench = new Bench();
  bench.run(20_000, SPEAKING);
  assert.equal(bench.status('a'), 'alive');
  bench.run(1_600, { b: SPEAKING.b });
  assert.equal(bench.status('a'), 'alive');
  bench.run(1_400, { b: SPEAKING.b });
  assert.equal(bench.status('a'), 'suspected');
  assert.equal(bench.status('b'), 'alive');
  bench.run(1_000, SPEAKING);
  assert.equal(bench.status('a'), 'refuted');
  bench.run(11_000, SPEAKING);
  assert.equal(bench.status('a'), 'alive');
});

test('the end of a session is the verdict; a new one makes a peer returned, and after a while alive', () => {
  const bench = new Bench();
  bench.run(20_000, SPEAKING);
  bench.sessions.set('a', 'ended');
  bench.run(1_000, SPEAKING);
  assert.equal(bench.status('a'), 'failed', 'also while its heartbeats go on');
  bench.sessions.set('a', 'exists');
  bench.run(1_000, SPEAKING);
  assert.equal(bench.status('a'), 'returned');
  bench.run(10_000, SPEAKING);
  assert.equal(bench.status('a'), 'alive');
  bench.sessions.set('a', 'unknown');
  bench.run(1_000, SPEAKING);
  assert.equal(bench.status('a'), 'alive', 'records that are not loaded say nothing');
});

test('a peer that is back before anybody missed it shows by its run', () => {
  const bench = new Bench();
  bench.run(20_000, SPEAKING);
  bench.run(2_000, { ...SPEAKING, a: viewOf([], { run: 6 }) });
  assert.equal(bench.status('a'), 'returned');
});

test('an observer that wakes after 8 s, or whose event loop is slow, suspects nobody', () => {
  const bench = new Bench();
  bench.run(20_000, SPEAKING);
  bench.pause(8_000);
  bench.run(TICK_INTERVAL_MS);
  // What the peers sent meanwhile is read after the first timers.
  assert.equal(bench.detector.isUnresponsive('a'), false);
  bench.run(20_000, SPEAKING);
  for (let turn = 0; turn < 20; turn += 1) {
    bench.pause(600);
    bench.run(TICK_INTERVAL_MS, SPEAKING);
  }
  assert.ok(!bench.changes.some((change) => change.endsWith('to suspected')), bench.changes.join());
});

test('running time: pauses are remembered, and how many is bounded', () => {
  const clock = new RunningClock(0);
  for (let now = TICK_INTERVAL_MS; now <= 2_000; now += TICK_INTERVAL_MS) clock.tick(now);
  assert.equal(clock.runningMs, 2_000);
  clock.tick(10_000);
  assert.equal(clock.runningMs, 2_000 + 1.5 * TICK_INTERVAL_MS);
  assert.deepEqual(clock.pausesSince(0, 5_000), [{ from: 2_200, to: 10_000 }]);
  assert.deepEqual(clock.pausesSince(10_000, 5_000), []);
  for (let now = 20_000; now < 20_000_000; now += 10_000) clock.tick(now);
  assert.equal(clock.pausesSince(0, 0).length, 64);
});

test('a peer whose link to this observer alone is cut is not suspected, though it is silent here', () => {
  const bench = new Bench();
  bench.run(20_000, SPEAKING);
  bench.run(10_000, { b: viewOf([opinionOn('a', { heardMsAgo: 300 })]) });
  assert.equal(bench.detector.isUnresponsive('a'), true);
  assert.notEqual(bench.status('a'), 'suspected');
  // The other one has not heard it for long either.
  bench.run(4_000, { b: viewOf([opinionOn('a', { heardMsAgo: 4_000 })]) });
  assert.equal(bench.status('a'), 'suspected');
});

test('what a stalled controller holds, or one of an earlier run of the peer, refutes nothing', () => {
  for (const view of [
    viewOf([opinionOn('a', { heardMsAgo: 300 })], { isStalled: true }),
    viewOf([opinionOn('a', { heardMsAgo: 300, run: 4 })]),
  ]) {
    const bench = new Bench();
    bench.run(20_000, SPEAKING);
    bench.run(4_000, { b: view });
    assert.equal(bench.status('a'), 'suspected');
  }
});

test('with the fixed timeout a peer is suspected after that, however regular its heartbeats were', () => {
  const bench = new Bench({ detector: 'fixed', timeoutMs: 4_000 });
  bench.run(20_000, SPEAKING);
  bench.run(3_800, { b: SPEAKING.b });
  assert.equal(bench.status('a'), 'alive');
  bench.run(600, { b: SPEAKING.b });
  assert.equal(bench.status('a'), 'suspected');
});

test('a peer whose heartbeats are irregular is given more time', () => {
  const bench = new Bench();
  for (let n = 0; n < 30; n += 1)
    bench.run(n % 3 === 0 ? 2_000 : 1_000, n % 3 === 0 ? { b: SPEAKING.b } : SPEAKING);
  const suspicions = bench.changes.filter((change) => change === 'a: alive to suspected').length;
  bench.changes.length = 0;
  for (let n = 0; n < 30; n += 1)
    bench.run(n % 3 === 0 ? 2_000 : 1_000, n % 3 === 0 ? { b: SPEAKING.b } : SPEAKING);
  assert.ok(suspicions > 0);
  assert.ok(!bench.changes.some((change) => change.endsWith('to suspected')), bench.changes.join());
});

test('however irregular its heartbeats were, a peer is suspected before its lease ends', () => {
  const bench = new Bench();
  for (let n = 0; n < 30; n += 1)
    bench.run(n % 3 === 0 ? 4_000 : 1_000, n % 3 === 0 ? { b: SPEAKING.b } : SPEAKING);
  bench.changes.length = 0;
  bench.run(3_600, { b: SPEAKING.b });
  assert.deepEqual(bench.changes, []);
  bench.run(400, { b: SPEAKING.b });
  assert.equal(bench.status('a'), 'suspected');
});

test('several messages of one heartbeat, or what lay in a buffer, do not count as intervals', () => {
  const bench = new Bench();
  bench.run(20_000, SPEAKING);
  for (let n = 0; n < 300; n += 1) bench.detector.onHeartbeat('a', SPEAKING.a, bench.now);
  bench.run(1_400);
  assert.equal(bench.detector.isUnresponsive('a'), false);
});

test('peers that the settings do not name are not kept', () => {
  const bench = new Bench();
  bench.detector.onHeartbeat('stranger', SPEAKING.a, 0);
  assert.equal(bench.detector.state('stranger'), undefined);
  assert.deepEqual(
    bench.detector.opinions(0).map(({ node }) => node),
    ['a', 'b'],
  );
});
