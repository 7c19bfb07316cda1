import { PRIORITY_RANK, type Job, type MachineType, type Resources } from '../protocol/model';

/** A job with work waiting, as a round sees it. */
export interface WaitingJob {
  readonly job: Job;
  readonly waiting: number;
  /** How many of its tasks are, or may be, in each zone. */
  readonly zones: ReadonlyMap<string, number>;
  /** How long its tasks can still wait and be in time; negative when it is late already. */
  readonly slackMs: number;
  /** CPU seconds that its tasks still need. */
  readonly work: number;
  readonly avoid: ReadonlySet<string>;
  /** How long a task of it should run. */
  readonly runS: number;
}

export interface RoomyMachine {
  readonly id: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Resources;
  readonly images: ReadonlyMap<string, number>;
  /** How long it will be busy with what it has, as far as estimates tell; 0 when it is empty. */
  readonly busyForS: number;
}

export interface TeamUse {
  readonly cpus: number;
  readonly gpus: number;
}

export interface TeamLimits {
  readonly cpus: number;
  readonly cpus_max: number;
  readonly gpus: number;
  readonly gpus_max: number;
}

export interface Placement {
  job: string;
  machine: string;
}

const EPSILON = 1e-6;

export function fits(needs: Resources, free: Resources): boolean {
  return (
    needs.cpus <= free.cpus + EPSILON &&
    needs.gpus <= free.gpus + EPSILON &&
    needs.memoryGb <= free.memoryGb + EPSILON
  );
}

export function mayUse(job: Job, machine: { type: MachineType; zone: string; spot: boolean }): boolean {
  return (
    (job.spot || !machine.spot) &&
    (job.zone === null || job.zone === machine.zone) &&
    (job.types === null || job.types.includes(machine.type.name))
  );
}

/** Whether one more task may go to a zone, given where the job's others are. */
export function zoneAllows(job: Job, zones: ReadonlyMap<string, number>, zone: string): boolean {
  if (job.oneZone) for (const [other, count] of zones) if (count > 0 && other !== zone) return false;
  return !job.spread || (zones.get(zone) ?? 0) < Math.ceil(job.tasks / 2);
}

export function withinLimit(job: Job, use: TeamUse, limits: TeamLimits): boolean {
  return (
    (limits.cpus_max === 0 || use.cpus + job.cpus <= limits.cpus_max + EPSILON) &&
    (limits.gpus_max === 0 || use.gpus + job.gpus <= limits.gpus_max + EPSILON)
  );
}

function withinGuarantee(job: Job, use: TeamUse, limits: TeamLimits): boolean {
  return (
    use.cpus + job.cpus <= limits.cpus + EPSILON &&
    (job.gpus === 0 || use.gpus + job.gpus <= limits.gpus + EPSILON)
  );
}

/** A job's turn in a round. `owed`: it takes only what still fits into its team's guarantee. */
export interface Turn {
  readonly waiting: WaitingJob;
  readonly owed: boolean;
}

/**
 * Turns in the order in which they get room: priority, then what guarantees owe, then the least slack. Jobs that are
 * late already come after those that can still be in time, the smallest first: most users are served so.
 */
export function order(jobs: readonly WaitingJob[], teams: ReadonlyMap<string, TeamLimits>): Turn[] {
  const turns: Turn[] = [];
  for (const waiting of jobs) {
    const limits = teams.get(waiting.job.team);
    if (limits && (limits.cpus > 0 || limits.gpus > 0)) turns.push({ waiting, owed: true });
    turns.push({ waiting, owed: false });
  }
  const rank = (turn: Turn): number => 2 * PRIORITY_RANK[turn.waiting.job.priority] + (turn.owed ? 0 : 1);
  const late = (turn: Turn): number => (turn.waiting.slackMs < 0 ? 1 : 0);
  return turns.sort((a, b) => {
    const byRank = rank(a) - rank(b) || late(a) - late(b);
    if (byRank !== 0) return byRank;
    return late(a) === 1 ? a.waiting.work - b.waiting.work : a.waiting.slackMs - b.waiting.slackMs;
  });
}

