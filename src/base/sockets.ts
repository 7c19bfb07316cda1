/** How a node's sockets are shared out, so that no use of them can starve another. */
export interface SocketShares {
  /** Connections that come in on the public address, all together. */
  readonly inbound: number;
  /** Of these, how many workers may hold. What is left over is always the users' and the health probe's. */
  readonly workers: number;
  /** Commands that may be out at once. */
  readonly commands: number;
  /** Connections of ours that may lie idle, to be used again. */
  readonly idle: number;
  /** Calls to the state service, and as many to the cloud. */
  readonly external: number;
}

/** Files that a process holds besides, and connections that the system has not let go of yet. */
const OWN = 32;
/** To and from each other node; as many again that an end or a cut left half open. */
const PER_PEER = 4;
const EXTERNAL = 24;
const COMMANDS_PART = 1 / 8;
const IDLE_PART = 1 / 16;
const WORKERS_PART = 7 / 8;

/**
 * One block's owner holds a connection of each of its machines. The more connections of ours stay open, the fewer are
 * left for that; so commands use few, and close most after use.
 */
export function shareSockets(limit: number, others: number): SocketShares {
  const commands = Math.floor(limit * COMMANDS_PART);
  const idle = Math.floor(limit * IDLE_PART);
  const external = Math.min(EXTERNAL, Math.floor(limit / 16));
  const inbound = limit - OWN - PER_PEER * others - commands - idle - 2 * external;
  return { inbound, workers: Math.floor(inbound * WORKERS_PART), commands, idle, external };
}
