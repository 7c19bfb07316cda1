/** @file HTTP with MessagePack bodies on the loopback address, as every interface of the protocol uses it. */
import { Agent, createServer, request, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { decode, Encoder } from '@msgpack/msgpack';

/** A request as a stand-in receives it. */
export interface WireRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: unknown;
}

/** An answer; without a body it is empty. */
export interface WireAnswer {
  readonly status: number;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
}

/** Answers a request; undefined leaves it without an answer. */
export type Handler = (request: WireRequest) => Promise<WireAnswer | undefined> | WireAnswer | undefined;

/** A server on a free port of the loopback address. */
export interface WireServer {
  readonly address: string;
  close(): void;
}

const HOST = '127.0.0.1';
/** Writes a `bigint` as an integer of 64 bits. */
const encoder = new Encoder({ useBigInt64: true, ignoreUndefined: true });
const encode = (value: unknown): Uint8Array => encoder.encode(value);
const agent = new Agent({ keepAlive: true, maxSockets: Infinity, maxFreeSockets: 256 });
/** Requests that aren't finished within this time count as unanswered by default. */
const DEFAULT_TIMEOUT_MS = 5_000;

async function readBody(message: IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = [];
  for await (const part of message) parts.push(part as Buffer);
  const bytes = Buffer.concat(parts);
  return bytes.length === 0 ? undefined : decode(bytes);
}

/** Serves requests on a port, a free one by default. */
export async function serve(handler: Handler, wantedPort = 0): Promise<WireServer> {
  const server: Server = createServer((message, response) => {
    const { method = 'GET', url = '/' } = message;
    const parsed = new URL(url, 'http://host');
    const answerTo = async (): Promise<void> => {
      const body = await readBody(message);
      const answer = await handler({ method, path: parsed.pathname, query: parsed.searchParams, body });
      if (!answer || response.destroyed) return;
      const bytes = answer.body === undefined ? Buffer.alloc(0) : Buffer.from(encode(answer.body));
      response.writeHead(answer.status, {
        'content-type': 'application/msgpack',
        'content-length': bytes.length,
      });
      response.end(bytes);
    };
    answerTo().catch(() => response.destroy());
  });
  server.keepAliveTimeout = 120_000;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(wantedPort, HOST, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `${HOST}:${port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Ports below those that the system gives to outgoing connections, so that none takes one in between. */
const FIRST_PORT = 10_000;
const PORTS = 20_000;
const PORT_TRIES = 200;

/** Finds ports that are free now. */
export async function freeAddresses(count: number): Promise<string[]> {
  const servers: WireServer[] = [];
  for (let attempt = 0; attempt < PORT_TRIES && servers.length < count; attempt += 1) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    const server = await serve(() => undefined, port).catch(() => undefined);
    if (server) servers.push(server);
  }
  for (const server of servers) server.close();
  if (servers.length < count) throw new Error('too few free ports');
  return servers.map(({ address }) => address);
}

/** The options of a call. */
export interface CallOptions {
  readonly body?: unknown;
  readonly timeoutMs?: number;
}

/** Sends a request. Rejects when there is no complete answer in time, or the connection fails. */
export function call(
  address: string,
  method: string,
  path: string,
  { body, timeoutMs = DEFAULT_TIMEOUT_MS }: CallOptions = {},
): Promise<WireAnswer> {
  const [host, port] = address.split(':');
  const bytes = body === undefined ? undefined : Buffer.from(encode(body));
  return new Promise((resolve, reject) => {
    const headers = bytes ? { 'content-type': 'application/msgpack', 'content-length': bytes.length } : {};
    const outgoing = request({ agent, host, port: Number(port), method, path, headers });
    const timer = setTimeout(() => outgoing.destroy(new Error('no answer in time')), timeoutMs);
    const fail = (error: Error): void => {
      clearTimeout(timer);
      reject(error);
    };
    outgoing.on('error', fail);
    outgoing.on('response', (response) => {
      response.on('error', fail);
      readBody(response).then((answer) => {
        clearTimeout(timer);
        const retryAfter = response.headers['retry-after'];
        resolve({
          status: response.statusCode ?? 0,
          body: answer,
          ...(retryAfter === undefined ? {} : { headers: { 'retry-after': retryAfter } }),
        });
      }, fail);
    });
    outgoing.end(bytes);
  });
}

/** Resolves after the given time. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });
}

/** Monotonic time in milliseconds. */
export function now(): number {
  return performance.now();
}
