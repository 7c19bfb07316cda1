/** @file The network in memory, with the faults of a real one. */
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
 * What the network does to a request; `hold` delivers it when the scenario releases it, `copy` delivers it at once and a
 * copy of it then.
 */
export type DeliveryMode = 'deliver' | 'unreachable' | 'lose' | 'lose answer' | 'hold' | 'copy';
/** A message that crosses the network; the number of a request is that of its answer. */
export type Message =
  | { kind: 'request'; number: number; request: Request }
  | { kind: 'answer'; number: number; answer: HttpResponse }
  | { kind: 'peer message sent'; from: string; bytes: Uint8Array }
  | { kind: 'peer message received'; from: string; to: string; bytes: Uint8Array };
/**
 * Called for every message, with the simulated time: requests and peer messages when they leave, even if they get lost;
 * answers and peer messages when they arrive.
 */
export type Observer = (message: Message, at: number) => void;
export type RequestHandler = (request: Request) => HttpResponse | Promise<HttpResponse>;

/** What a worker's stand-in needs of a network: this one, or the loopback under load. */
export interface Network {
  attach(address: string, host: RequestHandler): void;
  detach(address: string): void;
  caller(from: string): HttpCaller;
}

const LATENCY_MS = 1;

/** An in-memory network with the faults of a real one. */
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

  /** Adds a rule; the function that is returned removes it. */
  rule(rule: (request: Request) => DeliveryMode | undefined): () => void {
    this.#rules.push(rule);
    return () => {
      this.#rules = this.#rules.filter((r) => r !== rule);
    };
  }

  /** Sees every request when it leaves, and its answer when its sender gets it. */
  watchRequests(watch: (request: Request) => (answer: HttpResponse) => void): void {
    this.#onRequest = watch;
  }

  /** Reports every message that crosses the network from now on. */
  observe(observer: Observer): void {
    this.#observer = observer;
  }

  /** Reports a message to the observer, if any; the links between controllers report theirs here. */
  report(message: Message): void {
    this.#observer?.(message, this.clock.now());
  }

  /** Delivers what was held, in order, though its senders have long given up. */
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
        // Nothing reaches who is gone, nor who came up at the same address since.
        if (this.#hosts.get(request.to) !== host) return;
        void Promise.resolve(host(structuredClone(request))).then((answer) => {
          if (mode === 'hold' || mode === 'lose answer') return;
          this.clock.after(LATENCY_MS, () => {
            // A sender that has given up gets no answer, and none to a copy either.
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
