/** @file Chooses underused machines whose tasks can move to other machines. */
import { addResources, subtractResources, type Job, type Resources } from '../../protocol/model';
import { fitsInto, isEligible } from './constraints';
import type { MachineSnapshot } from './machine-snapshot';

/** A running task that might move to another machine. */
export interface MovableTask {
  readonly key: string;
  readonly job: Job;
  /** The estimated remaining run time. */
  readonly remainingS: number;
  /** Whether the task can write a checkpoint now and continue from it on another machine. */
  readonly canCheckpoint: boolean;
}

/** A machine with its free resources and the tasks on it. */
export interface ConsolidationCandidate extends MachineSnapshot {
  readonly tasks: readonly MovableTask[];
}

/** A snapshot of the machines, and the number of idle CPUs to keep. */
export interface ConsolidationInput {
  readonly machines: readonly ConsolidationCandidate[];
  /** Idle CPUs to keep available for work that should start at once. */
  readonly warmCpus: number;
}

/** A machine to drain, and the attempt keys of the tasks to evict so that they continue elsewhere. */
export interface MachineToDrain {
  machine: string;
  tasks: string[];
}

/** Spot machines with a larger share of their CPUs in use are not drained. */
const MAX_SPOT_UTILIZATION = 0.5;
/** The least gain of a drain, in seconds of machine time saved. Run time estimates are too imprecise for smaller gains. */
const MIN_GAIN_S = 15;
/** The least ratio of a drain's gain to its cost: the moved tasks write checkpoints and fetch their images again. */
const MIN_GAIN_TO_COST = 2;
/** How many machines one consolidation pass may drain in a small fleet. */
const MAX_DRAINED_SMALL_FLEET = 4;
/** How many machines one consolidation pass may drain in a large fleet, as a share of the fleet's machines. */
const MAX_DRAINED_SHARE = 0.02;

/**
 * Chooses underused machines whose tasks fit into the free resources of other machines. The tasks are checkpointed and
 * continue there, so the drained machines can be released. Otherwise one long task would keep a whole machine rented.
 */
export function chooseConsolidation(input: ConsolidationInput): MachineToDrain[] {
  return new ConsolidationPlanner(input).run();
}

/** A planned move of a task to another machine. `targetFree` no longer includes the resources for the task. */
interface Move {
  readonly task: MovableTask;
  readonly target: ConsolidationCandidate;
  readonly targetFree: Resources;
}

/** The state of one consolidation pass: free resources change with each machine that is chosen to be drained. */
class ConsolidationPlanner {
  /** The free resources of each machine; machines that are to be drained are removed. */
  readonly #freeByMachine: Map<string, Resources>;
  /** Machines to which tasks may move: spot machines before on-demand machines, the most utilized first. */
  readonly #targets: readonly ConsolidationCandidate[];
  /** Machines that are targets of planned moves. They can't be drained in the same consolidation pass. */
  readonly #chosenTargets = new Set<string>();
  #spareCpus: number;

  constructor(private readonly input: ConsolidationInput) {
    const { machines, warmCpus } = input;
    this.#freeByMachine = new Map(machines.map((machine) => [machine.id, { ...machine.free }]));
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

  /** Machines that are worth draining: on-demand machines before spot machines, the least utilized first. */
  #sources(): ConsolidationCandidate[] {
    const sources = this.input.machines.filter(
      (machine) =>
        machine.tasks.length > 0 &&
        (!machine.spot || utilization(machine) <= MAX_SPOT_UTILIZATION) &&
        isWorthDraining(machine),
    );
    return sources.sort((a, b) => Number(a.spot) - Number(b.spot) || utilization(a) - utilization(b));
  }

  /** Finds targets for all tasks that must move. Returns undefined and changes nothing if not all of them fit. */
  #drain(source: ConsolidationCandidate): Move[] | undefined {
    const tasks = tasksToMove(source);
    // Idle CPUs that are lost: those of the drained machine, and those that its tasks occupy elsewhere.
    const lostCpus = tasks.reduce((sum, { job }) => sum + job.cpus, source.free.cpus);
    if (this.#chosenTargets.has(source.id) || lostCpus > this.#spareCpus) return undefined;
    const moves = this.#moveAll(source, tasks);
    if (!moves) return undefined;
    this.#spareCpus -= lostCpus;
    this.#freeByMachine.delete(source.id);
    for (const { target } of moves) this.#chosenTargets.add(target.id);
    return moves;
  }

  #moveAll(source: ConsolidationCandidate, tasks: readonly MovableTask[]): Move[] | undefined {
    const moves: Move[] = [];
    for (const task of tasks) {
      const move = this.#move(source, task);
      if (!move) {
        for (const { task: moved, targetFree } of moves) addResources(targetFree, moved.job);
        return undefined;
      }
      moves.push(move);
    }
    return moves;
  }

  #move(source: ConsolidationCandidate, task: MovableTask): Move | undefined {
    const { job } = task;
    for (const target of this.#targets) {
      const targetFree = this.#freeByMachine.get(target.id);
      if (target.id === source.id || !targetFree || !isBetterTarget(target, source)) continue;
      if (!fitsInto(job, targetFree) || !isEligible(job, target)) continue;
      subtractResources(targetFree, job);
      return { task, target, targetFree };
    }
    return undefined;
  }
}

function utilization(machine: ConsolidationCandidate): number {
  return 1 - machine.free.cpus / machine.type.cpus;
}

/** Tasks move only to cheaper (spot) machines, or to machines that are at least as utilized. */
function isBetterTarget(target: ConsolidationCandidate, source: ConsolidationCandidate): boolean {
  return target.spot === source.spot ? utilization(target) >= utilization(source) : target.spot;
}

/** Whether the task can move. With `oneZone` or `spread` it can't: its zone depends on those of the job's other tasks. */
function isMovable({ job, canCheckpoint }: MovableTask): boolean {
  return canCheckpoint && !job.oneZone && !job.spread;
}

/** The longest estimated remaining run time of the machine's tasks that can't be moved; 0 if there are none. */
function unmovableRemainingS(machine: ConsolidationCandidate): number {
  return Math.max(0, ...machine.tasks.filter((task) => !isMovable(task)).map((task) => task.remainingS));
}

/** The movable tasks that would occupy the machine for longer than those that can't be moved. */
function tasksToMove(machine: ConsolidationCandidate): MovableTask[] {
  const unmovableS = unmovableRemainingS(machine);
  return machine.tasks.filter((task) => isMovable(task) && task.remainingS > unmovableS);
}

function isWorthDraining(machine: ConsolidationCandidate): boolean {
  const { type } = machine;
  const tasks = tasksToMove(machine);
  const gainS = Math.max(0, ...tasks.map((task) => task.remainingS)) - unmovableRemainingS(machine);
  const cost = tasks.reduce(
    (sum, { job }) => sum + job.cpus * (job.saveS + job.imageGb / type.fetchGbPerS),
    0,
  );
  const priceFactor = machine.spot ? 1 : type.price / type.spotPrice;
  return gainS >= MIN_GAIN_S && type.cpus * gainS * priceFactor > MIN_GAIN_TO_COST * cost;
}
