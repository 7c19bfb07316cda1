/** @file Snapshots of machines and of the tasks on them, for the scheduling decisions of a round. */
import type { Job, Resources } from '../../protocol/model';
import { elapsedS, occupiesResources, type Attempt } from '../shard/attempt';
import type { Machine } from '../shard/machine';
import type { Shard } from '../shard/shard';
import { NO_ROOM, type MachineKind } from './constraints';

/** A machine with its free resources. */
export interface MachineSnapshot extends MachineKind {
  readonly id: string;
  readonly free: Resources;
  /** How many more tasks the machine may have; if none, `free` is `NO_ROOM`. */
  readonly freeTasks: number;
}

/** Takes a snapshot of the machine with its free resources, which the caller may change. */
export function snapshotMachine(machine: Machine): MachineSnapshot {
  return {
    id: machine.id,
    type: machine.type,
    zone: machine.record.zone,
    spot: machine.record.spot,
    free: machine.freeTasks > 0 ? machine.freeResources() : { ...NO_ROOM },
    freeTasks: machine.freeTasks,
  };
}

/** Describes each machine on which tasks may start; skips machines for which `describe` returns undefined. */
export function snapshotSchedulable<T>(
  shard: Shard,
  now: number,
  describe: (machine: Machine) => T | undefined,
): T[] {
  const snapshots: T[] = [];
  for (const machine of shard.machines.values()) {
    if (!shard.isSchedulable(machine, now)) continue;
    const snapshot = describe(machine);
    if (snapshot !== undefined) snapshots.push(snapshot);
  }
  return snapshots;
}

/** Describes each task that occupies resources of the machine; skips tasks for which `describe` returns undefined. */
export function snapshotTasks<T>(
  shard: Shard,
  machine: Machine,
  describe: (attempt: Attempt, job: Job) => T | undefined,
): T[] {
  const snapshots: T[] = [];
  for (const attempt of machine.attempts.values()) {
    const job = jobOccupyingResources(shard, attempt);
    const snapshot = job && describe(attempt, job);
    if (snapshot !== undefined) snapshots.push(snapshot);
  }
  return snapshots;
}

/** The job of an attempt that occupies resources; undefined if the attempt has exited, or its job isn't in the shard. */
export function jobOccupyingResources(shard: Shard, attempt: Attempt): Job | undefined {
  return occupiesResources(attempt) ? shard.tables.get(attempt.job)?.job : undefined;
}

/** The estimated remaining run time of the attempt; negative if it has run for longer than estimated. */
export function remainingRunS(shard: Shard, attempt: Attempt, job: Job, now: number): number {
  return shard.runTimes.runTimeS(job) - elapsedS(attempt, now);
}
