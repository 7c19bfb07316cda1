/** @file Placement: assigns the tasks of waiting jobs to machines. */
import { subtractResources, type Job, type Resources } from '../../protocol/model';
import { fitsInto, isEligible, NO_ROOM, RESOURCE_TOLERANCE, zoneConstraintsAllow } from './constraints';
import type { QueueEntry, WaitingJob } from './job-queue';
import type { MachineSnapshot } from './machine-snapshot';
import { isWithinGuarantee, isWithinQuota, type TeamQuota, type TeamUsage } from './team-quota';
import { isUnconstrained, UnplaceableSizes } from './unplaceable-sizes';

/** A machine on which tasks may be placed. */
export interface PlacementCandidate extends MachineSnapshot {
  /** Sizes of the cached images in GB, by image. */
  readonly cachedImages: ReadonlyMap<string, number>;
  /** The estimated time until the machine's current tasks have ended; 0 if the machine is idle. */
  readonly busyForS: number;
}

/** The placement of one task of the job on the machine. */
export interface Placement {
  job: string;
  machine: string;
  isBoosted: boolean;
}

/** A snapshot of the waiting jobs and of the machines, for one round. */
export interface PlacementInput {
  /** The queue entries in placement order. */
  readonly queue: readonly QueueEntry[];
  readonly machines: readonly PlacementCandidate[];
  readonly quotas: ReadonlyMap<string, TeamQuota>;
  readonly usage: ReadonlyMap<string, TeamUsage>;
  /** CPUs that are still unused in the share of the fleet that is reserved for boosted jobs. */
  readonly boostedCpusLeft: number;
  /** Whether any boosted task is on a machine. If none is, one may exceed the share of the fleet for boosted jobs. */
  readonly hasBoostedTasks: boolean;
  /** How many tasks the round may place: as many as the owner has memory for. */
  readonly maxPlacements: number;
  /** The index of the first queue entry to process: where the last round stopped. */
  readonly cursor: number;
}

/** The placements of a round, and the tasks that could not be placed. */
export interface PlacementResult {
  placements: Placement[];
  /** The number of tasks that could not be placed, by job. */
  unplaced: Map<string, number>;
  /** The index of the queue entry to continue with; undefined if the round reached the end of the queue. */
  cursor: number | undefined;
  /** The number of machines examined; a machine counts once for each queue entry. */
  machinesExamined: number;
}

/** How many machines one round may reserve for boosted jobs that fit nowhere yet. */
const MAX_RESERVED_MACHINES = 8;
/** The only group in `UnplaceableSizes`, because the tasks of all jobs and teams compete for the same free resources. */
const SHARED_GROUP = '';

/** Places waiting tasks until the end of the queue, or until the round's time budget is used up. */
export function placeTasks(input: PlacementInput, timeIsUp: () => boolean): PlacementResult {
  return new PlacementRound(input).run(timeIsUp);
}

/** The state of the queue entry being processed: its job, the quota and usage of its team, and the tasks left to place. */
interface EntryState {
  readonly waiting: WaitingJob;
  readonly job: Job;
  readonly kind: QueueEntry['kind'];
  readonly quota: TeamQuota;
  readonly usage: { cpus: number; gpus: number };
  /** The number of the job's tasks that run, or may run, in each zone. */
  readonly tasksPerZone: Map<string, number>;
  tasksLeft: number;
}

interface ScoredMachine {
  readonly machine: PlacementCandidate;
  readonly free: Resources;
  readonly score: number;
}

/** The state of one round: free resources, teams' usage and zone counts change with each task that is placed. */
class PlacementRound {
  /** The free resources of each machine; reserved machines are removed. */
  readonly #freeByMachine: Map<string, Resources>;
  readonly #usageByTeam: Map<string, { cpus: number; gpus: number }>;
  readonly #tasksPerZoneByJob = new Map<string, Map<string, number>>();
  readonly #placedByJob = new Map<string, number>();
  readonly #placedByMachine = new Map<string, number>();
  readonly #unplaceable = new UnplaceableSizes();
  readonly #placements: Placement[] = [];
  readonly #unplaced = new Map<string, number>();
  #boostedCpusLeft: number;
  #hasBoostedTasks: boolean;
  #reservedMachines = 0;
  #machinesExamined = 0;

