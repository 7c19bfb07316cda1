/** @file Plans which machines to rent for pending tasks and which idle ones to release. */
import { subtractResources, type Job, type MachineType, type Resources } from '../../protocol/model';
import { MAX_TASKS_PER_MACHINE } from '../../protocol/workers';
import {
  fitsInto,
  isEligible,
  RESOURCE_TOLERANCE,
  zoneConstraintsAllow,
  type MachineKind,
} from '../scheduling/constraints';

/** A machine of the fleet, with the properties that scaling uses. */
export interface FleetMachine extends MachineKind {
  readonly id: string;
  readonly isBooting: boolean;
  /** Time since the rental; for a machine adopted from the cloud's list, since the adoption. */
  readonly ageMs: number;
  /** How long the machine has had no tasks; 0 while it has any. */
  readonly idleMs: number;
}

/** A kind of machine to rent: a machine type in a zone, as a spot or an on-demand machine. */
export type InstanceOption = MachineKind;

/** A number of machines to rent, all of one option. */
export interface ScaleOutRequest extends InstanceOption {
  count: number;
}

/** Tasks of one job that could not be placed. */
export interface UnplacedWork {
  readonly job: Job;
  readonly count: number;
  /** Whether to rent machines for the tasks rather than wait until running tasks free resources. */
  readonly isUrgent: boolean;
  /** How long the tasks can wait and still end in time. */
  readonly slackMs: number;
  /** The number of the job's tasks in each zone, including those whose start is unconfirmed. */
  readonly tasksPerZone?: ReadonlyMap<string, number>;
}

/** A snapshot of the pending tasks and of the fleet. */
export interface ScalingInput {
  /** Tasks that could not be placed, in queue order. */
  readonly unplaced: readonly UnplacedWork[];
  readonly machines: readonly FleetMachine[];
  readonly types: readonly MachineType[];
  /** Whether the cloud recently had no capacity for the option. */
  readonly isBackedOff: (option: InstanceOption) => boolean;
  /** CPUs that running tasks will free before a new machine could be up. */
  readonly freeingCpus: number;
  /** How long a machine must have been idle to be released. */
  readonly idleReleaseMs: number;
  /** Whether all machines are confirmed; until then some jobs are not placed, so idle machines are kept. */
  readonly areAllMachinesConfirmed: boolean;
  /** Idle CPUs to keep for tasks that should start at once. */
  readonly warmCpus: number;
  /** Free CPUs on schedulable machines. */
  readonly freeCpus: number;
}

/** The machines to rent, up to `MAX_MACHINES_PER_PLAN` of them, and the ids of the machines to release. */
export interface ScalingPlan {
  scaleOut: ScaleOutRequest[];
  scaleIn: string[];
}

/**
 * The most machines that one plan rents. Tasks that need more wait for the next plan, which counts the machines rented so
 * far; so a plan takes no more memory than one step of scale-out can use, however many tasks wait.
 */
export const MAX_MACHINES_PER_PLAN = 4_000;
/** The cloud bills a machine for at least this long, so an earlier release saves nothing. */
const MIN_BILLED_MS = 60_000;
/** Tasks that may run on spot machines wait for a spot machine while their slack is longer than this many boot times. */
const SPOT_ONLY_SLACK_BOOT_TIMES = 1.5;
/** Added to the cost of an option for each machine already in its zone, as a fraction of the price. */
const PENALTY_PER_ZONE_MACHINE = 0.001;

/** A key for maps, the same for equal options. */
export function optionKey(option: InstanceOption): string {
  return `${option.type.name}|${option.zone}|${option.spot ? 'spot' : 'ordinary'}`;
}

/** How many tasks of the job fit on an empty machine of the type. */
function tasksPerMachine(type: MachineType, job: Job): number {
  return Math.floor(
    Math.min(
      MAX_TASKS_PER_MACHINE,
      type.cpus / job.cpus,
      job.memoryGb > 0 ? type.memoryGb / job.memoryGb : Infinity,
      job.gpus > 0 ? type.gpus / job.gpus : Infinity,
    ) + RESOURCE_TOLERANCE,
  );
}

