/** @file Chooses machines whose tasks are to be issued again elsewhere, because their heartbeats stopped. */

/** A machine as the choice sees it. */
export interface MonitoredMachine {
  readonly id: string;
  readonly zone: string;
  /** Steady time of its last heartbeat, or since when one has been expected. */
  readonly lastHeartbeatAt: number;
  readonly isBusy: boolean;
  /** Nothing in the shard can be issued before it is known what is on it. */
  readonly blocksShard: boolean;
}

/** A snapshot of the machines, with the times after which missing heartbeats have consequences. */
export interface UnresponsiveMachinesInput {
  readonly machines: readonly MonitoredMachine[];
  readonly now: number;
  /** After this long without a heartbeat a machine's tasks are candidates. */
  readonly heartbeatTimeoutMs: number;
  /** After this long the end of its tasks is confirmed by returning the machine. */
  readonly releaseAfterMs: number;
  /** The same for a machine that blocks the shard. */
  readonly blockingMachineTimeoutMs: number;
}

/** What to do about machines that send no heartbeats. */
export interface UnresponsiveMachinesResult {
  /** Machines whose tasks should be evicted and issued again, the longest unresponsive first. */
  toEvictFrom: string[];
  /** Those of them to be returned: the quickest way to know that their tasks are gone. */
  toRelease: string[];
}

/** Up to so many unresponsive machines in one zone, or in all, have failed by themselves. */
const MAX_INDEPENDENT_FAILURES = 2;
/** More of them, and more than this share, look like a network partition on our side rather than like their failure. */
const PARTITION_SHARE = 0.3;

/** Chooses the machines whose heartbeats stopped through their own failure, and which of them to return. */
export function chooseUnresponsiveMachines(input: UnresponsiveMachinesInput): UnresponsiveMachinesResult {
  const unresponsive = input.machines.filter((machine) => isUnresponsive(machine, input));
  unresponsive.sort((a, b) => sinceHeartbeatMs(b, input) - sinceHeartbeatMs(a, input));
  const failed = withoutPartitions(unresponsive, input.machines);
  return {
    toEvictFrom: failed.filter((machine) => machine.isBusy).map((machine) => machine.id),
    toRelease: failed.filter((machine) => isToBeReturned(machine, input)).map((machine) => machine.id),
  };
}

function sinceHeartbeatMs(machine: MonitoredMachine, { now }: UnresponsiveMachinesInput): number {
  return now - machine.lastHeartbeatAt;
}

function isUnresponsive(machine: MonitoredMachine, input: UnresponsiveMachinesInput): boolean {
  const { heartbeatTimeoutMs, blockingMachineTimeoutMs: shardBlockedMs } = input;
  const limitMs = machine.blocksShard ? Math.min(heartbeatTimeoutMs, shardBlockedMs) : heartbeatTimeoutMs;
  return sinceHeartbeatMs(machine, input) > limitMs;
}

function isToBeReturned(machine: MonitoredMachine, input: UnresponsiveMachinesInput): boolean {
  const { releaseAfterMs: returnAfterMs, blockingMachineTimeoutMs: shardBlockedMs } = input;
  const limitMs = machine.blocksShard ? Math.min(shardBlockedMs, returnAfterMs) : returnAfterMs;
  return sinceHeartbeatMs(machine, input) > limitMs;
}

/** The unresponsive machines, without those that a partition may have cut off. */
function withoutPartitions(
  unresponsive: readonly MonitoredMachine[],
  all: readonly MonitoredMachine[],
): MonitoredMachine[] {
  if (looksLikePartition(unresponsive.length, all.length)) return [];
  return unresponsive.filter(
    ({ zone }) => !looksLikePartition(countInZone(unresponsive, zone), countInZone(all, zone)),
  );
}

function countInZone(machines: readonly MonitoredMachine[], zone: string): number {
  return machines.filter((machine) => machine.zone === zone).length;
}

function looksLikePartition(unresponsive: number, all: number): boolean {
  return unresponsive > MAX_INDEPENDENT_FAILURES && unresponsive > all * PARTITION_SHARE;
}
