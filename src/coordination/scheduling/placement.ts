/** @file Orders waiting jobs and places their tasks on machines. */
import {
  PRIORITY_RANK,
  subtractResources,
  type Job,
  type MachineType,
  type Resources,
} from '../../protocol/model';

/** A job with work waiting, as a round sees it. */
export interface WaitingJob {
  readonly job: Job;
  readonly waitingTasks: number;
  /** How many of its tasks are, or may be, in each zone. */
  readonly zones: ReadonlyMap<string, number>;
  /** How long its tasks can still wait and be in time; negative when it is late already. */
  readonly slackMs: number;
  /** CPU seconds that its tasks still need. */
  readonly remainingCpuS: number;
  readonly machinesToAvoid: ReadonlySet<string>;
  /** How long a task of it should run. */
  readonly runS: number;
  /** It has waited so long that it gets some room with a priority boost. */
  readonly isBoosted: boolean;
  /** A task of it has been issued or is done. */
  readonly hasStarted: boolean;
  readonly submittedAt: number;
}

/** A machine that may take tasks. */
export interface PlacementCandidate {
  readonly id: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Resources;
  readonly cachedImages: ReadonlyMap<string, number>;
  /** How long it will be busy with what it has, as far as estimates tell; 0 when it is empty. */
  readonly busyForS: number;
}

/** What a team's running tasks use. */
export interface TeamUsage {
  readonly cpus: number;
  readonly gpus: number;
}

/** A team's guarantee (`cpus`, `gpus`) and its upper limits, where 0 means none. */
export interface TeamQuota {
  readonly cpus: number;
  readonly cpus_max: number;
  readonly gpus: number;
  readonly gpus_max: number;
}

/** One task of the job goes to the machine. */
export interface Placement {
  job: string;
  machine: string;
  isBoosted: boolean;
}

const EPSILON = 1e-6;

/** Whether the needs fit into the free room. */
export function fitsInto(needs: Resources, free: Resources): boolean {
  return (
    needs.cpus <= free.cpus + EPSILON &&
    needs.gpus <= free.gpus + EPSILON &&
    needs.memoryGb <= free.memoryGb + EPSILON
  );
}

/** Whether the job's own constraints allow the machine. */
export function isEligible(job: Job, machine: { type: MachineType; zone: string; spot: boolean }): boolean {
  return (
    (job.spot || !machine.spot) &&
    (job.zone === null || job.zone === machine.zone) &&
    (job.types === null || job.types.includes(machine.type.name))
  );
}

/** Whether one more task may go to a zone, given where the job's others are. */
export function zoneConstraintsAllow(job: Job, zones: ReadonlyMap<string, number>, zone: string): boolean {
  if (job.oneZone) for (const [other, count] of zones) if (count > 0 && other !== zone) return false;
  return !job.spread || (zones.get(zone) ?? 0) < Math.ceil(job.tasks / 2);
}

/** Whether one more task of the job stays within its team's upper limits. */
export function isWithinQuota(job: Job, use: TeamUsage, limits: TeamQuota): boolean {
  return (
    (limits.cpus_max === 0 || use.cpus + job.cpus <= limits.cpus_max + EPSILON) &&
    (limits.gpus_max === 0 || use.gpus + job.gpus <= limits.gpus_max + EPSILON)
  );
}

function isWithinGuarantee(job: Job, use: TeamUsage, limits: TeamQuota): boolean {
  return (
    use.cpus + job.cpus <= limits.cpus + EPSILON &&
    (job.gpus === 0 || use.gpus + job.gpus <= limits.gpus + EPSILON)
  );
}

/**
 * A job's turn in a round. `boosted`: with a priority boost, into the share of the fleet that is reserved for the jobs that
 * waited longest. `guaranteed`: the job takes only what still fits into its team's guarantee.
 */
export interface QueueEntry {
  readonly waiting: WaitingJob;
  readonly kind: 'boosted' | 'guaranteed' | 'regular';
}

/**
 * Sorts turns into the order in which they get room: aged jobs first, the oldest before the others; then by priority,
 * then by what guarantees owe, then by the least slack. Jobs that are late already come after those that can still be in
 * time, the smallest first, because that serves most users. The turns of aged jobs keep the largest late ones from
 * starving.
 */