/** Plans machines to rent for tasks that the present fleet won't run soon, and idle machines to release. */
export function planScaling(input: ScalingInput): ScalingPlan {
  const planner = new ScaleOutPlanner(input);
  for (const work of input.unplaced) {
    if (planner.isFull) break;
    planner.place(work);
  }
  return { scaleOut: planner.requests(), scaleIn: input.areAllMachinesConfirmed ? chooseScaleIn(input) : [] };
}

/** A machine that is booting or to be rented, with the resources that are still free on it. */
interface Bin {
  readonly option: InstanceOption;
  readonly free: Resources;
  freeTasks: number;
  readonly isNew: boolean;
}

/** Numbers of machines, or of a job's tasks, by zone. */
type ZoneCounts = Map<string, number>;

/** Packs pending tasks onto booting machines, and onto new ones when those are full. */
class ScaleOutPlanner {
  readonly #options: readonly InstanceOption[];
  readonly #bins: Bin[];
  readonly #machinesPerZone: ZoneCounts = new Map();
  #freeingCpus: number;
  #newMachines = 0;

  constructor(private readonly input: ScalingInput) {
    this.#options = input.types.flatMap((type) =>
      type.zones.flatMap((zone) => [true, false].map((spot) => ({ type, zone, spot }))),
    );
    for (const machine of input.machines) increment(this.#machinesPerZone, machine.zone);
    this.#bins = input.machines
      .filter((machine) => machine.isBooting)
      .map((machine) => createBin(machine, false));
    this.#freeingCpus = input.freeingCpus;
  }

  /** Whether the plan has as many new machines as it may have, so that the remaining tasks can't change it. */
  get isFull(): boolean {
    return this.#newMachines >= MAX_MACHINES_PER_PLAN;
  }

  /** Assigns the job's unplaced tasks to freeing CPUs, booting machines or new ones, as far as the options allow. */
  place(work: UnplacedWork): void {
    const { job } = work;
    // The counts include placed tasks, which may rule out a zone: a machine rented in that zone might stay unused.
    const zones: ZoneCounts = new Map(work.tasksPerZone);
    let left = work.count - this.#reserveFreeingCpus(work, zones);
    // Free resources only shrink and task counts only grow, so if one task doesn't fit a bin, no later task does.
    let index = 0;
    while (left > 0) {
      index = this.#nextBin(job, zones, index);
      const bin = this.#bins[index] ?? this.#addMachine(work, left, zones);
      if (!bin) break;
      subtractResources(bin.free, job);
      bin.freeTasks -= 1;
      increment(zones, bin.option.zone);
      left -= 1;
    }
  }

  /** The machines to rent, by option. */
  requests(): ScaleOutRequest[] {
    const requests = new Map<string, ScaleOutRequest>();
    for (const { option, isNew } of this.#bins) {
      if (!isNew) continue;
      const key = optionKey(option);
      const { type, zone, spot } = option;
      const request = requests.get(key) ?? { type, zone, spot, count: 0 };
      request.count += 1;
      requests.set(key, request);
    }
    return [...requests.values()];
  }

  /** Reserves CPUs that running tasks will free before a new machine could be up; returns how many tasks get them. */
  #reserveFreeingCpus({ job, count, isUrgent }: UnplacedWork, zones: ZoneCounts): number {
    if (isUrgent || !this.#canUseRunningMachine(job, zones)) return 0;
    const absorbed = Math.min(count, Math.floor(this.#freeingCpus / job.cpus));
    this.#freeingCpus -= absorbed * job.cpus;
    return absorbed;
  }

  /**
   * Whether the job's constraints allow any running machine. `freeingCpus` is a sum over all zones and types, so without
   * this check a job would wait as long as short tasks run on machines that it can't use.
   */
  #canUseRunningMachine(job: Job, zones: ZoneCounts): boolean {
    return this.input.machines.some(
      (machine) =>
        !machine.isBooting && isEligible(job, machine) && zoneConstraintsAllow(job, zones, machine.zone),
    );
  }

  /** The index of the first bin, from index `start`, with room for a task of the job; the number of bins if none has. */
  #nextBin(job: Job, zones: ZoneCounts, start: number): number {
    let index = start;
    for (; index < this.#bins.length; index += 1) {
      const bin = this.#bins[index];
      if (!bin || !isEligible(job, bin.option)) continue;
      if (!zoneConstraintsAllow(job, zones, bin.option.zone)) continue;
      if (bin.freeTasks > 0 && fitsInto(job, bin.free)) break;
    }
    return index;
  }

