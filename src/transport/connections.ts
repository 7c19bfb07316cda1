/** @file Limits on the incoming connections, shared out among workers, users and health checks. */
import type { Socket } from 'node:net';

/** Whom a connection belongs to; the first request that comes over it shows that. */
export type ConnectionUse = 'workers' | 'users' | 'health';

/** How many connections may be open, and how long an unused one of a worker is kept. */
export interface ConnectionLimits {
  /** Connections in all. */
  readonly all: number;
  /** Of these, how many workers may hold. */
  readonly workers: number;
  /**
   * A worker without a request for so long is gone, or sends its heartbeats to another controller; its own side may never close the
   * connection.
   */
  readonly workerIdleMs: number;
}

interface Connection {
  /** Undefined before the first request. */
  use: ConnectionUse | undefined;
  /** Requests that are not answered yet. */
  requests: number;
  idleSince: number;
}

/** Connections kept free, so that one beyond the limit can still be answered with the time after which to retry. */
const SPARE_CONNECTIONS = 8;
const IDLE_CHECK_INTERVAL_MS = 5_000;
/** From this part of their share on, workers' connections are closed after each response. */
const KEEP_ALIVE_PART = 31 / 32;

/**
 * Open incoming connections by use. Workers keep theirs as long as they send heartbeats, unless more of them come than
 * their share has room for: then connections are closed after a response, so that the workers take turns and a fleet of
 * any size is answered, at the cost of opening connections anew. When connections run short, users' connections that are
 * idle between two requests are closed, the longest idle first.
 */
export class Connections {
  readonly #all = new Map<Socket, Connection>();
  /** Users' connections without a request, the longest idle first. */
  readonly #idleUsers = new Set<Socket>();
  #workers = 0;
  #idleCheckedAt = 0;

  constructor(
    readonly limits: ConnectionLimits,
    private readonly now: () => number,
  ) {}

  /** Open connections of all uses. */
  get size(): number {
    return this.#all.size;
  }

  /** Open connections of workers. */
  get workers(): number {
    return this.#workers;
  }

  /** Adds a connection that was opened, until it is closed. */
  add(socket: Socket): void {
    this.#all.set(socket, { use: undefined, requests: 0, idleSince: this.now() });
    socket.once('close', () => {
      this.#remove(socket);
    });
    if (this.now() - this.#idleCheckedAt > IDLE_CHECK_INTERVAL_MS) this.#closeIdleWorkers();
    if (this.#isFull) this.#idleUsers.values().next().value?.destroy();
  }

  /** A request arrived; false when its connection exceeds the limit for its use. */
  beginRequest(socket: Socket, use: ConnectionUse): boolean {
    const connection = this.#all.get(socket);
    if (!connection) return true;
    connection.requests += 1;
    this.#idleUsers.delete(socket);
    if (connection.use === use) return true;
    if (use === 'workers' && this.#workers >= this.limits.workers) return false;
    if (use === 'users' && this.#isFull) return false;
    this.#assign(connection, use);
    return true;
  }

  /** A request on the connection was answered, or broken off. */
  endRequest(socket: Socket): void {
    const connection = this.#all.get(socket);
    if (!connection) return;
    connection.requests -= 1;
    connection.idleSince = this.now();
    if (connection.use === 'users' && connection.requests === 0) this.#idleUsers.add(socket);
  }

  /** Whether a worker's connection is to be closed with the response. */
  get isNearWorkerLimit(): boolean {
    return this.#workers > Math.ceil(this.limits.workers * KEEP_ALIVE_PART);
  }

  get #isFull(): boolean {
    return this.#all.size > this.limits.all - SPARE_CONNECTIONS;
  }

  #assign(connection: Connection, use: ConnectionUse | undefined): void {
    if (connection.use === 'workers') this.#workers -= 1;
    connection.use = use;
    if (use === 'workers') this.#workers += 1;
  }

  #remove(socket: Socket): void {
    const connection = this.#all.get(socket);
    if (connection) this.#assign(connection, undefined);
    this.#all.delete(socket);
    this.#idleUsers.delete(socket);
  }

  /** A machine that lost power never closes its connection; without this, such connections would add up. */
  #closeIdleWorkers(): void {
    const now = this.now();
    this.#idleCheckedAt = now;
    for (const [socket, { use, requests, idleSince }] of this.#all) {
      if (use === 'workers' && requests === 0 && now - idleSince > this.limits.workerIdleMs) socket.destroy();
    }
  }
}
