/** @file Resources that the attempts of a shard occupy, by team, job and zone. */
import type { TeamUsage } from '../scheduling/team-quota';
import type { Attempt } from './attempt';
import type { Machine } from './machine';
import type { OccupancyListener } from './machine-resources';

const NO_ZONES: ReadonlyMap<string, number> = new Map();

/**
 * Tracks the resources that a shard's attempts occupy: sums by team, attempt counts by job and zone, attempts by job.
 * They are updated with each attempt: with a thousand machines, a recount in each round or message would be too slow.
 */
export class ResourceUsage implements OccupancyListener {
  readonly #teams = new Map<string, { cpus: number; gpus: number; tasks: number }>();
  readonly #zones = new Map<string, Map<string, number>>();
  readonly #jobs = new Map<string, Map<Attempt, Machine>>();
  #boostedCpus = 0;
  #boostedTasks = 0;
  #unattributedTasks = 0;

  /** Number of attempts that occupy resources and whose job is unknown, so that their team can't be determined. */
  get unattributedTasks(): number {
    return this.#unattributedTasks;
  }

  /** CPUs of attempts that were placed with a priority boost. */
  get boostedCpus(): number {
    return this.#boostedCpus;
  }

  /** Attempts of a job that occupy resources, with their machines. */
  attemptsOf(job: string): Iterable<[Attempt, Machine]> {
    return this.#jobs.get(job) ?? [];
  }

  /** Number of attempts of a job that occupy resources, by zone. */
  zonesOf(job: string): ReadonlyMap<string, number> {
    return this.#zones.get(job) ?? NO_ZONES;
  }

  /** Resources of each team's attempts. An attempt counts from its issue until it is confirmed gone. */
  byTeam(): Map<string, TeamUsage> {
    return new Map([...this.#teams].map(([team, { cpus, gpus }]) => [team, { cpus, gpus }]));
  }

  /** Adds an attempt that begins to occupy resources of the machine. */
  onOccupied(machine: Machine, attempt: Attempt): void {
    this.#count(machine, attempt, 1);
    const attempts = this.#jobs.get(attempt.job) ?? new Map<Attempt, Machine>();
    this.#jobs.set(attempt.job, attempts.set(attempt, machine));
  }

  /** Subtracts an attempt that no longer occupies resources of the machine. */
  onReleased(machine: Machine, attempt: Attempt): void {
    this.#count(machine, attempt, -1);
    const attempts = this.#jobs.get(attempt.job);
    attempts?.delete(attempt);
    if (attempts?.size !== 0) return;
    this.#jobs.delete(attempt.job);
    this.#zones.delete(attempt.job);
  }

  #count(machine: Machine, attempt: Attempt, sign: 1 | -1): void {
    if (attempt.team === '') this.#unattributedTasks += sign;
    if (attempt.isBoosted) this.#countBoosted(attempt, sign);
    this.#countForTeam(attempt, sign);
    this.#countInZone(attempt.job, machine.record.zone, sign);
  }

  #countBoosted({ resources }: Attempt, sign: 1 | -1): void {
    this.#boostedTasks += sign;
    this.#boostedCpus = this.#boostedTasks === 0 ? 0 : this.#boostedCpus + sign * resources.cpus;
  }

  #countForTeam({ team, resources }: Attempt, sign: 1 | -1): void {
    const sum = this.#teams.get(team) ?? { cpus: 0, gpus: 0, tasks: 0 };
    sum.cpus += sign * resources.cpus;
    sum.gpus += sign * resources.gpus;
    sum.tasks += sign;
    // Rounding errors could leave a remainder in the sums of a team without tasks, so its entry is deleted.
    if (sum.tasks === 0) this.#teams.delete(team);
    else this.#teams.set(team, sum);
  }

  #countInZone(job: string, zone: string, sign: 1 | -1): void {
    const zones = this.#zones.get(job) ?? new Map<string, number>();
    this.#zones.set(job, zones.set(zone, (zones.get(zone) ?? 0) + sign));
  }
}