  #addMachine({ job, slackMs }: UnplacedWork, tasks: number, zones: ZoneCounts): Bin | undefined {
    if (this.isFull) return undefined;
    const work = { job, tasks, slackMs, zones };
    const option = cheapestOption(work, this.#options, this.input.isBackedOff, this.#machinesPerZone);
    if (!option) return undefined;
    increment(this.#machinesPerZone, option.zone);
    const bin = createBin(option, true);
    this.#bins.push(bin);
    this.#newMachines += 1;
    return bin;
  }
}

function increment(counts: ZoneCounts, zone: string): void {
  counts.set(zone, (counts.get(zone) ?? 0) + 1);
}

function createBin(option: InstanceOption, isNew: boolean): Bin {
  const { cpus, gpus, memoryGb } = option.type;
  return { option, free: { cpus, gpus, memoryGb }, freeTasks: MAX_TASKS_PER_MACHINE, isNew };
}

/** The option with the lowest cost per task; undefined if no option is possible at present. */
function cheapestOption(
  work: { job: Job; tasks: number; slackMs: number; zones: ReadonlyMap<string, number> },
  options: readonly InstanceOption[],
  isBackedOff: (option: InstanceOption) => boolean,
  machinesPerZone: ReadonlyMap<string, number>,
): InstanceOption | undefined {
  const { job, tasks, slackMs, zones } = work;
  let best: InstanceOption | undefined;
  let bestCost = Infinity;
  for (const option of options) {
    const fittingTasks = tasksPerMachine(option.type, job);
    if (
      fittingTasks < 1 ||
      !isEligible(job, option) ||
      !zoneConstraintsAllow(job, zones, option.zone) ||
      isBackedOff(option)
    )
      continue;
    // On-demand machines cost a multiple of spot machines, so tasks with enough slack wait for spot capacity.
    if (!option.spot && job.spot && slackMs > option.type.bootS * 1000 * SPOT_ONLY_SLACK_BOOT_TIMES) continue;
    // Spreads machines over zones of equal price, so that a zone failure affects fewer machines.
    const cost =
      (priceOf(option) / Math.min(fittingTasks, tasks)) *
      (1 + PENALTY_PER_ZONE_MACHINE * (machinesPerZone.get(option.zone) ?? 0));
    if (cost < bestCost) {
      best = option;
      bestCost = cost;
    }
  }
  return best;
}

function priceOf({ type, spot }: InstanceOption): number {
  return spot ? type.spotPrice : type.price;
}

function pricePerCpu(machine: FleetMachine): number {
  return priceOf(machine) / machine.type.cpus;
}

/** Chooses machines that were idle for long enough, the most expensive per CPU first, while `warmCpus` CPUs stay free. */
function chooseScaleIn(input: ScalingInput): string[] {
  const idle = input.machines.filter(
    (machine) =>
      !machine.isBooting && machine.idleMs >= input.idleReleaseMs && machine.ageMs >= MIN_BILLED_MS,
  );
  idle.sort((a, b) => pricePerCpu(b) - pricePerCpu(a) || b.idleMs - a.idleMs);
  const chosen: string[] = [];
  let freeCpus = input.freeCpus;
  for (const machine of idle) {
    if (freeCpus - machine.type.cpus < input.warmCpus) continue;
    freeCpus -= machine.type.cpus;
    chosen.push(machine.id);
  }
  return chosen;
}
