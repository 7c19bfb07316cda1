import { systemClock } from '../base/clock';
import { createLog, levelFromEnv } from '../base/log';
import { describe } from '../base/loop';
import { systemRandom } from '../base/random';
import type { Settings } from '../base/settings';
import { Node } from '../coordination/node';
import { createRoutes } from '../coordination/routes';
import { codec } from '../protocol/codec';
import { HttpClient } from '../transport/http-client';
import { createServer } from '../transport/http-server';
import { listenForPeers, PeerSender } from '../transport/peer-link';

const MAX_BODY_BYTES = 64 * 1024;
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const SOCKETS_PER_HOST = 24;
const USER_SOCKETS_PART = 0.75;

/** Runs a controller until something kills it. */
export async function serve(settings: Settings): Promise<void> {
  const { platform } = settings;
  const log = createLog(levelFromEnv(process.env.LOG_LEVEL), platform.node);
  // A process never ends by itself: what no loop caught is logged, and the loops go on.
  process.on('uncaughtException', (error) => {
    log.error({ err: describe(error), stack: error.stack }, 'uncaught');
  });
  process.on('unhandledRejection', (error) => {
    log.error({ err: describe(error) }, 'unhandled');
  });
  const signal = new AbortController().signal;
  const peers = platform.others.map(
    (other) => new PeerSender(other.peer_addr, { clock: systemClock, log, signal }),
  );
  const node = new Node(settings, {
    clock: systemClock,
    // Node counts performance.now() from the start of the process.
    startedAt: 0,
    random: systemRandom,
    log,
    http: new HttpClient(codec, SOCKETS_PER_HOST, MAX_ANSWER_BYTES),
    broadcast: (bytes) => {
      for (const peer of peers) peer.send(bytes);
    },
  });
  const server = createServer(createRoutes(node, log), {
    maxBodyBytes: MAX_BODY_BYTES,
    maxConnections: Math.floor(platform.deployment.quota.fd_limit * USER_SOCKETS_PART),
    encode: (value) => codec.encode(value),
    onError: (error) => {
      log.error({ err: describe(error) }, 'a request failed');
    },
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
  await server.listen({ host: host ?? '', port: Number(port) });
  log.info({ bind: platform.bind, back: platform.back, blockLeaseMs: settings.blockLeaseMs }, 'serving');
}
