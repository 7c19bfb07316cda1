/** @file What the attempts of a shard occupy, by team, by job and by zone. */
import type { TeamUsage } from '../scheduling/team-quota';
import type { Attempt } from './attempt';
import type { Machine } from './machine';
import type { OccupancyListener } from './machine-resources';

const NO_ZONES: ReadonlyMap<string, number> = new Map();

/**
 * What the attempts of a shard occupy, summed up by team, by job and zone, and indexed by job. Kept up to date as
 * attempts come and go: with a thousand machines no round or message can afford to count again.
 */
export class ResourceUsage implements OccupancyListener {
  readonly #teams = new Map<string, { cpus: number; gpus: number; tasks: number }>();
  readonly #zones = new Map<string, Map<string, number>>();
  readonly #jobs = new Map<string, Map<Attempt, Machine>>();
  #boostedCpus = 0;
  #boostedTasks = 0;
  #unattributedTasks = 0;

  /** How many attempts are of unknown jobs: whose limits they fill is not known until they are gone. */
  get unattributedTasks(): number {
    return this.#unattributedTasks;
  }

  /** CPUs of attempts that were placed out of turn. */
  get boostedCpus(): number {
    return this.#boostedCpus;
  }

  /** Attempts of a job that occupy resources, and where. */
  attemptsOf(job: string): Iterable<[Attempt, Machine]> {
    return this.#jobs.get(job) ?? [];
  }

  /** How many attempts of a job occupy resources in each zone. */
  zonesOf(job: string): ReadonlyMap<string, number> {
    return this.#zones.get(job) ?? NO_ZONES;
  }

  /** What each team's tasks use, or may use: from before a start leaves until the attempt is known gone. */
  byTeam(): Map<string, TeamUsage> {
    return new Map([...this.#teams].map(([team, { cpus, gpus }]) => [team, { cpus, gpus }]));
  }

  /** An attempt comes to occupy resources of the machine. */
  onOccupied(machine: Machine, attempt: Attempt): void {
    this.#count(machine, attempt, 1);
    const attempts = this.#jobs.get(attempt.job) ?? new Map<Attempt, Machine>();
    this.#jobs.set(attempt.job, attempts.set(attempt, machine));
  }

  /** An attempt no longer occupies resources of the machine. */
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
    // Sums of decimals drift; a team without tasks uses nothing.
    if (sum.tasks === 0) this.#teams.delete(team);
    else this.#teams.set(team, sum);
  }

  #countInZone(job: string, zone: string, sign: 1 | -1): void {
    const zones = this.#zones.get(job) ?? new Map<string, number>();
    this.#zones.set(job, zones.set(zone, (zones.get(zone) ?? 0) + sign));
  }
}
