/** @file The HTTP server for workers, users and health checks. */
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import type { Connections, ConnectionUse } from './connections';

/** A request as a route receives it. */
export interface HttpRequest {
  /** The parameters in the route's path. */
  params: Record<string, string>;
  /** The raw body; empty when there is none. */
  body: Uint8Array;
  /** The IP address that the request came from. */
  sender: string;
}

/** The reply of a route. */
export interface HttpReply {
  status: number;
  /** The value to encode; by default an error that names the status. */
  body?: unknown;
  /** The time after which the sender should repeat the request, in seconds. */
  retryAfterS?: number;
}

/** A path of the server, and the handler of its requests. */
export interface Route {
  method: 'GET' | 'POST';
  /** May have parameters, such as `/work/:id`. */
  url: string;
  /** The kind of clients that send its requests. */
  use: ConnectionUse;
  /** Returns a promise only if the reply isn't available at once. */
  handle(request: HttpRequest): HttpReply | Promise<HttpReply>;
}

/** The limits and callbacks of the server. */
export interface ServerOptions {
  maxBodyBytes: number;
  /** Initially empty; the server adds its inbound connections. */
  connections: Connections;
  encode(value: unknown): Uint8Array;
  /** Called with an error that no route handled; the response is 503. */
  onError(error: unknown): void;
  /** Called for a request that gets a 4xx response before it reaches a route. */
  onRefused?(sender: string, problem: string): void;
}

const EMPTY_BODY = new Uint8Array(0);
const MESSAGE_PACK = 'application/msgpack';
/** Idle connections stay open until this timeout or `Connection: close`, because users poll every few seconds. */
const KEEP_ALIVE_TIMEOUT_MS = 180_000;
const MAX_PARAMETER_LENGTH = 300;
/** Time after which to retry a request whose connection exceeds the limit. */
const RETRY_AFTER_S = 1;

const STATUS_NOT_FOUND = 404;
const STATUS_SERVER_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

/** Writes replies in the server's encoding. */
class ReplyWriter {
  constructor(private readonly encode: ServerOptions['encode']) {}

  write(reply: FastifyReply, { status, body, retryAfterS }: HttpReply): void {
    if (retryAfterS !== undefined) reply.header('retry-after', Math.ceil(retryAfterS));
    const bytes = this.encode(body ?? { error: `status ${status}` });
    // Wraps the bytes in a Buffer without copying them: the framework sends a Buffer unchanged.
    const payload = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    void reply.code(status).header('content-type', MESSAGE_PACK).send(payload);
  }
}

/** Passes each body on as raw bytes. */
function setBodyParsers(server: FastifyInstance): void {
  server.removeAllContentTypeParsers();
  // MessagePack is registered by name, too: otherwise the header of every request with that type would be parsed.
  for (const type of ['*', MESSAGE_PACK]) {
    server.addContentTypeParser(type, { parseAs: 'buffer' }, (_request, body, done) => {
      done(null, body);
    });
  }
}

function setErrorReplies(
  server: FastifyInstance,
  writer: ReplyWriter,
  { onError, onRefused }: ServerOptions,
): void {
  server.setNotFoundHandler((_request, reply) => {
    writer.write(reply, { status: STATUS_NOT_FOUND });
  });
  server.setErrorHandler((error: Error & { statusCode?: number }, request, reply) => {
    const { statusCode } = error;
    const isClientError = statusCode !== undefined && statusCode !== 0 && statusCode < STATUS_SERVER_ERROR;
    const status = isClientError ? statusCode : STATUS_UNAVAILABLE;
    if (isClientError) onRefused?.(request.ip, error.message);
    else onError(error);
    writer.write(reply, { status, body: { error: error.message } });
  });
}

/** Handles the requests of a route, within the limits on connections. */
class RouteHandler {
  constructor(
    private readonly route: Route,
    private readonly connections: Connections,
    private readonly writer: ReplyWriter,
  ) {}

  /**
   * Handles a request. Most heartbeats get a response in the event-loop turn in which they arrive, without a promise,
   * because a thousand workers send hundreds of heartbeats a second.
   */
  handle(request: FastifyRequest, reply: FastifyReply): void {
    const { socket } = request.raw;
    reply.raw.once('close', () => {
      this.connections.endRequest(socket);
    });
    if (!this.connections.beginRequest(socket, this.route.use)) {
      reply.header('connection', 'close');
      this.writer.write(reply, { status: STATUS_UNAVAILABLE, retryAfterS: RETRY_AFTER_S });
      return;
    }
    const handled = this.route.handle({
      params: request.params as Record<string, string>,
      body: request.body instanceof Uint8Array ? request.body : EMPTY_BODY,
      sender: request.ip,
    });
    if (this.route.use === 'workers' && this.connections.isNearWorkerLimit) {
      reply.header('connection', 'close');
    }
    if (handled instanceof Promise) this.#writeWhenResolved(reply, handled);
    else this.writer.write(reply, handled);
  }

  #writeWhenResolved(reply: FastifyReply, handled: Promise<HttpReply>): void {
    handled.then(
      (result) => {
        this.writer.write(reply, result);
      },
      (error: unknown) => {
        reply.send(error);
      },
    );
  }
}

/** Creates the HTTP server, not listening yet. A body over the limit is refused (413) without buffering all of it. */
export function createServer(routes: Route[], options: ServerOptions): FastifyInstance {
  const { connections } = options;
  const server = fastify({
    logger: false,
    bodyLimit: options.maxBodyBytes,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    routerOptions: { maxParamLength: MAX_PARAMETER_LENGTH },
    exposeHeadRoutes: false,
  });
  server.server.maxConnections = connections.limits.all;
  server.server.on('connection', (socket) => {
    connections.add(socket);
  });
  const writer = new ReplyWriter(options.encode);
  setBodyParsers(server);
  setErrorReplies(server, writer, options);
  for (const route of routes) {
    const handler = new RouteHandler(route, connections, writer);
    server.route({
      method: route.method,
      url: route.url,
      handler: (request, reply) => {
        handler.handle(request, reply);
      },
    });
  }
  return server;
}
