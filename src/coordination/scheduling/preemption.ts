/** @file Chooses running tasks to evict so that waiting tasks of more right get their room. */
import {
  addResources,
  PRIORITY_RANK,
  subtractResources,
  type Job,
  type Resources,
} from '../../protocol/model';
import { fitsInto, isEligible, RESOURCE_TOLERANCE, zoneConstraintsAllow } from './constraints';
import type { WaitingJob } from './job-queue';
import type { MachineSnapshot } from './machine-snapshot';
import type { TeamQuota, TeamUsage } from './team-quota';
import { isUnconstrained, UnplaceableSizes } from './unplaceable-sizes';

/** A running task that may have to be evicted. */
export interface PreemptibleTask {
  readonly key: string;
  readonly job: Job;
  /** Seconds of work that evicting it now would lose, saving included. */
  readonly lossS: number;
  /** It is being evicted already; its room comes free. */
  readonly isBeingEvicted: boolean;
}

/** A machine with its tasks and the room that is free there. */
export interface PreemptionCandidate extends MachineSnapshot {
  readonly tasks: readonly PreemptibleTask[];
}

/** A job that found no room, and how many of its tasks. */
export interface UnplacedJob {
  readonly waiting: WaitingJob;
  readonly count: number;
}

/** A snapshot of what waits and what runs. */
export interface PreemptionInput {
  /** Jobs that found no room, in order. */
  readonly unplaced: readonly UnplacedJob[];
  readonly machines: readonly PreemptionCandidate[];
  readonly quotas: ReadonlyMap<string, TeamQuota>;
  readonly usage: ReadonlyMap<string, TeamUsage>;
}

/** The tasks to evict, each with its machine, and how many machines were examined for that. */
export interface PreemptionResult {
  victims: { key: string; machine: string }[];
  machinesExamined: number;
}

/** How to evict a running task, and how many seconds of work that costs. */
export interface EvictionCost {
  /** How long the task gets to save what it has done. */
  readonly graceS: number;
  readonly lossS: number;
}

/**
 * What evicting a task of the job costs after it ran for so long. A task that saved by itself a moment ago loses less by
 * being stopped at once than by the time that saving takes, and its room is free sooner.
 */
export function evictionCost(job: Job, ranS: number): EvictionCost {
  if (job.checkpointS === 0) return { graceS: 0, lossS: ranS };
  const unsavedS = ranS % job.checkpointS;
  return unsavedS <= job.saveS ? { graceS: 0, lossS: unsavedS } : { graceS: job.saveS, lossS: job.saveS };
}

/**
 * Chooses running tasks to evict so that waiting ones get room: tasks of a lower priority and, for a team below its
 * guarantee, tasks that another team runs beyond its own guarantee. Nothing else is evicted for room.
 */
export function choosePreemptions(
  input: PreemptionInput,
  timeIsUp: () => boolean = () => false,
): PreemptionResult {
  return new PreemptionPlanner(input).run(timeIsUp);
}

/** Which tasks to evict on a machine so that one more task fits there. */
interface EvictionPlan {
  readonly machine: PreemptionCandidate;
  readonly victims: readonly PreemptibleTask[];
  /** CPU seconds of work that are lost. */
  readonly loss: number;
}

/** The state of one choice: room and teams' usage change with each task that is chosen. */
class PreemptionPlanner {
  readonly #usageByTeam: Map<string, TeamUsage>;
  /** The machine of each task that is to be evicted, by the task's key. */
  readonly #machineByVictim = new Map<string, string>();
  /** The room on each machine once all evictions so far are over. */
  readonly #rooms = new Map<string, Resources>();
  readonly #unplaceable = new UnplaceableSizes();
  #machinesExamined = 0;

  constructor(private readonly input: PreemptionInput) {
    this.#usageByTeam = new Map([...input.usage].map(([team, usage]) => [team, { ...usage }]));
    for (const machine of input.machines) {
      const room = { ...machine.free };
      for (const task of machine.tasks) if (task.isBeingEvicted) addResources(room, task.job);
      this.#rooms.set(machine.id, room);
    }
  }

  run(timeIsUp: () => boolean): PreemptionResult {
    for (const { waiting, count } of this.input.unplaced) {
      if (timeIsUp()) break;
      this.#makeRoomForJob(waiting, count);
    }
    return {
      victims: [...this.#machineByVictim].map(([key, machine]) => ({ key, machine })),
      machinesExamined: this.#machinesExamined,
    };
  }

  #makeRoomForJob(waiting: WaitingJob, count: number): void {
    const { job } = waiting;
    // What is owed to one team is not owed to another; otherwise similar jobs find similar victims.
    const group = `${job.priority} ${job.team}`;
    if (this.#unplaceable.has(group, job)) return;
    const left = this.#makeRoom(waiting, count);
    if (left === count && isUnconstrained(waiting)) this.#unplaceable.add(group, job);
  }

  /** Makes room for up to `count` tasks of a job; returns for how many there was none. */
  #makeRoom(waiting: WaitingJob, count: number): number {
    let left = count;
    while (left > 0) {
      const before = left;
      left = this.#makeRoomOnce(waiting, left);
      if (left === before) break;
    }
    return left;
  }

