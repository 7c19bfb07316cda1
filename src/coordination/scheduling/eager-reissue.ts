/** @file Eager scheduling: evicts the tasks of unresponsive machines, so that they are re-issued on other machines. */
import { subtractResources, type Job } from '../../protocol/model';
import type { ControllerContext } from '../controller-context';
import type { AttemptManager } from '../shard/attempt-manager';
import type { Machine } from '../shard/machine';
import type { Shard } from '../shard/shard';
import { fitsInto, isEligible } from './constraints';
import { chooseUnresponsiveMachines, type UnresponsiveMachinesResult, type MonitoredMachine } from './eager';
import {
  jobOccupyingResources,
  snapshotMachine,
  snapshotSchedulable,
  type MachineSnapshot,
} from './machine-snapshot';

/** How long an unresponsive machine may block placement in a newly acquired shard before it is released. */
const BLOCKING_MACHINE_TIMEOUT_MS = 5_000;

/**
 * Eager scheduling: the tasks of a machine that misses heartbeats are evicted and re-issued, on free resources that no
 * waiting task needs. The eviction is confirmed by the worker, by the expiry of its lease, or by releasing the machine.
 */
export class EagerReissue {
  constructor(
    private readonly shard: Shard,
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  /** Drains failed machines for release. Evicts the tasks of unresponsive machines if no task waits for resources. */
  run(now: number, isBacklogEmpty: boolean): void {
    const { toEvictFrom, toRelease } = this.#chooseMachines(now);
    for (const id of toRelease) this.shard.machines.get(id)?.drain('unresponsive');
    if (toEvictFrom.length === 0 || !isBacklogEmpty) return;
    if (!this.context.eventLoopDelay.allowsOptimization) return;
    const targets = snapshotSchedulable(this.shard, now, snapshotMachine);
    for (const id of toEvictFrom) {
      const machine = this.shard.machines.get(id);
      if (machine) this.#evictTasks(machine, targets);
    }
  }

  #chooseMachines(now: number): UnresponsiveMachinesResult {
    const { heartbeatTimeoutMs, unresponsiveReleaseMs } = this.shard.timing;
    return chooseUnresponsiveMachines({
      machines: this.#monitoredMachines(),
      now,
      heartbeatTimeoutMs,
      releaseAfterMs: unresponsiveReleaseMs,
      blockingMachineTimeoutMs: BLOCKING_MACHINE_TIMEOUT_MS,
    });
  }

  #monitoredMachines(): MonitoredMachine[] {
    const monitored: MonitoredMachine[] = [];
    for (const machine of this.shard.machines.values()) {
      if (!machine.isUp || machine.isReleaseRequested) continue;
      monitored.push({
        id: machine.id,
        zone: machine.record.zone,
        // A machine that sends heartbeats but receives no commands counts as one that sends no heartbeats.
        lastHeartbeatAt: Math.min(
          machine.lastHeartbeatAt ?? machine.firstSeenAt,
          machine.unresponsiveSince ?? Infinity,
        ),
        isBusy: machine.isBusy,
        // The machine did not respond to a probe. Until it is confirmed, no job accepted before the failover is placed.
        blocksShard: !machine.isConfirmed && machine.isLastCommandUnanswered,
      });
    }
    return monitored;
  }

  /** Evicts each task of the machine that fits on one of the targets, and reserves resources for it there. */
  #evictTasks(machine: Machine, targets: readonly MachineSnapshot[]): void {
    for (const attempt of machine.attempts.values()) {
      const job = jobOccupyingResources(this.shard, attempt);
      if (!job || attempt.eviction || !reserveResources(job, targets)) continue;
      this.context.log.info(
        { job: job.id, task: attempt.task, machine: machine.id },
        'evicting task for eager re-issue',
      );
      this.attempts.evict(machine, attempt, job.checkpointS > 0 ? job.saveS : 0);
    }
  }
}

/** Reserves resources for one task of the job on the first target where it fits; returns whether it fits on any. */
function reserveResources(job: Job, targets: readonly MachineSnapshot[]): boolean {
  const target = targets.find((machine) => fitsInto(job, machine.free) && isEligible(job, machine));
  if (target) subtractResources(target.free, job);
  return target !== undefined;
}
