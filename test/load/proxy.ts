/** @file A small TCP proxy between two processes, which can cut them off from each other. */
import { connect, createServer, type Server, type Socket } from 'node:net';

/** Forwards connections to a target until it is cut; then it swallows what either side sends, as a network would. */
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

  /** Nothing gets through any more, until `heal`. */
  startPartition(): void {
    this.#isPartitioned = true;
  }

  /** Connections from before are ended, so that both sides open new ones. */
  endPartition(): void {
    this.#isPartitioned = false;
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Ends the proxy. */
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
      // A process that ended behind a cut is not seen to end.
      if (!this.#isPartitioned) to.destroy();
    });
  }
}
