import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { codec } from '../src/protocol/codec';
import { readPeerMessage, writePeerMessage, type PeerMessage } from '../src/protocol/peers';
import { Connections } from '../src/transport/connections';
import { HttpClient, NoResponseError } from '../src/transport/http-client';
import { createServer as createUserServer } from '../src/transport/http-server';
import { readFrames, writeFrame } from '../src/transport/peer-link';

test('the server rejects requests that are too large or have an unknown path, and serves the next one', async () => {
  const sizes: number[] = [];
  const route = {
    method: 'POST' as const,
    url: '/work',
    use: 'users' as const,
    handle: ({ body }: { body: Uint8Array }) => {
      sizes.push(body.length);
      return { status: 200, body: { size: body.length } };
    },
  };
  const connections = new Connections({ all: 20, workers: 10, workerIdleMs: 1000 }, () => 0);
  const options = { maxBodyBytes: 64 * 1024, connections, onError: assert.fail };
  const server = createUserServer([route], { ...options, encode: (value) => codec.encode(value) });
  await server.listen({ host: '127.0.0.1', port: 0 });
  const address = `127.0.0.1:${(server.server.address() as AddressInfo).port}`;
  const client = new HttpClient(codec, { perHost: 1, idle: () => 1 }, 1024);
  try {
    const status = async (path: string, body: unknown): Promise<number> =>
      (await client.call(address, 'POST', path, body, 2000)).status;
    assert.equal(await status('/work', 'x'.repeat(70_000)), 413);
    assert.equal(await status('/elsewhere', {}), 404);
    assert.equal(await status('/work', { small: true }), 200);
    assert.equal(sizes.length, 1);
  } finally {
    client.close();
    await server.close();
  }
});

test('after a response that is too large, undecodable or late the request may have been executed; after a refused connection it was not', async () => {
  const responses: Record<string, Buffer> = { '/large': Buffer.alloc(5000), '/garbage': Buffer.from([0xc1]) };
  const server = createServer((request, response) => {
    const responseBody = responses[request.url ?? ''];
    if (responseBody) response.end(responseBody);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient(codec, { perHost: 4, idle: () => 4 }, 1024);
  const mayHaveExecuted = async (path: string, to = port): Promise<boolean> => {
    try {
      await client.call(`127.0.0.1:${to}`, 'GET', path, undefined, 200);
    } catch (error) {
      assert.ok(error instanceof NoResponseError);
      return error.mayHaveExecuted;
    }
    assert.fail(`${path} got a response`);
  };
  for (const path of ['/large', '/garbage', '/silent']) assert.equal(await mayHaveExecuted(path), true, path);
  client.close();
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  assert.equal(await mayHaveExecuted('/closed'), false);
  client.close();
});

test('frames are read whole however their bytes are split, and an invalid frame length ends the stream with an error', async () => {
  const messages: PeerMessage[] = [
    {
      kind: 'change notification',
      event: { key: 'live/job/req-1', version: 7, deleted: false, value: { a: [1, 'x'] } },
    },
    { kind: 'change notification', event: { key: 'live/job/req-1', version: 2 ** 40, deleted: true } },
    {
      kind: 'heartbeat',
      heartbeat: {
        from: 'node-2',
        isViewFresh: true,
        jobs: [{ id: 'req-1', running: 3, done: 4 }],
        unreachableShards: [3],
        redirected: [{ shard: 0, machines: 12 }],
      },
    },
    { kind: 'lease extension request', request: { from: 'node-0', number: 5, revision: 2 ** 33 } },
    {
      kind: 'lease extension grant',
      grant: { from: 'node-1', to: 'node-0', number: 5, endedJobs: [{ id: 'req-1', version: 9 }] },
    },
  ];
  const bytes = Buffer.concat(messages.map((m) => writeFrame(writePeerMessage(m))));
  for (const chunkBytes of [1, 3, 1000]) {
    const chunks = Array.from({ length: Math.ceil(bytes.length / chunkBytes) }, (_, n) =>
      bytes.subarray(n * chunkBytes, (n + 1) * chunkBytes),
    );
    const read: unknown[] = [];
    for await (const frame of readFrames(
      (async function* () {
        yield* chunks;
      })(),
      1000,
    ))
      read.push(readPeerMessage(frame));
    assert.deepEqual(read, messages);
  }
  const invalidLength = Buffer.from([0xff, 0xff, 0xff, 0xff]);
  await assert.rejects(async () => {
    for await (const frame of readFrames(
      (async function* () {
        yield invalidLength;
      })(),
      1000,
    ))
      assert.fail(frame.toString());
  });
});

test('a response that arrived in time is read even if the process stalls past the timeout', async (t) => {
  const server = createServer((request, response) => {
    request.resume();
    if (request.url === '/never') return;
    response.end(codec.encode({ fine: true }));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient(codec, { perHost: 2, idle: () => 2 }, 1024);
  t.after(() => {
    client.close();
    server.closeAllConnections();
    server.close();
  });
  const send = (path: string): Promise<{ status: number }> =>
    client.call(`127.0.0.1:${port}`, 'GET', path, undefined, 100);
  // The server shares this process, so it has to send the response before the process stalls.
  const pending = send('/');
  await new Promise<void>((resolve) => {
    server.once('request', () => {
      resolve();
    });
  });
  await new Promise((resolve) => process.nextTick(resolve));
  const until = performance.now() + 300;
  while (performance.now() < until);
  assert.equal((await pending).status, 200);
  await assert.rejects(send('/never'), NoResponseError);
});
