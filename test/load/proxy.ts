/** @file A TCP proxy between two processes that can simulate a network partition. */
import { connect, createServer, type Server, type Socket } from 'node:net';

/** Forwards connections to a target. During a partition it drops the data of both sides, as a network does. */
export class PartitionableProxy {
  #isPartitioned = false;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server;

  constructor(address: string, target: string) {
    const [host, port] = address.split(':');
    const [targetHost, targetPort] = target.split(':');
    this.#server = createServer((inbound) => {
      const outbound = connect({ host: targetHost ?? '', port: Number(targetPort) });
      this.#forward(inbound, outbound);
      this.#forward(outbound, inbound);
    });
    this.#server.listen(Number(port), host);
  }

  /** Drops all data until `endPartition`. */
  startPartition(): void {
    this.#isPartitioned = true;
  }

  /** Forwards data again, and closes all existing connections, so that both sides open new ones. */
  endPartition(): void {
    this.#isPartitioned = false;
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Closes the proxy and all connections. */
  close(): void {
    this.endPartition();
    this.#server.close();
  }

  #forward(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    from.on('data', (bytes) => {
      if (!this.#isPartitioned) to.write(bytes);
    });
    from.on('error', () => from.destroy());
    from.on('close', () => {
      this.#sockets.delete(from);
      // During a partition the other side doesn't learn that the connection was closed.
      if (!this.#isPartitioned) to.destroy();
    });
  }
}
