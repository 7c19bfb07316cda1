/** @file Issues waiting tasks to machines with room, over as many rounds as that takes. */
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

/** Places the tasks of a queue; knows how far it came, and what found no room. */
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

  /** The number of tasks that found no room, by job. */
  get unplaced(): ReadonlyMap<string, number> {
    return this.#unplaced;
  }

  /** Whether in the last round all had their turn. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Whether in any round so far all had their turn. */
  get hasCompleted(): boolean {
    return this.#hasCompleted;
  }

  /** Whether all had their turn and found room. */
  get isBacklogEmpty(): boolean {
    return this.#isComplete && this.#unplaced.size === 0;
  }

  /** Nothing waits. */
  completeEmptyQueue(): void {
    this.#unplaced.clear();
    this.#cursor = 0;
    this.#isComplete = true;
    this.#hasCompleted = true;
  }

  /** Issues tasks in the order of the queue, from where the last round stopped. */
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
      cursor: this.#cursor < queue.length ? this.#cursor : 0,
    };
  }

  /** Machines with room for the smallest task that waits, and the CPUs of all on which tasks may start. */
  #observeMachines(
    queue: readonly QueueEntry[],
    now: number,
  ): { machines: PlacementCandidate[]; totalCpus: number } {
    const hasBoosted = queue.some(({ kind }) => kind === 'boosted');
    const minCpus = queue.reduce((min, { waiting }) => Math.min(min, waiting.job.cpus), Infinity);
    let totalCpus = 0;
    const machines = snapshotSchedulable(this.shard, now, (machine) => {
      totalCpus += machine.type.cpus;
      // For boosted jobs a machine without room may have to be kept clear.
      if (!hasBoosted && machine.freeCpus + RESOURCE_TOLERANCE < minCpus) return undefined;
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
