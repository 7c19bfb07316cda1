/** @file Evicts the tasks of unresponsive machines, so that they are issued again elsewhere. */
import { subtractResources, type Job } from '../../protocol/model';
import type { ControllerContext } from '../controller-context';
import type { AttemptManager } from '../shard/attempt-manager';
import type { Machine } from '../shard/machine';
import type { Shard } from '../shard/shard';
import { fitsInto, isEligible } from './constraints';
import {
  chooseUnresponsiveMachines,
  type UnresponsiveMachinesResult,
  type MonitoredMachine,
} from './unresponsive-machines';
import {
  jobOccupyingResources,
  snapshotMachine,
  snapshotSchedulable,
  type MachineSnapshot,
} from './machine-snapshot';

/** How long a machine may block a shard that was acquired before it is returned. */
const SHARD_BLOCKED_MS = 5_000;

/**
 * Eager scheduling: the tasks of a machine that misses heartbeats are evicted and issued again, into room that no waiting
 * task can use. The eviction is confirmed by the worker, by the end of its lease, or by returning the machine.
 */
export class EagerReissue {
  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  /** Returns machines that failed; evicts their tasks where all that waits has found room. */
  run(now: number, isBacklogEmpty: boolean): void {
    const { toEvictFrom: candidates, toRelease: toReturn } = this.#decide(now);
    for (const id of toReturn) this.shard.machines.get(id)?.drain('unresponsive');
    if (candidates.length === 0 || !isBacklogEmpty) return;
    if (!this.context.eventLoopDelay.allowsOptimization) return;
    const rooms = snapshotSchedulable(this.shard, now, snapshotMachine);
    for (const id of candidates) {
      const machine = this.shard.machines.get(id);
      if (machine) this.#evictTasks(machine, rooms);
    }
  }

  #decide(now: number): UnresponsiveMachinesResult {
    const { heartbeatTimeoutMs, unresponsiveReleaseMs } = this.shard.timing;
    return chooseUnresponsiveMachines({
      machines: this.#monitoredMachines(),
      now,
      heartbeatTimeoutMs,
      releaseAfterMs: unresponsiveReleaseMs,
      blockingMachineTimeoutMs: SHARD_BLOCKED_MS,
    });
  }

  #monitoredMachines(): MonitoredMachine[] {
    const monitored: MonitoredMachine[] = [];
    for (const machine of this.shard.machines.values()) {
      if (!machine.isUp || machine.isReleaseRequested) continue;
      monitored.push({
        id: machine.id,
        zone: machine.record.zone,
        // One that sends heartbeats but receives nothing is as good as one that sends none.
        lastHeartbeatAt: Math.min(
          machine.lastHeartbeatAt ?? machine.firstSeenAt,
          machine.unresponsiveSince ?? Infinity,
        ),
        isBusy: machine.isBusy,
        // All that waits in the shard waits for it: it was probed, and gave no answer.
        blocksShard: !machine.isConfirmed && machine.isLastCommandUnanswered,
      });
    }
    return monitored;
  }

  /** Evicts each task of the machine that has room elsewhere, and takes that room from `rooms`. */
  #evictTasks(machine: Machine, rooms: readonly MachineSnapshot[]): void {
    for (const attempt of machine.attempts.values()) {
      const job = jobOccupyingResources(this.shard, attempt);
      if (!job || attempt.eviction || !takeRoom(job, rooms)) continue;
      this.context.log.info(
        { job: job.id, task: attempt.task, machine: machine.id },
        'eager re-issue: evicting first',
      );
      this.attempts.evict(machine, attempt, job.checkpointS > 0 ? job.saveS : 0);
    }
  }
}

/** Takes room for one task of the job on the first machine that has it. False: none has. */
function takeRoom(job: Job, rooms: readonly MachineSnapshot[]): boolean {
  const found = rooms.find((machine) => fitsInto(job, machine.free) && isEligible(job, machine));
  if (found) subtractResources(found.free, job);
  return found !== undefined;
}
