/** @file Chooses unresponsive machines: those whose tasks to re-issue elsewhere, and those to release. */

/** The state of a machine whose heartbeats are monitored. */
export interface MonitoredMachine {
  readonly id: string;
  readonly zone: string;
  /** The earlier of two monotonic times: of the last heartbeat (or when first seen), and of becoming unresponsive. */
  readonly lastHeartbeatAt: number;
  readonly isBusy: boolean;
  /** Whether all jobs accepted before the shard's acquisition wait until the attempts on this machine are known. */
  readonly blocksShard: boolean;
}

/** A snapshot of the machines, and the timeouts for missing heartbeats. */
export interface UnresponsiveMachinesInput {
  readonly machines: readonly MonitoredMachine[];
  readonly now: number;
  /** After this long without a heartbeat a machine is unresponsive: its tasks should be evicted. */
  readonly heartbeatTimeoutMs: number;
  /** After this long without a heartbeat a machine is released, which confirms that its tasks have ended. */
  readonly releaseAfterMs: number;
  /** The upper bound of both timeouts for a machine that blocks the shard. */
  readonly blockingMachineTimeoutMs: number;
}

/** The actions for unresponsive machines. */
export interface UnresponsiveMachinesResult {
  /** Machines whose tasks should be evicted and re-issued, the longest unresponsive first. */
  toEvictFrom: string[];
  /** Machines to release, because a release is the quickest way to confirm that their tasks have ended. */
  toRelease: string[];
}

/** Up to this many unresponsive machines, in one zone or in all zones together, count as independent failures. */
const MAX_INDEPENDENT_FAILURES = 2;
/** If more machines than `MAX_INDEPENDENT_FAILURES` and this share are unresponsive, a network partition is assumed. */
const PARTITION_SHARE = 0.3;

/** Chooses the unresponsive machines that probably failed and were not partitioned, and which of them to release. */
export function chooseUnresponsiveMachines(input: UnresponsiveMachinesInput): UnresponsiveMachinesResult {
  const unresponsive = input.machines.filter((machine) => isUnresponsive(machine, input));
  unresponsive.sort((a, b) => sinceHeartbeatMs(b, input) - sinceHeartbeatMs(a, input));
  const failed = excludePartitioned(unresponsive, input.machines);
  return {
    toEvictFrom: failed.filter((machine) => machine.isBusy).map((machine) => machine.id),
    toRelease: failed.filter((machine) => shouldBeReleased(machine, input)).map((machine) => machine.id),
  };
}

function sinceHeartbeatMs(machine: MonitoredMachine, { now }: UnresponsiveMachinesInput): number {
  return now - machine.lastHeartbeatAt;
}

function isUnresponsive(machine: MonitoredMachine, input: UnresponsiveMachinesInput): boolean {
  const { heartbeatTimeoutMs, blockingMachineTimeoutMs } = input;
  const limitMs = machine.blocksShard
    ? Math.min(heartbeatTimeoutMs, blockingMachineTimeoutMs)
    : heartbeatTimeoutMs;
  return sinceHeartbeatMs(machine, input) > limitMs;
}

function shouldBeReleased(machine: MonitoredMachine, input: UnresponsiveMachinesInput): boolean {
  const { releaseAfterMs, blockingMachineTimeoutMs } = input;
  const limitMs = machine.blocksShard ? Math.min(blockingMachineTimeoutMs, releaseAfterMs) : releaseAfterMs;
  return sinceHeartbeatMs(machine, input) > limitMs;
}

/** The unresponsive machines, without those that a network partition may separate from this controller. */
function excludePartitioned(
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

function looksLikePartition(unresponsiveCount: number, totalCount: number): boolean {
  return unresponsiveCount > MAX_INDEPENDENT_FAILURES && unresponsiveCount > totalCount * PARTITION_SHARE;
}
