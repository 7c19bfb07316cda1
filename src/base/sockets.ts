/** @file How a controller's sockets are shared out, so that no use of them can starve another. */

/** How many sockets each use may hold. */
export interface SocketShares {
  /** Connections that come in on the public address, all together. */
  readonly inbound: number;
  /** Of these, how many workers may hold. What is left over is always the users' and the health probe's. */
  readonly workers: number;
  /** Inbound connections that the system holds until the process accepts them. */
  readonly backlog: number;
  /** Commands that may be in flight at once. */
  readonly commands: number;
  /** Outbound connections that may always lie idle, to be used again; see `idleNow`. */
  readonly idle: number;
  /** Calls to the key-value store, and as many to the cloud. */
  readonly external: number;
}

/** Files that a process holds besides, and connections that the system has not released yet. */
const OTHER_DESCRIPTORS = 32;
/** To and from each peer; as many again that an end or a cut left half open. */
const PER_PEER = 4;
const MAX_EXTERNAL = 24;
const EXTERNAL_PART = 1 / 16;
const COMMANDS_PART = 1 / 10;
const IDLE_PART = 1 / 20;
/**
 * When an owner has failed its workers all connect at once. A connection that waits here for longer than its worker does
 * is answered too late, and delays the next in line: after a while no worker is served in time. So few wait, and the
 * others are refused by the system, at no cost to this process, and connect again a second later.
 */
const MAX_BACKLOG = 128;
const BACKLOG_PART = 1 / 16;
const WORKERS_PART = 7 / 8;

/**
 * One shard's owner holds a connection of each of its machines. The more outbound connections stay open, the fewer
 * sockets are left for that; so commands use few, and what they leave idle makes way as workers connect.
 */
export function allocateSockets(fileLimit: number, peers: number): SocketShares {
  const commands = Math.floor(fileLimit * COMMANDS_PART);
  const idle = Math.floor(fileLimit * IDLE_PART);
  const external = Math.min(MAX_EXTERNAL, Math.floor(fileLimit * EXTERNAL_PART));
  const backlog = Math.min(MAX_BACKLOG, Math.floor(fileLimit * BACKLOG_PART));
  const outbound = commands + idle + 2 * external;
  const inbound = fileLimit - OTHER_DESCRIPTORS - PER_PEER * peers - outbound - backlog;
  const workers = Math.floor(inbound * WORKERS_PART);
  return { inbound, backlog, workers, commands, idle, external };
}

/**
 * How many outbound connections may lie idle at this moment: what those that are open inbound leave of the workers'
 * share, less a reserve for those to come. To open one anew for a command costs several times the command, so no more are
 * closed than must be (docs/PERFORMANCE.md).
 */
export function maxIdleConnections({ idle, workers }: SocketShares, openInbound: number): number {
  return idle + Math.max(0, workers - openInbound);
}