  /** One pass over all machines, the least loss first; a machine is examined again only after a task went there. */
  #makeRoomOnce(waiting: WaitingJob, count: number): number {
    const { job } = waiting;
    let left = count;
    for (const first of this.#plansByLoss(waiting)) {
      // Teams' usage changes as tasks are chosen: the plan made for this machine before may no longer hold.
      const isStillAllowed = first.victims.every((victim) => this.#mayEvict(job, victim));
      let next = isStillAllowed ? first : this.#planFor(job, first.machine);
      while (next && left > 0 && next.loss <= first.loss) {
        this.#commit(job, next);
        left -= 1;
        next = left > 0 ? this.#planFor(job, first.machine) : undefined;
      }
      if (left === 0) break;
    }
    return left;
  }

  /** A plan for each machine where a task of the job may go, the least loss first. */
  #plansByLoss(waiting: WaitingJob): EvictionPlan[] {
    const { job } = waiting;
    const plans: EvictionPlan[] = [];
    for (const machine of this.input.machines) {
      if (!isEligible(job, machine) || waiting.machinesToAvoid.has(machine.id)) continue;
      if (!zoneConstraintsAllow(job, waiting.tasksPerZone, machine.zone)) continue;
      const plan = this.#planFor(job, machine);
      if (plan) plans.push(plan);
    }
    return plans.sort((a, b) => a.loss - b.loss);
  }

  /** What to evict on a machine for one task of the job; undefined when that can't make enough room. */
  #planFor(job: Job, machine: PreemptionCandidate): EvictionPlan | undefined {
    this.#machinesExamined += 1;
    const room = { ...(this.#rooms.get(machine.id) ?? machine.free) };
    if (fitsInto(job, room)) return { machine, victims: [], loss: 0 };
    const evictable = machine.tasks.filter((task) => this.#mayEvict(job, task));
    evictable.sort(compareVictims);
    const victims: PreemptibleTask[] = [];
    let loss = 0;
    for (const victim of evictable) {
      if (fitsInto(job, room)) break;
      addResources(room, victim.job);
      victims.push(victim);
      loss += victim.lossS * victim.job.cpus;
    }
    return fitsInto(job, room) ? { machine, victims, loss } : undefined;
  }

  #mayEvict(waiting: Job, victim: PreemptibleTask): boolean {
    if (victim.isBeingEvicted || this.#machineByVictim.has(victim.key)) return false;
    if (PRIORITY_RANK[victim.job.priority] > PRIORITY_RANK[waiting.priority]) return true;
    // Never a task of a higher priority, though the rules would allow it: room is given by priority first, so that task
    // would be evicted for the guarantee, then evict the other by its priority, and so on without end.
    if (PRIORITY_RANK[victim.job.priority] < PRIORITY_RANK[waiting.priority]) return false;
    return this.#isOwedByGuarantee(waiting, victim.job);
  }

  /** Whether the waiting job's team is below its guarantee, and the victim's team beyond its own. */
  #isOwedByGuarantee(waiting: Job, victim: Job): boolean {
    if (victim.team === waiting.team) return false;
    const waitingQuota = this.input.quotas.get(waiting.team);
    const victimQuota = this.input.quotas.get(victim.team);
    if (!waitingQuota || !victimQuota || waitingQuota.cpus === 0) return false;
    const isOwed = this.#usageOf(waiting.team).cpus + waiting.cpus <= waitingQuota.cpus + RESOURCE_TOLERANCE;
    return isOwed && this.#usageOf(victim.team).cpus - victim.cpus >= victimQuota.cpus - RESOURCE_TOLERANCE;
  }

  /** Takes the plan's victims and gives the room to one task of the job. */
  #commit(job: Job, { machine, victims }: EvictionPlan): void {
    const room = this.#rooms.get(machine.id);
    if (!room) return;
    for (const victim of victims) {
      this.#machineByVictim.set(victim.key, machine.id);
      addResources(room, victim.job);
      const usage = this.#usageOf(victim.job.team);
      this.#usageByTeam.set(victim.job.team, {
        cpus: usage.cpus - victim.job.cpus,
        gpus: usage.gpus - victim.job.gpus,
      });
    }
    subtractResources(room, job);
    const usage = this.#usageOf(job.team);
    this.#usageByTeam.set(job.team, { cpus: usage.cpus + job.cpus, gpus: usage.gpus + job.gpus });
  }

  #usageOf(team: string): TeamUsage {
    return this.#usageByTeam.get(team) ?? { cpus: 0, gpus: 0 };
  }
}

/** The lowest priority first, then the least loss. */
function compareVictims(first: PreemptibleTask, second: PreemptibleTask): number {
  return PRIORITY_RANK[second.job.priority] - PRIORITY_RANK[first.job.priority] || first.lossS - second.lossS;
}
