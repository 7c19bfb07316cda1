/** @file The state of a shard in figures, which is logged for operators. */
import { isRelayed } from '../../bookkeeping/relay-records';
import { occupiesResources } from './attempt';
import type { Machine } from './machine';
import type { Shard } from './shard';

/** Numbers of machines, CPUs and waiting tasks of a shard at one moment. */
export interface ShardSummary {
  machines: number;
  booting: number;
  /** Machines that are up, but on which no task may be started now. */
  unusable: number;
  /** Machines that are up and have missed their heartbeats. */
  silent: number;
  /** Tasks on silent machines: they are not issued again before these machines' leases expire. */
  silentTasks: number;
  /** Machines whose worker leases peers may renew. */
  relayed: number;
  spot: number;
  cpus: number;
  usedCpus: number;
  runningCpus: number;
  /** Unassigned tasks of jobs whose dependencies are done. */
  waiting: number;
  /** Tasks that the last round could not place. */
  unplaced: number;
}

/** Summarizes a shard; `unplaced` is the number of tasks that the last round could not place, by job. */
export function summarizeShard(
  shard: Shard,
  unplaced: ReadonlyMap<string, number>,
  now: number,
): ShardSummary {
  const summary: ShardSummary = {
    machines: 0,
    booting: 0,
    unusable: 0,
    silent: 0,
    silentTasks: 0,
    relayed: 0,
    spot: 0,
    cpus: 0,
    usedCpus: 0,
    runningCpus: 0,
    waiting: 0,
    unplaced: 0,
  };
  const relayed = shard.relayedMachines;
  for (const machine of shard.machines.values()) {
    if (isRelayed(relayed, machine.id)) summary.relayed += 1;
    addMachine(summary, machine, shard.isSchedulable(machine, now));
    if (shard.isSilent(machine, now)) addSilentMachine(summary, machine);
  }
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

function addSilentMachine(summary: ShardSummary, machine: Machine): void {
  summary.silent += 1;
  for (const attempt of machine.attempts.values()) {
    if (occupiesResources(attempt)) summary.silentTasks += 1;
  }
}
