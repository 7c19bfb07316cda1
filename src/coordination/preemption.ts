import {
  addTo,
  PRIORITY_RANK,
  takeFrom,
  type Job,
  type MachineType,
  type Resources,
} from '../protocol/model';
import {
  anywhere,
  fits,
  Hopeless,
  mayUse,
  zoneAllows,
  type TeamLimits,
  type TeamUse,
  type WaitingJob,
} from './placement';

export interface Victim {
  readonly key: string;
  readonly job: Job;
  /** Seconds of work that stopping it now would lose, saving included. */
  readonly lossS: number;
  /** It is being stopped already; its room comes free. */
  readonly stopping: boolean;
}

export interface CrowdedMachine {
  readonly id: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Resources;
  readonly tasks: readonly Victim[];
}

export interface PreemptionInput {
  /** Jobs that found no room, in order, and how many tasks each. */
  readonly unplaced: readonly { waiting: WaitingJob; count: number }[];
  readonly machines: readonly CrowdedMachine[];
  readonly teams: ReadonlyMap<string, TeamLimits>;
  readonly use: ReadonlyMap<string, TeamUse>;
}

/** Which tasks to stop on a machine so that one more task fits there. */
interface Plan {
  machine: CrowdedMachine;
  victims: Victim[];
  loss: number;
}

const EPSILON = 1e-6;

/**
 * How to stop a running task, and how many seconds of work that costs. A task that saved by itself a moment ago loses
 * less by being stopped at once than by the time that saving takes, and its room is free sooner.
 */
export function stopCost(job: Job, ranS: number): { graceS: number; lossS: number } {
  if (job.checkpointS === 0) return { graceS: 0, lossS: ranS };
  const unsavedS = ranS % job.checkpointS;
  return unsavedS <= job.saveS ? { graceS: 0, lossS: unsavedS } : { graceS: job.saveS, lossS: job.saveS };
}

/**
 * Which running tasks to stop so that waiting ones get room: those of a lower priority, and, for a team short of its
 * guarantee, those that another team runs beyond its own. Nothing else is stopped for room.
 */
export function choosePreemptions(
  input: PreemptionInput,
  timeIsUp: () => boolean = () => false,
): { victims: { key: string; machine: string }[]; looks: number } {
  let looks = 0;
  const none = { cpus: 0, gpus: 0 };
  const use = new Map([...input.use].map(([team, u]) => [team, { ...u }]));
  const useOf = (team: string): { cpus: number; gpus: number } => use.get(team) ?? { ...none };
  /** The machine of each task that is to be stopped. */
  const stopped = new Map<string, string>();
  const rooms = new Map<string, Resources>();
  for (const m of input.machines) {
    const room = { ...m.free };
    for (const v of m.tasks) if (v.stopping) addTo(room, v.job);
    rooms.set(m.id, room);
  }
  const mayStop = (waiting: Job, victim: Victim): boolean => {
    if (victim.stopping || stopped.has(victim.key)) return false;
    if (PRIORITY_RANK[victim.job.priority] > PRIORITY_RANK[waiting.priority]) return true;
    // Never one of a higher priority, though the rules would allow it: room goes by priority first, so it would be
    // stopped for the guarantee, stop the other by its priority in turn, and so on for ever.
    if (PRIORITY_RANK[victim.job.priority] < PRIORITY_RANK[waiting.priority]) return false;
    if (victim.job.team === waiting.team) return false;
    const mine = input.teams.get(waiting.team);
    const theirs = input.teams.get(victim.job.team);
    if (!mine || !theirs || mine.cpus === 0) return false;
    const owed = useOf(waiting.team).cpus + waiting.cpus <= mine.cpus + EPSILON;
    return owed && useOf(victim.job.team).cpus - victim.job.cpus >= theirs.cpus - EPSILON;
  };
  const hopeless = new Hopeless();
  const plan = (job: Job, machine: CrowdedMachine): Plan | undefined => {
    looks += 1;
    const room = { ...(rooms.get(machine.id) ?? machine.free) };
    const victims: Victim[] = [];
    let loss = 0;
    if (!fits(job, room)) {
      const stoppable = machine.tasks.filter((v) => mayStop(job, v));
      if (stoppable.length === 0) return undefined;
      stoppable.sort(
        (a, b) => PRIORITY_RANK[b.job.priority] - PRIORITY_RANK[a.job.priority] || a.lossS - b.lossS,
      );
      for (const victim of stoppable) {
        if (fits(job, room)) break;
        addTo(room, victim.job);
        victims.push(victim);
        loss += victim.lossS * victim.job.cpus;
      }
    }
    return fits(job, room) ? { machine, victims, loss } : undefined;
  };
  const carryOut = (job: Job, { machine, victims }: Plan): void => {
    const room = rooms.get(machine.id);
    if (!room) return;
    for (const victim of victims) {
      stopped.set(victim.key, machine.id);
      addTo(room, victim.job);
      const team = useOf(victim.job.team);
      use.set(victim.job.team, { cpus: team.cpus - victim.job.cpus, gpus: team.gpus - victim.job.gpus });
    }
    takeFrom(room, job);
    const team = useOf(job.team);
    use.set(job.team, { cpus: team.cpus + job.cpus, gpus: team.gpus + job.gpus });
  };
  for (const { waiting, count } of input.unplaced) {
    const { job } = waiting;
    // What is owed to one team is not owed to another; else alike jobs find alike victims.
    const group = `${job.priority} ${job.team}`;
    if (timeIsUp()) break;
    if (hopeless.has(group, job)) continue;
    let left = count;
    while (left > 0) {
      // In one pass machines are looked at once, the least loss first, and again only after a task went there.
      const before = left;
      const plans: Plan[] = [];
      for (const m of input.machines) {
        if (!mayUse(job, m) || waiting.avoid.has(m.id) || !zoneAllows(job, waiting.zones, m.zone)) continue;
        const found = plan(job, m);
        if (found) plans.push(found);
      }
      plans.sort((a, b) => a.loss - b.loss);
      for (const first of plans) {
        // Sums of teams change as tasks are chosen: what was found for this machine before may no longer hold.
        const holds = first.victims.every((v) => mayStop(job, v));
        let next = holds ? first : plan(job, first.machine);
        while (next && left > 0 && next.loss <= first.loss) {
          carryOut(job, next);
          left -= 1;
          next = left > 0 ? plan(job, first.machine) : undefined;
        }
        if (left === 0) break;
      }
      if (left === before) break;
    }
    if (left === count && anywhere(waiting)) hopeless.add(group, job);
  }
  return { victims: [...stopped].map(([key, machine]) => ({ key, machine })), looks };
}
