/** @file A pool of outbound HTTP connections with a limit on idle ones. */
import { Agent, type ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';

const MAX_IDLE_PER_HOST = 4;

/** Limits on the connections of a pool. */
export interface PoolLimits {
  /** Concurrent connections to one host. */
  readonly perHost: number;
  /** Returns the current limit on idle connections to all hosts together. */
  readonly idle: () => number;
}

/**
 * Keeps the most recently used idle connections open, up to a limit. Without the limit, idle connections to all
 * machines of a large fleet could use up all sockets.
 */
export class BoundedAgent extends Agent {
  /** Idle connections, longest idle first; each with the listener that removes it from this map when it closes. */
  readonly #idle = new Map<Duplex, () => void>();
  readonly #maxIdle: () => number;

  constructor({ perHost, idle }: PoolLimits) {
    super({ keepAlive: true, maxSockets: perHost, maxFreeSockets: MAX_IDLE_PER_HOST, scheduling: 'lifo' });
    this.#maxIdle = idle;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // The declared type is void, but Node documents and implements a result: whether to keep the socket.
    const keep = super.keepSocketAlive(socket) as unknown as boolean;
    if (!keep) return false;
    const onClose = (): void => {
      this.#idle.delete(socket);
    };
    this.#idle.set(socket, onClose);
    socket.once('close', onClose);
    this.trim();
    return true;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    this.#removeIdle(socket);
    super.reuseSocket(socket, request);
  }

  /** Closes idle connections beyond the limit, longest idle first. */
  trim(): void {
    const maxIdle = this.#maxIdle();
    for (const socket of this.#idle.keys()) {
      if (this.#idle.size <= maxIdle) return;
      // Removes the socket from `#idle` now: it emits `close` only in a later event-loop turn. Otherwise, with many
      // responses in one turn, each `trim` destroyed this socket again, and idle connections far exceeded the limit.
      this.#removeIdle(socket);
      socket.destroy();
    }
  }

  #removeIdle(socket: Duplex): void {
    const onClose = this.#idle.get(socket);
    if (!onClose) return;
    socket.off('close', onClose);
    this.#idle.delete(socket);
  }
}
