/** @file Chooses nearly empty machines whose tasks can move elsewhere. */
import { addResources, subtractResources, type Job, type Resources } from '../../protocol/model';
import { fitsInto, isEligible } from './constraints';
import type { MachineSnapshot } from './machine-snapshot';

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
export interface ConsolidationCandidate extends MachineSnapshot {
  readonly tasks: readonly MovableTask[];
}

/** A snapshot of the machines. */
export interface ConsolidationInput {
  readonly machines: readonly ConsolidationCandidate[];
  /** Idle CPUs to keep for work that should start at once. */
  readonly warmCpus: number;
}

/** A machine to drain, with the keys of the tasks to move away. */
export interface MachineToDrain {
  machine: string;
  tasks: string[];
}

/** Spot machines with a larger share of their CPUs in use are left alone. */
const MAX_SPOT_UTILIZATION = 0.5;
/** The least gain, in seconds of machine time: estimates are no more precise. */
const MIN_GAIN_S = 15;
/** The gain must be this many times the cost of saving, fetching and restarting the tasks. */
const MIN_GAIN_TO_COST = 2;
/** How many machines may be drained at once on small fleets. */
const MAX_DRAINED_SMALL_FLEET = 4;
/** How many machines may be drained at once on large fleets, as a share of their machines. */
const MAX_DRAINED_SHARE = 0.02;

/**
 * Chooses nearly empty machines whose tasks fit into free room on others. The tasks are saved and continue there, and the
 * machines can be returned; otherwise a single long task would keep a whole machine rented.
 */
export function chooseConsolidation(input: ConsolidationInput): MachineToDrain[] {
  return new ConsolidationPlanner(input).run();
}

/** A task's move, with the room that it takes on its target. */
interface Move {
  readonly task: MovableTask;
  readonly target: ConsolidationCandidate;
  readonly targetRoom: Resources;
}

/** The state of one choice: room changes with each machine that is chosen. */
class ConsolidationPlanner {
  /** The room that is left on each machine; one that is to be drained has none. */
  readonly #rooms: Map<string, Resources>;
  /** Machines that may take tasks: spot machines before others, the fullest first. */
  readonly #targets: readonly ConsolidationCandidate[];
  /** Machines that are to take tasks, so that they can't be drained. */
  readonly #chosenTargets = new Set<string>();
  #spareCpus: number;

  constructor(private readonly input: ConsolidationInput) {
    const { machines, warmCpus } = input;
    this.#rooms = new Map(machines.map((machine) => [machine.id, { ...machine.free }]));
    this.#spareCpus = machines.reduce((sum, { free }) => sum + Math.max(0, free.cpus), 0) - warmCpus;
    this.#targets = machines
      .filter((machine) => machine.tasks.length > 0)
      .sort((a, b) => Number(b.spot) - Number(a.spot) || utilization(b) - utilization(a));
  }

  run(): MachineToDrain[] {
    const { machines } = this.input;
    const maxDrained = Math.max(MAX_DRAINED_SMALL_FLEET, machines.length * MAX_DRAINED_SHARE);
    const drained: MachineToDrain[] = [];
    for (const source of this.#sources()) {
      if (drained.length >= maxDrained) break;
      const moves = this.#drain(source);
      if (moves) drained.push({ machine: source.id, tasks: moves.map(({ task }) => task.key) });
    }
    return drained;
  }

  /** Machines that are worth draining: ordinary ones before spot machines, the emptiest first. */
  #sources(): ConsolidationCandidate[] {
    const sources = this.input.machines.filter(
      (machine) =>
        machine.tasks.length > 0 &&
        (!machine.spot || utilization(machine) <= MAX_SPOT_UTILIZATION) &&
        isWorthDraining(machine),
    );
    return sources.sort((a, b) => Number(a.spot) - Number(b.spot) || utilization(a) - utilization(b));
  }

  /** Finds room elsewhere for all tasks that must move; undefined, and nothing changed, where there isn't enough. */
  #drain(source: ConsolidationCandidate): Move[] | undefined {
    const tasks = tasksToMove(source);
    // Its own room goes, and so does what its tasks take elsewhere.
    const lostCpus = tasks.reduce((sum, { job }) => sum + job.cpus, source.free.cpus);
    if (this.#chosenTargets.has(source.id) || lostCpus > this.#spareCpus) return undefined;
    const moves = this.#moveAll(source, tasks);
    if (!moves) return undefined;
    this.#spareCpus -= lostCpus;
    this.#rooms.delete(source.id);
    for (const { target } of moves) this.#chosenTargets.add(target.id);
    return moves;
  }

  #moveAll(source: ConsolidationCandidate, tasks: readonly MovableTask[]): Move[] | undefined {
    const moves: Move[] = [];
    for (const task of tasks) {
      const move = this.#move(source, task);
      if (!move) {
        for (const { task: moved, targetRoom } of moves) addResources(targetRoom, moved.job);
        return undefined;
      }
      moves.push(move);
    }
    return moves;
  }

  #move(source: ConsolidationCandidate, task: MovableTask): Move | undefined {
    const { job } = task;
    for (const target of this.#targets) {
      const targetRoom = this.#rooms.get(target.id);
      if (target.id === source.id || !targetRoom || !isBetterPlace(target, source)) continue;
      if (!fitsInto(job, targetRoom) || !isEligible(job, target)) continue;
      subtractResources(targetRoom, job);
      return { task, target, targetRoom };
    }
    return undefined;
  }
}

function utilization(machine: ConsolidationCandidate): number {
  return 1 - machine.free.cpus / machine.type.cpus;
}

/** Tasks move only to cheaper machines, or to ones that are no emptier. */
function isBetterPlace(target: ConsolidationCandidate, source: ConsolidationCandidate): boolean {
  return target.spot === source.spot ? utilization(target) >= utilization(source) : target.spot;
}

/** Whether the task may be sent elsewhere: where some jobs' tasks may be is bound to where their others are. */
function isMovable({ job, canCheckpoint }: MovableTask): boolean {
  return canCheckpoint && !job.oneZone && !job.spread;
}

/** How long the machine is needed for what can't be moved. */
function neededForS(machine: ConsolidationCandidate): number {
  return Math.max(0, ...machine.tasks.filter((task) => !isMovable(task)).map((task) => task.remainingS));
}

/** What would keep the machine for longer than what can't be moved does. */
function tasksToMove(machine: ConsolidationCandidate): MovableTask[] {
  const neededS = neededForS(machine);
  return machine.tasks.filter((task) => isMovable(task) && task.remainingS > neededS);
}

function isWorthDraining(machine: ConsolidationCandidate): boolean {
  const { type } = machine;
  const tasks = tasksToMove(machine);
  const gainS = Math.max(0, ...tasks.map((task) => task.remainingS)) - neededForS(machine);
  const cost = tasks.reduce(
    (sum, { job }) => sum + job.cpus * (job.saveS + job.imageGb / type.fetchGbPerS),
    0,
  );
  const priceFactor = machine.spot ? 1 : type.price / type.spotPrice;
  return gainS >= MIN_GAIN_S && type.cpus * gainS * priceFactor > MIN_GAIN_TO_COST * cost;
}
