import type { Job, MachineType, Resources } from '../protocol/model';
import { fits, mayUse } from './placement';

export interface MovableTask {
  readonly key: string;
  readonly job: Job;
  /** How long it will run on, as far as estimates tell. */
  readonly remainingS: number;
  /** It runs, and can save what it has done. */
  readonly canSave: boolean;
}

export interface SparseMachine {
  readonly id: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Resources;
  readonly tasks: readonly MovableTask[];
}

export interface ConsolidationInput {
  readonly machines: readonly SparseMachine[];
  /** Idle CPUs to keep for work that should start at once. */
  readonly warmCpus: number;
}

/** Machines that are fuller than this are left alone, unless their tasks fit onto spot machines and they are none. */
const SPARSE = 0.5;
/** A task that can't be moved, and would be done by then, does not keep its machine from being emptied. */
const SOON_S = 15;
const LEAST_REMAINING_S = 15;
/** What is saved must outweigh what saving, fetching and starting again cost by this much. */
const WORTH = 2;
const MOST_AT_ONCE = 4;

/**
 * Nearly empty machines whose tasks fit into the room of others: the tasks are saved and go on there, and the
 * machines can be returned. Without it a single long task keeps a whole machine paid for.
 */
export function chooseConsolidation(input: ConsolidationInput): { machine: string; tasks: string[] }[] {
  const used = (m: SparseMachine): number => 1 - m.free.cpus / m.type.cpus;
  const rooms = new Map(input.machines.map((m) => [m.id, { ...m.free }]));
  let spare = input.machines.reduce((sum, m) => sum + Math.max(0, m.free.cpus), 0) - input.warmCpus;
  const sparse = input.machines.filter(
    (m) => m.tasks.length > 0 && (!m.spot || used(m) <= SPARSE) && isWorth(m),
  );
  sparse.sort((a, b) => Number(a.spot) - Number(b.spot) || used(a) - used(b));
  const taking = input.machines.filter((m) => m.tasks.length > 0);
  taking.sort((a, b) => Number(b.spot) - Number(a.spot) || used(b) - used(a));
  const given = new Set<string>();
  const chosen: { machine: string; tasks: string[] }[] = [];
  for (const m of sparse) {
    if (chosen.length >= MOST_AT_ONCE) break;
    if (given.has(m.id) || m.type.cpus > spare) continue;
    const moves: { key: string; to: Resources; toId: string; needs: Resources }[] = [];
    const movable = m.tasks.filter((t) => t.canSave && t.remainingS > SOON_S);
    for (const { key, job } of movable) {
      // Only to cheaper machines, or to ones that are no emptier.
      const to = taking.find((o) => {
        const room = rooms.get(o.id);
        const better = o.spot === m.spot ? used(o) >= used(m) : o.spot;
        return o.id !== m.id && better && room && fits(job, room) && mayUse(job, o);
      });
      const room = to && rooms.get(to.id);
      if (!to || !room) break;
      take(room, job, 1);
      moves.push({ key, to: room, toId: to.id, needs: job });
    }
    if (moves.length < movable.length) {
      for (const { to, needs } of moves) take(to, needs, -1);
      continue;
    }
    spare -= m.type.cpus;
    rooms.delete(m.id);
    for (const { toId } of moves) given.add(toId);
    chosen.push({ machine: m.id, tasks: moves.map(({ key }) => key) });
  }
  return chosen;
}

function take(room: Resources, needs: Resources, sign: 1 | -1): void {
  room.cpus -= sign * needs.cpus;
  room.gpus -= sign * needs.gpus;
  room.memoryGb -= sign * needs.memoryGb;
}

function isWorth(m: SparseMachine): boolean {
  let remainingS = 0;
  let cost = 0;
  for (const { job, canSave, remainingS: left } of m.tasks) {
    if (left <= SOON_S) continue;
    // Where its tasks may be is bound to where their others are: left alone.
    if (!canSave || job.oneZone || job.spread) return false;
    remainingS = Math.max(remainingS, left);
    cost += job.cpus * (job.saveS + job.imageGb / m.type.fetchGbPerS);
  }
  const dearness = m.spot ? 1 : m.type.price / m.type.spotPrice;
  return remainingS >= LEAST_REMAINING_S && m.type.cpus * remainingS * dearness > WORTH * cost;
}
