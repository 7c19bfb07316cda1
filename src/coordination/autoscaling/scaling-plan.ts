/** @file Plans which machines to rent for waiting work and which idle ones to return. */
import { subtractResources, type Job, type MachineType, type Resources } from '../../protocol/model';
import {
  fitsInto,
  isEligible,
  RESOURCE_TOLERANCE,
  zoneConstraintsAllow,
  type MachineKind,
} from '../scheduling/constraints';

/** A machine of the fleet, as far as renting and returning need to know it. */
export interface FleetMachine extends MachineKind {
  readonly id: string;
  readonly isBooting: boolean;
  /** Time since the rental, as far as known. */
  readonly ageMs: number;
  /** How long it has been empty; 0 while anything is on it. */
  readonly idleMs: number;
}

/** A kind of machine that can be rented in a zone. */
export type InstanceOption = MachineKind;

/** A number of machines of one kind to rent. */
export interface ScaleOutRequest extends InstanceOption {
  count: number;
}

/** Tasks of one job that found no room. */
export interface UnplacedWork {
  readonly job: Job;
  readonly count: number;
  /** It is not to wait for room that comes free by itself. */
  readonly isUrgent: boolean;
  /** How long its tasks can still wait and be in time. */
  readonly slackMs: number;
  /** How many of the job's tasks are, or may be, in each zone. */
  readonly tasksPerZone?: ReadonlyMap<string, number>;
}

/** A snapshot of the waiting work and of the fleet. */
export interface ScalingInput {
  /** Tasks that found no room, in order. */
  readonly unplaced: readonly UnplacedWork[];
  readonly machines: readonly FleetMachine[];
  readonly types: readonly MachineType[];
  /** Whether the cloud had no capacity for this option a short while ago. */
  readonly isBackedOff: (option: InstanceOption) => boolean;
  /** CPUs that running work will free before a new machine could be up. */
  readonly freeingCpus: number;
  /** How long a machine must have been idle to be returned. */
  readonly idleReleaseMs: number;
  /** Whether all that waits may be placed: before, idle machines are kept for it. */
  readonly areAllMachinesConfirmed: boolean;
  /** Idle CPUs to keep for work that should start at once. */
  readonly warmCpus: number;
  /** CPUs that are free on machines where tasks may start. */
  readonly freeCpus: number;
}

/** What to rent, and the ids of the machines to return. */
export interface ScalingPlan {
  scaleOut: ScaleOutRequest[];
  scaleIn: string[];
}

/** A machine costs at least this long, so an earlier return saves nothing. */
const MIN_CHARGE_MS = 60_000;
/** Work that may run on spot machines waits for one while its slack is longer than this many boot times. */
const MAX_SPOT_WAIT_BOOTS = 1.5;
/** How much dearer a zone counts for each machine that is there already, as a share of the price. */
const PENALTY_PER_ZONE_MACHINE = 0.001;

/** A string that is the same for equal options. */
export function optionKey(option: InstanceOption): string {
  return `${option.type.name}|${option.zone}|${option.spot ? 'spot' : 'ordinary'}`;
}

/** How many tasks of the job an empty machine of the type has room for. */
function capacity(type: MachineType, job: Job): number {
  return Math.floor(
    Math.min(
      type.cpus / job.cpus,
      job.memoryGb > 0 ? type.memoryGb / job.memoryGb : Infinity,
      job.gpus > 0 ? type.gpus / job.gpus : Infinity,
    ) + RESOURCE_TOLERANCE,
  );
}

/** Chooses machines to rent for the backlog that the present ones won't absorb, and idle ones to return. */
export function planScaling(input: ScalingInput): ScalingPlan {
  const planner = new ScaleOutPlanner(input);
  for (const work of input.unplaced) planner.place(work);
  return { scaleOut: planner.requests(), scaleIn: input.areAllMachinesConfirmed ? chooseScaleIn(input) : [] };
}

/** A machine that boots or is to be rented, with the room that is left there. */
interface Bin {
  readonly option: InstanceOption;
  readonly room: Resources;
  readonly isNew: boolean;
}

/** Numbers of machines, or of a job's tasks, by zone. */
type ZoneCounts = Map<string, number>;

/** Fills waiting work into machines that are booting, and into new ones where it needs them. */
class ScaleOutPlanner {
  readonly #options: readonly InstanceOption[];
  readonly #bins: Bin[];
  readonly #machinesPerZone: ZoneCounts = new Map();
  #freeingCpus: number;