/** How well a task suits a machine that has room for it: an image at hand, then little room left over. */
function score(job: Job, runS: number, m: RoomyMachine, free: Resources): number {
  const cached = m.images.has(job.image) ? 4 : 0;
  const cpuLeft = (free.cpus - job.cpus) / m.type.cpus;
  const memoryLeft = (free.memoryGb - job.memoryGb) / m.type.memoryGb;
  // Spot machines are cheap: filling them lets the others go.
  // A machine that stays busy anyway is the better one: the others run empty and can be returned.
  const stays = m.busyForS > 0 ? 0.5 + 0.5 * Math.min(1, m.busyForS / runS) : 0;
  return cached + (m.spot ? 1.5 : 0) + stays - cpuLeft - 0.5 * Math.abs(cpuLeft - memoryLeft);
}

export interface PlacementInput {
  /** In the order in which they get room. */
  readonly turns: readonly Turn[];
  readonly machines: readonly RoomyMachine[];
  readonly teams: ReadonlyMap<string, TeamLimits>;
  readonly use: ReadonlyMap<string, TeamUse>;
  /** The turn to begin with: where the last round stopped. */
  readonly from: number;
}

export interface PlacementResult {
  placements: Placement[];
  /** What found no room, by job. */
  unplaced: Map<string, number>;
  /** Where to go on, when the time ran out; undefined when all had their turn. */
  cursor: number | undefined;
}

/** Finds room for waiting tasks, until all had their turn or the round's time is up. */
export function place(input: PlacementInput, timeIsUp: () => boolean): PlacementResult {
  const free = new Map(input.machines.map((m) => [m.id, { ...m.free }]));
  const use = new Map([...input.use].map(([team, u]) => [team, { ...u }]));
  const placements: Placement[] = [];
  const unplaced = new Map<string, number>();
  const placedOf = new Map<string, number>();
  const zonesOf = new Map<string, Map<string, number>>();
  for (let index = input.from; index < input.turns.length; index += 1) {
    const turn = input.turns[index];
    if (!turn) break;
    if (index > input.from && timeIsUp()) return { placements, unplaced, cursor: index };
    const { waiting, owed } = turn;
    const { job } = waiting;
    const limits = input.teams.get(job.team);
    if (!limits) continue;
    const team = use.get(job.team) ?? { cpus: 0, gpus: 0 };
    use.set(job.team, team);
    const zones = zonesOf.get(job.id) ?? new Map(waiting.zones);
    zonesOf.set(job.id, zones);
    const candidates = input.machines.filter((m) => mayUse(job, m) && !waiting.avoid.has(m.id));
    let left = waiting.waiting - (placedOf.get(job.id) ?? 0);
    while (left > 0 && withinLimit(job, team, limits) && (!owed || withinGuarantee(job, team, limits))) {
      let best: RoomyMachine | undefined;
      let bestScore = -Infinity;
      for (const m of candidates) {
        const room = free.get(m.id);
        if (!room || !fits(job, room) || !zoneAllows(job, zones, m.zone)) continue;
        const s = score(job, waiting.runS, m, room);
        if (s > bestScore) {
          best = m;
          bestScore = s;
        }
      }
      const room = best && free.get(best.id);
      if (!best || !room) break;
      room.cpus -= job.cpus;
      room.gpus -= job.gpus;
      room.memoryGb -= job.memoryGb;
      team.cpus += job.cpus;
      team.gpus += job.gpus;
      zones.set(best.zone, (zones.get(best.zone) ?? 0) + 1);
      placements.push({ job: job.id, machine: best.id });
      left -= 1;
    }
    placedOf.set(job.id, waiting.waiting - left);
    // Only work that its team's limit lets run counts as lacking room.
    if (!owed && left > 0 && withinLimit(job, team, limits)) {
      const byLimit =
        limits.cpus_max === 0 ? left : Math.floor((limits.cpus_max - team.cpus + EPSILON) / job.cpus);
      unplaced.set(job.id, Math.min(left, byLimit));
    }
  }
  return { placements, unplaced, cursor: undefined };
}
