/** @file Limits on inbound connections, divided among workers, users and health checks. */
import type { Socket } from 'node:net';

/** The kind of client that a connection belongs to, known from its requests. */
export type ConnectionUse = 'workers' | 'users' | 'health';

/** Limits on open connections, and the idle timeout of workers' connections. */
export interface ConnectionLimits {
  /** Connections of all uses together. */
  readonly all: number;
  /** The part of `all` that workers may use. */
  readonly workers: number;
  /**
   * Idle time after which a worker's connection is closed. The worker has failed, or sends its heartbeats to another
   * controller, and may never close the connection itself.
   */
  readonly workerIdleMs: number;
}

interface Connection {
  /** Undefined before the first request. */
  use: ConnectionUse | undefined;
  /** Number of requests in progress. */
  requests: number;
  idleSince: number;
}

/** Reserved connections, so that a request beyond the limit still gets a response with the time after which to retry. */
const SPARE_CONNECTIONS = 8;
const IDLE_CHECK_INTERVAL_MS = 5_000;
/** Above this share of their limit, workers' connections are closed after each response. */
const KEEP_ALIVE_SHARE = 31 / 32;

/**
 * Tracks open inbound connections by use. A worker's connection stays open as long as the worker sends heartbeats. Near
 * the limit for workers, their connections are closed after each response instead: a fleet of any size can then be served,
 * at the cost of reconnecting. When connections run short, users' connections without a request in progress are closed,
 * longest idle first.
 */
export class Connections {
  readonly #all = new Map<Socket, Connection>();
  /** Users' connections without a request in progress, longest idle first. */
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

  /** Tracks a new connection until it closes. */
  add(socket: Socket): void {
    this.#all.set(socket, { use: undefined, requests: 0, idleSince: this.now() });
    socket.once('close', () => {
      this.#remove(socket);
    });
    if (this.now() - this.#idleCheckedAt > IDLE_CHECK_INTERVAL_MS) this.#closeIdleWorkers();
    if (this.#isFull) this.#idleUsers.values().next().value?.destroy();
  }

  /** Registers the start of a request; false when the connection exceeds the limit for this use. */
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

  /** Registers the end of a request, answered or aborted. */
  endRequest(socket: Socket): void {
    const connection = this.#all.get(socket);
    if (!connection) return;
    connection.requests -= 1;
    connection.idleSince = this.now();
    if (connection.use === 'users' && connection.requests === 0) this.#idleUsers.add(socket);
  }

  /** Whether workers' connections should be closed after a response. */
  get isNearWorkerLimit(): boolean {
    return this.#workers > Math.ceil(this.limits.workers * KEEP_ALIVE_SHARE);
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

  /** Closes workers' idle connections, which would accumulate: a machine that lost power never closes its connection. */
  #closeIdleWorkers(): void {
    const now = this.now();
    this.#idleCheckedAt = now;
    for (const [socket, { use, requests, idleSince }] of this.#all) {
      if (use === 'workers' && requests === 0 && now - idleSince > this.limits.workerIdleMs) socket.destroy();
    }
  }
}
