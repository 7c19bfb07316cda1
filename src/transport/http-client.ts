import { Agent, request, type ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';

export interface HttpResponse {
  status: number;
  body: unknown;
}

/** No usable answer came. `mayHaveExecuted` is false only when not a byte of the request can have left. */
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

/** The answer exceeds what this client reads. Another attempt would bring the same answer. */
export class ResponseTooLargeError extends NoResponseError {
  override name = 'ResponseTooLargeError';
}

export interface Codec {
  encode(value: unknown): Uint8Array;
  decode(bytes: Uint8Array): unknown;
}

/** Sends one request and waits for its answer. Throws `NoResponseError` when none that can be used comes in time. */
export interface HttpCaller {
  /**
   * `maySend` is asked when the connection is there, right before the first byte is written: a process may stand still
   * while it waits for a connection, and what it was entitled to send before may be another's to decide by then.
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

/** Keeps so many idle connections and no more, the last used: a fleet's, one a machine, could use up all sockets. */
class BoundedAgent extends Agent {
  /** The longest idle first, with what takes each out of here when it closes. */
  readonly #idle = new Map<Duplex, () => void>();

  constructor(
    socketsPerHost: number,
    private readonly mostIdle: () => number,
  ) {
    super({ keepAlive: true, maxSockets: socketsPerHost, maxFreeSockets: 4, scheduling: 'lifo' });
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // The types say that nothing is returned; the documentation, and the code, that it tells whether to keep it.
    const keep = super.keepSocketAlive(socket) as unknown as boolean;
    if (!keep) return false;
    const forget = (): void => {
      this.#idle.delete(socket);
    };
    this.#idle.set(socket, forget);
    socket.once('close', forget);
    this.trim();
    return true;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const forget = this.#idle.get(socket);
    if (forget) socket.off('close', forget);
    forget?.();
    super.reuseSocket(socket, request);
  }

  /** Ends what is idle beyond the bound, the longest idle first. */
  trim(): void {
    const most = this.mostIdle();
    for (const [socket, forget] of this.#idle) {
      if (this.#idle.size <= most) return;
      // Off the list at once, for it closes in a later turn only: when many answers came in one turn, each ended the
      // same connection again, and idle ones piled up far beyond the bound.
      socket.off('close', forget);
      forget();
      socket.destroy();
    }
  }
}

/** A keep-alive HTTP client. An answer larger than the limit, or one that can't be decoded, counts as none. */
export class HttpClient implements HttpCaller {
  readonly #agent: BoundedAgent;

  constructor(
    private readonly codec: Codec,
    /** Connections to one host at a time, and idle ones in all, which may depend on the moment. */
    sockets: { perHost: number; idle: () => number },
    private readonly maxAnswerBytes: number,
  ) {
    this.#agent = new BoundedAgent(sockets.perHost, sockets.idle);
  }

  /** Fewer connections may lie idle than before. */
  trim(): void {
    this.#agent.trim();
  }

  close(): void {
    this.#agent.destroy();
  }

  call(
    target: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    maySend: () => boolean = () => true,
  ): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const [host, port] = target.split(':');
      const bytes = body === undefined ? undefined : this.codec.encode(body);
      let connected = false;
      const req = request({
        agent: this.#agent,
        host,
        port: Number(port),
        method,
        path,
        headers: bytes ? { 'content-type': 'application/msgpack', 'content-length': bytes.length } : {},
      });
      const fail = (message: string, Failure = NoResponseError): void => {
        settled = true;
        clearTimeout(timer);
        reject(new Failure(`${method} ${target}${path}: ${message}`, connected));
        req.destroy();
      };
      let settled = false;
      const timer = setTimeout(() => {
        // On a small share of a core a turn may take longer than the patience, and timers come before sockets in the next
        // one: an answer that has arrived long ago is read first. Else a slow node takes all others for dead.
        setImmediate(() => {
          if (!settled) fail(`nothing within ${timeoutMs} ms`);
        });
      }, timeoutMs);
      const leave = (): void => {
        // Node writes the request only after its listeners for this event have run.
        if (!maySend()) fail('the right to send it has ended');
        else connected = true;
      };
      req.on('socket', (socket) => {
        if (socket.connecting) socket.once('connect', leave);
        else leave();
      });
      req.on('error', (error) => {
        fail(error.message);
      });
      req.on('response', (response) => {
        const parts: Buffer[] = [];
        let size = 0;
        response.on('data', (part: Buffer) => {
          size += part.length;
          if (size > this.maxAnswerBytes) fail('the answer is too large', ResponseTooLargeError);
          else parts.push(part);
        });
        response.on('error', (error) => {
          fail(error.message);
        });
        response.on('aborted', () => {
          fail('the answer broke off');
        });
        response.on('end', () => {
          settled = true;
          clearTimeout(timer);
          try {
            const whole = parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts);
            resolve({ status: response.statusCode ?? 0, body: size === 0 ? null : this.codec.decode(whole) });
          } catch {
            fail('the answer is not MessagePack');
          }
        });
      });
      req.end(bytes);
    });
  }
}
