import type { Socket } from 'node:net';

/** Who a connection belongs to; told by the first request that comes over it. */
export type Use = 'workers' | 'users' | 'health';

export interface ConnectionLimits {
  /** Connections in all. */
  readonly all: number;
  /** Of these, how many workers may hold. */
  readonly workers: number;
  /** A worker that was silent for so long is gone, or has left for another node; its connection may never say so. */
  readonly workerIdleMs: number;
}

interface Connection {
  use: Use | undefined;
  requests: number;
  idleSince: number;
}

/** Kept free, so that a connection which is one too many can still be told when to come back. */
const SPARE = 8;
const SWEEP_MS = 5_000;

/**
 * The connections that have come in, and whose they are. Workers keep theirs as long as they report; users', idle
 * between two polls, make room when connections run short, the longest idle first.
 */
export class Connections {
  readonly #all = new Map<Socket, Connection>();
  /** Users' connections without a request, the longest idle first. */
  readonly #idleUsers = new Set<Socket>();
  #workers = 0;
  #sweptAt = 0;

  constructor(
    private readonly limits: ConnectionLimits,
    private readonly now: () => number,
  ) {}

  get size(): number {
    return this.#all.size;
  }

  get workers(): number {
    return this.#workers;
  }

  opened(socket: Socket): void {
    this.#all.set(socket, { use: undefined, requests: 0, idleSince: this.now() });
    socket.once('close', () => {
      this.#closed(socket);
    });
    if (this.now() - this.#sweptAt > SWEEP_MS) this.#sweep();
    if (this.#isFull) this.#idleUsers.values().next().value?.destroy();
  }

  /** A request has come; false when its connection is one too many for its use. */
  begins(socket: Socket, use: Use): boolean {
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

  /** It has been answered. */
  ends(socket: Socket): void {
    const connection = this.#all.get(socket);
    if (!connection) return;
    connection.requests -= 1;
    connection.idleSince = this.now();
    if (connection.use === 'users' && connection.requests === 0) this.#idleUsers.add(socket);
  }

  get #isFull(): boolean {
    return this.#all.size > this.limits.all - SPARE;
  }

  #assign(connection: Connection, use: Use | undefined): void {
    if (connection.use === 'workers') this.#workers -= 1;
    connection.use = use;
    if (use === 'workers') this.#workers += 1;
  }

  #closed(socket: Socket): void {
    const connection = this.#all.get(socket);
    if (connection) this.#assign(connection, undefined);
    this.#all.delete(socket);
    this.#idleUsers.delete(socket);
  }

  /** A machine without power never closes its connection: with a fleet that comes and goes they would add up. */
  #sweep(): void {
    const now = this.now();
    this.#sweptAt = now;
    for (const [socket, { use, requests, idleSince }] of this.#all) {
      if (use === 'workers' && requests === 0 && now - idleSince > this.limits.workerIdleMs) socket.destroy();
    }
  }
}
