/** @file Controllers, key-value store and network in memory, with the faults that tests inject. */
import assert from 'node:assert/strict';
import { RefusedMessages } from '../../src/base/refused-messages';
import type { Controller } from '../../src/coordination/controller';
import type { Environment } from '../../src/coordination/environment';
import { codec } from '../../src/protocol/codec';
import { readPeerMessage } from '../../src/protocol/peers';
import type { HttpCaller, HttpResponse } from '../../src/transport/http-client';
import type { Route } from '../../src/transport/http-server';
import { FakeClock, FakeProcess } from './clock';
import {
  controllerSettings,
  POSSIBLE_CONTROLLERS,
  controllersOf,
  type ClusterOptions,
} from './controller-settings';
import { FakeNetwork, type Request } from './network';
import { FakeKeyValueStore } from './key-value-store';
import { createController, type Version } from './versions';
import type { FakeWorker } from './worker';

/** The sender of replayed heartbeats; it drops the responses. */
const REPLAY_SENDER = 'late';

const nothing = (): void => undefined;

const print: (...line: unknown[]) => void = process.env.SCENARIO_LOG ? console.log : nothing;

const quiet = {
  error: nothing,
  warn: nothing,
  info: print,
  debug: nothing,
};

/** A controller and its process. */
export interface ControllerProcess {
  name: string;
  version: Version;
  address: string;
  controller: Controller;
  routes: readonly Route[];
  process: FakeProcess;
  alive: boolean;
}

/** Starts, kills and freezes controllers, and partitions controllers and workers from each other. */
export class Deployment {
  readonly clock = new FakeClock();
  readonly network = new FakeNetwork(this.clock);
  readonly store = new FakeKeyValueStore(this.clock);
  readonly workers = new Map<string, FakeWorker>();
  readonly controllers: ControllerProcess[] = [];
  /** CPU quota in cores of the controllers that start from now on. */
  coreShare = 1;
  /** Whether all messages between controllers are lost. */
  dropsPeerMessages = false;
  /** Kinds of peer messages that are lost. */
  readonly lostPeerMessages = new Set<string>();
  /** Controllers whose peer messages are all lost, sent and received. */
  readonly isolatedControllers = new Set<string>();
  /** Pairs of controllers whose peer messages are lost in both directions, as `a|b`. */
  readonly partitionedPairs = new Set<string>();
  /** One-way partitions as `a>b`: peer messages from `a` to `b` are lost, those from `b` to `a` arrive. */
  readonly oneWayLostPairs = new Set<string>();
  /** Called with a controller's index just before it receives a response, so that tests can stop its process then. */
  onResponse: (index: number, request: { path: string; body: unknown }) => void = nothing;
  /** Called for each log line of level info, with the index of the controller that wrote it. */
  onLog: (index: number, fields: Record<string, unknown>, message: string) => void = nothing;
  #nameCount = 0;

  constructor(protected readonly options: ClusterOptions) {
    this.coreShare = options.coreShare ?? this.coreShare;
    if (options.observer) this.network.observe(options.observer);
  }

  /** Starts a controller; it replaces an earlier process of the same index. */
  protected addController(index: number, version: Version): void {
    const host = POSSIBLE_CONTROLLERS[index];
    assert(host);
    const settings = controllerSettings(index, this.options, this.coreShare);
    const process = new FakeProcess(this.clock);
    const environment = this.#environment(index, host.name, process);
    const { controller, routes } = createController(version, settings, environment, quiet);
    const started = { ...host, version, controller, routes, process, alive: true };
    this.controllers[index] = started;
    this.network.attach(host.address, (request) => serve(started, request));
    controller.start();
  }

