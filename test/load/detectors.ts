/** @file Compares failure detectors in simulation: the same faults, by the same seeds, seen by each of them. */
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

/** A detector, and what is taken away from it. */
interface Variant {
  readonly name: string;
  readonly detector: 'phi' | 'fixed';
  /** Whether it uses what peers observed. */
  readonly usesPeerOpinions: boolean;
  /** Whether it leaves out its own pauses. */
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

/** A time in which something is wrong. */
interface FaultInterval {
  readonly from: number;
  readonly to: number;
}

/** Spells of random lengths with random gaps between them. */
function randomIntervals(
  random: RandomBetween,
  endMs: number,
  gapMs: number,
  shortMs: number,
  longMs: number,
): FaultInterval[] {
  const found: FaultInterval[] = [];
  for (let from = random(gapMs / 2, gapMs * 1.5); from < endMs;) {
    const to = from + random(shortMs, longMs);
    found.push({ from, to });
    from = to + random(gapMs / 2, gapMs * 1.5);
  }
  return found;
}

/** Whether a time lies within one of the spells, which are asked in the order of time. */
class IntervalCursor {
  #next = 0;
  constructor(private readonly all: readonly FaultInterval[]) {}

  contains(now: number): boolean {
    while ((this.all[this.#next]?.to ?? Infinity) <= now) this.#next += 1;
    return (this.all[this.#next]?.from ?? Infinity) <= now;
  }
}

/** What one detector was seen to do. */
class DetectorResults {
  readonly detections: number[] = [];
  falseSuspicions = 0;
  needlessMoves = 0;
}

const MINUTE_MS = 60_000;
const FREEZE_MS = 8_000;

/** Freezes of 8 s, shorter stalls, links that fail one way: of each controller, by a seed. */
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
  const tally = new DetectorResults();
  const names = Array.from({ length: CONTROLLERS }, (_, index) => String(index));
  const isStopped: boolean[] = names.map(() => false);
  const stoppedAt: number[] = names.map(() => 0);
  const nextBeatAt: number[] = names.map((_, index) => HEARTBEAT_INTERVAL_MS + index * 100);
  const mostSince: (number | undefined)[] = names.map(() => undefined);
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
        if (after.status === 'suspected' && !isStopped[Number(peer)]) tally.falseSuspicions += 1;
      },
    );
  });

  /** A controller's turn: it reads what came, looks at its peers, and speaks. */
  const turn = (index: number): void => {
    const detector = observers[index];
    if (!detector) return;
    const wasStopped = isStopped[index] === true;
    const isFrozen = freezes[index]?.contains(now) === true;
    isStopped[index] = isFrozen || stalls[index]?.contains(now) === true;
    frozenAt[index] = isFrozen ? (frozenAt[index] ?? now) : undefined;
    if (isStopped[index]) {
      if (!wasStopped) stoppedAt[index] = now;
      return;
    }
    // Without self-doubt the time that passed counts, and timers fire before what came is read.
    for (let missed = stoppedAt[index] ?? now; wasStopped && !variant.excludesOwnPauses && missed < now;) {
      missed += TICK_INTERVAL_MS;
      detector.tick(missed, () => 'exists');
    }
    detector.tick(now, () => 'exists');
    for (const { from, view } of inbox[index] ?? []) detector.onHeartbeat(String(from), view, now);
    inbox[index] = [];
    if (now >= (nextBeatAt[index] ?? 0)) speak(index, detector);
  };

  const speak = (index: number, detector: PeerDetector): void => {
    nextBeatAt[index] = now + HEARTBEAT_INTERVAL_MS + random(-JITTER_MS, JITTER_MS);
    const opinions = variant.usesPeerOpinions ? detector.opinions(now) : [];
    const view = { run: 1, incarnation: 0, isStalled: false, opinions };
    for (const [to, box] of inbox.entries()) {
      const isLost = random(1, PER_MILLE) <= LOST_PER_MILLE || links[index]?.[to]?.contains(now) === true;
      if (to !== index && !isLost) box.push({ from: index, view });
    }
  };

  /** Counts what most controllers hold of one. */
  const judge = (index: number): void => {
    const voters = names.map(Number).filter((voter) => voter !== index && !isStopped[voter]);
    const against = voters.filter((voter) => observers[voter]?.state(String(index))?.status === 'suspected');
    const isSuspected = against.length * 2 > voters.length;
    if (!isSuspected) mostSince[index] = undefined;
    else if (mostSince[index] === undefined) {
      mostSince[index] = now;
      const since = frozenAt[index];
      if (since !== undefined) tally.detections.push(now - since);
    } else if (!isStopped[index] && now - (mostSince[index] ?? now) === GIVE_UP_AFTER_MS)
      tally.needlessMoves += 1;
  };

  for (; now < endMs; now += TICK_INTERVAL_MS) {
    for (let index = 0; index < CONTROLLERS; index += 1) turn(index);
    for (let index = 0; index < CONTROLLERS; index += 1) judge(index);
  }
  return tally;
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
