/** @file A fake network in memory, with the faults of a real one. */
import { NoResponseError, type HttpResponse, type HttpCaller } from '../../src/transport/http-client';
import type { FakeClock } from './clock';

export interface Request {
  from: string;
  to: string;
  method: string;
  path: string;
  body: unknown;
}

/**
 * How the network handles a request. 'unreachable' and 'lose' don't deliver it; after 'lose', the sender can't know that.
 * 'lose answer' delivers it and drops the response. 'hold' delivers it when the test calls `releaseHeld`, and drops the
 * response. 'copy' delivers it at once, and a duplicate on `releaseHeld`.
 */
export type DeliveryMode = 'deliver' | 'unreachable' | 'lose' | 'lose answer' | 'hold' | 'copy';
/** A message that crosses the network; a request and its response have the same number. */
export type Message =
  | { kind: 'request'; number: number; request: Request }
  | { kind: 'answer'; number: number; answer: HttpResponse }
  | { kind: 'peer message sent'; from: string; bytes: Uint8Array }
  | { kind: 'peer message received'; from: string; to: string; bytes: Uint8Array };
/**
 * Called for every message, with the simulated time. Requests and peer messages are reported when they are sent, even if
 * they get lost; responses and received peer messages when they arrive.
 */
export type Observer = (message: Message, at: number) => void;
export type RequestHandler = (request: Request) => HttpResponse | Promise<HttpResponse>;

/** The part of a network that a fake worker uses: this one, or the loopback interface in load tests. */
export interface Network {
  attach(address: string, host: RequestHandler): void;
  detach(address: string): void;
  caller(from: string): HttpCaller;
}

const LATENCY_MS = 1;

/** A network that delivers requests to handlers by address; rules inject faults. */
export class FakeNetwork implements Network {
  readonly #hosts = new Map<string, RequestHandler>();
  #rules: ((request: Request) => DeliveryMode | undefined)[] = [];
  #held: (() => void)[] = [];
  #observer: Observer | undefined;
  #requests = 0;
  #onRequest: ((request: Request) => (answer: HttpResponse) => void) | undefined;

  constructor(private readonly clock: FakeClock) {}

  attach(address: string, host: RequestHandler): void {
    this.#hosts.set(address, host);
  }

  detach(address: string): void {
    this.#hosts.delete(address);
  }

  /** Adds a rule that chooses how requests are handled. Returns a function that removes the rule. */
  rule(rule: (request: Request) => DeliveryMode | undefined): () => void {
    this.#rules.push(rule);
    return () => {
      this.#rules = this.#rules.filter((r) => r !== rule);
    };
  }

  /** Calls the function for every request when it is sent, and the function it returns with the delivered response. */
  watchRequests(watch: (request: Request) => (answer: HttpResponse) => void): void {
    this.#onRequest = watch;
  }

  /** Sets the observer that every message from now on is reported to. */
  observe(observer: Observer): void {
    this.#observer = observer;
  }

  /** Reports a message to the observer, if any. The deployment reports peer messages here. */
  report(message: Message): void {
    this.#observer?.(message, this.clock.now());
  }

  /** Delivers the held requests in order, even if their senders have timed out. Returns their number. */
  releaseHeld(): number {
    const held = this.#held;
    this.#held = [];
    for (const deliver of held) deliver();
    return held.length;
  }

  caller(from: string): HttpCaller {
    return {
      call: (to, method, path, body, timeoutMs) => this.#call({ from, to, method, path, body }, timeoutMs),
    };
  }

  #call(request: Request, timeoutMs: number): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      this.#requests += 1;
      const number = this.#requests;
      this.report({ kind: 'request', number, request });
      const onResponse = this.#onRequest?.(request);
      let isSettled = false;
      const mode = this.#rules.map((rule) => rule(request)).find((f) => f !== undefined) ?? 'deliver';
      const host = this.#hosts.get(request.to);
      const timer = this.clock.after(timeoutMs, () => {
        isSettled = true;
        reject(new NoResponseError('time is up', host !== undefined && mode !== 'unreachable'));
      });
      if (!host || mode === 'unreachable' || mode === 'lose') return;
      const deliver = (): void => {
        // Requests to a host that has gone don't reach a host that was attached at the same address later.
        if (this.#hosts.get(request.to) !== host) return;
        void Promise.resolve(host(structuredClone(request))).then((answer) => {
          if (mode === 'hold' || mode === 'lose answer') return;
          this.clock.after(LATENCY_MS, () => {
            // The sender has timed out, or has already received the response to the other copy.
            if (isSettled) return;
            isSettled = true;
            this.clock.cancel(timer);
            this.report({ kind: 'answer', number, answer });
            onResponse?.(answer);
            resolve(structuredClone(answer));
          });
        });
      };
      if (mode === 'hold' || mode === 'copy') this.#held.push(deliver);
      if (mode !== 'hold') this.clock.after(LATENCY_MS, deliver);
    });
  }
}
