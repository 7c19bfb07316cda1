import { Agent, request } from 'node:http';

export interface Answer {
  status: number;
  body: unknown;
}

/** No usable answer came. `maybeExecuted` is false only when not a byte of the request can have left. */
export class NoAnswer extends Error {
  override name = 'NoAnswer';
  constructor(
    message: string,
    readonly maybeExecuted: boolean,
  ) {
    super(message);
  }
}

export interface Codec {
  encode(value: unknown): Uint8Array;
  decode(bytes: Uint8Array): unknown;
}

export interface HttpCaller {
  call(target: string, method: string, path: string, body: unknown, timeoutMs: number): Promise<Answer>;
}

/** A keep-alive HTTP client. An answer larger than the limit, or one that can't be decoded, counts as none. */
export class HttpClient implements HttpCaller {
  readonly #agent: Agent;

  constructor(
    private readonly codec: Codec,
    socketsPerHost: number,
    private readonly maxAnswerBytes: number,
  ) {
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: socketsPerHost,
      maxFreeSockets: 4,
      scheduling: 'lifo',
    });
  }

  close(): void {
    this.#agent.destroy();
  }

  call(target: string, method: string, path: string, body: unknown, timeoutMs: number): Promise<Answer> {
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
      const fail = (message: string): void => {
        clearTimeout(timer);
        reject(new NoAnswer(`${method} ${target}${path}: ${message}`, connected));
        req.destroy();
      };
      const timer = setTimeout(() => {
        fail(`nothing within ${timeoutMs} ms`);
      }, timeoutMs);
      req.on('socket', (socket) => {
        if (socket.connecting) {
          socket.once('connect', () => {
            connected = true;
          });
        } else {
          connected = true;
        }
      });
      req.on('error', (error) => {
        fail(error.message);
      });
      req.on('response', (response) => {
        const parts: Buffer[] = [];
        let size = 0;
        response.on('data', (part: Buffer) => {
          size += part.length;
          if (size > this.maxAnswerBytes) fail('the answer is too large');
          else parts.push(part);
        });
        response.on('error', (error) => {
          fail(error.message);
        });
        response.on('aborted', () => {
          fail('the answer broke off');
        });
        response.on('end', () => {
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
