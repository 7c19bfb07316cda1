/** @file The HTTP client for calls to workers, the cloud, the key-value store and controllers. */
import { request, type Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import { BoundedAgent, type PoolLimits } from './bounded-agent';

/** A response whose body was decoded. */
export interface HttpResponse {
  status: number;
  /** Null when the response has no body. */
  body: unknown;
}

/** No usable response was received. `mayHaveExecuted` is false only if no byte of the request can have been sent. */
export class NoResponseError extends Error {
  override name = 'NoResponseError';
  constructor(
    message: string,
    readonly mayHaveExecuted: boolean,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** The response exceeds the size limit of this client. A retry would get the same response. */
export class ResponseTooLargeError extends NoResponseError {
  override name = 'ResponseTooLargeError';
}

/** The encoding of bodies. */
export interface Codec {
  encode(value: unknown): Uint8Array;
  /** Throws when the bytes are malformed. */
  decode(bytes: Uint8Array): unknown;
}

/** Sends one request and waits for its response. */
export interface HttpCaller {
  /**
   * Throws `NoResponseError` when no usable response arrives in time. The parameters are positional, because callers and
   * fakes of other versions have this signature.
   *
   * @param target the receiver as HOST:PORT
   * @param method the HTTP method
   * @param path path and query
   * @param body the value to encode as the body; undefined: the request has no body
   * @param timeoutMs how long to wait for the whole response
   * @param maySend checked when the connection is established, right before the first byte is written: while the request
   * waits for a connection, the process may stall, its lease may expire and another controller may become the owner
   */
  call(
    target: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    maySend?: () => boolean,
  ): Promise<HttpResponse>;
}

/** A request with its body encoded. */
interface EncodedRequest {
  readonly target: string;
  readonly method: string;
  readonly path: string;
  readonly bytes: Uint8Array | undefined;
  readonly timeoutMs: number;
  readonly maySend: () => boolean;
}

/** Called with a response that could not be decoded: its request's target and path, and the error of the decoder. */
export type UndecodableResponseListener = (target: string, path: string, error: unknown) => void;

/** The decoder and the size limit of responses. */
interface ResponseReader {
  readonly codec: Codec;
  readonly maxBytes: number;
  readonly onUndecodable: UndecodableResponseListener;
}

/** A keep-alive HTTP client. A response that exceeds the limit or can't be decoded is a `NoResponseError`. */
export class HttpClient implements HttpCaller {
  readonly #agent: BoundedAgent;

  constructor(
    private readonly codec: Codec,
    connections: PoolLimits,
    private readonly maxResponseBytes: number,
    private readonly onUndecodable: UndecodableResponseListener = () => undefined,
  ) {
    this.#agent = new BoundedAgent(connections);
  }

  /** Closes idle connections beyond their limit, which may have become lower. */
  trim(): void {
    this.#agent.trim();
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  call(...args: Parameters<HttpCaller['call']>): Promise<HttpResponse> {
    const [target, method, path, body, timeoutMs, maySend = () => true] = args;
    return new Promise((resolve, reject) => {
      const bytes = body === undefined ? undefined : this.codec.encode(body);
      const exchange = new HttpExchange(
        { target, method, path, bytes, timeoutMs, maySend },
        { codec: this.codec, maxBytes: this.maxResponseBytes, onUndecodable: this.onUndecodable },
        { resolve, reject },
      );
      exchange.send(this.#agent);
    });
  }
}

/** The functions that settle the caller's promise. */
interface PromiseSettlers {
  resolve(response: HttpResponse): void;
  reject(error: NoResponseError): void;
}

/** One request and its response. Settles once, and then stops its timer and, on failure, destroys its connection. */
class HttpExchange {
  #clientRequest: ClientRequest | undefined;
  #timer: NodeJS.Timeout | undefined;
  #mayHaveExecuted = false;
  #isSettled = false;

  constructor(
    private readonly request: EncodedRequest,
    private readonly reader: ResponseReader,
    private readonly promise: PromiseSettlers,
  ) {}

  /** Sends the request over a connection of the agent. */
  send(agent: Agent): void {
    const { target, method, path, bytes, timeoutMs } = this.request;
    const [host, port] = target.split(':');
    const clientRequest = request({
      agent,
      host,
      port: Number(port),
      method,
      path,
      headers: bytes ? { 'content-type': 'application/msgpack', 'content-length': bytes.length } : {},
    });
    this.#clientRequest = clientRequest;
    this.#timer = setTimeout(() => {
      this.#onTimeout();
    }, timeoutMs);
    clientRequest.on('socket', (socket) => {
      const onConnected = (): void => {
        this.#onConnected();
      };
      if (socket.connecting) socket.once('connect', onConnected);
      else onConnected();
    });
    clientRequest.on('error', (error) => {
      this.#fail(error.message, { cause: error });
    });
    clientRequest.on('response', (response) => {
      this.#read(response);
    });
    clientRequest.end(bytes);
  }

  /**
   * Fails the request, but first reads a response that has already arrived. On a small share of a core, an event-loop
   * turn may take longer than the timeout, and the next turn runs timers before sockets. Without `setImmediate`, a
   * slow controller would consider all others unresponsive.
   */
  #onTimeout(): void {
    setImmediate(() => {
      this.#fail(`nothing within ${this.request.timeoutMs} ms`);
    });
  }

  /** Checks whether the request may be sent. Node writes it only after the listeners of the connection event have run. */
  #onConnected(): void {
    if (this.request.maySend()) this.#mayHaveExecuted = true;
    else this.#fail('not sent, no longer authorized');
  }

  #read(response: IncomingMessage): void {
    const parts: Buffer[] = [];
    let size = 0;
    response.on('data', (part: Buffer) => {
      size += part.length;
      if (size <= this.reader.maxBytes) parts.push(part);
      else this.#fail('the answer is too large', undefined, ResponseTooLargeError);
    });
    response.on('error', (error) => {
      this.#fail(error.message, { cause: error });
    });
    response.on('aborted', () => {
      this.#fail('the answer broke off');
    });
    response.on('end', () => {
      this.#finish(response.statusCode ?? 0, parts);
    });
  }

  #finish(status: number, parts: readonly Buffer[]): void {
    const bytes = parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts);
    let body: unknown;
    try {
      body = bytes.length === 0 ? null : this.reader.codec.decode(bytes);
    } catch (error) {
      this.reader.onUndecodable(this.request.target, this.request.path, error);
      this.#fail('the answer is not MessagePack', { cause: error });
      return;
    }
    if (this.#settle()) this.promise.resolve({ status, body });
  }

  #fail(message: string, options?: ErrorOptions, ErrorType = NoResponseError): void {
    if (!this.#settle()) return;
    const { method, target, path } = this.request;
    this.promise.reject(
      new ErrorType(`${method} ${target}${path}: ${message}`, this.#mayHaveExecuted, options),
    );
    this.#clientRequest?.destroy();
  }

  /** Marks the exchange as settled; false when it was settled before. */
  #settle(): boolean {
    if (this.#isSettled) return false;
    this.#isSettled = true;
    clearTimeout(this.#timer);
    return true;
  }
}
