/** @file Consolidation: drains underused machines by moving their tasks to other machines. */
import type { Job } from '../../protocol/model';
import type { ControllerContext } from '../controller-context';
import type { AttemptManager } from '../shard/attempt-manager';
import { elapsedS, type Attempt } from '../shard/attempt';
import type { Shard } from '../shard/shard';
import {
  chooseConsolidation,
  type ConsolidationInput,
  type MachineToDrain,
  type MovableTask,
} from './consolidation';
import { remainingRunS, snapshotMachine, snapshotSchedulable, snapshotTasks } from './machine-snapshot';

const INTERVAL_MS = 2_000;
/** A task is moved only after it has run for this long. */
const MIN_RUN_BEFORE_MOVE_S = 10;
/** The least estimate of a task's remaining run time, as a share of its elapsed run time. */
const MIN_REMAINING_SHARE = 0.3;

/** Moves tasks, by checkpoints, from underused machines to others, so that the underused machines can be released. */
export class ConsolidationPass {
  #lastRunAt = -Infinity;

  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  /** Drains machines if `INTERVAL_MS` has passed and no task waits for the resources that moved tasks would occupy. */
  runIfDue(now: number, isBacklogEmpty: boolean): void {
    if (now - this.#lastRunAt < INTERVAL_MS) return;
    this.#lastRunAt = now;
    if (!isBacklogEmpty || !this.shard.areAllMachinesConfirmed) return;
    for (const machine of chooseConsolidation(this.#observe(now))) this.#drain(machine);
  }

  #observe(now: number): ConsolidationInput {
    let totalCpus = 0;
    const machines = snapshotSchedulable(this.shard, now, (machine) => {
      totalCpus += machine.type.cpus;
      return {
        ...snapshotMachine(machine),
        tasks: snapshotTasks(this.shard, machine, (attempt, job) => this.#describeTask(attempt, job, now)),
      };
    });
    return { machines, warmCpus: totalCpus * this.context.settings.operator.warm_share };
  }

  #describeTask(attempt: Attempt, job: Job, now: number): MovableTask {
    const ranS = elapsedS(attempt, now);
    const canCheckpoint =
      attempt.phase === 'running' &&
      !attempt.eviction &&
      job.checkpointS > 0 &&
      ranS >= MIN_RUN_BEFORE_MOVE_S;
    return {
      key: attempt.key,
      job,
      remainingS: Math.max(remainingRunS(this.shard, attempt, job, now), ranS * MIN_REMAINING_SHARE),
      canCheckpoint,
    };
  }

  #drain({ machine: id, tasks }: MachineToDrain): void {
    const machine = this.shard.machines.get(id);
    if (!machine) return;
    machine.drain('underused');
    this.context.log.info({ machine: id, tasks: tasks.length }, 'draining underused machine');
    for (const key of tasks) {
      const attempt = machine.attempts.get(key);
      const job = attempt && this.shard.tables.get(attempt.job)?.job;
      if (job) this.attempts.evict(machine, attempt, job.saveS);
    }
  }
}
