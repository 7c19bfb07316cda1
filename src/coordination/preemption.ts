import { PRIORITY_RANK, type Job, type MachineType, type Resources } from '../protocol/model';
import { fits, mayUse, zoneAllows, type TeamLimits, type TeamUse, type WaitingJob } from './placement';

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

function add(room: Resources, job: Resources): void {
  room.cpus += job.cpus;
  room.gpus += job.gpus;
  room.memoryGb += job.memoryGb;
}

function take(room: Resources, job: Resources): void {
  room.cpus -= job.cpus;
  room.gpus -= job.gpus;
  room.memoryGb -= job.memoryGb;
}

/**
 * Which running tasks to stop so that waiting ones get room: those of a lower priority, and, for a team short of its
 * guarantee, those that another team runs beyond its own. Nothing else is stopped for room.
 */
export function choosePreemptions(input: PreemptionInput): string[] {
  const none = { cpus: 0, gpus: 0 };
  const use = new Map([...input.use].map(([team, u]) => [team, { ...u }]));
  const useOf = (team: string): { cpus: number; gpus: number } => use.get(team) ?? { ...none };
  const stopped = new Set<string>();
  const rooms = new Map<string, Resources>();
  for (const m of input.machines) {
    const room = { ...m.free };
    for (const v of m.tasks) if (v.stopping) add(room, v.job);
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
  for (const { waiting, count } of input.unplaced) {
    const { job } = waiting;
    const candidates = input.machines.filter(
      (m) => mayUse(job, m) && !waiting.avoid.has(m.id) && zoneAllows(job, waiting.zones, m.zone),
    );
    for (let left = count; left > 0; left -= 1) {
      let best: { machine: CrowdedMachine; victims: Victim[]; loss: number } | undefined;
      for (const machine of candidates) {
        const room = { ...(rooms.get(machine.id) ?? machine.free) };
        const victims: Victim[] = [];
        let loss = 0;
        const stoppable = machine.tasks.filter((v) => mayStop(job, v));
        stoppable.sort(
          (a, b) => PRIORITY_RANK[b.job.priority] - PRIORITY_RANK[a.job.priority] || a.lossS - b.lossS,
        );
        for (const victim of stoppable) {
          if (fits(job, room)) break;
          add(room, victim.job);
          victims.push(victim);
          loss += victim.lossS * victim.job.cpus;
        }
        if (fits(job, room) && (!best || loss < best.loss)) best = { machine, victims, loss };
      }
      if (!best) break;
      const room = rooms.get(best.machine.id);
      if (!room) break;
      for (const victim of best.victims) {
        stopped.add(victim.key);
        add(room, victim.job);
        const team = useOf(victim.job.team);
        use.set(victim.job.team, { cpus: team.cpus - victim.job.cpus, gpus: team.gpus - victim.job.gpus });
      }
      take(room, job);
      const team = useOf(job.team);
      use.set(job.team, { cpus: team.cpus + job.cpus, gpus: team.gpus + job.gpus });
    }
  }
  return [...stopped];
}
