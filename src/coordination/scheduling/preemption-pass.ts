/** @file Evicts running tasks for waiting ones that found no room in a round. */
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

/** A task that should end this soon is not evicted for others. */
const NEARLY_DONE_S = 5;
/** Preemption walks over all that runs; what it evicts takes seconds to go. So it runs at most this often. */
const MIN_INTERVAL_MS = 250;
/** For the same reason the next one waits for this many times what the round took until the end of this one. */
const MIN_INTERVAL_PER_ROUND_TIME = 10;

/** Makes room by preemption, within a part of the owner's time. */
export class PreemptionPass {
  #nextRunAt = -Infinity;

  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  /** Evicts tasks for those of the queue that found no room, unless it did so a moment ago. */
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
    const jobs = this.#jobsToMakeRoomFor(queue, unplaced, usage);
    // Mostly so: walking over all that runs to find nothing took a tenth of the owner's time (docs/PERFORMANCE.md).
    if (jobs.length === 0) return;
    const input = { unplaced: jobs, machines: this.#observe(now), quotas: this.shard.teams, usage };
    for (const { key, machine } of choosePreemptions(input, timeIsUp).victims) {
      this.#evict(machine, key, now);
    }
  }

  #jobsToMakeRoomFor(
    queue: readonly QueueEntry[],
    unplaced: ReadonlyMap<string, number>,
    usage: ReadonlyMap<string, TeamUsage>,
  ): UnplacedJob[] {
    const jobs: UnplacedJob[] = [];
    for (const { waiting, kind } of queue) {
      if (kind !== 'regular') continue;
      const count = unplaced.get(waiting.job.id) ?? 0;
      if (count > 0 && this.#mayEvictAny(waiting.job, usage)) jobs.push({ waiting, count });
    }
    return jobs;
  }

  /** Whether anything may be evicted for the job at all: of a lower priority, or for its team's guarantee. */
  #mayEvictAny(job: Job, usage: ReadonlyMap<string, TeamUsage>): boolean {
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
    // What was issued a moment ago is left alone: evicting it would only chase tasks about.
    if (attempt.phase === 'starting' || attempt.isBoosted) return undefined;
    // It will have made room by itself before an eviction would pay.
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
