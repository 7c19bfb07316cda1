import { createServer, type IncomingMessage, type Server } from 'node:http';
import { performance } from 'node:perf_hooks';
import { systemClock } from '../../src/base/clock';
import { codec } from '../../src/protocol/codec';
import { HttpClient, type HttpCaller } from '../../src/transport/http-client';
import type { TimerClock } from '../fakes/clock';
import type { Host, Request, Network } from '../fakes/network';
import { FakeWorker, type TaskObserver, type JobProfile } from '../fakes/worker';

/** Real time for the stand-ins. */
export const realClock: TimerClock = {
  now: () => performance.now(),
  sleep: systemClock.sleep,
  after: (ms, fire) => setTimeout(fire, ms),
};

async function read(message: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of message) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

/** The stand-ins' network: real sockets on the loopback range, one address a host. */
export class Loopback implements Network {
  readonly #http = new HttpClient(codec, { perHost: 2000, idle: () => 4000 }, 8 * 1024 * 1024);
  readonly #servers: Server[] = [];

  attach(address: string, host: Host): void {
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

  /** Ends all hosts, so that another deployment can use their addresses. */
  close(): void {
    this.#http.close();
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  detach(): void {
    // A machine that was returned no longer reports; its port stays open, as nobody uses it again.
  }

  caller(): HttpCaller {
    return this.#http;
  }
}

const CPUS = 16;
const SPOT_PART = 0.6;

/** The cloud by its published protocol; its machines run workers that report to the controllers. */
export class LoadCloud {
  readonly machines = new Map<string, { worker: FakeWorker; yard: string; loaners: boolean; at: number }>();
  readonly #bookings = new Map<string, string[]>();

  constructor(
    private readonly most: number,
    private readonly bootMs: number,
    private readonly nodes: readonly { name: string; address: string }[],
    private readonly timing: { reportS: number; leaseS: number },
    private readonly network: Network,
    private readonly facts: (job: string) => JobProfile | undefined,
    /** Told of what happens on machines. */
    private readonly watch: Partial<TaskObserver> = {},
  ) {}

  handle = ({ method, path, body }: Request): { status: number; body: unknown } => {
    if (path === '/flavors') {
      const sizes = { label: 'm16', cpus: CPUS, cards: 0, memGb: 32, cacheGb: 50, fetchGbPerS: 1 };
      const frame = { ...sizes, rate: 1, spotPrice: 0.3, bootS: this.bootMs / 1000, yards: ['a', 'b'] };
      return { status: 200, body: { frames: [frame] } };
    }
    if (path === '/hosts/release') {
      for (const id of (body as { hearths: string[] }).hearths) {
        this.machines.get(id)?.worker.terminate();
        this.machines.delete(id);
      }
      return { status: 200, body: {} };
    }
    if (method === 'POST') {
      return this.#rent(body as { booking: string; yard: string; loaners: boolean; number: number });
    }
    const since = new URL(path, 'http://cloud').searchParams.get('since') ?? '';
    const rest = [...this.machines].filter(([id]) => id > since);
    const hearths = rest.slice(0, 500).map(([nameId, { worker, yard, loaners, at }]) => ({
      nameId,
      endpoint: worker.address,
      frame: 'm16',
      yard,
      loaners,
      standing: 'running',
      ageS: (realClock.now() - at) / 1000,
    }));
    return { status: 200, body: { hearths, hasNext: rest.length > 500 } };
  };

  #names = 0;

  #rent(r: { booking: string; yard: string; loaners: boolean; number: number }): {
    status: number;
    body: unknown;
  } {
    const known = this.#bookings.get(r.booking);
    if (known) return { status: 200, body: { hearths: known } };
    const kind = [...this.machines.values()].filter((m) => m.loaners === r.loaners).length;
    const left = Math.floor(this.most * (r.loaners ? SPOT_PART : 1 - SPOT_PART)) - kind;
    const count = Math.min(r.number, left);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const ids = Array.from({ length: count }, () => this.#boot(r.yard, r.loaners));
    this.#bookings.set(r.booking, ids);
    return { status: 200, body: { hearths: ids } };
  }

  #boot(yard: string, loaners: boolean): string {
    this.#names += 1;
    const id = `host-${String(this.#names).padStart(6, '0')}`;
    const address = `127.${16 + (this.#names >> 14)}.${(this.#names >> 7) & 127}.${(this.#names & 127) + 1}:9000`;
    const worker = new FakeWorker(
      { id, address, type: 'm16', zone: yard, isSpot: loaners, cpus: CPUS },
      { controllers: this.nodes, ...this.timing },
      {
        clock: realClock,
        network: this.network,
        // The invariants are checked by the scenario tests.
        tasks: {
          jobProfile: this.facts,
          onTaskStarted: () => undefined,
          onTaskLeft: () => undefined,
          onTaskCompleted: () => undefined,
          hasCompleted: () => false,
          ...this.watch,
        },
      },
    );
    this.machines.set(id, { worker, yard, loaners, at: realClock.now() });
    setTimeout(
      () => {
        if (!worker.isTerminated) worker.start();
      },
      this.bootMs * (0.7 + 0.6 * Math.random()),
    );
    return id;
  }
}
