/** @file A pool of outgoing HTTP connections with a bound on the idle ones. */
import { Agent, type ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';

const MAX_IDLE_PER_HOST = 4;

/** How many connections a pool may hold. */
export interface PoolLimits {
  /** Connections to one host at a time. */
  readonly perHost: number;
  /** Idle connections in all, which may depend on the moment. */
  readonly idle: () => number;
}

/**
 * Keeps the idle connections that were used last, up to a bound: those to a fleet, one a machine, could use up all
 * sockets.
 */
export class BoundedAgent extends Agent {
  /** The longest idle first, each with its listener that takes it off this list when it closes. */
  readonly #idle = new Map<Duplex, () => void>();
  readonly #maxIdle: () => number;

  constructor({ perHost, idle }: PoolLimits) {
    super({ keepAlive: true, maxSockets: perHost, maxFreeSockets: MAX_IDLE_PER_HOST, scheduling: 'lifo' });
    this.#maxIdle = idle;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // The types say that nothing is returned; by the documentation and the code it is whether to keep the socket.
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

  /** Closes idle connections beyond the bound, the longest idle first. */
  trim(): void {
    const maxIdle = this.#maxIdle();
    for (const socket of this.#idle.keys()) {
      if (this.#idle.size <= maxIdle) return;
      // Off the list at once, for it closes in a later turn only: when many responses came in one turn, each closed the
      // same connection again, and idle ones piled up far beyond the bound.
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
