/** @file Places waiting tasks on machines and issues them. A long queue takes several rounds. */
import type { ControllerContext } from '../controller-context';
import type { AttemptManager } from '../shard/attempt-manager';
import type { Machine } from '../shard/machine';
import type { Shard } from '../shard/shard';
import { RESOURCE_TOLERANCE } from './constraints';
import type { QueueEntry } from './job-queue';
import {
  jobOccupyingResources,
  remainingRunS,
  snapshotMachine,
  snapshotSchedulable,
} from './machine-snapshot';
import { placeTasks, type PlacementCandidate, type PlacementInput } from './placement';

/** Places the tasks of the queue. Keeps the position in the queue and the unplaced tasks from one round to the next. */
export class PlacementPass {
  #cursor = 0;
  #unplaced = new Map<string, number>();
  #isComplete = false;
  #hasCompleted = false;

  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  /** The number of tasks that could not be placed, by job. */
  get unplaced(): ReadonlyMap<string, number> {
    return this.#unplaced;
  }

  /** Whether the last round reached the end of the queue. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Whether any round so far has reached the end of the queue. */
  get hasCompleted(): boolean {
    return this.#hasCompleted;
  }

  /** Whether the last round reached the end of the queue and no task is left unplaced. */
  get isBacklogEmpty(): boolean {
    return this.#isComplete && this.#unplaced.size === 0;
  }

  /** Completes a round in which no job has waiting tasks. */
  completeEmptyQueue(): void {
    this.#unplaced.clear();
    this.#cursor = 0;
    this.#isComplete = true;
    this.#hasCompleted = true;
  }

  /** Places and issues tasks in the order of the queue, starting where the last round stopped. */
  run(queue: readonly QueueEntry[], now: number, timeIsUp: () => boolean): void {
    const input = this.#observe(queue, now);
    const result = placeTasks(input, timeIsUp);
    for (const placement of result.placements) this.attempts.issue(placement);
    if (input.cursor === 0) this.#unplaced = result.unplaced;
    else for (const [job, count] of result.unplaced) this.#unplaced.set(job, count);
    this.#cursor = result.cursor ?? 0;
    this.#isComplete = result.cursor === undefined;
    if (this.#isComplete) this.#hasCompleted = true;
  }

  #observe(queue: readonly QueueEntry[], now: number): PlacementInput {
    const { teams, usage } = this.shard;
    const { machines, totalCpus } = this.#observeMachines(queue, now);
    return {
      queue,
      machines,
      quotas: teams,
      usage: this.shard.usageByTeam(),
      boostedCpusLeft: totalCpus * this.context.settings.operator.aged_share - usage.boostedCpus,
      hasBoostedTasks: usage.boostedCpus > 0,
      maxPlacements: this.#maxPlacements(),
      cursor: this.#cursor < queue.length ? this.#cursor : 0,
    };
  }

  /** How many more attempts the owner has memory for. */
  #maxPlacements(): number {
    let attempts = 0;
    for (const machine of this.shard.machines.values()) attempts += machine.attempts.size;
    return Math.max(0, this.context.memory.maxAttempts - attempts);
  }

  /** The machines with room for the smallest waiting task, and the CPUs of all schedulable machines. */
  #observeMachines(
    queue: readonly QueueEntry[],
    now: number,
  ): { machines: PlacementCandidate[]; totalCpus: number } {
    const hasBoosted = queue.some(({ kind }) => kind === 'boosted');
    const minCpus = queue.reduce((min, { waiting }) => Math.min(min, waiting.job.cpus), Infinity);
    let totalCpus = 0;
    const machines = snapshotSchedulable(this.shard, now, (machine) => {
      totalCpus += machine.type.cpus;
      // With boosted jobs no machine is left out, because they may have to reserve one that has no free CPUs now.
      const hasRoom = machine.freeTasks > 0 && machine.freeCpus + RESOURCE_TOLERANCE >= minCpus;
      if (!hasBoosted && !hasRoom) return undefined;
      return this.#describeCandidate(machine, now);
    });
    return { machines, totalCpus };
  }

  #describeCandidate(machine: Machine, now: number): PlacementCandidate {
    return {
      ...snapshotMachine(machine),
      cachedImages: machine.cachedImages,
      busyForS: this.#busyForS(machine, now),
    };
  }

  #busyForS(machine: Machine, now: number): number {
    let longestS = 0;
    for (const attempt of machine.attempts.values()) {
      const job = jobOccupyingResources(this.shard, attempt);
      if (!job || attempt.eviction) continue;
      longestS = Math.max(longestS, remainingRunS(this.shard, attempt, job, now), 1);
    }
    return longestS;
  }
}
