/** @file Runs a controller: its connections, its HTTP server and its log. */
import { createRequire } from 'node:module';
import { join } from 'node:path';
import type { FastifyInstance } from 'fastify';
import { readAdmissionOptions } from '../admission/options';
import { systemClock } from '../base/clock';
import { createLog, levelFromEnv, type Log } from '../base/log';
import { describeError, runLoop } from '../base/loop';
import { systemRandom } from '../base/random';
import type { Settings } from '../base/settings';
import { maxIdleConnections } from '../base/sockets';
import { Controller } from '../coordination/controller';
import type { Environment } from '../coordination/environment';
import { createRoutes } from '../coordination/routes';
import { codec } from '../protocol/codec';
import { Connections } from '../transport/connections';
import { HttpClient } from '../transport/http-client';
import { createServer } from '../transport/http-server';
import { readSuspicionOptions } from '../suspicion/options';
import { listenForPeers, PeerSender } from '../transport/peer-link';
import type * as Tracing from './tracing';
import { reportUsage } from './usage';

const MAX_REQUEST_BYTES = 64 * 1024;
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** A controller that can't get what it needs listens, and answers so itself, after this long. */
const LISTEN_AFTER_MS = 3_000;
const INITIALIZATION_POLL_MS = 10;
const MS_PER_S = 1_000;

/** What the steps of the start share. */
interface Service {
  readonly settings: Settings;
  readonly log: Log;
  /** Never aborted: a controller serves until its process is killed. */
  readonly signal: AbortSignal;
  /** Incoming connections. */
  readonly connections: Connections;
  /** For calls to workers. */
  readonly workers: HttpClient;
  readonly peers: readonly PeerSender[];
}

/** Runs a controller until its process is killed; `code` tells, for the log, whether compiled code was used. */
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

/** Creates the log, and writes to it what the settings warn of. */
function startLog(settings: Settings): Log {
  const admission = readAdmissionOptions(settings);
  const log = createLog(levelFromEnv(process.env.LOG_LEVEL), settings.platform.node);
  for (const warning of settings.warnings) log.warn(warning);
  const suspicion = readSuspicionOptions(settings);
  if (admission?.isTraced || suspicion?.isTraced) startTracing(log);
  return log;
}

/** Spans go to the log where an operator asks for them; their library is loaded in no other case. */
function startTracing(log: Log): void {
  const tracing = createRequire(__filename)(join(__dirname, 'tracing.js')) as typeof Tracing;
  tracing.traceToLog(log);
}

/** The process never ends by itself: what no loop caught is logged, and the loops go on. */
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
  return {
    settings,
    log,
    signal,
    connections,
    workers: new HttpClient(codec, { perHost: 1, idle }, MAX_RESPONSE_BYTES),
    peers: platform.others.map((peer) => new PeerSender(peer.peer_addr, { clock: systemClock, log, signal })),
  };
}

function createEnvironment({ settings, log, workers, peers }: Service): Environment {
  const { external } = settings.sockets;
  return {
    clock: systemClock,
    // The system's clock counts from the start of the process.
    startedAt: 0,
    random: systemRandom,
    log,
    // Apart from the calls to workers, whose many idle connections must not push out those to the key-value store:
    // opening one anew fails when sockets have run out, and with it a lease's renewal.
    http: new HttpClient(codec, { perHost: external, idle: () => 2 * external }, MAX_RESPONSE_BYTES),
    workers,
    broadcast: (bytes) => {
      for (const peer of peers) peer.send(bytes);
    },
  };
}

function createHttpServer({ log, connections, workers }: Service, controller: Controller): FastifyInstance {
  const server = createServer(createRoutes(controller, log), {
    maxBodyBytes: MAX_REQUEST_BYTES,
    connections,
    encode: (value) => codec.encode(value),
    onError: (error) => {
      log.error({ err: describeError(error) }, 'a request failed');
    },
  });
  // Each connection that comes in leaves room for one fewer that lies idle.
  server.server.on('connection', () => {
    workers.trim();
  });
  return server;
}

function startPeerLinks({ settings, log, peers }: Service, controller: Controller): void {
  const onFrame = (bytes: Uint8Array): void => {
    controller.onPeerFrame(bytes);
  };
  listenForPeers(settings.platform.back, onFrame, log);
  for (const peer of peers) void peer.run();
}

/**
 * Until it is initialized, a controller could only answer 'not now'. Workers that lost their owner all connect at once,
 * and again every second: refusing them by not listening costs nothing, while answering them kept a controller that
 * starts from ever being ready.
 */
async function listenWhenInitialized(
  server: FastifyInstance,
  { platform, sockets }: Settings,
  controller: Controller,
): Promise<void> {
  const [host, port] = platform.bind.split(':');
  const listenBy = systemClock.now() + LISTEN_AFTER_MS;
  while (!controller.isInitialized && systemClock.now() < listenBy) {
    await systemClock.sleep(INITIALIZATION_POLL_MS);
  }
  await server.listen({ host: host ?? '', port: Number(port), backlog: sockets.backlog });
}
