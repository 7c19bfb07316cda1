/** @file The failure detector, as a pure function of observations and time. */
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

/** A view with these opinions of its sender. */
function viewOf(opinions: PeerOpinion[], fields: Partial<PeerView> = {}): PeerView {
  return { run: 10, incarnation: 0, isStalled: false, opinions, ...fields };
}

function opinionOn(node: string, fields: Partial<PeerOpinion> = {}): PeerOpinion {
  const usual = { status: 'alive', reason: 'none', forMs: 0, run: 5, incarnation: 0, heardMsAgo: 0 } as const;
  return { node, ...usual, ...fields };
}

/** The distribution; fails if there are too few intervals for one. */
function knownDistribution(intervals: HeartbeatIntervals): IntervalDistribution {
  const { distribution } = intervals;
  assert.ok(distribution);
  return distribution;
}

/** A detector with a clock that the test advances. */
class DetectorHarness {
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

  /** Advances time tick by tick; each peer with a view sends it as a heartbeat once a second. */
  run(ms: number, sentViews: Record<string, PeerView> = {}): void {
    for (const end = this.now + ms; this.now < end;) {
      this.now += TICK_INTERVAL_MS;
      // Timers fire before sockets are read.
      this.detector.tick(this.now, (node) => this.sessions.get(node) ?? 'exists');
      for (; this.#nextHeartbeatAt <= this.now; this.#nextHeartbeatAt += HEARTBEAT_MS) {
        for (const [node, view] of Object.entries(sentViews)) this.detector.onHeartbeat(node, view, this.now);
      }
    }
  }

  /** Advances time without ticks, as if the process were paused. */
  pause(ms: number): void {
    this.now += ms;
  }
}

const PEER_VIEWS = { a: viewOf([], { run: 5 }), b: viewOf([opinionOn('a', { heardMsAgo: undefined })]) };

