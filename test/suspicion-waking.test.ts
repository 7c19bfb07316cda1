/** @file A controller that stands still between a check and an effect checks its right to act anew when it goes on. */
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
const SEARCH_MS = 20_000;

/** A request of the owner, by its path and what its transaction changes. */
type Match = (path: string, changed: readonly string[]) => boolean;

const changes =
  (prefix: string): Match =>
  (path, changed) =>
    path === '/txn' && changed.some((key) => key.startsWith(prefix));

const awaits: { title: string; match: Match }[] = [
  { title: 'an acceptance', match: changes('live/job/') },
  { title: 'a record of completions', match: changes('live/done/') },
  { title: 'the end of a job', match: changes('final/') },
  { title: 'a record of a machine', match: changes('live/machine/') },
  { title: 'a raise of the token', match: changes('live/baton') },
  { title: 'a command', match: (path) => path === '/do' },
  { title: 'a rental', match: (path) => path === '/hosts' },
  { title: 'a return of machines', match: (path) => path === '/hosts/release' },
  { title: 'a list of the cloud', match: (path) => path.startsWith('/hosts?') },
  { title: 'a watch', match: (path) => path.startsWith('/changes') },
  { title: 'a renewal of the lease', match: (path) => path.endsWith('/extend') },
];

/** What a request to the state service would change. */
function changedKeys(body: unknown): string[] {
  const { apply = [] } = (body ?? {}) as { apply?: { set?: string; delete?: string }[] };
  return apply.map((change) => change.set ?? change.delete ?? '');
}

/** The owner stands still just as an answer to such a request reaches it. */
function stallAt(match: Match): Fault {
  return async (play) => {
    const { cluster, owner } = play;
    let hasStalled = false;
    cluster.onResponse = (index, { path, body }) => {
      if (hasStalled || index !== owner || !match(path, changedKeys(body))) return;
      hasStalled = true;
      freezeFor(play, owner, STALL_MS);
    };
    // Work of all kinds: jobs that need new machines, end, and leave machines idle; a start whose answer is lost.
    cluster.capacity += 4;
    const loseOne = cluster.network.rule(({ path }) => (path === '/do' ? 'lose answer' : undefined));
    cluster.clock.after(400, loseOne);
    // A user whose controller stands still asks another.
    const reader = otherControllers(cluster, owner)[0] ?? 0;
    await cluster
      .submit('req-4', { pieces: 30 }, 2, owner)
      .catch(() => cluster.submit('req-4', { pieces: 30 }, 2, reader));
    for (let waited = 0; waited < SEARCH_MS && !hasStalled; waited += 50) await cluster.clock.advance(50);
    if (!hasStalled) await cluster.clock.advance(60_000);
    assert.ok(hasStalled, 'no such request was answered');
    await submitAndCancelDuring(cluster, reader);
    await cluster.clock.advance(STALL_MS + 4_000);
  };
}

for (const { title, match } of awaits) {
  test(`the owner stalls for 8 s just as ${title} is answered: nothing leaves without the right to act`, async () => {
    await runFaultScenario(stallAt(match), { operator: SUSPICION_ON });
  });
}

for (const offsetMs of [0, 37, 90, 171, 260, 433]) {
  test(`the owner stalls for 8 s at its timers, ${offsetMs} ms into a burst`, async () => {
    await runFaultScenario(
      async (play) => {
        const { cluster, owner } = play;
        await cluster.submit('req-4', { pieces: 30 }, 2, owner);
        await cluster.clock.advance(offsetMs);
        freezeFor(play, owner, STALL_MS);
        await submitAndCancelDuring(cluster, otherControllers(cluster, owner)[0] ?? 0);
        await cluster.clock.advance(STALL_MS + 4_000);
      },
      { operator: SUSPICION_ON },
    );
  });
}

test('a return of machines whose turn inside the rate comes after the right to act has ended is not sent', async () => {
  const clock = new FakeClock();
  const sent: string[] = [];
  const http = {
    call: (_target: string, _method: string, path: string) => {
      sent.push(path);
      return Promise.resolve({ status: 200, body: {} });
    },
  };
  const cloud = new Cloud(http, 'cloud', new RateLimit(clock, 1, 1), 1_000);
  let mayAct = true;
  await cloud.deleteMachines(['host-1'], () => mayAct);
  const late = cloud.deleteMachines(['host-2'], () => mayAct);
  const refused = assert.rejects(late, AuthorityLostError);
  await clock.advance(500);
  mayAct = false;
  await clock.advance(1_000);
  await refused;
  assert.equal(sent.length, 1);
});

/** A server that counts what reaches it. */
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

test('a command whose connection comes after the right to act has ended never leaves, new connection or old', async () => {
  const { server, address, count } = await countingServer();
  const http = new HttpClient(codec, { perHost: 1, idle: () => 4 }, 1_000);
  const send = (mayLeave: () => boolean) => http.call(address, 'POST', '/do', {}, 1_000, mayLeave);
  const wasNotSent = (error: unknown): boolean => error instanceof NoResponseError && !error.mayHaveExecuted;
  await assert.rejects(
    send(() => false),
    wasNotSent,
  );
  assert.equal((await send(() => true)).status, 200);
  // The second waits for the first one's connection; meanwhile the right to act ends.
  let mayLeave = true;
  const first = send(() => true);
  const second = send(() => mayLeave);
  mayLeave = false;
  const refused = assert.rejects(second, wasNotSent);
  await first;
  await refused;
  assert.equal(count(), 2);
  http.close();
  server.close();
});
