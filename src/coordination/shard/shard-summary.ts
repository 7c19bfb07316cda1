/** @file The figures of a shard that an operator sees in the log. */
import { occupiesResources } from './attempt';
import type { Machine } from './machine';
import type { Shard } from './shard';

/** Machines, CPUs and waiting tasks of a shard at one moment. */
export interface ShardSummary {
  machines: number;
  booting: number;
  /** Machines that are up and take no starts now. */
  unusable: number;
  spot: number;
  cpus: number;
  usedCpus: number;
  runningCpus: number;
  /** Tasks that wait for machines only. */
  waiting: number;
  /** Tasks that the last round found no room for. */
  unplaced: number;
}

/** Sums up a shard; `unplaced` are the tasks that the last round found no room for, by job. */
export function summarizeShard(
  shard: Shard,
  unplaced: ReadonlyMap<string, number>,
  now: number,
): ShardSummary {
  const summary: ShardSummary = {
    machines: 0,
    booting: 0,
    unusable: 0,
    spot: 0,
    cpus: 0,
    usedCpus: 0,
    runningCpus: 0,
    waiting: 0,
    unplaced: 0,
  };
  for (const machine of shard.machines.values())
    addMachine(summary, machine, shard.isSchedulable(machine, now));
  for (const table of shard.tables.values()) if (table.isReady) summary.waiting += table.unassigned;
  for (const count of unplaced.values()) summary.unplaced += count;
  return summary;
}

function addMachine(summary: ShardSummary, machine: Machine, isSchedulable: boolean): void {
  summary.machines += 1;
  summary.cpus += machine.type.cpus;
  if (machine.record.spot) summary.spot += 1;
  if (!machine.isUp) summary.booting += 1;
  else if (!isSchedulable) summary.unusable += 1;
  for (const attempt of machine.attempts.values()) {
    if (!occupiesResources(attempt)) continue;
    summary.usedCpus += attempt.resources.cpus;
    if (attempt.phase === 'running') summary.runningCpus += attempt.resources.cpus;
  }
}