test('phi grows with the time since the last heartbeat, faster for regular heartbeats, and stays finite', () => {
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

test('heartbeat intervals: no distribution from seven, later one of the recent ones; memory is bounded, an outage is capped', () => {
  const intervals = new HeartbeatIntervals();
  for (let n = 0; n < 7; n += 1) intervals.add(1_000);
  assert.equal(intervals.distribution, undefined);
  for (let n = 0; n < 100_000; n += 1) intervals.add(1_000 + (n % 10));
  const { meanMs, deviationMs } = knownDistribution(intervals);
  assert.ok(Math.abs(meanMs - 1_005) < 25 && deviationMs < 30);
  intervals.add(3_600_000);
  assert.ok(knownDistribution(intervals).deviationMs < 2_000);
  assert.ok(JSON.stringify(intervals).length < 20_000);
  for (let n = 0; n < 600; n += 1) intervals.add(2_000);
  assert.ok(Math.abs(knownDistribution(intervals).meanMs - 2_000) < 50, 'old intervals are dropped');
});

test('a peer whose heartbeats stop is suspected; when they resume it is refuted, and later alive', () => {
  const harness = new DetectorHarness();
  harness.run(20_000, PEER_VIEWS);
  assert.equal(harness.status('a'), 'alive');
  harness.run(1_600, { b: PEER_VIEWS.b });
  assert.equal(harness.status('a'), 'alive');
  harness.run(1_400, { b: PEER_VIEWS.b });
  assert.equal(harness.status('a'), 'suspected');
  assert.equal(harness.status('b'), 'alive');
  harness.run(1_000, PEER_VIEWS);
  assert.equal(harness.status('a'), 'refuted');
  harness.run(11_000, PEER_VIEWS);
  assert.equal(harness.status('a'), 'alive');
});

test('a peer has failed when its session ends, has returned with a new session, and is alive after its probation', () => {
  const harness = new DetectorHarness();
  harness.run(20_000, PEER_VIEWS);
  harness.sessions.set('a', 'ended');
  harness.run(1_000, PEER_VIEWS);
  assert.equal(harness.status('a'), 'failed', 'even while its heartbeats continue');
  harness.sessions.set('a', 'exists');
  harness.run(1_000, PEER_VIEWS);
  assert.equal(harness.status('a'), 'returned');
  harness.run(10_000, PEER_VIEWS);
  assert.equal(harness.status('a'), 'alive');
  harness.sessions.set('a', 'unknown');
  harness.run(1_000, PEER_VIEWS);
  assert.equal(harness.status('a'), 'alive', 'the status stays while the records are not loaded');
});

test('a peer that restarts before it is suspected has returned, as its new session shows', () => {
  const harness = new DetectorHarness();
  harness.run(20_000, PEER_VIEWS);
  harness.run(2_000, { ...PEER_VIEWS, a: viewOf([], { run: 6 }) });
  assert.equal(harness.status('a'), 'returned');
});

test('an observer that resumes after a pause of 8 s, or whose event loop is slow, suspects no peer', () => {
  const harness = new DetectorHarness();
  harness.run(20_000, PEER_VIEWS);
  harness.pause(8_000);
  harness.run(TICK_INTERVAL_MS);
  // Heartbeats that arrived during the pause are read only after the first timers have fired.
  assert.equal(harness.detector.isUnresponsive('a'), false);
  harness.run(20_000, PEER_VIEWS);
  for (let turn = 0; turn < 20; turn += 1) {
    harness.pause(600);
    harness.run(TICK_INTERVAL_MS, PEER_VIEWS);
  }
  assert.ok(!harness.changes.some((change) => change.endsWith('to suspected')), harness.changes.join());
});

test('running time excludes pauses; the number of recorded pauses is bounded', () => {
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

test('a peer that is partitioned from this observer only is not suspected, though it is unresponsive here', () => {
  const harness = new DetectorHarness();
  harness.run(20_000, PEER_VIEWS);
  harness.run(10_000, { b: viewOf([opinionOn('a', { heardMsAgo: 300 })]) });
  assert.equal(harness.detector.isUnresponsive('a'), true);
  assert.notEqual(harness.status('a'), 'suspected');
  // The other peer has not received a heartbeat from it for 4 s either.
  harness.run(4_000, { b: viewOf([opinionOn('a', { heardMsAgo: 4_000 })]) });
  assert.equal(harness.status('a'), 'suspected');
});

test('the opinion of a stalled controller, or about an earlier session of the peer, does not prevent suspicion', () => {
  for (const view of [
    viewOf([opinionOn('a', { heardMsAgo: 300 })], { isStalled: true }),
    viewOf([opinionOn('a', { heardMsAgo: 300, run: 4 })]),
  ]) {
    const harness = new DetectorHarness();
    harness.run(20_000, PEER_VIEWS);
    harness.run(4_000, { b: view });
    assert.equal(harness.status('a'), 'suspected');
  }
});

test('with the fixed detector a peer is suspected after the timeout, however regular its heartbeats were', () => {
  const harness = new DetectorHarness({ detector: 'fixed', timeoutMs: 4_000 });
  harness.run(20_000, PEER_VIEWS);
  harness.run(3_800, { b: PEER_VIEWS.b });
  assert.equal(harness.status('a'), 'alive');
  harness.run(600, { b: PEER_VIEWS.b });
  assert.equal(harness.status('a'), 'suspected');
});

test('a peer with irregular heartbeats is suspected at first, but no longer once its intervals are known', () => {
  const harness = new DetectorHarness();
  for (let n = 0; n < 30; n += 1)
    harness.run(n % 3 === 0 ? 2_000 : 1_000, n % 3 === 0 ? { b: PEER_VIEWS.b } : PEER_VIEWS);
  const suspicions = harness.changes.filter((change) => change === 'a: alive to suspected').length;
  harness.changes.length = 0;
  for (let n = 0; n < 30; n += 1)
    harness.run(n % 3 === 0 ? 2_000 : 1_000, n % 3 === 0 ? { b: PEER_VIEWS.b } : PEER_VIEWS);
  assert.ok(suspicions > 0);
  assert.ok(!harness.changes.some((change) => change.endsWith('to suspected')), harness.changes.join());
});

test('a peer is suspected before its lease expires, however irregular its heartbeats were', () => {
  const harness = new DetectorHarness();
  for (let n = 0; n < 30; n += 1)
    harness.run(n % 3 === 0 ? 4_000 : 1_000, n % 3 === 0 ? { b: PEER_VIEWS.b } : PEER_VIEWS);
  harness.changes.length = 0;
  harness.run(3_600, { b: PEER_VIEWS.b });
  assert.deepEqual(harness.changes, []);
  harness.run(400, { b: PEER_VIEWS.b });
  assert.equal(harness.status('a'), 'suspected');
});

test('several messages at once, of one heartbeat or from a buffer, do not count as intervals', () => {
  const harness = new DetectorHarness();
  harness.run(20_000, PEER_VIEWS);
  for (let n = 0; n < 300; n += 1) harness.detector.onHeartbeat('a', PEER_VIEWS.a, harness.now);
  harness.run(1_400);
  assert.equal(harness.detector.isUnresponsive('a'), false);
});

test('heartbeats from controllers that are not in the settings are ignored', () => {
  const harness = new DetectorHarness();
  harness.detector.onHeartbeat('stranger', PEER_VIEWS.a, 0);
  assert.equal(harness.detector.state('stranger'), undefined);
  assert.deepEqual(
    harness.detector.opinions(0).map(({ node }) => node),
    ['a', 'b'],
  );
});
