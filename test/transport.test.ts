import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { makeSettings, SettingsError } from '../src/base/settings';
import { codec } from '../src/protocol/codec';
import { readPeerMessage, writePeerMessage, type PeerMessage } from '../src/protocol/peers';
import { HttpClient, NoResponseError } from '../src/transport/http-client';
import { createServer as createUserServer } from '../src/transport/http-server';
import { frame, readFrames } from '../src/transport/peer-link';

test('the server refuses what is too large or unknown, and goes on', async () => {
  const sizes: number[] = [];
  const route = {
    ...{ method: 'POST' as const, url: '/work', use: 'users' as const },
    handle: ({ body }: { body: Uint8Array }) => {
      sizes.push(body.length);
      return { status: 200, body: { size: body.length } };
    },
  };
  const connections = { all: 20, workers: 10, workerIdleMs: 1000 };
  const options = { maxBodyBytes: 64 * 1024, connections, now: () => 0, onError: assert.fail };
  const { server } = createUserServer([route], { ...options, encode: (value) => codec.encode(value) });
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

test('an answer that is too large, undecodable or late is none, and may have been executed; a refused call was not', async () => {
  const answers: Record<string, Buffer> = { '/large': Buffer.alloc(5000), '/garbage': Buffer.from([0xc1]) };
  const server = createServer((request, response) => {
    const answer = answers[request.url ?? ''];
    if (answer) response.end(answer);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient(codec, { perHost: 4, idle: () => 4 }, 1024);
  const executed = async (path: string, to = port): Promise<boolean> => {
    try {
      await client.call(`127.0.0.1:${to}`, 'GET', path, undefined, 200);
    } catch (error) {
      assert.ok(error instanceof NoResponseError);
      return error.mayHaveExecuted;
    }
    assert.fail(`${path} was answered`);
  };
  for (const path of ['/large', '/garbage', '/silent']) assert.equal(await executed(path), true, path);
  client.close();
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  assert.equal(await executed('/closed'), false);
  client.close();
});

test('frames come out whole however they are cut, and a length that no frame has ends the link', async () => {
  const messages: PeerMessage[] = [
    {
      kind: 'change notification',
      event: { key: 'live/job/req-1', version: 7, deleted: false, value: { a: [1, 'x'] } },
    },
    { kind: 'change notification', event: { key: 'live/job/req-1', version: 2 ** 40, deleted: true } },
    {
      kind: 'heartbeat',
      heartbeat: {
        ...{ from: 'node-2', isViewFresh: true, jobs: [{ id: 'req-1', running: 3, done: 4 }] },
        ...{ unreachableShards: [3], redirected: [{ shard: 0, machines: 12 }] },
      },
    },
    { kind: 'lease extension request', request: { from: 'node-0', number: 5, revision: 2 ** 33 } },
    {
      kind: 'lease extension grant',
      grant: { from: 'node-1', to: 'node-0', number: 5, endedJobs: [{ id: 'req-1', version: 9 }] },
    },
  ];
  const bytes = Buffer.concat(messages.map((m) => frame(writePeerMessage(m))));
  for (const step of [1, 3, 1000]) {
    const pieces = Array.from({ length: Math.ceil(bytes.length / step) }, (_, n) =>
      bytes.subarray(n * step, (n + 1) * step),
    );
    const read: unknown[] = [];
    for await (const one of readFrames(
      (async function* () {
        yield* pieces;
      })(),
      1000,
    ))
      read.push(readPeerMessage(one));
    assert.deepEqual(read, messages);
  }
  const bad = Buffer.from([0xff, 0xff, 0xff, 0xff]);
  await assert.rejects(async () => {
    for await (const one of readFrames(
      (async function* () {
        yield bad;
      })(),
      1000,
    ))
      assert.fail(one.toString());
  });
});

const platform = (): Record<string, unknown> => ({
  ...{ node: 'a', area: 'z', bind: '10.0.0.1:8080', back: '10.0.0.1:8081', fieldOfTomorrow: 1 },
  external: { cloud: '10.2.0.2:1', state: '10.2.0.1:1' },
  deployment: {
    teams: [{ name: 'red' }],
    workers: { report_s: 3, lease_s: 26, cancel_s: 51 },
    state: { rps: 100, write_rps: 50, value_kb: 16, txn_ops: 32 },
    cloud: { rps: 3, list_lag_s: 4 },
    quota: {},
  },
});

test('settings: new fields are ignored, bad ones are named with their file, and the shard lease keeps the bound', () => {
  assert.equal(makeSettings(platform(), {}).shardLeaseMs, 5000);
  const broken = (
    change: (p: Record<string, Record<string, unknown>>) => void,
    options: unknown = {},
  ): string => {
    const settings = platform() as Record<string, Record<string, unknown>>;
    change(settings);
    try {
      makeSettings(settings, options, ['p.toml', 'o.toml']);
    } catch (error) {
      assert.ok(error instanceof SettingsError);
      assert.ok(!error.message.includes('\n'));
      return error.message;
    }
    return 'no error';
  };
  const none = (): void => undefined;
  assert.match(
    broken((p) => delete p.bind),
    /^p\.toml: bind: /,
  );
  assert.match(
    broken((p) => ((p.deployment ?? {}).teams = [])),
    /^p\.toml: deployment\.teams: /,
  );
  const tight = { report_s: 1, lease_s: 10, cancel_s: 12 };
  assert.match(
    broken((p) => ((p.deployment ?? {}).workers = tight)),
    /cancel_s: leaves no time/,
  );
  assert.match(broken(none, { blokcs: 2 }), /^o\.toml: .*blokcs/);
  assert.match(broken(none, { block_lease_s: 22 }), /^o\.toml: block_lease_s: /);
  assert.equal(broken(none, { block_lease_s: 21 }), 'no error');
  const little = platform() as Record<string, Record<string, unknown>>;
  (little.deployment ?? {}).quota = { mem_mb: 90 };
  assert.match(
    makeSettings(little, {}, ['p.toml']).warnings.join(),
    /^p\.toml: deployment\.quota\.mem_mb: 90 MB/,
  );
  assert.deepEqual(makeSettings(platform(), {}).warnings, []);
});
