/** @file Preemption: chooses running tasks to evict in favor of waiting tasks with precedence over them. */
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
  /** Seconds of run time that evicting the task now would lose, including the time to write a checkpoint. */
  readonly lossS: number;
  /** Whether the task is already being evicted, so that its resources will become free. */
  readonly isBeingEvicted: boolean;
}

/** A machine with its free resources and the tasks on it. */
export interface PreemptionCandidate extends MachineSnapshot {
  readonly tasks: readonly PreemptibleTask[];
}

/** A job with tasks that could not be placed, and their number. */
export interface UnplacedJob {
  readonly waiting: WaitingJob;
  readonly count: number;
}

/** A snapshot of the unplaced jobs and of the machines with their tasks. */
export interface PreemptionInput {
  /** Jobs with unplaced tasks, in placement order. */
  readonly unplaced: readonly UnplacedJob[];
  readonly machines: readonly PreemptionCandidate[];
  readonly quotas: ReadonlyMap<string, TeamQuota>;
  readonly usage: ReadonlyMap<string, TeamUsage>;
}

/** The attempt keys of the tasks to evict, each with its machine, and the number of machine examinations. */
export interface PreemptionResult {
  victims: { key: string; machine: string }[];
  machinesExamined: number;
}

/** The grace period with which a running task is evicted, and the seconds of run time that it loses. */
export interface EvictionCost {
  /** Grace period for writing a checkpoint; 0 if the task is killed at once. */
  readonly graceS: number;
  readonly lossS: number;
}

/**
 * The cost of evicting a task of the job after it has run for `ranS`. A task that wrote a checkpoint a moment ago is
 * killed at once: it loses less run time than a new checkpoint takes, and its resources become free sooner.
 */
export function evictionCost(job: Job, ranS: number): EvictionCost {
  if (job.checkpointS === 0) return { graceS: 0, lossS: ranS };
  const unsavedS = ranS % job.checkpointS;
  return unsavedS <= job.saveS ? { graceS: 0, lossS: unsavedS } : { graceS: job.saveS, lossS: job.saveS };
}

/**
 * Chooses running tasks to evict so that unplaced tasks fit: tasks of a lower priority and, for a team below its
 * guarantee, tasks that another team runs beyond its own guarantee. No other tasks are preempted.
 */
export function choosePreemptions(
  input: PreemptionInput,
  timeIsUp: () => boolean = () => false,
): PreemptionResult {
  return new PreemptionPlanner(input).run(timeIsUp);
}

/** The tasks to evict on a machine so that one more task fits there. */
interface EvictionPlan {
  readonly machine: PreemptionCandidate;
  readonly victims: readonly PreemptibleTask[];
  /** CPU seconds of run time that the evictions lose. */
  readonly lossCpuS: number;
}

/** The state of one preemption pass: free resources and teams' usage change with each task that is chosen. */
class PreemptionPlanner {
  readonly #usageByTeam: Map<string, TeamUsage>;
  /** The id of the machine of each chosen victim, by the victim's attempt key. */
  readonly #machineByVictim = new Map<string, string>();
  /** The free resources of each machine after all evictions that are in progress or chosen so far. */
  readonly #freeByMachine = new Map<string, Resources>();
  readonly #unplaceable = new UnplaceableSizes();
  #machinesExamined = 0;

  constructor(private readonly input: PreemptionInput) {
    this.#usageByTeam = new Map([...input.usage].map(([team, usage]) => [team, { ...usage }]));
    for (const machine of input.machines) {
      const free = { ...machine.free };
      for (const task of machine.tasks) if (task.isBeingEvicted) addResources(free, task.job);
      this.#freeByMachine.set(machine.id, free);
    }
  }

  run(timeIsUp: () => boolean): PreemptionResult {
    for (const { waiting, count } of this.input.unplaced) {
      if (timeIsUp()) break;
      this.#preemptForJob(waiting, count);
    }
    return {
      victims: [...this.#machineByVictim].map(([key, machine]) => ({ key, machine })),
      machinesExamined: this.#machinesExamined,
    };
  }

  #preemptForJob(waiting: WaitingJob, count: number): void {
    const { job } = waiting;
    // The tasks that a job may evict depend only on its priority and its team's guarantee, so both identify the group.
    const group = `${job.priority} ${job.team}`;
    if (this.#unplaceable.has(group, job)) return;
    const unplacedCount = this.#preemptForTasks(waiting, count);
    if (unplacedCount === count && isUnconstrained(waiting)) this.#unplaceable.add(group, job);
  }

  /** Chooses victims for up to `count` tasks of a job; returns the number of tasks that still fit nowhere. */
  #preemptForTasks(waiting: WaitingJob, count: number): number {
    let unplacedCount = count;
    while (unplacedCount > 0) {
      const countBefore = unplacedCount;
      unplacedCount = this.#preemptInOnePass(waiting, unplacedCount);
      if (unplacedCount === countBefore) break;
    }
    return unplacedCount;
  }

