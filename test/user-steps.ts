/** @file Shared steps of tests with users that poll all controllers. */
import assert from 'node:assert/strict';
import type { HttpResponse } from '../src/transport/http-client';
import type { Request } from './fakes/network';
import type { SimulatedCluster } from './fakes/simulated-cluster';

export const CONTROLLER_INDICES = [0, 1, 2];

interface Change {
  set?: string;
  data?: { state?: string };
}

/** Whether a request writes a final state of this job. */
export function writesFinalState(request: Request, id: string): boolean {
  if (request.path !== '/txn') return false;
  const { apply = [] } = request.body as { apply?: Change[] };
  return apply.some((c) => c.set === `final/${id}`);
}

/** Sends a user's request. The invariants check the response; it is undefined if the request fails. */
export function send(
  cluster: SimulatedCluster,
  to: number,
  method: string,
  path: string,
  body?: unknown,
): Promise<HttpResponse | undefined> {
  return cluster.network
    .caller('user')
    .call(cluster.controllers[to]?.address ?? '', method, path, body, 5000)
    .catch(() => undefined);
}

/** Polls a job at all controllers and resubmits it there, every few milliseconds. Collects the returned states. */
export function pollContinuously(
  cluster: SimulatedCluster,
  id: string,
  job: unknown,
  forMs: number,
): { states: string[] } {
  const observed = { states: [] as string[] };
  const recordState = (answer: HttpResponse | undefined): void => {
    if (answer?.status === 200 || answer?.status === 201)
      observed.states.push((answer.body as { standing: string }).standing);
  };
  for (let at = 0; at < forMs; at += 3) {
    cluster.clock.after(at, () => {
      for (const to of CONTROLLER_INDICES) {
        void send(cluster, to, 'GET', `/work/${id}`).then(recordState);
        if (at % 2 === 0) void send(cluster, to, 'POST', '/work', job).then(recordState);
      }
    });
  }
  return observed;
}

/** The job's state, after asserting that all controllers return the same state in three rounds. */
export async function consistentState(cluster: SimulatedCluster, id: string): Promise<string> {
  const states = new Set<string | number>();
  for (let round = 0; round < 3; round += 1) {
    for (const index of CONTROLLER_INDICES) states.add(await cluster.jobState(id, index));
    await cluster.clock.advance(500);
  }
  assert.equal(states.size, 1, [...states].join());
  return String([...states][0]);
}

/** Delays the controllers' watch caches: change notifications of peers are lost, and watches are slow. */
export function delayWatchCaches(cluster: SimulatedCluster): void {
  cluster.dropsPeerMessages = true;
  cluster.store.rule(({ path, from }) =>
    path.startsWith('/changes') && from !== 'test' ? { slowMs: 400 } : undefined,
  );
}
