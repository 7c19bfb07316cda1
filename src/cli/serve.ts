/** @file Runs a controller: its connections, its HTTP server and its log. */
import { createRequire } from 'node:module';
import { join } from 'node:path';
import { getHeapStatistics } from 'node:v8';
import type { FastifyInstance } from 'fastify';
import { readAdmissionOptions } from '../admission/options';
import { systemClock } from '../base/clock';
import { createLog, levelFromEnv, type Log } from '../base/log';
import { describeError, runLoop } from '../base/loop';
import { systemRandom } from '../base/random';
import { RefusedMessages } from '../base/refused-messages';
import type { Settings } from '../base/settings';
import { maxIdleConnections } from '../base/sockets';
import { Controller } from '../coordination/controller';
import type { Environment } from '../coordination/environment';
import { createRoutes } from '../coordination/routes';
import { codec } from '../protocol/codec';
import { externalCodec, workerCodec } from '../protocol/external-codec';
import { reasonOf } from '../protocol/schemas';
import { Connections } from '../transport/connections';
import type { PoolLimits } from '../transport/bounded-agent';
import { HttpClient, type Codec } from '../transport/http-client';
import { createServer } from '../transport/http-server';
import { readSuspicionOptions } from '../suspicion/options';
import { listenForPeers, PeerSender } from '../transport/peer-link';
import type * as Tracing from './tracing';
import { reportUsage } from './usage';

const MAX_REQUEST_BYTES = 64 * 1024;
/** Twice a page of the key-value store. Changes that exceed it are read again as pages. */
const MAX_RESPONSE_BYTES = 1024 * 1024;
/** Longest time to wait for initialization before listening. Until it is initialized, a controller responds with 503. */
const MAX_LISTEN_DELAY_MS = 3_000;
const INITIALIZATION_POLL_MS = 10;
const MS_PER_S = 1_000;

/** The settings and services that the steps of starting the process share. */
interface Service {
  readonly settings: Settings;
  readonly log: Log;
  readonly refusedMessages: RefusedMessages;
  /** Never aborted: a controller serves until its process is killed. */
  readonly signal: AbortSignal;
  /** The inbound connections, with their limits. */
  readonly connections: Connections;
  /** The HTTP client for calls to workers. */
  readonly workers: HttpClient;
  readonly peers: readonly PeerSender[];
}

/** Runs a controller until its process is killed; `code` is logged and says whether the code cache was used. */
export async function serve(settings: Settings, code: string): Promise<void> {
  const log = startLog(settings);
  logUncaughtErrors(log);
  const service = createService(settings, log);
  const { signal, connections } = service;
  const controller = new Controller(settings, createEnvironment(service));
  const server = createHttpServer(service, controller);
  startPeerLinks(service, controller);
  controller.start();
  await listenWhenInitialized(server, settings, controller);
  const reportUsageStep = (): Promise<void> => reportUsage(log, connections, controller);
  void runLoop('usage', reportUsageStep, { clock: systemClock, log, signal });
  const { bind, back } = settings.platform;
  const startMs = Math.round(systemClock.now());
  log.info({ bind, back, shardLeaseMs: settings.shardLeaseMs, startMs, code }, 'serving');
}

/** Creates the log, writes the warnings on the settings to it, and starts tracing if an operator has enabled it. */
function startLog(settings: Settings): Log {
  const admission = readAdmissionOptions(settings);
  const log = createLog(levelFromEnv(process.env.LOG_LEVEL), settings.platform.node);
  for (const warning of settings.warnings) log.warn(warning);
  const suspicion = readSuspicionOptions(settings);
  if (admission?.isTraced || suspicion?.isTraced) startTracing(log);
  return log;
}

/** Writes spans to the log. The tracing library is loaded only here, when an operator has enabled tracing. */
function startTracing(log: Log): void {
  const tracing = createRequire(__filename)(join(__dirname, 'tracing.js')) as typeof Tracing;
  tracing.traceToLog(log);
}

