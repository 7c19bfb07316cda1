import assert from 'node:assert/strict';
import { Agent, createServer, request, type IncomingMessage } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { maxIdleConnections, allocateSockets } from '../src/base/sockets';
import { codec } from '../src/protocol/codec';
import { Connections } from '../src/transport/connections';
import { HttpClient } from '../src/transport/http-client';
import { createServer as createNodeServer, type Route } from '../src/transport/http-server';

test('every use has its share of sockets, and the fleet of one shard fits into them', () => {
  for (const [limit, others, machines] of [
    [2309, 4, 1450],
    [2015, 2, 970],
    [2500, 2, 1500],
    [700, 2, 322],
  ] as const) {
    const { inbound, backlog, workers, commands, idle, external } = allocateSockets(limit, others);
    assert.ok(inbound + backlog + commands + idle + 2 * external + 4 * others < limit);
    assert.ok(workers >= machines, `${limit}: ${workers} workers`);
    assert.ok(inbound - workers >= 50, 'connections are reserved for users');
  }
});

test('after commands to many machines, only the last used connections stay open', async () => {
  const open = new Set<Socket>();
  const servers = await Promise.all(
    Array.from({ length: 6 }, async () => {
      const server = createServer((_request, response) => response.end(codec.encode({ fine: true })));
      server.on('connection', (socket) => {
        open.add(socket);
        socket.once('close', () => open.delete(socket));
      });
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
      return server;
    }),
  );
  const client = new HttpClient(codec, { perHost: 1, idle: () => 2 }, 1024);
  const call = async (server: (typeof servers)[number]): Promise<number> => {
    const { port } = server.address() as AddressInfo;
    return (await client.call(`127.0.0.1:${port}`, 'GET', '/', undefined, 2000)).status;
  };
  try {
    for (const server of servers) assert.equal(await call(server), 200);
    await new Promise((resolve) => setTimeout(resolve, 50));
    assert.equal(open.size, 2);
    // The last connections are reused, not opened again.
    const [, , , , fifth, last] = servers;
    assert.ok(fifth && last);
    const before = [...open];
    for (let round = 0; round < 20; round += 1) {
      assert.equal(await call(fifth), 200);
      assert.equal(await call(last), 200);
    }
    assert.deepEqual([...open], before);
    // Calls that end in the same event-loop turn must each close a different connection.
    await Promise.all(servers.map(call));
    await new Promise((resolve) => setTimeout(resolve, 50));
    assert.equal(open.size, 2);
  } finally {
    client.close();
    for (const server of servers) server.close();
  }
});

test('workers and users each have their connections, and a worker beyond the limit gets 503 with Retry-After', async () => {
  const route = (url: string, use: Route['use']): Route => {
    return { method: 'GET', url, use, handle: () => ({ status: 200, body: {} }) };
  };
  const limits = { all: 20, workers: 5, workerIdleMs: 60_000 };
  const connections = new Connections(limits, () => performance.now());
  const server = createNodeServer(
    [route('/up', 'health'), route('/hello', 'workers'), route('/work', 'users')],
    {
      maxBodyBytes: 1024,
      connections,
      onError: assert.fail,
      encode: (value) => codec.encode(value),
    },
  );
  await server.listen({ host: '127.0.0.1', port: 0 });
  const { port } = server.server.address() as AddressInfo;
  const agents: Agent[] = [];
  const send = (agent: Agent, path: string): Promise<IncomingMessage> =>
    new Promise((resolve, reject) => {
      const req = request({ agent, host: '127.0.0.1', port, path }, (response) => {
        response.resume().once('end', () => {
          resolve(response);
        });
      });
      req.once('error', reject).end();
    });
  const newAgent = (): Agent => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    agents.push(agent);
    return agent;
  };
  try {
    for (let n = 0; n < 5; n += 1) assert.equal((await send(newAgent(), '/hello')).statusCode, 200);
    const refused = await send(newAgent(), '/hello');
    assert.equal(refused.statusCode, 503);
    assert.equal(refused.headers['retry-after'], '1');
    assert.equal(refused.headers.connection, 'close');
    // Beyond the limit, idle connections of users are closed for new users; workers keep theirs.
    for (let n = 0; n < 30; n += 1) assert.equal((await send(newAgent(), '/work')).statusCode, 200);
    assert.ok(connections.size <= 13, `${connections.size} connections`);
    assert.equal(connections.workers, 5);
    for (const agent of agents.slice(0, 5)) assert.equal((await send(agent, '/hello')).statusCode, 200);
    assert.equal((await send(newAgent(), '/up')).statusCode, 200);
  } finally {
    for (const agent of agents) agent.destroy();
    await server.close();
  }
});

test('the connection of an unresponsive worker is closed after a worker lease, that of an idle user is not', async () => {
  let now = 0;
  const limits = { all: 20, workers: 5, workerIdleMs: 10_000 };
  const connections = new Connections(limits, () => now);
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const sockets = [0, 1, 2].map(() => connect(port, '127.0.0.1'));
  const [worker, user, newConnection] = sockets;
  assert.ok(worker && user && newConnection);
  for (const [socket, use] of [
    [worker, 'workers'],
    [user, 'users'],
  ] as const) {
    connections.add(socket);
    assert.ok(connections.beginRequest(socket, use));
    connections.endRequest(socket);
  }
  now = 10_001;
  connections.add(newConnection);
  await new Promise((resolve) => worker.once('close', resolve));
  assert.equal(connections.workers, 0);
  assert.equal(connections.size, 2);
  assert.equal(user.destroyed, false);
  for (const socket of sockets) socket.destroy();
  server.close();
});

test('idle connections for commands may use what workers leave free, and are fewer when workers connect', () => {
  const shares = allocateSockets(700, 2);
  assert.equal(maxIdleConnections(shares, 0), shares.idle + shares.workers);
  assert.equal(maxIdleConnections(shares, shares.workers), shares.idle);
  assert.equal(maxIdleConnections(shares, shares.inbound), shares.idle);
  for (const open of [0, 100, 300, shares.inbound]) {
    const all =
      open + maxIdleConnections(shares, open) + shares.commands + shares.backlog + 2 * shares.external;
    assert.ok(all <= 700, `${open} inbound: ${all} sockets`);
  }
});
