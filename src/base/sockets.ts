/** @file Allocates a controller's sockets to their uses, so that no use can starve another. */

/** The number of sockets for each use. */
export interface SocketShares {
  /** All inbound connections on the public address. */
  readonly inbound: number;
  /** The part of `inbound` that workers may use. The rest is reserved for users and the health probe. */
  readonly workers: number;
  /** Inbound connections that the system queues until the process accepts them. */
  readonly backlog: number;
  /** Commands that may be in flight at once. */
  readonly commands: number;
  /** Idle outbound connections that may always stay open for reuse; `maxIdleConnections` may allow more. */
  readonly idle: number;
  /** Connections to the key-value store, and the same number to the cloud. */
  readonly external: number;
}

/** File descriptors of other open files, and of connections that the system has not released yet. */
const OTHER_DESCRIPTORS = 32;
/** For each peer, one connection in each direction and as many half-open ones after a crash or a network partition. */
const SOCKETS_PER_PEER = 4;
const MAX_EXTERNAL = 24;
const EXTERNAL_SHARE = 1 / 16;
const COMMANDS_SHARE = 1 / 10;
const IDLE_SHARE = 1 / 20;
/**
 * When an owner has failed, its workers all connect at once. A connection that stays in the backlog for longer than its
 * worker waits is answered too late, and delays those behind it, until no worker is served in time. A short backlog avoids
 * this: the system refuses the other connections at no cost to this process, and the workers retry a second later.
 */
const MAX_BACKLOG = 128;
const BACKLOG_SHARE = 1 / 16;
const WORKERS_SHARE = 7 / 8;

/**
 * Allocates the sockets. A shard's owner needs an inbound connection from each of its machines. Outbound connections
 * leave fewer sockets for inbound ones, so commands use few sockets, and idle connections are closed as workers connect.
 */
export function allocateSockets(fileLimit: number, peers: number): SocketShares {
  const commands = Math.floor(fileLimit * COMMANDS_SHARE);
  const idle = Math.floor(fileLimit * IDLE_SHARE);
  const external = Math.min(MAX_EXTERNAL, Math.floor(fileLimit * EXTERNAL_SHARE));
  const backlog = Math.min(MAX_BACKLOG, Math.floor(fileLimit * BACKLOG_SHARE));
  const outbound = commands + idle + 2 * external;
  const inbound = fileLimit - OTHER_DESCRIPTORS - SOCKETS_PER_PEER * peers - outbound - backlog;
  const workers = Math.floor(inbound * WORKERS_SHARE);
  return { inbound, backlog, workers, commands, idle, external };
}

/**
 * The number of outbound connections that may be idle now: `idle`, and the part of `workers` that open inbound
 * connections don't use. The rest of `inbound` stays free for connections to come. Opening a connection costs several
 * times as much as sending a command over it, so no more are closed than necessary (docs/PERFORMANCE.md).
 */
export function maxIdleConnections({ idle, workers }: SocketShares, openInbound: number): number {
  return idle + Math.max(0, workers - openInbound);
}
