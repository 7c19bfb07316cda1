/** @file Places the tasks of waiting jobs on machines. */
import { subtractResources, type Job, type Resources } from '../../protocol/model';
import { fitsInto, isEligible, RESOURCE_TOLERANCE, zoneConstraintsAllow } from './constraints';
import type { QueueEntry, WaitingJob } from './job-queue';
import type { MachineSnapshot } from './machine-snapshot';
import { isWithinGuarantee, isWithinQuota, type TeamQuota, type TeamUsage } from './team-quota';
import { isUnconstrained, UnplaceableSizes } from './unplaceable-sizes';

/** A machine that may take tasks. */
export interface PlacementCandidate extends MachineSnapshot {
  readonly cachedImages: ReadonlyMap<string, number>;
  /** How long it will be busy with what it has, as far as estimates tell; 0 when it is empty. */
  readonly busyForS: number;
}

/** One task of the job goes to the machine. */
export interface Placement {
  job: string;
  machine: string;
  isBoosted: boolean;
}

/** A snapshot of the waiting jobs and of the machines, for one round. */
export interface PlacementInput {
  /** In the order in which they get room. */
  readonly queue: readonly QueueEntry[];
  readonly machines: readonly PlacementCandidate[];
  readonly quotas: ReadonlyMap<string, TeamQuota>;
  readonly usage: ReadonlyMap<string, TeamUsage>;
  /** CPUs that may still be given to boosted jobs. */
  readonly boostedCpusLeft: number;
  /** Whether boosted jobs have any already. If not, one task larger than the whole share may still go ahead, alone. */
  readonly hasBoostedTasks: boolean;
  /** The entry to begin with: where the last round stopped. */
  readonly cursor: number;
}

/** What a round placed, and what it didn't. */
export interface PlacementResult {
  placements: Placement[];
  /** The number of tasks that found no room, by job. */
  unplaced: Map<string, number>;
  /** Where to go on, when the time ran out; undefined when all had their turn. */
  cursor: number | undefined;
  /** How many machines were looked at, in all. */
  machinesExamined: number;
}

/** How many machines may be reserved at a time for boosted jobs that fit nowhere yet. */
const MAX_RESERVED_MACHINES = 8;
/** Whoever a job belongs to, its tasks look for the same free room: there is one group of sizes. */
const ANY_JOB = '';

/** Finds room for waiting tasks, until all had their turn or the round's time is up. */
export function placeTasks(input: PlacementInput, timeIsUp: () => boolean): PlacementResult {
  return new PlacementRound(input).run(timeIsUp);
}

/** One entry's turn: its job with what it may use, and how many of its tasks still wait. */
interface Turn {
  readonly waiting: WaitingJob;
  readonly job: Job;
  readonly kind: QueueEntry['kind'];
  readonly quota: TeamQuota;
  readonly usage: { cpus: number; gpus: number };
  /** How many of the job's tasks are, or may be, in each zone. */
  readonly zones: Map<string, number>;
  tasksLeft: number;
}

interface ScoredMachine {
  readonly machine: PlacementCandidate;
  readonly room: Resources;
  readonly score: number;
}

/** The state of one round: free room, teams' usage and zone counts change with each task that is placed. */
class PlacementRound {
  /** The room that is left on each machine; a reserved machine has none. */
  readonly #rooms: Map<string, Resources>;
  readonly #usageByTeam: Map<string, { cpus: number; gpus: number }>;
  readonly #zonesByJob = new Map<string, Map<string, number>>();
  readonly #placedByJob = new Map<string, number>();
  readonly #unplaceable = new UnplaceableSizes();
  readonly #placements: Placement[] = [];
  readonly #unplaced = new Map<string, number>();
  #boostedCpusLeft: number;
  #hasBoostedTasks: boolean;
  #reservedMachines = 0;
  #machinesExamined = 0;

