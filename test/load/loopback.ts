/** @file A clock with real time, and a network of real sockets on the loopback range. */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import { performance } from 'node:perf_hooks';
import { systemClock } from '../../src/base/clock';
import { codec } from '../../src/protocol/codec';
import { HttpClient, type HttpCaller } from '../../src/transport/http-client';
import type { TimerClock } from '../fakes/clock';
import type { RequestHandler, Network } from '../fakes/network';

/** A clock with real time, for the fakes. */
export const realClock: TimerClock = {
  now: () => performance.now(),
  sleep: systemClock.sleep,
  // A timer of a task that runs for long must not keep the process of a load alive.
  after: (ms, fire) => setTimeout(fire, ms).unref(),
};

async function read(message: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of message) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

/** A network of real sockets on the loopback range, with one address for each host. */
export class LoopbackNetwork implements Network {
  readonly #http = new HttpClient(codec, { perHost: 2000, idle: () => 4000 }, 8 * 1024 * 1024);
  readonly #servers: Server[] = [];

  attach(address: string, host: RequestHandler): void {
    const [ip, port] = address.split(':');
    const server = createServer((request, response) => {
      void read(request)
        .then(async (bytes) => {
          const from = request.socket.remoteAddress ?? '';
          const { method = '', url: path = '' } = request;
          const body = bytes.length === 0 ? undefined : codec.decode(bytes);
          const answer = await host({ from, to: address, method, path, body });
          response.writeHead(answer.status, { 'content-type': 'application/msgpack' });
          response.end(codec.encode(answer.body));
        })
        .catch(() => response.destroy());
    });
    server.keepAliveTimeout = 120_000;
    server.listen(Number(port), ip);
    this.#servers.push(server);
  }

  /** Closes the servers of all hosts, so that another deployment can use their addresses. */
  close(): void {
    this.#http.close();
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  detach(): void {
    // A released machine sends no more heartbeats. Its server stays open, because no other host gets its address.
  }

  caller(): HttpCaller {
    return this.#http;
  }
}