  #environment(index: number, name: string, process: FakeProcess): Environment {
    const caller = this.#callerOf(index, name, process);
    const info = (fields: unknown, message?: string): void => {
      quiet.info(fields, message);
      this.onLog(index, fields as Record<string, unknown>, message ?? '');
    };
    return {
      clock: process,
      startedAt: this.clock.now(),
      heapLimitBytes: this.options.heapLimitBytes ?? Infinity,
      random: {
        uniqueName: (): string => {
          this.#nameCount += 1;
          return `booking-${this.#nameCount}`;
        },
      },
      log: { ...quiet, info },
      refusedMessages: new RefusedMessages(quiet),
      http: caller,
      workers: caller,
      broadcast: (bytes: Uint8Array): void => {
        if (!process.isKilled) this.#broadcast(name, bytes);
      },
    };
  }

  /** The HTTP client of a controller. Requests of a killed process never get a response. */
  #callerOf(index: number, name: string, process: FakeProcess): HttpCaller {
    const caller = this.network.caller(name);
    return {
      call: (...request) => {
        if (process.isKilled) return new Promise(() => undefined);
        const [, , path, body] = request;
        const response = caller.call(...request).finally(() => {
          this.onResponse(index, { path, body });
        });
        return process.whenRunning(response);
      },
    };
  }

  #broadcast(name: string, bytes: Uint8Array): void {
    this.network.report({ kind: 'peer message sent', from: name, bytes });
    if (this.dropsPeerMessages || this.isolatedControllers.has(name)) return;
    if (this.lostPeerMessages.has(readPeerMessage(bytes)?.kind ?? '')) return;
    for (const peer of this.controllers) {
      if (!peer.alive || !this.#isConnected(name, peer.name)) continue;
      void peer.process.whenRunning(Promise.resolve()).then(() => {
        if (!peer.alive) return;
        this.network.report({ kind: 'peer message received', from: name, to: peer.name, bytes });
        peer.controller.onPeerFrame(Buffer.from(bytes), name);
      });
    }
  }

  /** Whether peer messages from one controller to another are delivered. */
  #isConnected(from: string, to: string): boolean {
    if (from === to || this.isolatedControllers.has(to)) return false;
    if (this.partitionedPairs.has(`${from}|${to}`) || this.partitionedPairs.has(`${to}|${from}`))
      return false;
    return !this.oneWayLostPairs.has(`${from}>${to}`);
  }

  /** Sends a request with the given bytes as its body to a running controller, past the faults of the network. */
  async sendBytes(index: number, path: string, bytes: Uint8Array): Promise<HttpResponse> {
    const controller = this.controllers[index];
    assert(controller?.alive);
    return serveBytes(
      controller,
      { from: 'user', to: controller.address, method: 'POST', path, body: null },
      bytes,
    );
  }

  /** Kills the controller's process. */
  kill(index: number): void {
    const controller = this.controllers[index];
    assert(controller?.alive);
    controller.alive = false;
    controller.process.kill();
    controller.controller.stop();
    this.network.detach(controller.address);
  }

  /** Restarts a killed controller, with its previous version unless another is given. */
  restart(index: number, version?: Version): void {
    const controller = this.controllers[index];
    assert(controller?.alive === false);
    this.addController(index, version ?? controller.version);
  }

  /** Freezes the controller's process while time goes on. Returns a function that resumes it. */
  freeze(index: number): () => void {
    const controller = this.controllers[index];
    assert(controller?.alive);
    return controller.process.freeze();
  }

  /** Delays every timer and every message of the controller. Returns a function that ends the delay. */
  delayProcess(index: number, delayMs: number): () => void {
    const controller = this.controllers[index];
    assert(controller?.alive);
    controller.process.delayMs = delayMs;
    return () => {
      controller.process.delayMs = 0;
    };
  }

  /** Whether the controller's process is alive and not frozen. */
  isRunning(index: number): boolean {
    const controller = this.controllers[index];
    return controller?.alive === true && !controller.process.isFrozen;
  }

  /** The index of the controller that owns shard 0 with a valid lease, or -1. */
  get owner(): number {
    return this.controllers.findIndex((c) => c.alive && c.controller.owners.get(0)?.entitled === true);
  }

  /** Sets the operator settings that the controller reads at its next start. */
  setOperatorOptions(index: number, operator: Record<string, unknown>): void {
    const operators = controllersOf(this.options).map(
      (_, other) => this.options.operators?.[other] ?? this.options.operator ?? {},
    );
    operators[index] = operator;
    this.options.operators = operators;
  }

  async untilOwned(): Promise<number> {
    for (let step = 0; step < 400 && this.owner < 0; step += 1) await this.clock.advance(100);
    assert(this.owner >= 0, 'no controller owns the shard');
    return this.owner;
  }

  worker(id: string): FakeWorker {
    const worker = this.workers.get(id);
    assert(worker, `no worker ${id}`);
    return worker;
  }

  /** Loses all peer messages to and from the controller. Returns a function that ends the partition. */
  isolateFromPeers(index: number): () => void {
    const name = `node-${index}`;
    const pairs = POSSIBLE_CONTROLLERS.filter((other) => other.name !== name).map(
      (other) => `${name}|${other.name}`,
    );
    for (const pair of pairs) this.partitionedPairs.add(pair);
    return () => {
      for (const pair of pairs) this.partitionedPairs.delete(pair);
    };
  }

  /** Loses responses and commands to the worker; its heartbeats arrive. Returns a function that ends the fault. */
  dropMessagesTo(machine: string): () => void {
    const { address } = this.worker(machine);
    return this.network.rule(({ from, to }) =>
      to === address ? 'lose' : from === machine ? 'lose answer' : undefined,
    );
  }

  /** The worker's heartbeats fail, while direct commands reach it. Returns a function that ends the fault. */
  dropMessagesFrom(machine: string): () => void {
    return this.network.rule(({ from }) => (from === machine ? 'unreachable' : undefined));
  }

  /** Loses heartbeats and commands. Returns a function that ends the partition. */
  isolateWorker(machine: string): () => void {
    const { address } = this.worker(machine);
    return this.network.rule(({ from, to }) => (from === machine || to === address ? 'lose' : undefined));
  }

  /**
   * Copies the heartbeats that workers send from now on. `replay` sends the copies again as delayed duplicates, to any
   * controller, even one that became the owner only after they were first sent.
   */
  captureHeartbeats(isIncluded: (machine: string) => boolean = () => true): {
    stop(): void;
    replay(index: number): void;
  } {
    const heartbeats: unknown[] = [];
    const stop = this.network.rule(({ from, path, body }) => {
      if (path === '/hello' && from !== REPLAY_SENDER && isIncluded(from))
        heartbeats.push(structuredClone(body));
      return undefined;
    });
    return {
      stop,
      replay: (index) => {
        const address = this.controllers[index]?.address ?? '';
        const replayCaller = this.network.caller(REPLAY_SENDER);
        for (const body of heartbeats)
          replayCaller.call(address, 'POST', '/hello', body, 4000).catch(nothing);
      },
    };
  }
}

/** Handles a request to a controller; there is no response if its process is killed meanwhile. */
function serve(controller: ControllerProcess, request: Request): Promise<HttpResponse> {
  const { body } = request;
  return serveBytes(controller, request, body === undefined ? new Uint8Array(0) : codec.encode(body));
}

async function serveBytes(
  controller: ControllerProcess,
  { from, method, path }: Request,
  bytes: Uint8Array,
): Promise<HttpResponse> {
  const [, head = '', id = '', verb = ''] = path.split('/');
  const url = `/${head}${id ? '/:id' : ''}${verb ? `/${verb}` : ''}`;
  const route = controller.routes.find((candidate) => candidate.method === method && candidate.url === url);
  if (!route) return { status: 404, body: null };
  await controller.process.whenRunning(Promise.resolve());
  const reply = await route.handle({ params: { id }, body: bytes, sender: from });
  if (!controller.alive) return new Promise(() => undefined);
  return { status: reply.status, body: codec.decode(codec.encode(reply.body ?? null)) };
}
