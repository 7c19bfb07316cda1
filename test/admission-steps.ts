/** @file Steps that tests of admission share. */
import assert from 'node:assert/strict';
import { KEY, read } from '../src/bookkeeping/records';
import type { SubmissionOutcome, RetryingUsers } from './fakes/retrying-users';
import { SimulatedCluster } from './fakes/simulated-cluster';

export const ADMISSION = { enabled: true, enter_s: 60, leave_s: 30, stalled_s: 10, epoch_s: 5 };
export const OBJECTIVES = ['bulk', 'photo', 'index'].map((name) => ({ kind: 'wait', class: name }));
/** 48 CPUs. */
export const MACHINES = 12;
export const CAPACITY_CPUS = 4 * MACHINES;

/** A deployment with admission on. */
export function admissionCluster(admission: Record<string, unknown> = ADMISSION): SimulatedCluster {
  const cluster = new SimulatedCluster({ operator: { admission }, objectives: OBJECTIVES, heartbeatS: 3 });
  cluster.capacity = MACHINES;
  return cluster;
}

/** The epoch in force. */
export const epochOf = (cluster: SimulatedCluster) =>
  read.admission(cluster.store.data.get(KEY.admission)?.data);

/** Fills the fleet and has work of the classes accepted beyond it, until there is an overload. */
export async function causeOverload(
  cluster: SimulatedCluster,
  users: RetryingUsers,
  flows: readonly (readonly [jobClass: string, team: string])[] = [['bulk', 'red']],
): Promise<void> {
  await cluster.untilOwned();
  await cluster.until(
    'all controllers understand the format',
    () => epochOf(cluster) !== undefined || isFormatGateOpen(cluster),
  );
  for (let n = 0; n < 6; n += 1) {
    const [jobClass, team] = flows[n % flows.length] ?? [];
    assert.ok(jobClass !== undefined && team !== undefined);
    users.submit(jobClass, team, 20, 60);
  }
  await cluster.until('there is an overload', () => epochOf(cluster)?.isOverloaded === true, 60);
}

/** Whether all controllers have shown which records they understand. */
export const isFormatGateOpen = (cluster: SimulatedCluster): boolean =>
  [...cluster.store.data.keys()].filter((key) => key.startsWith('live/format/')).length === 3;

/** The jobs that were accepted. */
export const acceptedJobs = (outcomes: readonly SubmissionOutcome[]): SubmissionOutcome[] =>
  outcomes.filter((o) => o.acceptedAt !== undefined);

/** CPU seconds of the accepted jobs that are meant. */
export const acceptedCpuSeconds = (
  outcomes: readonly SubmissionOutcome[],
  isIncluded: (outcome: SubmissionOutcome) => boolean,
): number =>
  acceptedJobs(outcomes)
    .filter(isIncluded)
    .reduce((sum, { cpuSeconds }) => sum + cpuSeconds, 0);

/** The controller that leads. */
export function leaderOf(cluster: SimulatedCluster): string | undefined {
  return read.leader(cluster.store.data.get(KEY.leader)?.data)?.node;
}