/** Logs errors that no loop caught, instead of letting them terminate the process; the loops continue. */
function logUncaughtErrors(log: Log): void {
  process.on('uncaughtException', (error) => {
    log.error({ err: describeError(error), stack: error.stack }, 'uncaught exception');
  });
  process.on('unhandledRejection', (error) => {
    log.error({ err: describeError(error) }, 'unhandled rejection');
  });
}

function createService(settings: Settings, log: Log): Service {
  const { platform, sockets } = settings;
  const { signal } = new AbortController();
  const limits = {
    all: sockets.inbound,
    workers: sockets.workers,
    workerIdleMs: platform.deployment.workers.lease_s * MS_PER_S,
  };
  const connections = new Connections(limits, () => systemClock.now());
  const idle = (): number => maxIdleConnections(sockets, connections.size);
  const refusedMessages = new RefusedMessages(log);
  return {
    settings,
    log,
    refusedMessages,
    signal,
    connections,
    workers: createHttpClient(workerCodec, { perHost: 1, idle }, refusedMessages),
    peers: platform.others.map((peer) => new PeerSender(peer.peer_addr, { clock: systemClock, log, signal })),
  };
}

function createHttpClient(
  responseCodec: Codec,
  connections: PoolLimits,
  refusedMessages: RefusedMessages,
): HttpClient {
  return new HttpClient(responseCodec, connections, MAX_RESPONSE_BYTES, (target, path, error) => {
    const message = `response to ${path.split('?')[0] ?? ''}`;
    refusedMessages.add({ message, sender: target, problem: reasonOf(error) });
  });
}

function createEnvironment({ settings, log, refusedMessages, workers, peers }: Service): Environment {
  const { external } = settings.sockets;
  return {
    clock: systemClock,
    heapLimitBytes: getHeapStatistics().heap_size_limit,
    // The system's clock counts from the start of the process.
    startedAt: 0,
    random: systemRandom,
    log,
    refusedMessages,
    // This pool is separate from the pool for workers, so that idle connections to workers can't evict those to the
    // key-value store: without free sockets, a new connection fails, and so does the lease renewal that needs it.
    http: createHttpClient(externalCodec, { perHost: external, idle: () => 2 * external }, refusedMessages),
    workers,
    broadcast: (bytes) => {
      for (const peer of peers) peer.send(bytes);
    },
  };
}

function createHttpServer(service: Service, controller: Controller): FastifyInstance {
  const { log, connections, workers, refusedMessages } = service;
  const server = createServer(createRoutes(controller, log), {
    maxBodyBytes: MAX_REQUEST_BYTES,
    connections,
    encode: (value) => codec.encode(value),
    onError: (error) => {
      log.error({ err: describeError(error) }, 'unhandled error in request handler');
    },
    onRefused: (sender, problem) => {
      refusedMessages.add({ message: 'request', sender, problem });
    },
  });
  // Each inbound connection may lower the limit on idle outbound connections; those beyond the limit are closed.
  server.server.on('connection', () => {
    workers.trim();
  });
  return server;
}

function startPeerLinks({ settings, log, peers }: Service, controller: Controller): void {
  const onFrame = (bytes: Uint8Array, sender: string): void => {
    controller.onPeerFrame(bytes, sender);
  };
  listenForPeers(settings.platform.back, onFrame, log);
  for (const peer of peers) void peer.run();
}

/**
 * Listens once the controller is initialized; before that it can only respond with 503. When the owner of a shard
 * fails, the shard's workers all connect at once, and retry every second. A closed port refuses them at no cost to this
 * process, whereas responding to them can keep a starting controller from ever becoming ready.
 */
async function listenWhenInitialized(
  server: FastifyInstance,
  { platform, sockets }: Settings,
  controller: Controller,
): Promise<void> {
  const [host, port] = platform.bind.split(':');
  const listenDeadline = systemClock.now() + MAX_LISTEN_DELAY_MS;
  while (!controller.isInitialized && systemClock.now() < listenDeadline) {
    await systemClock.sleep(INITIALIZATION_POLL_MS);
  }
  await server.listen({ host: host ?? '', port: Number(port), backlog: sockets.backlog });
}