  constructor(private readonly input: PlacementInput) {
    this.#rooms = new Map(input.machines.map((machine) => [machine.id, { ...machine.free }]));
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
      this.#takeTurn(entry);
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

  #takeTurn(entry: QueueEntry): void {
    const turn = this.#beginTurn(entry);
    if (!turn) return;
    if (this.#wantsMore(turn) && !this.#unplaceable.has(ANY_JOB, turn.job)) {
      this.#placeJob(turn);
      if (this.#wantsMore(turn)) this.#handleLackOfRoom(turn);
    }
    this.#placedByJob.set(turn.job.id, turn.waiting.waitingTasks - turn.tasksLeft);
    this.#countUnplaced(turn);
  }

  #beginTurn({ waiting, kind }: QueueEntry): Turn | undefined {
    const { job } = waiting;
    const quota = this.input.quotas.get(job.team);
    if (!quota) return undefined;
    const usage = this.#usageByTeam.get(job.team) ?? { cpus: 0, gpus: 0 };
    this.#usageByTeam.set(job.team, usage);
    const zones = this.#zonesByJob.get(job.id) ?? new Map(waiting.tasksPerZone);
    this.#zonesByJob.set(job.id, zones);
    const tasksLeft = waiting.waitingTasks - (this.#placedByJob.get(job.id) ?? 0);
    return { waiting, job, kind, quota, usage, zones, tasksLeft };
  }

  /** Whether the job has a task waiting that its team's limits let it place in this turn. */
  #wantsMore({ job, kind, quota, usage, tasksLeft }: Turn): boolean {
    return (
      tasksLeft > 0 &&
      isWithinQuota(job, usage, quota) &&
      (kind !== 'guaranteed' || isWithinGuarantee(job, usage, quota)) &&
      (kind !== 'boosted' || !this.#hasBoostedTasks || job.cpus <= this.#boostedCpusLeft)
    );
  }

  /**
   * A task that goes to the best machine makes it no worse for the next one of the same job, as less room is left over: so
   * machines are looked at once for a job and filled in order, not looked at again for every task.
   */
  #placeJob(turn: Turn): void {
    const { job, zones } = turn;
    for (const { machine, room } of this.#scoredMachines(turn)) {
      if (!this.#wantsMore(turn)) break;
      while (this.#wantsMore(turn) && fitsInto(job, room) && zoneConstraintsAllow(job, zones, machine.zone)) {
        this.#placeTask(turn, machine, room);
      }
    }
  }

  /** The machines with room for a task of the job, best first. */
  #scoredMachines({ waiting, job }: Turn): ScoredMachine[] {
    const { machines } = this.input;
    this.#machinesExamined += machines.length;
    const scored: ScoredMachine[] = [];
    for (const machine of machines) {
      const room = this.#rooms.get(machine.id);
      if (!room || !fitsInto(job, room)) continue;
      if (!isEligible(job, machine) || waiting.machinesToAvoid.has(machine.id)) continue;
      scored.push({ machine, room, score: score(waiting, machine, room) });
    }
    return scored.sort((a, b) => b.score - a.score);
  }

  #placeTask(turn: Turn, machine: PlacementCandidate, room: Resources): void {
    const { job, usage, zones } = turn;
    const isBoosted = turn.kind === 'boosted';
    subtractResources(room, job);
    usage.cpus += job.cpus;
    usage.gpus += job.gpus;
    if (isBoosted) this.#takeBoostedShare(job);
    zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
    this.#placements.push({ job: job.id, machine: machine.id, isBoosted });
    turn.tasksLeft -= 1;
  }

  #takeBoostedShare(job: Job): void {
    this.#boostedCpusLeft -= job.cpus;
    this.#hasBoostedTasks = true;
  }

  #handleLackOfRoom(turn: Turn): void {
    if (turn.kind === 'boosted' && this.#reservedMachines < MAX_RESERVED_MACHINES) {
      this.#reserveMachine(turn);
    } else if (isUnconstrained(turn.waiting)) {
      this.#unplaceable.add(ANY_JOB, turn.job);
    }
  }

  /** Small tasks would fill every gap before a large one fits: one machine is kept clear for it. */
  #reserveMachine(turn: Turn): void {
    const machine = this.#firstToBeEmpty(turn);
    if (machine === undefined) return;
    this.#rooms.delete(machine);
    this.#reservedMachines += 1;
    this.#takeBoostedShare(turn.job);
  }

  /** The machine that is the first to have room for the job, once nothing more is put there. */
  #firstToBeEmpty({ waiting, job, zones }: Turn): string | undefined {
    let best: PlacementCandidate | undefined;
    for (const machine of this.input.machines) {
      if (!this.#rooms.has(machine.id) || !fitsInto(job, machine.type)) continue;
      if (!isEligible(job, machine) || waiting.machinesToAvoid.has(machine.id)) continue;
      if (!zoneConstraintsAllow(job, zones, machine.zone)) continue;
      if (!best || machine.busyForS < best.busyForS) best = machine;
    }
    return best?.id;
  }

  /** Only work that its team's limit lets run counts as lacking room. */
  #countUnplaced({ job, kind, quota, usage, tasksLeft }: Turn): void {
    if (kind !== 'regular' || tasksLeft <= 0 || !isWithinQuota(job, usage, quota)) return;
    const withinLimit =
      quota.cpus_max === 0
        ? tasksLeft
        : Math.floor((quota.cpus_max - usage.cpus + RESOURCE_TOLERANCE) / job.cpus);
    this.#unplaced.set(job.id, Math.min(tasksLeft, withinLimit));
  }
}

/** How well a task suits a machine with room for it: a cached image counts most, then how little room is left over. */
function score(
  { job, expectedRunS: runS }: WaitingJob,
  machine: PlacementCandidate,
  free: Resources,
): number {
  const cached = machine.cachedImages.has(job.image) ? 4 : 0;
  const cpuLeft = (free.cpus - job.cpus) / machine.type.cpus;
  const memoryLeft = (free.memoryGb - job.memoryGb) / machine.type.memoryGb;
  // Spot machines are cheap, so they are filled first and the others can be returned. A machine that stays busy anyway is
  // preferred for the same reason: the others become idle.
  const staysBusy = machine.busyForS > 0 ? 0.5 + 0.5 * Math.min(1, machine.busyForS / runS) : 0;
  return cached + (machine.spot ? 1.5 : 0) + staysBusy - cpuLeft - 0.5 * Math.abs(cpuLeft - memoryLeft);
}
