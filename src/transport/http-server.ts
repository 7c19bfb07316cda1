import fastify, { type FastifyInstance } from 'fastify';
import { Connections, type ConnectionLimits, type Use } from './connections';

export interface HttpRequest {
  params: Record<string, string>;
  /** The raw body; empty when there is none. */
  body: Uint8Array;
}

export interface HttpReply {
  status: number;
  body?: unknown;
  retryAfterS?: number;
}

export interface Route {
  method: 'GET' | 'POST';
  url: string;
  use: Use;
  handle(request: HttpRequest): HttpReply | Promise<HttpReply>;
}

const EMPTY = new Uint8Array(0);

/** When to come back, for one connection too many. */
const RETRY_AFTER_S = 1;

export interface ServerOptions {
  maxBodyBytes: number;
  connections: ConnectionLimits;
  now(): number;
  encode(value: unknown): Uint8Array;
  onError(error: unknown): void;
}

/** The HTTP server: routes in, answers out. A body over the limit is refused (413) without being kept. */
export function createServer(
  routes: Route[],
  options: ServerOptions,
): { server: FastifyInstance; connections: Connections } {
  const server = fastify({
    logger: false,
    bodyLimit: options.maxBodyBytes,
    // Connections stay open until one side says `Connection: close`; users poll every few seconds.
    keepAliveTimeout: 180_000,
    routerOptions: { maxParamLength: 300 },
    exposeHeadRoutes: false,
  });
  const connections = new Connections(options.connections, options.now);
  server.server.maxConnections = options.connections.all;
  server.server.on('connection', (socket) => {
    connections.opened(socket);
  });
  const send = (reply: { status: number; body?: unknown }): Buffer => {
    const bytes = options.encode(reply.body ?? { error: `status ${reply.status}` });
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  };
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    done(null, body);
  });
  server.setNotFoundHandler((_request, reply) => {
    void reply
      .code(404)
      .type('application/msgpack')
      .send(send({ status: 404 }));
  });
  server.setErrorHandler((error: Error & { statusCode?: number }, _request, reply) => {
    const status = error.statusCode && error.statusCode < 500 ? error.statusCode : 503;
    if (status === 503) options.onError(error);
    void reply
      .code(status)
      .type('application/msgpack')
      .send(send({ status, body: { error: error.message } }));
  });
  for (const route of routes) {
    server.route({
      method: route.method,
      url: route.url,
      handler: async (request, reply) => {
        const { socket } = request.raw;
        reply.raw.once('close', () => {
          connections.ends(socket);
        });
        if (!connections.begins(socket, route.use)) {
          reply.header('retry-after', RETRY_AFTER_S).header('connection', 'close');
          return reply
            .code(503)
            .type('application/msgpack')
            .send(send({ status: 503 }));
        }
        const answer = await route.handle({
          params: request.params as Record<string, string>,
          body: request.body instanceof Uint8Array ? request.body : EMPTY,
        });
        if (answer.retryAfterS !== undefined) reply.header('retry-after', Math.ceil(answer.retryAfterS));
        return reply.code(answer.status).type('application/msgpack').send(send(answer));
      },
    });
  }
  return { server, connections };
}
