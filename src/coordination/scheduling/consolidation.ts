/** @file Chooses nearly empty machines whose tasks can move elsewhere. */
import {
  addResources,
  subtractResources,
  type Job,
  type MachineType,
  type Resources,
} from '../../protocol/model';
import { fitsInto, isEligible } from './placement';

/** A running task that might move to another machine. */
export interface MovableTask {
  readonly key: string;
  readonly job: Job;
  /** How long it will run on, as far as estimates tell. */
  readonly remainingS: number;
  /** It runs, and can save what it has done. */
  readonly canCheckpoint: boolean;
}

/** A machine with its tasks and the room that is free there. */
export interface ConsolidationCandidate {
  readonly id: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Resources;
  readonly tasks: readonly MovableTask[];
}

/** A snapshot of the machines. */
export interface ConsolidationInput {
  readonly machines: readonly ConsolidationCandidate[];
  /** Idle CPUs to keep for work that should start at once. */
  readonly warmCpus: number;
}

/** Spot machines with a larger share of their CPUs in use are left alone. */
const SPARSE = 0.5;
/** The least gain, in seconds of machine time: estimates are no more precise. */
const LEAST_GAIN_S = 15;
/** The gain must be this many times the cost of saving, fetching and restarting the tasks. */
const WORTH = 2;
/** How many machines may be emptied at once, at least. */
const MOST_AT_ONCE = 4;
/** The same on large fleets, as a part of their machines. */
const MOST_PART = 0.02;

/**
 * Chooses nearly empty machines whose tasks fit into free room on others. The tasks are saved and continue there, and the
 * machines can be returned; otherwise a single long task would keep a whole machine rented.
 */
export function chooseConsolidation(input: ConsolidationInput): { machine: string; tasks: string[] }[] {
  const used = (m: ConsolidationCandidate): number => 1 - m.free.cpus / m.type.cpus;
  const rooms = new Map(input.machines.map((m) => [m.id, { ...m.free }]));
  let spare = input.machines.reduce((sum, m) => sum + Math.max(0, m.free.cpus), 0) - input.warmCpus;
  const sparse = input.machines.filter(
    (m) => m.tasks.length > 0 && (!m.spot || used(m) <= SPARSE) && isWorth(m),
  );
  const most = Math.max(MOST_AT_ONCE, input.machines.length * MOST_PART);
  sparse.sort((a, b) => Number(a.spot) - Number(b.spot) || used(a) - used(b));
  const taking = input.machines.filter((m) => m.tasks.length > 0);
  taking.sort((a, b) => Number(b.spot) - Number(a.spot) || used(b) - used(a));
  const given = new Set<string>();
  const chosen: { machine: string; tasks: string[] }[] = [];
  for (const m of sparse) {
    if (chosen.length >= most) break;
    const movable = toMove(m);
    // Its own room goes, and so does what its tasks take elsewhere.
    const room = movable.reduce((sum, { job }) => sum + job.cpus, m.free.cpus);
    if (given.has(m.id) || room > spare) continue;
    const moves: { key: string; to: Resources; toId: string; needs: Resources }[] = [];
    for (const { key, job } of movable) {
      // Only to cheaper machines, or to ones that are no emptier.
      const to = taking.find((o) => {
        const room = rooms.get(o.id);
        const better = o.spot === m.spot ? used(o) >= used(m) : o.spot;
        return o.id !== m.id && better && room && fitsInto(job, room) && isEligible(job, o);
      });
      const taken = to && rooms.get(to.id);
      if (!to || !taken) break;
      subtractResources(taken, job);
      moves.push({ key, to: taken, toId: to.id, needs: job });
    }
    if (moves.length < movable.length) {
      for (const { to, needs } of moves) addResources(to, needs);
      continue;
    }
    spare -= room;
    rooms.delete(m.id);
    for (const { toId } of moves) given.add(toId);
    chosen.push({ machine: m.id, tasks: moves.map(({ key }) => key) });
  }
  return chosen;
}

/** Whether the task may be sent elsewhere: where some jobs' tasks may be is bound to where their others are. */
function isMovable({ job, canCheckpoint }: MovableTask): boolean {
  return canCheckpoint && !job.oneZone && !job.spread;
}

/** How long the machine is needed for what can't be moved. */
function boundS(m: ConsolidationCandidate): number {
  return Math.max(0, ...m.tasks.filter((t) => !isMovable(t)).map((t) => t.remainingS));
}

/** What would keep the machine for longer than what can't be moved does. */
function toMove(m: ConsolidationCandidate): MovableTask[] {
  const bound = boundS(m);
  return m.tasks.filter((t) => isMovable(t) && t.remainingS > bound);
}

function isWorth(m: ConsolidationCandidate): boolean {
  const tasks = toMove(m);
  const gainS = Math.max(0, ...tasks.map((t) => t.remainingS)) - boundS(m);
  const cost = tasks.reduce(
    (sum, { job }) => sum + job.cpus * (job.saveS + job.imageGb / m.type.fetchGbPerS),
    0,
  );
  const dearness = m.spot ? 1 : m.type.price / m.type.spotPrice;
  return gainS >= LEAST_GAIN_S && m.type.cpus * gainS * dearness > WORTH * cost;
}
