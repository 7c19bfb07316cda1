/** @file Chooses running tasks to stop so that waiting tasks of more right get their room. */
import {
  addResources,
  PRIORITY_RANK,
  subtractResources,
  type Job,
  type MachineType,
  type Resources,
} from '../../protocol/model';
import {
  isUnconstrained,
  fitsInto,
  UnplaceableSizes,
  isEligible,
  zoneConstraintsAllow,
  type TeamQuota,
  type TeamUsage,
  type WaitingJob,
} from './placement';

/** A running task that may have to be stopped. */
export interface PreemptibleTask {
  readonly key: string;
  readonly job: Job;
  /** Seconds of work that stopping it now would lose, saving included. */
  readonly lossS: number;
  /** It is being stopped already; its room comes free. */
  readonly isBeingEvicted: boolean;
}

/** A machine with its tasks and the room that is free there. */
export interface PreemptionCandidate {
  readonly id: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Resources;
  readonly tasks: readonly PreemptibleTask[];
}

/** A snapshot of what waits and what runs. */
export interface PreemptionInput {
  /** Jobs that found no room, in order, and how many tasks each. */
  readonly unplaced: readonly { waiting: WaitingJob; count: number }[];
  readonly machines: readonly PreemptionCandidate[];
  readonly quotas: ReadonlyMap<string, TeamQuota>;
  readonly usage: ReadonlyMap<string, TeamUsage>;
}

/** Which tasks to stop on a machine so that one more task fits there. */
interface Plan {
  machine: PreemptionCandidate;
  victims: PreemptibleTask[];
  loss: number;
}

const EPSILON = 1e-6;

/**
 * How to stop a running task, and how many seconds of work that costs. A task that saved by itself a moment ago loses
 * less by being stopped at once than by the time that saving takes, and its room is free sooner.
 */
export function evictionCost(job: Job, ranS: number): { graceS: number; lossS: number } {
  if (job.checkpointS === 0) return { graceS: 0, lossS: ranS };
  const unsavedS = ranS % job.checkpointS;
  return unsavedS <= job.saveS ? { graceS: 0, lossS: unsavedS } : { graceS: job.saveS, lossS: job.saveS };
}

/** The tasks to stop, each with its machine, and how many machines were examined for that. */
export interface PreemptionResult {
  victims: { key: string; machine: string }[];
  machinesExamined: number;
}

/**
 * Chooses running tasks to stop so that waiting ones get room: tasks of a lower priority and, for a team below its
 * guarantee, tasks that another team runs beyond its own guarantee. Nothing else is stopped for room.
 */
export function choosePreemptions(
  input: PreemptionInput,
  timeIsUp: () => boolean = () => false,
): PreemptionResult {
  return new PreemptionPlanner(input).run(timeIsUp);
}

/** The state of one choice: rooms and teams' use change with each task that is chosen. */
class PreemptionPlanner {
  readonly #use: Map<string, TeamUsage>;
  /** The machine of each task that is to be stopped. */
  readonly #stopped = new Map<string, string>();
  readonly #rooms = new Map<string, Resources>();
  readonly #hopeless = new UnplaceableSizes();
  #looks = 0;

  constructor(private readonly input: PreemptionInput) {
    this.#use = new Map([...input.usage].map(([team, use]) => [team, { ...use }]));
    for (const machine of input.machines) {
      const room = { ...machine.free };
      for (const task of machine.tasks) if (task.isBeingEvicted) addResources(room, task.job);
      this.#rooms.set(machine.id, room);
    }
  }