  /** Preempts machine by machine, least loss first. A machine is examined again only after a task was placed there. */
  #preemptInOnePass(waiting: WaitingJob, count: number): number {
    const { job } = waiting;
    let unplacedCount = count;
    for (const first of this.#plansByLoss(waiting)) {
      // Teams' usage changes with each chosen victim, so the plan may contain tasks that may no longer be evicted.
      const isStillAllowed = first.victims.every((victim) => this.#mayEvict(job, victim));
      let next = isStillAllowed ? first : this.#planFor(job, first.machine);
      while (next && unplacedCount > 0 && next.lossCpuS <= first.lossCpuS) {
        this.#commit(job, next);
        unplacedCount -= 1;
        next = unplacedCount > 0 ? this.#planFor(job, first.machine) : undefined;
      }
      if (unplacedCount === 0) break;
    }
    return unplacedCount;
  }

  /** An eviction plan for each machine on which a task of the job may be placed, the least loss first. */
  #plansByLoss(waiting: WaitingJob): EvictionPlan[] {
    const { job } = waiting;
    const plans: EvictionPlan[] = [];
    for (const machine of this.input.machines) {
      if (!isEligible(job, machine) || waiting.machinesToAvoid.has(machine.id)) continue;
      if (!zoneConstraintsAllow(job, waiting.tasksPerZone, machine.zone)) continue;
      const plan = this.#planFor(job, machine);
      if (plan) plans.push(plan);
    }
    return plans.sort((a, b) => a.lossCpuS - b.lossCpuS);
  }

  /** The eviction plan on a machine for one task of the job; undefined if evictions can't free enough resources. */
  #planFor(job: Job, machine: PreemptionCandidate): EvictionPlan | undefined {
    this.#machinesExamined += 1;
    const free = { ...(this.#freeByMachine.get(machine.id) ?? machine.free) };
    if (fitsInto(job, free)) return { machine, victims: [], lossCpuS: 0 };
    const evictable = machine.tasks.filter((task) => this.#mayEvict(job, task));
    evictable.sort(compareVictims);
    const victims: PreemptibleTask[] = [];
    let lossCpuS = 0;
    for (const victim of evictable) {
      if (fitsInto(job, free)) break;
      addResources(free, victim.job);
      victims.push(victim);
      lossCpuS += victim.lossS * victim.job.cpus;
    }
    return fitsInto(job, free) ? { machine, victims, lossCpuS } : undefined;
  }

  #mayEvict(waiting: Job, victim: PreemptibleTask): boolean {
    if (victim.isBeingEvicted || this.#machineByVictim.has(victim.key)) return false;
    if (PRIORITY_RANK[victim.job.priority] > PRIORITY_RANK[waiting.priority]) return true;
    // A guarantee permits no eviction of a task of higher priority. Otherwise that task would be placed first, because
    // of its priority, and evict the waiting task in turn, and so on without end.
    if (PRIORITY_RANK[victim.job.priority] < PRIORITY_RANK[waiting.priority]) return false;
    return this.#isAllowedByGuarantee(waiting, victim.job);
  }

  /** Whether the waiting task fits its team's guarantee, and the victim is fully beyond that of its own team. */
  #isAllowedByGuarantee(waiting: Job, victim: Job): boolean {
    if (victim.team === waiting.team) return false;
    const waitingQuota = this.input.quotas.get(waiting.team);
    const victimQuota = this.input.quotas.get(victim.team);
    if (!waitingQuota || !victimQuota || waitingQuota.cpus === 0) return false;
    const isWithin =
      this.#usageOf(waiting.team).cpus + waiting.cpus <= waitingQuota.cpus + RESOURCE_TOLERANCE;
    return isWithin && this.#usageOf(victim.team).cpus - victim.cpus >= victimQuota.cpus - RESOURCE_TOLERANCE;
  }

  /** Chooses the plan's victims and assigns the freed resources to one task of the job. */
  #commit(job: Job, { machine, victims }: EvictionPlan): void {
    const free = this.#freeByMachine.get(machine.id);
    if (!free) return;
    for (const victim of victims) {
      this.#machineByVictim.set(victim.key, machine.id);
      addResources(free, victim.job);
      const usage = this.#usageOf(victim.job.team);
      this.#usageByTeam.set(victim.job.team, {
        cpus: usage.cpus - victim.job.cpus,
        gpus: usage.gpus - victim.job.gpus,
      });
    }
    subtractResources(free, job);
    const usage = this.#usageOf(job.team);
    this.#usageByTeam.set(job.team, { cpus: usage.cpus + job.cpus, gpus: usage.gpus + job.gpus });
  }

  #usageOf(team: string): TeamUsage {
    return this.#usageByTeam.get(team) ?? { cpus: 0, gpus: 0 };
  }
}

/** Orders the tasks to evict: the lowest priority first, then the least loss. */
function compareVictims(first: PreemptibleTask, second: PreemptibleTask): number {
  return PRIORITY_RANK[second.job.priority] - PRIORITY_RANK[first.job.priority] || first.lossS - second.lossS;
}
