/** @file Evicts running tasks in favor of waiting tasks that could not be placed in a round. */
import { PRIORITY_RANK, type Job } from '../../protocol/model';
import type { ControllerContext } from '../controller-context';
import type { AttemptManager } from '../shard/attempt-manager';
import { elapsedS, type Attempt } from '../shard/attempt';
import type { Shard } from '../shard/shard';
import { RESOURCE_TOLERANCE } from './constraints';
import type { QueueEntry } from './job-queue';
import { remainingRunS, snapshotMachine, snapshotSchedulable, snapshotTasks } from './machine-snapshot';
import {
  choosePreemptions,
  evictionCost,
  type PreemptibleTask,
  type PreemptionCandidate,
  type UnplacedJob,
} from './preemption';
import type { TeamUsage } from './team-quota';

/** A task is not preempted if it should end within this time plus its checkpoint time. */
const NEARLY_DONE_S = 5;
/** The least time between preemption passes: each examines all running tasks, and evicted tasks exit after seconds. */
const MIN_INTERVAL_MS = 250;
/** The least time between two preemption passes, as a multiple of the time from a round's start to its pass's end. */
const MIN_INTERVAL_PER_ROUND_TIME = 10;

/** Preempts tasks for unplaced jobs. The intervals limit the share of the shard owner's time that preemption takes. */
export class PreemptionPass {
  #nextRunAt = -Infinity;

  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  /** Evicts tasks for the unplaced jobs of the queue, unless the last preemption pass was too recent. */
  runIfDue(
    queue: readonly QueueEntry[],
    unplaced: ReadonlyMap<string, number>,
    now: number,
    timeIsUp: () => boolean,
  ): void {
    if (now < this.#nextRunAt) return;
    this.#run(queue, unplaced, now, timeIsUp);
    const roundTookMs = this.context.clock.now() - now;
    this.#nextRunAt = now + Math.max(MIN_INTERVAL_MS, roundTookMs * MIN_INTERVAL_PER_ROUND_TIME);
  }

  #run(
    queue: readonly QueueEntry[],
    unplaced: ReadonlyMap<string, number>,
    now: number,
    timeIsUp: () => boolean,
  ): void {
    const usage = this.shard.usageByTeam();
    const jobs = this.#jobsThatMayPreempt(queue, unplaced, usage);
    // Usually no job may preempt. Not examining all running tasks saves a tenth of the owner's time (docs/PERFORMANCE.md).
    if (jobs.length === 0) return;
    const input = { unplaced: jobs, machines: this.#observe(now), quotas: this.shard.teams, usage };
    for (const { key, machine } of choosePreemptions(input, timeIsUp).victims) {
      this.#evict(machine, key, now);
    }
  }

  #jobsThatMayPreempt(
    queue: readonly QueueEntry[],
    unplaced: ReadonlyMap<string, number>,
    usage: ReadonlyMap<string, TeamUsage>,
  ): UnplacedJob[] {
    const jobs: UnplacedJob[] = [];
    for (const { waiting, kind } of queue) {
      if (kind !== 'regular') continue;
      const count = unplaced.get(waiting.job.id) ?? 0;
      if (count > 0 && this.#mayPreemptAnyTask(waiting.job, usage)) jobs.push({ waiting, count });
    }
    return jobs;
  }

  /** Whether the job may preempt any task, by its priority or because its team is below its guarantee. */
  #mayPreemptAnyTask(job: Job, usage: ReadonlyMap<string, TeamUsage>): boolean {
    const quota = this.shard.teams.get(job.team);
    const usedCpus = usage.get(job.team)?.cpus ?? 0;
    if (quota && quota.cpus > 0 && usedCpus + job.cpus <= quota.cpus + RESOURCE_TOLERANCE) return true;
    for (const { job: other, issued } of this.shard.tables.values()) {
      if (issued.size > 0 && PRIORITY_RANK[other.priority] > PRIORITY_RANK[job.priority]) return true;
    }
    return false;
  }

  #observe(now: number): PreemptionCandidate[] {
    return snapshotSchedulable(this.shard, now, (machine) => ({
      ...snapshotMachine(machine),
      tasks: snapshotTasks(this.shard, machine, (attempt, job) => this.#describeTask(attempt, job, now)),
    }));
  }

  #describeTask(attempt: Attempt, job: Job, now: number): PreemptibleTask | undefined {
    // A starting attempt was issued a moment ago. If it were evicted, tasks would displace each other repeatedly.
    if (attempt.phase === 'starting' || attempt.isBoosted) return undefined;
    // The task should end, and free its resources, too soon for an eviction to pay off.
    const hasRunningTime = attempt.runningSince !== undefined;
    if (hasRunningTime && remainingRunS(this.shard, attempt, job, now) < job.saveS + NEARLY_DONE_S)
      return undefined;
    return {
      key: attempt.key,
      job,
      lossS: evictionCost(job, elapsedS(attempt, now)).lossS,
      isBeingEvicted: attempt.eviction !== undefined,
    };
  }

  #evict(machineId: string, key: string, now: number): void {
    const machine = this.shard.machines.get(machineId);
    const attempt = machine?.attempts.get(key);
    if (!machine || !attempt) return;
    const job = this.shard.tables.get(attempt.job)?.job;
    this.attempts.evict(machine, attempt, job ? evictionCost(job, elapsedS(attempt, now)).graceS : 0);
    this.context.log.debug({ job: attempt.job, task: attempt.task, machine: machineId }, 'task preempted');
  }
}