  run(timeIsUp: () => boolean): PreemptionResult {
    for (const { waiting, count } of this.input.unplaced) {
      const { job } = waiting;
      // What is owed to one team is not owed to another; otherwise similar jobs find similar victims.
      const group = `${job.priority} ${job.team}`;
      if (timeIsUp()) break;
      if (this.#hopeless.has(group, job)) continue;
      const left = this.#makeRoom(waiting, count);
      if (left === count && isUnconstrained(waiting)) this.#hopeless.add(group, job);
    }
    return {
      victims: [...this.#stopped].map(([key, machine]) => ({ key, machine })),
      machinesExamined: this.#looks,
    };
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
    for (const first of this.#plans(waiting)) {
      // The teams' use changes as tasks are chosen: the plan made for this machine before may no longer hold.
      const holds = first.victims.every((victim) => this.#mayStop(job, victim));
      let next = holds ? first : this.#plan(job, first.machine);
      while (next && left > 0 && next.loss <= first.loss) {
        this.#carryOut(job, next);
        left -= 1;
        next = left > 0 ? this.#plan(job, first.machine) : undefined;
      }
      if (left === 0) break;
    }
    return left;
  }

  #plans(waiting: WaitingJob): Plan[] {
    const { job } = waiting;
    const plans: Plan[] = [];
    for (const machine of this.input.machines) {
      if (!isEligible(job, machine) || waiting.machinesToAvoid.has(machine.id)) continue;
      if (!zoneConstraintsAllow(job, waiting.zones, machine.zone)) continue;
      const plan = this.#plan(job, machine);
      if (plan) plans.push(plan);
    }
    return plans.sort((a, b) => a.loss - b.loss);
  }

  /** What to stop on a machine for one task of the job; undefined when that can't make enough room. */
  #plan(job: Job, machine: PreemptionCandidate): Plan | undefined {
    this.#looks += 1;
    const room = { ...(this.#rooms.get(machine.id) ?? machine.free) };
    if (fitsInto(job, room)) return { machine, victims: [], loss: 0 };
    const stoppable = machine.tasks.filter((task) => this.#mayStop(job, task));
    stoppable.sort(
      (a, b) => PRIORITY_RANK[b.job.priority] - PRIORITY_RANK[a.job.priority] || a.lossS - b.lossS,
    );
    const victims: PreemptibleTask[] = [];
    let loss = 0;
    for (const victim of stoppable) {
      if (fitsInto(job, room)) break;
      addResources(room, victim.job);
      victims.push(victim);
      loss += victim.lossS * victim.job.cpus;
    }
    return fitsInto(job, room) ? { machine, victims, loss } : undefined;
  }

  #mayStop(waiting: Job, victim: PreemptibleTask): boolean {
    if (victim.isBeingEvicted || this.#stopped.has(victim.key)) return false;
    if (PRIORITY_RANK[victim.job.priority] > PRIORITY_RANK[waiting.priority]) return true;
    // Never a task of a higher priority, though the rules would allow it: room is given by priority first, so that task
    // would be stopped for the guarantee, then stop the other by its priority, and so on without end.
    if (PRIORITY_RANK[victim.job.priority] < PRIORITY_RANK[waiting.priority]) return false;
    if (victim.job.team === waiting.team) return false;
    const mine = this.input.quotas.get(waiting.team);
    const theirs = this.input.quotas.get(victim.job.team);
    if (!mine || !theirs || mine.cpus === 0) return false;
    const isOwed = this.#useOf(waiting.team).cpus + waiting.cpus <= mine.cpus + EPSILON;
    return isOwed && this.#useOf(victim.job.team).cpus - victim.job.cpus >= theirs.cpus - EPSILON;
  }

  #carryOut(job: Job, { machine, victims }: Plan): void {
    const room = this.#rooms.get(machine.id);
    if (!room) return;
    for (const victim of victims) {
      this.#stopped.set(victim.key, machine.id);
      addResources(room, victim.job);
      const team = this.#useOf(victim.job.team);
      this.#use.set(victim.job.team, {
        cpus: team.cpus - victim.job.cpus,
        gpus: team.gpus - victim.job.gpus,
      });
    }
    subtractResources(room, job);
    const team = this.#useOf(job.team);
    this.#use.set(job.team, { cpus: team.cpus + job.cpus, gpus: team.gpus + job.gpus });
  }

  #useOf(team: string): TeamUsage {
    return this.#use.get(team) ?? { cpus: 0, gpus: 0 };
  }
}
