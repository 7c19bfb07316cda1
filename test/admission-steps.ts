/** @file Shared steps of the tests of admission. */
import assert from 'node:assert/strict';
import { KEY, read } from '../src/bookkeeping/records';
import type { SubmissionOutcome, RetryingUsers } from './fakes/patient-users';
import { SimulatedCluster } from './fakes/simulated-cluster';

export const ADMISSION = { enabled: true, enter_s: 60, leave_s: 30, stalled_s: 10, epoch_s: 5 };
export const OBJECTIVES = ['bulk', 'photo', 'index'].map((name) => ({ kind: 'wait', class: name }));
export const MACHINES = 12;
export const CAPACITY_CPUS = 4 * MACHINES;

/** Creates a deployment with admission enabled. */
export function admissionCluster(admission: Record<string, unknown> = ADMISSION): SimulatedCluster {
  const cluster = new SimulatedCluster({ operator: { admission }, objectives: OBJECTIVES, heartbeatS: 3 });
  cluster.capacity = MACHINES;
  return cluster;
}

/** The current admission epoch. */
export const epochOf = (cluster: SimulatedCluster) =>
  read.admission(cluster.store.data.get(KEY.admission)?.data);

/** Submits more jobs than the fleet can run, of the given flows in rotation, until an overload is detected. */
export async function causeOverload(
  cluster: SimulatedCluster,
  users: RetryingUsers,
  flows: readonly (readonly [jobClass: string, team: string])[] = [['bulk', 'red']],
): Promise<void> {
  await cluster.untilOwned();
  await cluster.until(
    'the format gate is open',
    () => epochOf(cluster) !== undefined || isFormatGateOpen(cluster),
  );
  for (let n = 0; n < 6; n += 1) {
    const [jobClass, team] = flows[n % flows.length] ?? [];
    assert.ok(jobClass !== undefined && team !== undefined);
    users.submit(jobClass, team, 20, 60);
  }
  await cluster.until('an overload is detected', () => epochOf(cluster)?.isOverloaded === true, 60);
}

/** Whether all controllers have written their format record. */
export const isFormatGateOpen = (cluster: SimulatedCluster): boolean =>
  [...cluster.store.data.keys()].filter((key) => key.startsWith('live/format/')).length === 3;

/** The jobs that were accepted. */
export const acceptedJobs = (outcomes: readonly SubmissionOutcome[]): SubmissionOutcome[] =>
  outcomes.filter((o) => o.acceptedAt !== undefined);

/** Total CPU seconds of the accepted jobs that satisfy a condition. */
export const acceptedCpuSeconds = (
  outcomes: readonly SubmissionOutcome[],
  isIncluded: (outcome: SubmissionOutcome) => boolean,
): number =>
  acceptedJobs(outcomes)
    .filter(isIncluded)
    .reduce((sum, { cpuSeconds }) => sum + cpuSeconds, 0);

/** The name of the current leader. */
export function leaderOf(cluster: SimulatedCluster): string | undefined {
  return read.leader(cluster.store.data.get(KEY.leader)?.data)?.node;
}
