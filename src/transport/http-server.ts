import fastify, { type FastifyInstance } from 'fastify';

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
  handle(request: HttpRequest): HttpReply | Promise<HttpReply>;
}

const EMPTY = new Uint8Array(0);

export interface ServerOptions {
  maxBodyBytes: number;
  maxConnections: number;
  encode(value: unknown): Uint8Array;
  onError(error: unknown): void;
}

/** The HTTP server: routes in, answers out. A body over the limit is refused (413) without being kept. */
export function createServer(routes: Route[], options: ServerOptions): FastifyInstance {
  const server = fastify({
    logger: false,
    bodyLimit: options.maxBodyBytes,
    // Connections stay open until one side says `Connection: close`; users poll every few seconds.
    keepAliveTimeout: 180_000,
    routerOptions: { maxParamLength: 300 },
    exposeHeadRoutes: false,
  });
  server.server.maxConnections = options.maxConnections;
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
        const answer = await route.handle({
          params: request.params as Record<string, string>,
          body: request.body instanceof Uint8Array ? request.body : EMPTY,
        });
        if (answer.retryAfterS !== undefined) reply.header('retry-after', Math.ceil(answer.retryAfterS));
        return reply.code(answer.status).type('application/msgpack').send(send(answer));
      },
    });
  }
  return server;
}
