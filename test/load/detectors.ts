/** @file Compares failure detectors in a simulation: each variant observes the same faults of the same seed. */
import { parseArgs } from 'node:util';
import type { PeerView } from '../../src/protocol/peer-view';
import { HEARTBEAT_INTERVAL_MS } from '../../src/suspicion/options';
import { PeerDetector } from '../../src/suspicion/peer-detector';
import { TICK_INTERVAL_MS } from '../../src/suspicion/running-clock';
import { DEFAULT_OPTIONS } from '../suspicion-defaults';
import { createRandom, type RandomBetween } from './random-between';

const { values: args } = parseArgs({
  options: { hours: { type: 'string', default: '10' }, seed: { type: 'string', default: '1' } },
});

const HOUR_MS = 3_600_000;
const CONTROLLERS = 3;
const PER_MILLE = 1_000;
const LOST_PER_MILLE = 5;
const JITTER_MS = 120;
const { giveUpAfterMs: GIVE_UP_AFTER_MS } = DEFAULT_OPTIONS;

/** A failure detector with some of its parts turned off. */
interface Variant {
  readonly name: string;
  readonly detector: 'phi' | 'fixed';
  /** Whether it uses the opinions of other peers about a peer (indirect observation). */
  readonly usesPeerOpinions: boolean;
  /** Whether it excludes pauses of its own process from the measured silence ('self-doubt' in the output). */
  readonly excludesOwnPauses: boolean;
}

const VARIANTS: readonly Variant[] = [
  { name: 'fixed 2.5 s', detector: 'fixed', usesPeerOpinions: false, excludesOwnPauses: false },
  { name: 'phi', detector: 'phi', usesPeerOpinions: false, excludesOwnPauses: false },
  { name: 'phi, self-doubt', detector: 'phi', usesPeerOpinions: false, excludesOwnPauses: true },
  { name: 'phi, indirect', detector: 'phi', usesPeerOpinions: true, excludesOwnPauses: false },
  { name: 'phi, both (the default)', detector: 'phi', usesPeerOpinions: true, excludesOwnPauses: true },
  { name: 'fixed 2.5 s, both', detector: 'fixed', usesPeerOpinions: true, excludesOwnPauses: true },
];

/** The interval during which a fault is active. */
interface FaultInterval {
  readonly from: number;
  readonly to: number;
}

/** Fault intervals of random lengths with random gaps between them. */
function randomIntervals(
  random: RandomBetween,
  endMs: number,
  gapMs: number,
  shortMs: number,
  longMs: number,
): FaultInterval[] {
  const intervals: FaultInterval[] = [];
  for (let from = random(gapMs / 2, gapMs * 1.5); from < endMs;) {
    const to = from + random(shortMs, longMs);
    intervals.push({ from, to });
    from = to + random(gapMs / 2, gapMs * 1.5);
  }
  return intervals;
}

/** Tells whether a fault is active at a time. Calls must pass times in ascending order. */
class IntervalCursor {
  #next = 0;
  constructor(private readonly all: readonly FaultInterval[]) {}

