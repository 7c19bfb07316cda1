/** @file HTTP with MessagePack bodies, as the protocol page describes it: a server and a client for the stand-ins. */
import { decode, encode } from '@msgpack/msgpack';
import { Agent, createServer, request, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A decoded request. */
export interface WireRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: unknown;
}

/** A reply; `undefined` in its place means that no answer is ever sent. */
export interface WireReply {
  readonly status: number;
  readonly body?: unknown;
}

/** Handles a request. */
export type Handler = (request: WireRequest) => Promise<WireReply | undefined> | WireReply | undefined;

const HOST = '127.0.0.1';

async function readAll(message: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of message) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

/** A listening server and its address. */
export class WireServer {
  #server: Server;

  constructor(handler: Handler) {
    this.#server = createServer((message, response) => {
      void (async () => {
        const bytes = await readAll(message);
        const url = new URL(message.url ?? '/', 'http://host');
        let body: unknown;
        try {
          body = bytes.length === 0 ? undefined : decode(bytes);
        } catch {
          response.writeHead(400).end();
          return;
        }
        const { method = 'GET' } = message;
        const reply = await handler({ method, path: url.pathname, query: url.searchParams, body });
        if (!reply) return;
        const out = Buffer.from(encode(reply.body ?? {}, { ignoreUndefined: true }));
        response.writeHead(reply.status, {
          'content-type': 'application/msgpack',
          'content-length': out.length,
        });
        response.end(out);
      })().catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 600_000;
    this.#server.requestTimeout = 0;
  }

  /** Listens on a free loopback port; returns IP:PORT. */
  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, HOST, resolve);
    });
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Closes the server and its connections. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}

const agent = new Agent({ keepAlive: true, maxSockets: Infinity });

/** Sends a request; rejects when no usable answer arrives within the timeout. */
export function call(
  address: string,
  method: string,
  path: string,
  options: { readonly body?: unknown; readonly timeoutMs: number },
): Promise<WireReply> {
  const [host = HOST, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const bytes = options.body === undefined ? undefined : Buffer.from(encode(options.body));
    const headers = bytes ? { 'content-type': 'application/msgpack', 'content-length': bytes.length } : {};
    const sent = request({ agent, host, port: Number(port), method, path, headers });
    const timer = setTimeout(() => {
      reject(new Error(`nothing within ${options.timeoutMs} ms`));
      sent.destroy();
    }, options.timeoutMs);
    sent.on('error', (error) => {
      clearTimeout(timer);
      reject(error);
    });
    sent.on('response', (response) => {
      readAll(response).then(
        (all) => {
          clearTimeout(timer);
          let body: unknown;
          try {
            body = all.length === 0 ? undefined : decode(all);
          } catch {
            body = undefined;
          }
          resolve({ status: response.statusCode ?? 0, body });
        },
        (error: unknown) => {
          clearTimeout(timer);
          reject(error instanceof Error ? error : new Error(String(error)));
        },
      );
    });
    sent.end(bytes);
  });
}

/** Closes the idle connections of the client. */
export function closeClient(): void {
  agent.destroy();
}

/** Resolves after the given time. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