  constructor(private readonly input: ScalingInput) {
    this.#options = input.types.flatMap((type) =>
      type.zones.flatMap((zone) => [true, false].map((spot) => ({ type, zone, spot }))),
    );
    for (const machine of input.machines) increment(this.#machinesPerZone, machine.zone);
    this.#bins = input.machines
      .filter((machine) => machine.isBooting)
      .map((machine) => ({ option: machine, room: emptyRoom(machine.type), isNew: false }));
    this.#freeingCpus = input.freeingCpus;
  }

  /** Finds a place for each task of the work, as far as the cloud's options allow. */
  place(work: UnplacedWork): void {
    const { job } = work;
    // A machine in a zone that the job's other tasks exclude is of no use to it, however many are rented there.
    const zones: ZoneCounts = new Map(work.tasksPerZone);
    let left = work.count - this.#absorb(work, zones);
    // Rooms only shrink and zones only fill: a bin without room for one task of a job has none for the job's next.
    let index = 0;
    while (left > 0) {
      index = this.#nextBin(job, zones, index);
      const bin = this.#bins[index] ?? this.#addMachine(work, left, zones);
      if (!bin) break;
      subtractResources(bin.room, job);
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

  /** How many of the tasks will run in room that comes free before a new machine could be up. */
  #absorb({ job, count, isUrgent }: UnplacedWork, zones: ZoneCounts): number {
    if (isUrgent || !this.#mayUseAny(job, zones)) return 0;
    const absorbed = Math.min(count, Math.floor(this.#freeingCpus / job.cpus));
    this.#freeingCpus -= absorbed * job.cpus;
    return absorbed;
  }

  /**
   * Room that comes free is counted over all zones and types. Work that may use none of those machines must not count on
   * it: it would wait for as long as any short work runs elsewhere.
   */
  #mayUseAny(job: Job, zones: ZoneCounts): boolean {
    return this.input.machines.some(
      (machine) =>
        !machine.isBooting && isEligible(job, machine) && zoneConstraintsAllow(job, zones, machine.zone),
    );
  }

  /** The index of the first bin from `start` on with room for a task of the job; the number of bins if none has. */
  #nextBin(job: Job, zones: ZoneCounts, start: number): number {
    let index = start;
    for (; index < this.#bins.length; index += 1) {
      const bin = this.#bins[index];
      if (!bin || !isEligible(job, bin.option)) continue;
      if (zoneConstraintsAllow(job, zones, bin.option.zone) && fitsInto(job, bin.room)) break;
    }
    return index;
  }

  #addMachine({ job, slackMs }: UnplacedWork, tasks: number, zones: ZoneCounts): Bin | undefined {
    const work = { job, tasks, slackMs, zones };
    const option = cheapest(work, this.#options, this.input.isBackedOff, this.#machinesPerZone);
    if (!option) return undefined;
    increment(this.#machinesPerZone, option.zone);
    const bin = { option, room: emptyRoom(option.type), isNew: true };
    this.#bins.push(bin);
    return bin;
  }
}

function increment(counts: ZoneCounts, zone: string): void {
  counts.set(zone, (counts.get(zone) ?? 0) + 1);
}

function emptyRoom({ cpus, gpus, memoryGb }: MachineType): Resources {
  return { cpus, gpus, memoryGb };
}

/** The cheapest option for tasks of the work; undefined when none fits, or all are backed off. */
function cheapest(
  work: { job: Job; tasks: number; slackMs: number; zones: ReadonlyMap<string, number> },
  options: readonly InstanceOption[],
  isBackedOff: (option: InstanceOption) => boolean,
  machinesPerZone: ReadonlyMap<string, number>,
): InstanceOption | undefined {
  const { job, tasks, slackMs, zones } = work;
  let best: InstanceOption | undefined;
  let bestCost = Infinity;
  for (const option of options) {
    const fittingTasks = capacity(option.type, job);
    if (
      fittingTasks < 1 ||
      !isEligible(job, option) ||
      !zoneConstraintsAllow(job, zones, option.zone) ||
      isBackedOff(option)
    )
      continue;
    // Ordinary machines cost a multiple: work that can wait for spot ones to come free does.
    if (!option.spot && job.spot && slackMs > option.type.bootS * 1000 * MAX_SPOT_WAIT_BOOTS) continue;
    // Spread over the zones where the price is the same, so that a failing zone takes less with it.
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

/** The price of a machine of this kind. */
function priceOf({ type, spot }: InstanceOption): number {
  return spot ? type.spotPrice : type.price;
}

function pricePerCpu(machine: FleetMachine): number {
  return priceOf(machine) / machine.type.cpus;
}

/** The machines that were idle for long enough, dearest first, as far as enough room stays free. */
function chooseScaleIn(input: ScalingInput): string[] {
  const idle = input.machines.filter(
    (machine) =>
      !machine.isBooting && machine.idleMs >= input.idleReleaseMs && machine.ageMs >= MIN_CHARGE_MS,
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
