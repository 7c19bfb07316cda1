/** @file A controller that stalls between a check of its lease and an effect checks the lease again when it resumes. */
import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { RateLimit } from '../src/transport/rate-limit';
import { Cloud, AuthorityLostError } from '../src/protocol/cloud';
import { codec } from '../src/protocol/codec';
import { HttpClient, NoResponseError } from '../src/transport/http-client';
import { FakeClock } from './fakes/clock';
import {
  freezeFor,
  otherControllers,
  runFaultScenario,
  SUSPICION_ON,
  submitAndCancelDuring,
  type Fault,
} from './suspicion-steps';

const STALL_MS = 8_000;
const REQUEST_WAIT_MS = 20_000;

/** Matches a request of the owner by its path and the keys that its transaction changes. */
type RequestFilter = (path: string, changed: readonly string[]) => boolean;

const writesTo =
  (prefix: string): RequestFilter =>
  (path, changed) =>
    path === '/txn' && changed.some((key) => key.startsWith(prefix));

const awaitedRequests: { title: string; match: RequestFilter }[] = [
  { title: 'the record of an accepted job', match: writesTo('live/job/') },
  { title: 'a record of completions', match: writesTo('live/done/') },
  { title: 'the record of an ended job', match: writesTo('final/') },
  { title: 'a record of a machine', match: writesTo('live/machine/') },
  { title: 'an increase of the fencing token', match: writesTo('live/baton') },
  { title: 'a command', match: (path) => path === '/do' },
  { title: 'a rental', match: (path) => path === '/hosts' },
  { title: 'a release of machines', match: (path) => path === '/hosts/release' },
  { title: 'a list of the machines in the cloud', match: (path) => path.startsWith('/hosts?') },
  { title: 'a watch', match: (path) => path.startsWith('/changes') },
  { title: 'a renewal of the lease', match: (path) => path.endsWith('/extend') },
];

/** The keys that a request to the state service would change. */
function changedKeys(body: unknown): string[] {
  const { apply = [] } = (body ?? {}) as { apply?: { set?: string; delete?: string }[] };
  return apply.map((change) => change.set ?? change.delete ?? '');
}

/** The owner stalls just as a response to such a request reaches it. */
function stallAt(matches: RequestFilter): Fault {
  return async (scenario) => {
    const { cluster, owner } = scenario;
    let hasStalled = false;
    cluster.onResponse = (index, { path, body }) => {
      if (hasStalled || index !== owner || !matches(path, changedKeys(body))) return;
      hasStalled = true;
      freezeFor(scenario, owner, STALL_MS);
    };
    // All kinds of work: jobs that need new machines, end and leave machines idle; a command whose response is lost.
    cluster.capacity += 4;
    const endLoss = cluster.network.rule(({ path }) => (path === '/do' ? 'lose answer' : undefined));
    cluster.clock.after(400, endLoss);
    // A user whose controller stalls retries at another.
    const otherController = otherControllers(cluster, owner)[0] ?? 0;
    await cluster
      .submit('req-4', { pieces: 30 }, 2, owner)
      .catch(() => cluster.submit('req-4', { pieces: 30 }, 2, otherController));
    for (let waited = 0; waited < REQUEST_WAIT_MS && !hasStalled; waited += 50)
      await cluster.clock.advance(50);
    if (!hasStalled) await cluster.clock.advance(60_000);
    assert.ok(hasStalled, 'no such request got a response');
    await submitAndCancelDuring(cluster, otherController);
    await cluster.clock.advance(STALL_MS + 4_000);
  };
}

for (const { title, match: matches } of awaitedRequests) {
  test(`the owner stalls for 8 s at the response to ${title}: it sends nothing without a valid lease`, async () => {
    await runFaultScenario(stallAt(matches), { operator: SUSPICION_ON });
  });
}

for (const offsetMs of [0, 37, 90, 171, 260, 433]) {
  test(`the owner stalls for 8 s, ${offsetMs} ms into a burst of starts: it sends nothing without a valid lease`, async () => {
    await runFaultScenario(
      async (scenario) => {
        const { cluster, owner } = scenario;
        await cluster.submit('req-4', { pieces: 30 }, 2, owner);
        await cluster.clock.advance(offsetMs);
        freezeFor(scenario, owner, STALL_MS);
        await submitAndCancelDuring(cluster, otherControllers(cluster, owner)[0] ?? 0);
        await cluster.clock.advance(STALL_MS + 4_000);
      },
      { operator: SUSPICION_ON },
    );
  });
}

test('a rate-limited release of machines is not sent if the lease expires while it waits for a token', async () => {
  const clock = new FakeClock();
  const sent: string[] = [];
  const http = {
    call: (_target: string, _method: string, path: string) => {
      sent.push(path);
      return Promise.resolve({ status: 200, body: {} });
    },
  };
  const cloud = new Cloud(http, 'cloud', new RateLimit(clock, 1, 1), 1_000);
  let hasAuthority = true;
  await cloud.deleteMachines(['host-1'], () => hasAuthority);
  const rateLimited = cloud.deleteMachines(['host-2'], () => hasAuthority);
  const refused = assert.rejects(rateLimited, AuthorityLostError);
  await clock.advance(500);
  hasAuthority = false;
  await clock.advance(1_000);
  await refused;
  assert.equal(sent.length, 1);
});

/** A server that counts the requests it receives. */
async function countingServer(): Promise<{ server: Server; address: string; count(): number }> {
  let count = 0;
  const server = createServer((request, response) => {
    count += 1;
    request.resume();
    response.end(codec.encode({}));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return { server, address: `127.0.0.1:${port}`, count: () => count };
}

test('a command is not sent if the lease expires before it gets a connection, new or reused', async () => {
  const { server, address, count } = await countingServer();
  const http = new HttpClient(codec, { perHost: 1, idle: () => 4 }, 1_000);
  const send = (hasAuthority: () => boolean) => http.call(address, 'POST', '/do', {}, 1_000, hasAuthority);
  const wasNotSent = (error: unknown): boolean => error instanceof NoResponseError && !error.mayHaveExecuted;
  await assert.rejects(
    send(() => false),
    wasNotSent,
  );
  assert.equal((await send(() => true)).status, 200);
  // The second waits for the connection of the first; meanwhile the lease expires.
  let hasAuthority = true;
  const first = send(() => true);
  const second = send(() => hasAuthority);
  hasAuthority = false;
  const refused = assert.rejects(second, wasNotSent);
  await first;
  await refused;
  assert.equal(count(), 2);
  http.close();
  server.close();
});
