/** How a node's sockets are shared out, so that no use of them can starve another. */
export interface SocketShares {
  /** Connections that come in on the public address, all together. */
  readonly inbound: number;
  /** Of these, how many workers may hold. What is left over is always the users' and the health probe's. */
  readonly workers: number;
  /** Connections that the system holds ready for us. */
  readonly backlog: number;
  /** Commands that may be out at once. */
  readonly commands: number;
  /** Connections of ours that may always lie idle, to be used again; see `idleNow`. */
  readonly idle: number;
  /** Calls to the state service, and as many to the cloud. */
  readonly external: number;
}

/** Files that a process holds besides, and connections that the system has not let go of yet. */
const OWN = 32;
/** To and from each other node; as many again that an end or a cut left half open. */
const PER_PEER = 4;
const EXTERNAL = 24;
const COMMANDS_PART = 1 / 10;
const IDLE_PART = 1 / 20;
/**
 * When an owner is gone its workers all come at once. What waits here for longer than they do is answered in vain, and
 * the next in line is late for it: after a while nobody is served in time. So few wait, and the others are refused by
 * the system, at no cost to us, and come again a second later.
 */
const BACKLOG = 128;
const WORKERS_PART = 7 / 8;

/**
 * One shard's owner holds a connection of each of its machines. The more connections of ours stay open, the fewer are
 * left for that; so commands use few, and what they leave idle makes way as workers come.
 */
export function shareSockets(limit: number, others: number): SocketShares {
  const commands = Math.floor(limit * COMMANDS_PART);
  const idle = Math.floor(limit * IDLE_PART);
  const external = Math.min(EXTERNAL, Math.floor(limit / 16));
  const backlog = Math.min(BACKLOG, Math.floor(limit / 16));
  const inbound = limit - OWN - PER_PEER * others - commands - idle - 2 * external - backlog;
  return { inbound, backlog, workers: Math.floor(inbound * WORKERS_PART), commands, idle, external };
}

/**
 * How many connections of ours may lie idle at this moment: what those that come in leave of their share, less a reserve
 * for those to come. To open one anew for a command costs several times the command, so no more are closed than must be
 * (docs/PERFORMANCE.md).
 */
export function idleNow({ idle, workers }: SocketShares, open: number): number {
  return idle + Math.max(0, workers - open);
}