export function orderQueue(jobs: readonly WaitingJob[], teams: ReadonlyMap<string, TeamQuota>): QueueEntry[] {
  const turns: QueueEntry[] = [];
  for (const waiting of jobs) {
    const limits = teams.get(waiting.job.team);
    if (waiting.isBoosted) turns.push({ waiting, kind: 'boosted' });
    if (limits && (limits.cpus > 0 || limits.gpus > 0)) turns.push({ waiting, kind: 'guaranteed' });
    turns.push({ waiting, kind: 'regular' });
  }
  const rank = ({ waiting, kind }: QueueEntry): number =>
    kind === 'boosted' ? -1 : 2 * PRIORITY_RANK[waiting.job.priority] + (kind === 'guaranteed' ? 0 : 1);
  const late = (turn: QueueEntry): number => (turn.waiting.slackMs < 0 ? 1 : 0);
  return turns.sort((a, b) => {
    if (a.kind === 'boosted' && b.kind === 'boosted') {
      // What has not begun goes before an older job that has, which might use up its team's limit by itself.
      const byBegun = Number(a.waiting.hasStarted) - Number(b.waiting.hasStarted);
      return byBegun !== 0 ? byBegun : a.waiting.submittedAt - b.waiting.submittedAt;
    }
    const byRank = rank(a) - rank(b) || late(a) - late(b);
    if (byRank !== 0) return byRank;
    return late(a) === 1
      ? a.waiting.remainingCpuS - b.waiting.remainingCpuS
      : a.waiting.slackMs - b.waiting.slackMs;
  });
}

/** How well a task suits a machine with room for it: a cached image counts most, then how little room is left over. */
function score(job: Job, runS: number, m: PlacementCandidate, free: Resources): number {
  const cached = m.cachedImages.has(job.image) ? 4 : 0;
  const cpuLeft = (free.cpus - job.cpus) / m.type.cpus;
  const memoryLeft = (free.memoryGb - job.memoryGb) / m.type.memoryGb;
  // Spot machines are cheap, so they are filled first and the others can be returned. A machine that stays busy anyway is
  // preferred for the same reason: the others become idle.
  const stays = m.busyForS > 0 ? 0.5 + 0.5 * Math.min(1, m.busyForS / runS) : 0;
  return cached + (m.spot ? 1.5 : 0) + stays - cpuLeft - 0.5 * Math.abs(cpuLeft - memoryLeft);
}

/** A snapshot of the waiting jobs and of the machines, for one round. */
export interface PlacementInput {
  /** In the order in which they get room. */
  readonly queue: readonly QueueEntry[];
  readonly machines: readonly PlacementCandidate[];
  readonly quotas: ReadonlyMap<string, TeamQuota>;
  readonly usage: ReadonlyMap<string, TeamUsage>;
  /** CPUs that may still be given to aged jobs. */
  readonly boostedCpusLeft: number;
  /** Whether aged jobs have any already. If not, one task larger than the whole share may still go ahead, alone. */
  readonly hasBoostedTasks: boolean;
  /** The turn to begin with: where the last round stopped. */
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

/** Sizes that found no room in a round. Room only shrinks during a round, so nothing larger will find any either. */
export class UnplaceableSizes {
  readonly #sizes = new Map<string, Resources[]>();

  /** Remembers that a task with these needs found no room. */
  add(group: string, needs: Resources): void {
    const sizes = this.#sizes.get(group) ?? [];
    this.#sizes.set(group, [...sizes.filter((s) => !isAtLeast(s, needs)), needs]);
  }