  contains(now: number): boolean {
    while ((this.all[this.#next]?.to ?? Infinity) <= now) this.#next += 1;
    return (this.all[this.#next]?.from ?? Infinity) <= now;
  }
}

/** The detection times and errors of one detector variant. */
class DetectorResults {
  readonly detections: number[] = [];
  falseSuspicions = 0;
  needlessMoves = 0;
}

const MINUTE_MS = 60_000;
const FREEZE_MS = 8_000;

/** The faults of each controller for a seed: freezes of 8 s, shorter stalls, and one-way link failures. */
function planFaults(seed: number, endMs: number) {
  const random = createRandom(seed);
  const each = <T>(make: () => T): T[] => Array.from({ length: CONTROLLERS }, make);
  return {
    freezes: each(() => randomIntervals(random, endMs, 10 * MINUTE_MS, FREEZE_MS, FREEZE_MS)),
    stalls: each(() => randomIntervals(random, endMs, 2 * MINUTE_MS, 500, 4_000)),
    links: each(() => each(() => randomIntervals(random, endMs, 15 * MINUTE_MS, 2_000, 8_000))),
  };
}

function simulate(variant: Variant, seed: number, endMs: number): DetectorResults {
  const planned = planFaults(seed, endMs);
  const random = createRandom(seed + 1);
  const freezes = planned.freezes.map((all) => new IntervalCursor(all));
  const stalls = planned.stalls.map((all) => new IntervalCursor(all));
  const links = planned.links.map((from) => from.map((all) => new IntervalCursor(all)));
  const results = new DetectorResults();
  const names = Array.from({ length: CONTROLLERS }, (_, index) => String(index));
  const isPaused: boolean[] = names.map(() => false);
  const pausedAt: number[] = names.map(() => 0);
  const nextHeartbeatAt: number[] = names.map((_, index) => HEARTBEAT_INTERVAL_MS + index * 100);
  const majoritySuspectsSince: (number | undefined)[] = names.map(() => undefined);
  const frozenAt: (number | undefined)[] = names.map(() => undefined);
  const inbox: { view: PeerView; from: number }[][] = names.map(() => []);
  let now = 0;
  const observers = names.map((own) => {
    const peers = names.filter((name) => name !== own);
    return new PeerDetector(
      peers,
      { ...DEFAULT_OPTIONS, detector: variant.detector },
      0,
      ({ peer, after }) => {
        if (after.status === 'suspected' && !isPaused[Number(peer)]) results.falseSuspicions += 1;
      },
    );
  });

  /** One tick of a controller: it evaluates its peers, processes received heartbeats, and sends heartbeats when due. */
  const runTick = (index: number): void => {
    const detector = observers[index];
    if (!detector) return;
    const wasPaused = isPaused[index] === true;
    const isFrozen = freezes[index]?.contains(now) === true;
    isPaused[index] = isFrozen || stalls[index]?.contains(now) === true;
    frozenAt[index] = isFrozen ? (frozenAt[index] ?? now) : undefined;
    if (isPaused[index]) {
      if (!wasPaused) pausedAt[index] = now;
      return;
    }
    // Otherwise the pause counts as silence, and overdue timers fire before queued heartbeats are processed.
    for (
      let missedTickAt = pausedAt[index] ?? now;
      wasPaused && !variant.excludesOwnPauses && missedTickAt < now;
    ) {
      missedTickAt += TICK_INTERVAL_MS;
      detector.tick(missedTickAt, () => 'exists');
    }
    detector.tick(now, () => 'exists');
    for (const { from, view } of inbox[index] ?? []) detector.onHeartbeat(String(from), view, now);
    inbox[index] = [];
    if (now >= (nextHeartbeatAt[index] ?? 0)) sendHeartbeats(index, detector);
  };

  const sendHeartbeats = (index: number, detector: PeerDetector): void => {
    nextHeartbeatAt[index] = now + HEARTBEAT_INTERVAL_MS + random(-JITTER_MS, JITTER_MS);
    const opinions = variant.usesPeerOpinions ? detector.opinions(now) : [];
    const view = { run: 1, incarnation: 0, isStalled: false, opinions };
    for (const [to, box] of inbox.entries()) {
      const isLost = random(1, PER_MILLE) <= LOST_PER_MILLE || links[index]?.[to]?.contains(now) === true;
      if (to !== index && !isLost) box.push({ from: index, view });
    }
  };

  /** Records when a majority suspects a controller, and whether its shards would move although it is running. */
  const updateMajority = (index: number): void => {
    const voters = names.map(Number).filter((voter) => voter !== index && !isPaused[voter]);
    const against = voters.filter((voter) => observers[voter]?.state(String(index))?.status === 'suspected');
    const isSuspected = against.length * 2 > voters.length;
    if (!isSuspected) majoritySuspectsSince[index] = undefined;
    else if (majoritySuspectsSince[index] === undefined) {
      majoritySuspectsSince[index] = now;
      const frozenSince = frozenAt[index];
      if (frozenSince !== undefined) results.detections.push(now - frozenSince);
    } else if (!isPaused[index] && now - (majoritySuspectsSince[index] ?? now) === GIVE_UP_AFTER_MS)
      results.needlessMoves += 1;
  };

  for (; now < endMs; now += TICK_INTERVAL_MS) {
    for (let index = 0; index < CONTROLLERS; index += 1) runTick(index);
    for (let index = 0; index < CONTROLLERS; index += 1) updateMajority(index);
  }
  return results;
}

const hours = Number(args.hours);
const rows = VARIANTS.map((variant) => {
  const { detections, falseSuspicions, needlessMoves } = simulate(
    variant,
    Number(args.seed),
    hours * HOUR_MS,
  );
  const sorted = detections.sort((a, b) => a - b);
  return {
    detector: variant.name,
    freezesDetected: sorted.length,
    medianMs: sorted[Math.floor(sorted.length / 2)],
    largestMs: sorted.at(-1),
    falseSuspicionsAnHour: Number((falseSuspicions / hours).toFixed(1)),
    needlessMovesAnHour: Number((needlessMoves / hours).toFixed(2)),
  };
});
console.log(`${hours} simulated hours of ${CONTROLLERS} controllers, seed ${args.seed}`);
console.table(rows);
