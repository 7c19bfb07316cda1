import { takeFrom, type Job, type MachineType, type Resources } from '../protocol/model';
import { fits, mayUse, zoneAllows } from './placement';

export interface FleetMachine {
  readonly id: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly booting: boolean;
  /** Time since the rental, as far as known. */
  readonly ageMs: number;
  /** How long it has been empty; 0 while anything is on it. */
  readonly idleMs: number;
}

export interface RentOption {
  type: MachineType;
  zone: string;
  spot: boolean;
}

export interface Rental extends RentOption {
  count: number;
}

export interface UnplacedWork {
  readonly job: Job;
  readonly count: number;
  readonly urgent: boolean;
  /** How long its tasks can still wait and be in time. */
  readonly slackMs: number;
  /** How many of the job's tasks are, or may be, in each zone. */
  readonly zones?: ReadonlyMap<string, number>;
}

export interface FleetInput {
  /** Tasks that found no room, in order. */
  readonly unplaced: readonly UnplacedWork[];
  readonly machines: readonly FleetMachine[];
  readonly types: readonly MachineType[];
  /** Whether the cloud refused this option lately. */
  readonly refused: (option: RentOption) => boolean;
  /** CPUs that running work will free before a new machine could be up. */
  readonly freeingCpus: number;
  readonly idleReleaseMs: number;
  /** Whether all that waits may be placed: before, empty machines are waiting for it. */
  readonly allMayStart: boolean;
  /** Idle CPUs to keep for work that should start at once. */
  readonly warmCpus: number;
  readonly freeCpus: number;
}

export interface FleetPlan {
  rent: Rental[];
  release: string[];
}

/** A machine costs at least this long, so an earlier release saves nothing. */
const LEAST_CHARGE_MS = 60_000;
const PATIENCE_IN_BOOTS = 1.5;

export function optionKey(option: RentOption): string {
  return `${option.type.name}|${option.zone}|${option.spot ? 'spot' : 'ordinary'}`;
}

function capacity(type: MachineType, job: Job): number {
  return Math.floor(
    Math.min(
      type.cpus / job.cpus,
      job.memoryGb > 0 ? type.memoryGb / job.memoryGb : Infinity,
      job.gpus > 0 ? type.gpus / job.gpus : Infinity,
    ) + 1e-6,
  );
}

/** Which machines to rent for the backlog that the present ones won't absorb, and which empty ones to return. */
export function planFleet(input: FleetInput): FleetPlan {
  const options: RentOption[] = input.types.flatMap((type) =>
    type.zones.flatMap((zone) => [true, false].map((spot) => ({ type, zone, spot }))),
  );
  const perZone = new Map<string, number>();
  for (const m of input.machines) perZone.set(m.zone, (perZone.get(m.zone) ?? 0) + 1);
  const bins: { option: RentOption; room: Resources; isNew: boolean }[] = input.machines
    .filter((m) => m.booting)
    .map((m) => ({
      option: m,
      room: { cpus: m.type.cpus, gpus: m.type.gpus, memoryGb: m.type.memoryGb },
      isNew: false,
    }));
  // What comes free is counted over all zones and types: work that may go to none of those machines would wait for it as
  // long as anything short runs elsewhere.
  const mayUseAny = (job: Job, zones: ReadonlyMap<string, number>): boolean =>
    input.machines.some((m) => !m.booting && mayUse(job, m) && zoneAllows(job, zones, m.zone));
  let freeing = input.freeingCpus;
  for (const { job, count, urgent, slackMs, zones: taken } of input.unplaced) {
    let left = count;
    // A machine in a zone where its other tasks keep it from going is of no use to it, however many are rented.
    const zones = new Map(taken);
    if (!urgent && mayUseAny(job, zones)) {
      const absorbed = Math.min(left, Math.floor(freeing / job.cpus));
      left -= absorbed;
      freeing -= absorbed * job.cpus;
    }
    // Room only shrinks, and zones only fill: a machine that had none for the last task of a job has none for its next.
    let at = 0;
    while (left > 0) {
      while (at < bins.length) {
        const b = bins[at];
        if (b && mayUse(job, b.option) && zoneAllows(job, zones, b.option.zone) && fits(job, b.room)) break;
        at += 1;
      }
      let bin = bins[at];
      if (!bin) {
        const option = cheapest({ job, tasks: left, slackMs, zones }, options, input.refused, perZone);
        if (!option) break;
        perZone.set(option.zone, (perZone.get(option.zone) ?? 0) + 1);
        const { cpus, gpus, memoryGb } = option.type;
        bin = { option, room: { cpus, gpus, memoryGb }, isNew: true };
        bins.push(bin);
      }
      takeFrom(bin.room, job);
      zones.set(bin.option.zone, (zones.get(bin.option.zone) ?? 0) + 1);
      left -= 1;
    }
  }
  const rentals = new Map<string, Rental>();
  for (const { option, isNew } of bins) {
    if (!isNew) continue;
    const key = optionKey(option);
    const rental = rentals.get(key) ?? { type: option.type, zone: option.zone, spot: option.spot, count: 0 };
    rental.count += 1;
    rentals.set(key, rental);
  }
  return { rent: [...rentals.values()], release: input.allMayStart ? chooseReleases(input) : [] };
}

function cheapest(
  work: { job: Job; tasks: number; slackMs: number; zones: ReadonlyMap<string, number> },
  options: readonly RentOption[],
  refused: (option: RentOption) => boolean,
  perZone: ReadonlyMap<string, number>,
): RentOption | undefined {
  const { job, tasks, slackMs, zones } = work;
  let best: RentOption | undefined;
  let bestCost = Infinity;
  for (const option of options) {
    const fit = capacity(option.type, job);
    if (fit < 1 || !mayUse(job, option) || !zoneAllows(job, zones, option.zone) || refused(option)) continue;
    // Ordinary machines cost a multiple: work that can wait for spot ones to come free does.
    if (!option.spot && job.spot && slackMs > option.type.bootS * 1000 * PATIENCE_IN_BOOTS) continue;
    const price = option.spot ? option.type.spotPrice : option.type.price;
    // Spread over the zones where the price is the same, so that a failing zone takes less with it.
    const cost = (price / Math.min(fit, tasks)) * (1 + 0.001 * (perZone.get(option.zone) ?? 0));
    if (cost < bestCost) {
      best = option;
      bestCost = cost;
    }
  }
  return best;
}

function chooseReleases(input: FleetInput): string[] {
  const idle = input.machines.filter(
    (m) => !m.booting && m.idleMs >= input.idleReleaseMs && m.ageMs >= LEAST_CHARGE_MS,
  );
  const price = (m: FleetMachine): number => (m.spot ? m.type.spotPrice : m.type.price) / m.type.cpus;
  idle.sort((a, b) => price(b) - price(a) || b.idleMs - a.idleMs);
  const release: string[] = [];
  let free = input.freeCpus;
  for (const m of idle) {
    if (free - m.type.cpus < input.warmCpus) continue;
    free -= m.type.cpus;
    release.push(m.id);
  }
  return release;
}
