import { createRequire } from 'node:module';
import { join } from 'node:path';
import { readAdmissionOptions } from '../admission/options';
import { systemClock } from '../base/clock';
import { createLog, levelFromEnv, type Log } from '../base/log';
import { describeError, runLoop } from '../base/loop';
import { systemRandom } from '../base/random';
import type { Settings } from '../base/settings';
import { idleNow } from '../base/sockets';
import { Controller } from '../coordination/controller';
import { createRoutes } from '../coordination/routes';
import { codec } from '../protocol/codec';
import type { Connections } from '../transport/connections';
import { HttpClient } from '../transport/http-client';
import { createServer } from '../transport/http-server';
import { readSuspicionOptions } from '../suspicion/options';
import { listenForPeers, PeerSender } from '../transport/peer-link';
import type * as Tracing from './tracing';

const MAX_BODY_BYTES = 64 * 1024;
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const USAGE_MS = 10_000;
/** A node that can't learn what it needs says so itself after this long. */
const LISTEN_AFTER_MS = 3_000;
const MB = 1024 * 1024;

/** One line every now and then, by which an operator sees what this process uses of its quota. */
async function reportUsage(log: Log, connections: Connections, node: Controller): Promise<void> {
  const before = process.cpuUsage();
  const from = systemClock.now();
  await systemClock.sleep(USAGE_MS);
  const { user, system } = process.cpuUsage(before);
  const { rss, heapUsed } = process.memoryUsage();
  const usage = {
    cpu: Number(((user + system) / 1000 / (systemClock.now() - from)).toFixed(3)),
    ...{ memoryMb: Math.round(rss / MB), heapMb: Math.round(heapUsed / MB) },
    ...{ connections: connections.size, workers: connections.workers },
    lateMs: Math.round(node.eventLoopDelay.delayMs),
  };
  log.info(usage, 'usage');
}

/** Spans go to the log where an operator asks for them; their library is loaded for nobody else. */
function startTracing(log: Log): void {
  const tracing = createRequire(__filename)(join(__dirname, 'tracing.js')) as typeof Tracing;
  tracing.traceToLog(log);
}

/** Runs a controller until something kills it. */
export async function serve(settings: Settings, code: string): Promise<void> {
  const { platform, sockets } = settings;
  const admission = readAdmissionOptions(settings);
  const log = createLog(levelFromEnv(process.env.LOG_LEVEL), platform.node);
  for (const warning of settings.warnings) log.warn(warning);
  const suspicion = readSuspicionOptions(settings);
  if (admission?.isTraced || suspicion?.isTraced) startTracing(log);
  // A process never ends by itself: what no loop caught is logged, and the loops go on.
  process.on('uncaughtException', (error) => {
    log.error({ err: describeError(error), stack: error.stack }, 'uncaught exception');
  });
  process.on('unhandledRejection', (error) => {
    log.error({ err: describeError(error) }, 'unhandled rejection');
  });
  const signal = new AbortController().signal;
  const peers = platform.others.map(
    (other) => new PeerSender(other.peer_addr, { clock: systemClock, log, signal }),
  );
  const workers = new HttpClient(
    codec,
    { perHost: 1, idle: () => idleNow(sockets, connections.size) },
    MAX_ANSWER_BYTES,
  );
  const node = new Controller(settings, {
    clock: systemClock,
    // Node counts performance.now() from the start of the process.
    startedAt: 0,
    random: systemRandom,
    log,
    // Apart, for the idle connections of many workers must not push out those to the state service: opening one anew
    // fails when sockets have run out, and with it a lease's renewal.
    http: new HttpClient(
      codec,
      { perHost: sockets.external, idle: () => 2 * sockets.external },
      MAX_ANSWER_BYTES,
    ),
    workers,
    broadcast: (bytes) => {
      for (const peer of peers) peer.send(bytes);
    },
  });
  const { server, connections } = createServer(createRoutes(node, log), {
    maxBodyBytes: MAX_BODY_BYTES,
    connections: {
      all: sockets.inbound,
      workers: sockets.workers,
      workerIdleMs: platform.deployment.workers.lease_s * 1000,
    },
    now: () => systemClock.now(),
    encode: (value) => codec.encode(value),
    onError: (error) => {
      log.error({ err: describeError(error) }, 'a request failed');
    },
  });
  server.server.on('connection', () => {
    workers.trim();
  });
  listenForPeers(
    platform.back,
    (bytes) => {
      node.onPeerFrame(bytes);
    },
    log,
  );
  for (const peer of peers) void peer.run();
  node.start();
  const [host, port] = platform.bind.split(':');
  // Until then all it could say is 'not now'. Workers that lost their owner all come at once, and again every second:
  // refusing them by not listening costs nothing, while answering them kept a node that starts from ever being ready.
  const listenBy = systemClock.now() + LISTEN_AFTER_MS;
  while (!node.isInitialized && systemClock.now() < listenBy) await systemClock.sleep(10);
  await server.listen({ host: host ?? '', port: Number(port), backlog: sockets.backlog });
  void runLoop('usage', () => reportUsage(log, connections, node), { clock: systemClock, log, signal });
  const { bind, back } = platform;
  const startMs = Math.round(systemClock.now());
  log.info({ bind, back, shardLeaseMs: settings.shardLeaseMs, startMs, code }, 'serving');
}