  /** Whether a task that needs no more found no room before. */
  has(group: string, needs: Resources): boolean {
    return this.#sizes.get(group)?.some((s) => isAtLeast(needs, s)) ?? false;
  }
}

function isAtLeast(a: Resources, b: Resources): boolean {
  return a.cpus >= b.cpus && a.gpus >= b.gpus && a.memoryGb >= b.memoryGb;
}

/** Whether a task of the job may go to any machine. */
export function isUnconstrained({ job, machinesToAvoid }: WaitingJob): boolean {
  const { spot, types, zone, oneZone, spread } = job;
  return spot && types === null && zone === null && !oneZone && !spread && machinesToAvoid.size === 0;
}

/** How many machines may be reserved at a time for aged jobs that fit nowhere yet. */
const MAX_RESERVED = 8;

/** Finds room for waiting tasks, until all had their turn or the round's time is up. */
export function placeTasks(input: PlacementInput, timeIsUp: () => boolean): PlacementResult {
  const rooms = new Map(input.machines.map((m) => [m.id, { ...m.free }]));
  const use = new Map([...input.usage].map(([team, u]) => [team, { ...u }]));
  const placements: Placement[] = [];
  const unplaced = new Map<string, number>();
  const placedOf = new Map<string, number>();
  const zonesOf = new Map<string, Map<string, number>>();
  const hopeless = new UnplaceableSizes();
  let { boostedCpusLeft, hasBoostedTasks } = input;
  let reserved = 0;
  let looks = 0;
  for (let index = input.cursor; index < input.queue.length; index += 1) {
    const turn = input.queue[index];
    if (!turn) break;
    if (index > input.cursor && timeIsUp())
      return { placements, unplaced, cursor: index, machinesExamined: looks };
    const { waiting, kind } = turn;
    const { job } = waiting;
    const limits = input.quotas.get(job.team);
    if (!limits) continue;
    const team = use.get(job.team) ?? { cpus: 0, gpus: 0 };
    use.set(job.team, team);
    const zones = zonesOf.get(job.id) ?? new Map(waiting.zones);
    zonesOf.set(job.id, zones);
    const mayTake = (): boolean =>
      isWithinQuota(job, team, limits) &&
      (kind !== 'guaranteed' || isWithinGuarantee(job, team, limits)) &&
      (kind !== 'boosted' || !hasBoostedTasks || job.cpus <= boostedCpusLeft);
    let left = waiting.waitingTasks - (placedOf.get(job.id) ?? 0);
    if (left > 0 && mayTake() && !hopeless.has('', job)) {
      // A task that goes to the best machine makes it no worse for the next one of the same job, as less room is left
      // over: so machines are looked at once for a job and filled in order, not looked at again for every task.
      const candidates: { machine: PlacementCandidate; room: Resources; score: number }[] = [];
      looks += input.machines.length;
      for (const machine of input.machines) {
        const room = rooms.get(machine.id);
        if (
          !room ||
          !fitsInto(job, room) ||
          !isEligible(job, machine) ||
          waiting.machinesToAvoid.has(machine.id)
        )
          continue;
        candidates.push({ machine, room, score: score(job, waiting.runS, machine, room) });
      }
      candidates.sort((a, b) => b.score - a.score);
      for (const { machine, room } of candidates) {
        if (left === 0 || !mayTake()) break;
        while (
          left > 0 &&
          mayTake() &&
          fitsInto(job, room) &&
          zoneConstraintsAllow(job, zones, machine.zone)
        ) {
          subtractResources(room, job);
          team.cpus += job.cpus;
          team.gpus += job.gpus;
          if (kind === 'boosted') {
            boostedCpusLeft -= job.cpus;
            hasBoostedTasks = true;
          }
          zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
          placements.push({ job: job.id, machine: machine.id, isBoosted: kind === 'boosted' });
          left -= 1;
        }
      }
      const lacksRoom = left > 0 && mayTake();
      if (lacksRoom && kind === 'boosted' && reserved < MAX_RESERVED) {
        // Small tasks would fill every gap before a large one fits: one machine is kept clear for it.
        const clear = firstToBeEmpty(waiting, input.machines, rooms, zones);
        if (clear !== undefined) {
          rooms.delete(clear);
          reserved += 1;
          boostedCpusLeft -= job.cpus;
          hasBoostedTasks = true;
        }
      } else if (lacksRoom && isUnconstrained(waiting)) {
        hopeless.add('', job);
      }
    }
    placedOf.set(job.id, waiting.waitingTasks - left);
    // Only work that its team's limit lets run counts as lacking room.
    if (kind === 'regular' && left > 0 && isWithinQuota(job, team, limits)) {
      const byLimit =
        limits.cpus_max === 0 ? left : Math.floor((limits.cpus_max - team.cpus + EPSILON) / job.cpus);
      unplaced.set(job.id, Math.min(left, byLimit));
    }
  }
  return { placements, unplaced, cursor: undefined, machinesExamined: looks };
}

/** The machine that is the first to have room for the job, once nothing more is put there. */
function firstToBeEmpty(
  { job, machinesToAvoid }: WaitingJob,
  machines: readonly PlacementCandidate[],
  rooms: ReadonlyMap<string, Resources>,
  zones: ReadonlyMap<string, number>,
): string | undefined {
  let best: PlacementCandidate | undefined;
  for (const m of machines) {
    if (!rooms.has(m.id) || !fitsInto(job, m.type) || !isEligible(job, m) || machinesToAvoid.has(m.id))
      continue;
    if (zoneConstraintsAllow(job, zones, m.zone) && (!best || m.busyForS < best.busyForS)) best = m;
  }
  return best?.id;
}