  constructor(private readonly input: PlacementInput) {
    this.#freeByMachine = new Map(input.machines.map((machine) => [machine.id, { ...machine.free }]));
    this.#usageByTeam = new Map([...input.usage].map(([team, usage]) => [team, { ...usage }]));
    this.#boostedCpusLeft = input.boostedCpusLeft;
    this.#hasBoostedTasks = input.hasBoostedTasks;
  }

  run(timeIsUp: () => boolean): PlacementResult {
    const { queue, cursor } = this.input;
    for (let index = cursor; index < queue.length; index += 1) {
      const entry = queue[index];
      if (!entry) break;
      if (index > cursor && timeIsUp()) return this.#result(index);
      this.#processEntry(entry);
    }
    return this.#result(undefined);
  }

  #result(cursor: number | undefined): PlacementResult {
    return {
      placements: this.#placements,
      unplaced: this.#unplaced,
      cursor,
      machinesExamined: this.#machinesExamined,
    };
  }

  #processEntry(entry: QueueEntry): void {
    const entryState = this.#startEntry(entry);
    if (!entryState) return;
    if (this.#mayPlaceAnother(entryState) && !this.#unplaceable.has(SHARED_GROUP, entryState.job)) {
      this.#placeJob(entryState);
      if (this.#mayPlaceAnother(entryState)) this.#handleUnplacedTasks(entryState);
    }
    this.#placedByJob.set(entryState.job.id, entryState.waiting.waitingTasks - entryState.tasksLeft);
    this.#countUnplaced(entryState);
  }

  #startEntry({ waiting, kind }: QueueEntry): EntryState | undefined {
    const { job } = waiting;
    const quota = this.input.quotas.get(job.team);
    if (!quota) return undefined;
    const usage = this.#usageByTeam.get(job.team) ?? { cpus: 0, gpus: 0 };
    this.#usageByTeam.set(job.team, usage);
    const tasksPerZone = this.#tasksPerZoneByJob.get(job.id) ?? new Map(waiting.tasksPerZone);
    this.#tasksPerZoneByJob.set(job.id, tasksPerZone);
    const tasksLeft = waiting.waitingTasks - (this.#placedByJob.get(job.id) ?? 0);
    return { waiting, job, kind, quota, usage, tasksPerZone, tasksLeft };
  }

  /** Whether the round has placed as many tasks as it may. */
  get #isFull(): boolean {
    return this.#placements.length >= this.input.maxPlacements;
  }

  /** Whether the job has a task left, and its team's limits and the kind of the queue entry allow placing a task. */
  #mayPlaceAnother({ job, kind, quota, usage, tasksLeft }: EntryState): boolean {
    return (
      tasksLeft > 0 &&
      !this.#isFull &&
      isWithinQuota(job, usage, quota) &&
      (kind !== 'guaranteed' || isWithinGuarantee(job, usage, quota)) &&
      (kind !== 'boosted' || !this.#hasBoostedTasks || job.cpus <= this.#boostedCpusLeft)
    );
  }

  /**
   * Fills the machines, highest score first, with tasks of the job. Scores are computed once for the job, not per task:
   * a placed task leaves fewer free resources on its machine, so the machine is no worse for the next task of the job.
   */
  #placeJob(entryState: EntryState): void {
    const { job, tasksPerZone } = entryState;
    for (const { machine, free } of this.#scoredMachines(entryState)) {
      if (!this.#mayPlaceAnother(entryState)) break;
      while (
        this.#mayPlaceAnother(entryState) &&
        fitsInto(job, free) &&
        zoneConstraintsAllow(job, tasksPerZone, machine.zone)
      ) {
        this.#placeTask(entryState, machine, free);
      }
    }
  }

  /** The machines on which a task of the job fits, those with the highest score first. */
  #scoredMachines({ waiting, job }: EntryState): ScoredMachine[] {
    const { machines } = this.input;
    this.#machinesExamined += machines.length;
    const scored: ScoredMachine[] = [];
    for (const machine of machines) {
      const free = this.#freeByMachine.get(machine.id);
      if (!free || !fitsInto(job, free)) continue;
      if (!isEligible(job, machine) || waiting.machinesToAvoid.has(machine.id)) continue;
      scored.push({ machine, free, score: score(waiting, machine, free) });
    }
    return scored.sort((a, b) => b.score - a.score);
  }

  #placeTask(entryState: EntryState, machine: PlacementCandidate, free: Resources): void {
    const { job, usage, tasksPerZone } = entryState;
    const isBoosted = entryState.kind === 'boosted';
    subtractResources(free, job);
    this.#countTask(machine, free);
    usage.cpus += job.cpus;
    usage.gpus += job.gpus;
    if (isBoosted) this.#useBoostedShare(job);
    tasksPerZone.set(machine.zone, (tasksPerZone.get(machine.zone) ?? 0) + 1);
    this.#placements.push({ job: job.id, machine: machine.id, isBoosted });
    entryState.tasksLeft -= 1;
  }

  /** Counts a placed task; a machine that has as many as it may have has no room left. */
  #countTask({ id, freeTasks }: PlacementCandidate, free: Resources): void {
    const placed = (this.#placedByMachine.get(id) ?? 0) + 1;
    this.#placedByMachine.set(id, placed);
    if (placed >= freeTasks) Object.assign(free, NO_ROOM);
  }

  #useBoostedShare(job: Job): void {
    this.#boostedCpusLeft -= job.cpus;
    this.#hasBoostedTasks = true;
  }

  #handleUnplacedTasks(entryState: EntryState): void {
    if (entryState.kind === 'boosted' && this.#reservedMachines < MAX_RESERVED_MACHINES) {
      this.#reserveMachine(entryState);
    } else if (isUnconstrained(entryState.waiting)) {
      this.#unplaceable.add(SHARED_GROUP, entryState.job);
    }
  }

  /** Reserves a machine for a boosted job that fits nowhere. Otherwise small tasks would fill each gap first. */
  #reserveMachine(entryState: EntryState): void {
    const machine = this.#earliestIdleMachine(entryState);
    if (machine === undefined) return;
    this.#freeByMachine.delete(machine);
    this.#reservedMachines += 1;
    this.#useBoostedShare(entryState.job);
  }

  /** Of the eligible machines that are large enough, the one that becomes idle first if no more tasks are placed there. */
  #earliestIdleMachine({ waiting, job, tasksPerZone }: EntryState): string | undefined {
    let best: PlacementCandidate | undefined;
    for (const machine of this.input.machines) {
      if (!this.#freeByMachine.has(machine.id) || !fitsInto(job, machine.type)) continue;
      if (!isEligible(job, machine) || waiting.machinesToAvoid.has(machine.id)) continue;
      if (!zoneConstraintsAllow(job, tasksPerZone, machine.zone)) continue;
      if (!best || machine.busyForS < best.busyForS) best = machine;
    }
    return best?.id;
  }

  /**
   * Counts the tasks left as unplaced, except those beyond the team's limit or that of the round: they don't wait for free
   * resources.
   */
  #countUnplaced({ job, kind, quota, usage, tasksLeft }: EntryState): void {
    if (this.#isFull || kind !== 'regular' || tasksLeft <= 0 || !isWithinQuota(job, usage, quota)) return;
    const withinLimit =
      quota.cpus_max === 0
        ? tasksLeft
        : Math.floor((quota.cpus_max - usage.cpus + RESOURCE_TOLERANCE) / job.cpus);
    this.#unplaced.set(job.id, Math.min(tasksLeft, withinLimit));
  }
}

/** Scores a machine for a task that fits there: a cached image counts most; fewer leftover resources score higher. */
function score({ job, expectedRunS }: WaitingJob, machine: PlacementCandidate, free: Resources): number {
  const cached = machine.cachedImages.has(job.image) ? 4 : 0;
  const cpuLeft = (free.cpus - job.cpus) / machine.type.cpus;
  const memoryLeft = (free.memoryGb - job.memoryGb) / machine.type.memoryGb;
  // Spot machines are cheaper, so they are filled first and on-demand machines can be released. Machines that stay busy
  // anyway are preferred too, so that other machines become idle and can be released.
  const staysBusy = machine.busyForS > 0 ? 0.5 + 0.5 * Math.min(1, machine.busyForS / expectedRunS) : 0;
  return cached + (machine.spot ? 1.5 : 0) + staysBusy - cpuLeft - 0.5 * Math.abs(cpuLeft - memoryLeft);
}
